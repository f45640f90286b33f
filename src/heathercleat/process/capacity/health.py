"""Health of targets whose home is this VM: outlier ejection, slow targets and probes.

A target that fails several consecutive requests is ejected: it gets no requests for a
time, then returns with one slot and warms up. A successful probe doesn't end the
ejection early, because a target that fails requests may still answer probes.
"""

from dataclasses import dataclass
from random import uniform

import msgpack
from curio import TaskGroup, sleep

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    Message,
    connect,
    exchange,
    with_deadline,
)
from heathercleat.events import Event

#: Consecutive failures after which a target is ejected.
MAX_FAILURES = 3
INITIAL_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
#: Weight of a new observation in the moving average of the latency.
LATENCY_WEIGHT = 0.1
PROBE_INTERVAL_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 0.1
MAX_PROBE_BYTES = 4096
MIN_WARM_UP_SECONDS = 1.0
#: A target is slow if its latency exceeds that of the fastest other target of the
#: service by this factor and these seconds.
SLOW_FACTOR = 3.0
MIN_SLOW_EXCESS_SECONDS = 0.05
#: Seconds between requests that test whether a slow target has recovered.
TRIAL_INTERVAL_SECONDS = 3.0
#: Consecutive failed probes after which a target counts as unreachable, unless it has
#: answered a request recently.
MAX_FAILED_PROBES = 2


