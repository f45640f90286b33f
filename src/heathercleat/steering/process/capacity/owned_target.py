"""A target whose slots this VM counts."""

from collections import deque

from heathercleat.process.clock import DISTANT_PAST
from heathercleat.steering.process.capacity.health import TargetHealth
from heathercleat.steering.process.capacity.machine_speed import MachineSpeed
from heathercleat.steering.process.capacity.pacer import OVERDRAFT_FACTOR, Pacer

#: Seconds for which a target's own report of its load is valid.
LOAD_REPORT_TTL_SECONDS = 0.4
#: Length of the window for the rate of a cold target, in seconds.
COLD_WINDOW_SECONDS = 1.0
#: Rejection rate from which a limited target gets no more than its limit.
MAX_OVERDRAFT_REJECTIONS = 0.05
#: Assumed response time of a target in seconds, until measured.
INITIAL_RUN_SECONDS = 0.2


class SlotUse:
    """A request that holds a slot of a target.

    :param deadline: instant at which the request ends at the latest.
    :ivar user: the rank and the workspace of the request, see :class:`ShareUsage`;
        ``None`` until set.
    """

    __slots__ = ("target", "started_at", "deadline", "user")

    def __init__(self, target, started_at, deadline):
        self.target = target
        self.started_at = started_at
        self.deadline = deadline
        self.user = None


class OwnedTarget:
    """A target whose slots this VM counts.

    :param entry: its :class:`TargetEntry`.
    :param cold_limit: maximum number of requests per window while the target is cold,
        or ``None``.
    :param held_slots: the :class:`HeldSlots`.
    :param notices: the :class:`Notices`.
    """

    __slots__ = (
        "entry",
        "_held_slots",
        "_notices",
        "_pacer",
        "health",
        "speed",
        "uses",
        "cold_limit",
        "cold_until",
        "is_slow",
        "_recent_claims",
        "_other_load",
        "_other_load_until",
    )

    def __init__(self, entry, cold_limit, cold_until, held_slots, notices):
        self.entry = entry
        self._held_slots = held_slots
        self._notices = notices
        self._pacer = Pacer()
        self.health = TargetHealth()
        self.speed = MachineSpeed()
        self.uses = []
        self.cold_limit = cold_limit
        self.cold_until = cold_until
        self.is_slow = False
        self._recent_claims = deque()
        self._other_load = 0
        self._other_load_until = 0.0

    @property
    def rate(self):
        """Return the requests per second that the target accepts, or ``None``."""
        return self._notices.rate(self.entry.incarnation_id)

    @property
    def closed_until(self):
        """Return the instant until which the target asks for no requests."""
        return self._notices.closed_until(self.entry.incarnation_id)

    def is_known(self, now):
        """Return ``True``: the slots are counted here."""
        return True

    def free(self, now):
        """Return the number of free slots."""
        free = self._unpaced_free(now)
        if self.rate is None:
            return free
        return min(free, self._pacer.available(self.rate, now))

    def slowdown(self, now):
        """Return the factor by which work takes longer on its machine now."""
        return self.speed.slowdown(now)

    def overdraft(self, now):
        """Return the number of slots that are free for requests that have waited.

        A target with a limited rate gets more than it asks for in place of a refusal,
        unless it turns requests away.
        """
        if self.rate is None or self.health.rejection_rate > MAX_OVERDRAFT_REJECTIONS:
            return self.free(now)
        overdraft = self._pacer.available_to_waiting(self.rate, now)
        return min(self._unpaced_free(now), overdraft)

    def claim(self, now, deadline=DISTANT_PAST):
        """Claim a slot and return the :class:`SlotUse`.

        :param deadline: instant at which the request ends at the latest.
        """
        use = SlotUse(self, now, deadline)
        self.uses.append(use)
        self._recent_claims.append(now)
        self._count_recent_claims(now)
        if self.rate is not None:
            self._pacer.withdraw(self.rate, now)
        return use

    def record_reported_load(self, running, waiting, now):
        """Record the target's own report of its load.

        It includes requests of VMs from which this VM gets no heartbeats.
        """
        self._other_load = max(0, running + waiting - len(self.uses))
        self._other_load_until = now + LOAD_REPORT_TTL_SECONDS

    def record_response(self, head, now):
        """Record the headers of a response.

        :param head: its :class:`TargetResponseHead`.
        """
        if head.is_other_incarnation:
            return
        self._notices.record_response(self.entry, head)
        if head.running_count is not None:
            self.record_reported_load(head.running_count, head.waiting_count, now)
        if head.slowdown is not None:
            self.speed.record(head.slowdown, now)

    def record_rejection(self, head, started_at, usual_rate, may_eject, now):
        """Record a request that the target rejected; return whether it is ejected.

        The parameters are those of :meth:`TargetHealth.record_rejection`.
        """
        is_ejected = self.health.record_rejection(
            now, started_at, usual_rate, may_eject
        )
        if head.rest_seconds:
            self.health.probe_next()
        return is_ejected

    def accepts_requests(self, now):
        """Return whether the target accepts new requests."""
        return self.closed_until <= now

    def limit(self, now):
        """Return the maximum number of concurrent requests at the target now."""
        if self.rate is not None and not self._pacer.available(self.rate, now):
            return 0
        return self._slot_limit(now)

    def announced_limit(self, now):
        """Return the limit by which VMs choose the target for its objects.

        A half-open target counts as whole until its probe is sent, since a request has
        to show whether it has recovered. For a target with a limited rate, it is the
        number of slots that the rate fills.
        """
        if self.health.is_half_open:
            return self.entry.slots if self.free(now) else 0
        if self.rate is None:
            return self.limit(now)
        run_seconds = self.health.latency or INITIAL_RUN_SECONDS
        slots = self._slot_limit(now)
        return min(slots, max(1, round(self.rate * run_seconds)))

    def usable_slots(self, hold_seconds, now):
        """Return how many slots requests can use on average; may be a fraction.

        :param hold_seconds: mean time for which a request holds a slot.
        """
        slots = self._slot_limit(now)
        if self.rate is None:
            return slots
        return min(slots, OVERDRAFT_FACTOR * self.rate * hold_seconds)

    def _unpaced_free(self, now):
        """Return the number of free slots without a rate limit."""
        other_load = self._held_slots.count(self.entry.id, now)
        if now < self._other_load_until:
            other_load = max(other_load, self._other_load)
        free = self._slot_limit(now) - len(self.uses) - other_load
        if now < self.cold_until and self.cold_limit is not None:
            free = min(free, self.cold_limit - self._count_recent_claims(now))
        return max(0, free)

    def _slot_limit(self, now):
        """Return the maximum number of concurrent requests without a rate limit."""
        if not self.accepts_requests(now):
            return 0
        if now < self.health.ejected_until:
            return 0
        if self.uses and self.health.is_unresponsive(now, self.uses[0].started_at):
            return 0
        if self.health.is_half_open or self.is_slow:
            return 1
        return self.entry.slots

    def is_current(self, registry):
        """Return whether the registry has the same incarnation of the target."""
        entry = registry.entry(self.entry.id)
        return entry is not None and entry.is_same_incarnation(self.entry)

    def _count_recent_claims(self, now):
        while (
            self._recent_claims and self._recent_claims[0] <= now - COLD_WINDOW_SECONDS
        ):
            self._recent_claims.popleft()
        return len(self._recent_claims)
