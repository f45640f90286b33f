"""Health of the targets homed here, learned from real answers first, then from probes.

A target whose answers fail several times in a row takes no new work for a while, then
comes back with one slot and warms up. A probe that says "ready" never ends that time
early, since a probe can be answered by a target that fails its work.
"""

from dataclasses import dataclass
from random import uniform

import msgpack
from curio import TaskGroup, sleep

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    Message,
    before,
    connect,
    exchange,
)
from heathercleat.events import Event

#: Failures in a row after which a target is ejected.
MAX_FAILURES = 3
FIRST_EJECTION = 1.0
LONGEST_EJECTION = 30.0
LATENCY_WEIGHT = 0.1
PROBE_INTERVAL = 1.0
PROBE_TIMEOUT = 1.0
CHECK_INTERVAL = 0.1
MAX_PROBE_BYTES = 4096
MIN_WARM_UP = 1.0
#: A target is slow when its answers take so many times as long as those of the fastest
#: target beside it, and so many seconds longer.
SLOW_FACTOR = 3.0
SLOW_LEAST = 0.05
#: Seconds between two requests that try whether a slow target is slow still.
TRIAL_INTERVAL = 3.0
#: Probes without an answer after which a target without recent answers is left out.
MAX_SILENT_PROBES = 2


@dataclass(slots=True)
class TargetHealth:
    """What is known of one target; instants are of this process, latency in seconds."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    latency: float = 0.0
    probe_state: str = "ready"
    silent_probes: int = 0
    answered_at: float = 0.0
    slow: bool = False
    trial_at: float = 0.0


class HealthTracker:
    """The health of every target homed here.

    :param vm: the process: settings, text, journal.
    :param ledger: the slots of the homed targets, blocked and warmed up from here.
    """

    def __init__(self, vm, ledger, clock):
        self._vm = vm
        self._ledger = ledger
        self._clock = clock
        self._targets = {}

    def of(self, name):
        """Return the :class:`TargetHealth` of a target."""
        health = self._targets.get(name)
        if health is None:
            health = self._targets[name] = TargetHealth()
        return health

    def cost(self, entry):
        """Return the order in which targets with a free slot are chosen."""
        limit = max(1, entry.target.limit)
        load = (entry.used(self._clock.now()) + 1) / limit
        return load * (self.of(entry.target.name).latency + 0.001)

    def record_success(self, target, seconds):
        """Note a whole answer that took ``seconds``."""
        health = self.of(target.name)
        health.failures = 0
        health.ejections = 0
        health.answered_at = self._clock.now()
        health.latency += LATENCY_WEIGHT * (seconds - health.latency)
        self._judge_speed(target, health, seconds)

    def is_slow(self, entry):
        """Return whether other targets have to be full before this one is used."""
        health = self.of(entry.target.name)
        if not health.slow:
            return False
        # The others may have become as slow since its last answer.
        limit = self._slow_limit(entry.target)
        return limit is not None and health.latency > limit

    def take_trial(self, entry):
        """Return whether a request should try a slow target now, one at a time."""
        health, now = self.of(entry.target.name), self._clock.now()
        if now < health.trial_at:
            return False
        health.trial_at = now + TRIAL_INTERVAL
        return True

    def record_refusal(self, target):
        """Note that the target shed a request: offer it less for a moment."""
        entry = self._ledger.targets.get(target.name)
        if entry is not None:
            self._warm_up(entry)

    def record_failure(self, target, reason):
        """Note a failure of the target itself."""
        health = self.of(target.name)
        health.failures += 1
        now = self._clock.now()
        if health.failures < MAX_FAILURES or now < health.ejected_until:
            return
        if reason == "status" and not self._may_eject(target):
            return
        length = min(LONGEST_EJECTION, FIRST_EJECTION * 2**health.ejections)
        health.ejections += 1
        health.failures = 0
        health.ejected_until = now + uniform(0.8, 1.2) * length
        self._vm.journal.write(
            Event.TARGET_EJECTED,
            target=target.name,
            service=target.service,
            reason=reason,
            ejections=health.ejections,
            seconds=round(health.ejected_until - now, 3),
        )
        self.check(now)

    async def run(self):
        """Apply drains and ejections, and probe each homed target."""
        probed_at = {}
        async with TaskGroup() as group:
            while True:
                now = self._clock.now()
                self.check(now)
                for name, entry in list(self._ledger.targets.items()):
                    if probed_at.get(name, 0.0) + PROBE_INTERVAL <= now:
                        probed_at[name] = now
                        await group.spawn(self._probe, entry.target, daemon=True)
                await sleep(CHECK_INTERVAL)

    def check(self, now):
        """Block the targets that take no new work now, and unblock the others."""
        text = self._vm.text
        if text is None:
            return
        wall = self._clock.wall()
        for entry in self._ledger.targets.values():
            self._set_blocked(entry, self._reason(entry, text, now, wall))

    def _judge_speed(self, target, health, seconds):
        """Note whether a target is slow, from its answers and the last one."""
        limit = self._slow_limit(target)
        if limit is None:
            health.slow = False
        elif health.slow and seconds <= limit:
            # What it took before the last answer says nothing of it now.
            health.slow, health.latency = False, seconds
            entry = self._ledger.targets.get(target.name)
            if entry is not None:
                self._warm_up(entry)
            self._log_speed(Event.TARGET_FAST, target, seconds, limit)
        elif not health.slow and health.latency > limit:
            health.slow, health.trial_at = True, self._clock.now() + TRIAL_INTERVAL
            self._log_speed(Event.TARGET_SLOW, target, health.latency, limit)

    def _slow_limit(self, target):
        """Return the seconds beyond which answers are slow, or ``None``."""
        latencies = [
            self.of(entry.target.name).latency
            for entry in self._ledger.of_service(target.service)
            if entry.target.name != target.name and not entry.blocked
        ]
        fastest = min((each for each in latencies if each), default=None)
        if fastest is None:
            return None
        return SLOW_FACTOR * fastest + SLOW_LEAST

    def _log_speed(self, event, target, seconds, limit):
        self._vm.journal.write(
            event,
            target=target.name,
            service=target.service,
            seconds=round(seconds, 4),
            limit=round(limit, 4),
        )

    def _reason(self, entry, text, now, wall):
        drain = text.find_drain(entry.target, wall)
        if drain is not None:
            return f"drain {drain.id}"
        health = self.of(entry.target.name)
        if now < health.ejected_until:
            return "ejected"
        if health.probe_state != "ready":
            return health.probe_state
        recent = now - health.answered_at < PROBE_INTERVAL
        if health.silent_probes >= MAX_SILENT_PROBES and not recent:
            return "unreachable"
        return None

    def _set_blocked(self, entry, reason):
        if entry.blocked == reason:
            return
        came_back = reason is None and not entry.blocked.startswith("drain")
        name, before_, entry.blocked = entry.target.name, entry.blocked, reason
        if came_back:
            self._warm_up(entry)
        event = Event.TARGET_RETURNED if reason is None else Event.TARGET_DRAINING
        self._vm.journal.write(event, target=name, reason=reason, before=before_)

    def _warm_up(self, entry):
        service = self._vm.text.services.get(entry.target.service)
        seconds = max(MIN_WARM_UP, service.warm_up if service else 0.0)
        entry.start_warm_up(self._clock.now(), seconds)

    def _may_eject(self, target):
        """Return whether half of the service's homed targets stay in service.

        Answers that fail everywhere point to the requests, not to the targets.
        """
        entries = self._ledger.of_service(target.service)
        blocked = sum(1 for entry in entries if entry.blocked)
        return len(entries) == 1 or (blocked + 1) * 2 <= len(entries)

    async def _probe(self, target):
        health = self.of(target.name)
        try:
            deadline = self._clock.now() + PROBE_TIMEOUT
            answer = await before(deadline, self._clock, self._ask(target, deadline))
            state = msgpack.unpackb(answer.body)["state"]
        except (TimeoutError, ValueError, KeyError, TypeError, *CONNECTION_ERRORS):
            health.silent_probes += 1
            return
        health.silent_probes = 0
        health.probe_state = state

    async def _ask(self, target, deadline):
        source = self._vm.settings.address
        stream = await connect(target.host, target.port, deadline, self._clock, source)
        try:
            return await exchange(stream, Message(path="/health"), MAX_PROBE_BYTES)
        finally:
            await stream.close()
