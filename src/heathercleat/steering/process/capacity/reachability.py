"""Detects that this VM is partitioned from all targets.

To this VM the partition looks as if each target had failed by itself. Other VMs may
still reach the targets, so that this VM must not own any, and must not take broken
connections for crashes.
"""

from random import sample

from curio import Event as Signal
from curio import TaskGroup, sleep

from heathercleat.connection.http import with_deadline
from heathercleat.events import Event
from heathercleat.steering.process.capacity.crash_detector import (
    CONNECT_TIMEOUT_SECONDS,
)

#: Number of targets whose connections have to fail within ``FAILURE_SECONDS`` for a
#: check of the others.
FAILED_TARGETS_TO_CHECK = 2
FAILURE_SECONDS = 2.0
#: Maximum targets to which a check connects; more of them than usually fail together.
CHECKED_TARGETS = 6
#: Seconds between two checks while no target is reachable, and for which the result of
#: a check counts.
CHECK_INTERVAL_SECONDS = 0.5


class TargetReachability:
    """Checks whether any target accepts connections of this VM.

    :param registry: the :class:`TargetRegistry`.
    :param members: the :class:`Members`, which tell other VMs the result.
    :param pool: the connection pool for targets.
    :param journal: where changes are logged.
    """

    def __init__(self, registry, members, pool, journal, clock):
        self._registry = registry
        self._members = members
        self._pool = pool
        self._journal = journal
        self._clock = clock
        # By target id: instant until which its last failure counts.
        self._failed_until = {}
        self._has_suspicion = Signal()
        self._is_reachable = True
        self._result_valid_until = 0.0

    async def record_failure(self, target_id):
        """Record that a connection to a target could not be opened, or broke."""
        now = self._clock.now()
        self._failed_until[target_id] = now + FAILURE_SECONDS
        self._drop_expired_failures()
        if len(self._failed_until) >= FAILED_TARGETS_TO_CHECK:
            await self._has_suspicion.set()

    async def is_any_reachable(self):
        """Return whether a target accepts connections; the result may be 0.5 s old."""
        if self._clock.now() >= self._result_valid_until:
            await self._check()
        return self._is_reachable

    async def run(self):
        """Check for reachable targets whenever connections fail, until cancelled."""
        while True:
            await self._has_suspicion.wait()
            self._has_suspicion.clear()
            await self._check()
            await sleep(CHECK_INTERVAL_SECONDS)

    async def _check(self):
        self._is_reachable = await self._connects_to_any(self._select_targets())
        self._result_valid_until = self._clock.now() + CHECK_INTERVAL_SECONDS
        is_lost = not self._is_reachable
        if is_lost:
            await self._has_suspicion.set()
        if self._members.own.targets_lost == is_lost:
            return
        event = Event.TARGETS_UNREACHABLE if is_lost else Event.TARGETS_REACHABLE
        self._journal.write(event, failed=len(self._failed_until))
        self._members.set_targets_lost(is_lost)

    def _select_targets(self):
        """Return entries to check, those without a recent failure first."""
        self._drop_expired_failures()
        entries = list(self._registry.usable())
        entries = sample(entries, len(entries))
        entries.sort(key=lambda each: each.id in self._failed_until)
        return entries[:CHECKED_TARGETS]

    async def _connects_to_any(self, entries):
        """Return whether one of some targets accepts a connection; true for none."""
        if not entries:
            return True
        # Ends with the first result other than None.
        async with TaskGroup(wait=object) as group:
            for entry in entries:
                await group.spawn(self._connect, entry)
        return group.completed is not None

    async def _connect(self, entry):
        """Return ``True`` if a target accepts a connection, otherwise ``None``."""
        deadline = self._clock.now() + CONNECT_TIMEOUT_SECONDS
        opening = self._pool.checkout(entry.host, entry.port, fresh=True)
        try:
            stream = await with_deadline(deadline, self._clock, opening)
        except (OSError, TimeoutError):
            return None
        await self._pool.discard(entry.host, entry.port, stream)
        return True

    def _drop_expired_failures(self):
        now = self._clock.now()
        self._failed_until = {
            target_id: until
            for target_id, until in self._failed_until.items()
            if until > now
        }