@dataclass(slots=True)
class TargetHealth:
    """The state of one target.

    ``failures`` and ``failed_probes`` are the numbers of consecutive ones, ``latency``
    is a moving average in seconds, and ``probe_state`` is the state in the last probe
    response. Instants are of ``clock.now()``.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    latency: float = 0.0
    probe_state: str = "ready"
    failed_probes: int = 0
    last_response_at: float = 0.0
    is_slow: bool = False
    next_trial_at: float = 0.0


class HealthTracker:
    """Tracks the health of every target whose home is this VM.

    :param vm: the :class:`EntryVM` of this process.
    :param ledger: the slots of the homed targets; the tracker blocks and unblocks the
        targets and starts their warm-ups.
    """

    def __init__(self, vm, ledger, clock):
        self._vm = vm
        self._ledger = ledger
        self._clock = clock
        self._targets = {}

    def health_of(self, name):
        """Return the :class:`TargetHealth` of a target, created on first use."""
        health = self._targets.get(name)
        if health is None:
            health = self._targets[name] = TargetHealth()
        return health

    def cost(self, entry):
        """Return the relative cost of a request to a target; lower is preferred."""
        limit = max(1, entry.target.limit)
        load = (entry.used(self._clock.now()) + 1) / limit
        return load * (self.health_of(entry.target.name).latency + 0.001)

    def record_success(self, target, seconds):
        """Record a complete response that took ``seconds``."""
        health = self.health_of(target.name)
        health.failures = 0
        health.ejections = 0
        health.last_response_at = self._clock.now()
        health.latency += LATENCY_WEIGHT * (seconds - health.latency)
        self._update_slow(target, health, seconds)

    def is_slow(self, entry):
        """Return whether a target is so slow that it is only used as a last resort."""
        health = self.health_of(entry.target.name)
        if not health.is_slow:
            return False
        # Since the last response of this target, the others may have become as slow.
        threshold = self._slow_threshold(entry.target)
        return threshold is not None and health.latency > threshold

    def start_trial(self, entry):
        """Return whether to send a trial request to a slow target now.

        Starts a new interval if so.
        """
        health, now = self.health_of(entry.target.name), self._clock.now()
        if now < health.next_trial_at:
            return False
        health.next_trial_at = now + TRIAL_INTERVAL_SECONDS
        return True

    def record_refusal(self, target):
        """Record that the target refused a request: restart its warm-up."""
        entry = self._ledger.targets.get(target.name)
        if entry is not None:
            self._warm_up(entry)

    def record_failure(self, target, reason):
        """Record a failure of the target, which may eject it.

        :param reason: the kind of failure; ``"status"`` for an error response.
        """
        health = self.health_of(target.name)
        health.failures += 1
        now = self._clock.now()
        if health.failures < MAX_FAILURES or now < health.ejected_until:
            return
        if reason == "status" and not self._may_eject(target):
            return
        ejection_seconds = min(
            MAX_EJECTION_SECONDS, INITIAL_EJECTION_SECONDS * 2**health.ejections
        )
        health.ejections += 1
        health.failures = 0
        health.ejected_until = now + uniform(0.8, 1.2) * ejection_seconds
        self._vm.journal.write(
            Event.TARGET_EJECTED,
            target=target.name,
            service=target.service,
            reason=reason,
            ejections=health.ejections,
            seconds=round(health.ejected_until - now, 3),
        )
        self.update_blocked(now)

    async def run(self):
        """Apply drains and ejections and probe each homed target, forever."""
        probed_at = {}
        async with TaskGroup() as group:
            while True:
                now = self._clock.now()
                self.update_blocked(now)
                for name, entry in list(self._ledger.targets.items()):
                    if probed_at.get(name, 0.0) + PROBE_INTERVAL_SECONDS <= now:
                        probed_at[name] = now
                        await group.spawn(self._probe, entry.target, daemon=True)
                await sleep(CHECK_INTERVAL_SECONDS)

    def update_blocked(self, now):
        """Block the targets that must get no new requests and unblock the others."""
        text = self._vm.text
        if text is None:
            return
        wall = self._clock.wall()
        for entry in self._ledger.targets.values():
            self._set_block_reason(entry, self._block_reason(entry, text, now, wall))

    def _update_slow(self, target, health, seconds):
        """Update whether a target is slow after a response that took ``seconds``."""
        threshold = self._slow_threshold(target)
        if threshold is None:
            health.is_slow = False
        elif health.is_slow and seconds <= threshold:
            # Discard the moving average, which includes the slow responses.
            health.is_slow, health.latency = False, seconds
            entry = self._ledger.targets.get(target.name)
            if entry is not None:
                self._warm_up(entry)
            self._log_speed(Event.TARGET_FAST, target, seconds, threshold)
        elif not health.is_slow and health.latency > threshold:
            health.is_slow, health.next_trial_at = (
                True,
                self._clock.now() + TRIAL_INTERVAL_SECONDS,
            )
            self._log_speed(Event.TARGET_SLOW, target, health.latency, threshold)

    def _slow_threshold(self, target):
        """Return the latency in seconds above which a target is slow.

        It is ``None`` while no other target of the service has a latency.
        """
        latencies = [
            self.health_of(entry.target.name).latency
            for entry in self._ledger.of_service(target.service)
            if entry.target.name != target.name and not entry.block_reason
        ]
        fastest = min((each for each in latencies if each), default=None)
        if fastest is None:
            return None
        return SLOW_FACTOR * fastest + MIN_SLOW_EXCESS_SECONDS

    def _log_speed(self, event, target, seconds, threshold):
        self._vm.journal.write(
            event,
            target=target.name,
            service=target.service,
            seconds=round(seconds, 4),
            limit=round(threshold, 4),
        )

    def _block_reason(self, entry, text, now, wall):
        drain = text.find_drain(entry.target, wall)
        if drain is not None:
            return f"drain {drain.id}"
        health = self.health_of(entry.target.name)
        if now < health.ejected_until:
            return "ejected"
        if health.probe_state != "ready":
            return health.probe_state
        has_responded_recently = now - health.last_response_at < PROBE_INTERVAL_SECONDS
        if health.failed_probes >= MAX_FAILED_PROBES and not has_responded_recently:
            return "unreachable"
        return None

    def _set_block_reason(self, entry, reason):
        """Block a target, or unblock it if ``reason`` is ``None``."""
        if entry.block_reason == reason:
            return
        has_recovered = reason is None and not entry.block_reason.startswith("drain")
        name, previous_reason, entry.block_reason = (
            entry.target.name,
            entry.block_reason,
            reason,
        )
        if has_recovered:
            self._warm_up(entry)
        event = Event.TARGET_RETURNED if reason is None else Event.TARGET_DRAINING
        self._vm.journal.write(
            event, target=name, reason=reason, before=previous_reason
        )

    def _warm_up(self, entry):
        service = self._vm.text.services.get(entry.target.service)
        seconds = max(MIN_WARM_UP_SECONDS, service.warm_up if service else 0.0)
        entry.start_warm_up(self._clock.now(), seconds)

    def _may_eject(self, target):
        """Return whether half of the service's homed targets would remain available.

        If requests fail at most targets, the fault is likely in the requests.
        """
        entries = self._ledger.of_service(target.service)
        blocked = sum(1 for entry in entries if entry.block_reason)
        return len(entries) == 1 or (blocked + 1) * 2 <= len(entries)

    async def _probe(self, target):
        health = self.health_of(target.name)
        try:
            deadline = self._clock.now() + PROBE_TIMEOUT_SECONDS
            response = await with_deadline(
                deadline, self._clock, self._send_probe(target, deadline)
            )
            state = msgpack.unpackb(response.body)["state"]
        except (TimeoutError, ValueError, KeyError, TypeError, *CONNECTION_ERRORS):
            health.failed_probes += 1
            return
        health.failed_probes = 0
        health.probe_state = state

    async def _send_probe(self, target, deadline):
        source = self._vm.settings.address
        stream = await connect(target.host, target.port, deadline, self._clock, source)
        try:
            return await exchange(stream, Message(path="/health"), MAX_PROBE_BYTES)
        finally:
            await stream.close()
