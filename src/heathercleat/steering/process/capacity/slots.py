"""Slot counts of the targets that this VM owns."""

from collections import deque
from statistics import median

from heathercleat.events import Event
from heathercleat.process.clock import DISTANT_PAST
from heathercleat.steering.process.capacity.health import TargetHealth
from heathercleat.steering.process.capacity.pacer import OVERDRAFT_FACTOR, Pacer

#: Seconds for which a target's own report of its load is valid.
LOAD_REPORT_TTL_SECONDS = 0.4
#: Share of a cold target's allowed rate that one owner uses; below one half, since the
#: owner may change within a window.
COLD_SHARE = 0.45
#: Length of the window for the rate of a cold target, in seconds.
COLD_WINDOW_SECONDS = 1.0

#: Rejection rate from which a limited target gets no more than its limit.
MAX_OVERDRAFT_REJECTIONS = 0.05
#: Assumed response time of a target in seconds, until measured.
INITIAL_RUN_SECONDS = 0.2

#: Share of a target's slots that must be free for requests with another affinity
#: target: they hold a slot 3.4 times as long (0.26 s in place of 0.075 s on an
#: overloaded deployment), and may evict an object from the target's cache.
IDLE_SHARE = 0.5


def can_take_slot(entry, free, preferred):
    """Return whether a request may use one of the free slots of a target.

    :param entry: the :class:`TargetEntry`.
    :param free: number of its free slots.
    :param preferred: ids of the request's affinity targets; empty if it has none.
    """
    if not preferred or entry.id in preferred:
        return True
    return reaches_idle_share(entry, free)


def reaches_idle_share(entry, count):
    """Return whether ``count`` is at least :data:`IDLE_SHARE` of a target's slots."""
    return count >= IDLE_SHARE * entry.slots


class SlotUse:
    """A request that holds a slot of a target.

    :param deadline: instant at which the request ends at the latest.
    """

    __slots__ = ("target", "started_at", "deadline")

    def __init__(self, target, started_at, deadline):
        self.target = target
        self.started_at = started_at
        self.deadline = deadline


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
        if head.rest_seconds:
            self.health.probe_next()

    def accepts_requests(self, now):
        """Return whether the target has not asked for no requests."""
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


class SlotLedger:
    """All targets that this VM owns, and their slots.

    :param owners: the :class:`Owners`.
    :param registry: the :class:`TargetRegistry`.
    :param services: returns the :class:`Service` of a name, or ``None``.
    :param bounds: the operators' :class:`Bounds`.
    :param held_slots: the :class:`HeldSlots`.
    :param notices: the :class:`Notices`.
    """

    def __init__(
        self,
        owners,
        registry,
        services,
        bounds,
        held_slots,
        notices,
        journal,
        clock,
    ):
        self._owners = owners
        self._registry = registry
        self._services = services
        self._bounds = bounds
        self._held_slots = held_slots
        self._notices = notices
        self._journal = journal
        self._clock = clock
        self._owned = {}
        # Targets that this VM owned earlier. If it becomes their owner again, their
        # requests in progress and recent claims still count.
        self._former_targets = {}
        self._new_owners = set()
        self._by_service = {}
        self._is_stale = True
        owners.on_change(self._mark_stale)

    def of_service(self, service):
        """Return the :class:`OwnedTarget` objects of a service."""
        self._refresh()
        return self._by_service.get(service, ())

    def usual_rejection_rate(self, target):
        """Return the median rejection rate of the other targets of a service.

        0 if this VM owns no other target of the service.
        """
        others = [
            each.health.rejection_rate
            for each in self.of_service(target.entry.service)
            if each is not target
        ]
        return median(others) if others else 0.0

    def services(self):
        """Return the names of the services with owned targets."""
        self._refresh()
        return self._by_service.keys()

    def all(self):
        """Return every owned target."""
        self._refresh()
        return self._owned.values()

    def get(self, target_id):
        """Return the :class:`OwnedTarget` of that id, or ``None``."""
        self._refresh()
        return self._owned.get(target_id)

    def handed_over_targets(self):
        """Yield the targets of other VMs on which requests of this VM still run.

        Each item is a tuple of target id, owner, number of requests and their latest
        deadline.
        """
        self._refresh()
        for target_id, target in self._former_targets.items():
            owner = self._owners.owner_of(target_id) if target.uses else None
            if owner is not None and target.is_current(self._registry):
                deadline = max(use.deadline for use in target.uses)
                yield target_id, owner, len(target.uses), deadline

    def new_owners(self):
        """Return the owners of :meth:`handed_over_targets`."""
        return {owner for _, owner, _, _ in self.handed_over_targets()}

    def pop_new_owners(self):
        """Return the VMs that took over targets of this VM since the last call."""
        self._refresh()
        popped, self._new_owners = self._new_owners, set()
        return popped

    def release(self, use):
        """Release the slot of a use; does nothing if it was released before."""
        if use in use.target.uses:
            use.target.uses.remove(use)

    def update_slow_targets(self):
        """Update which targets are much slower than the others of their service."""
        for targets in self._by_service.values():
            latencies = [each.health.latency for each in targets if each.health.latency]
            median_latency = median(latencies) if len(latencies) > 1 else 0.0
            for each in targets:
                self._set_slow(
                    each, bool(median_latency) and each.health.is_slow(median_latency)
                )

    def _set_slow(self, target, slow):
        if slow == target.is_slow:
            return
        target.is_slow = slow
        event = Event.TARGET_SLOW if slow else Event.TARGET_FAST
        self._journal.write(
            event, target=target.entry.id, seconds=round(target.health.latency, 4)
        )

    def _mark_stale(self):
        self._is_stale = True

    def _refresh(self):
        if not self._is_stale:
            return
        self._is_stale = False
        owned = {}
        for target_id in self._owners.owned():
            entry = self._registry.get(target_id)
            if entry is not None:
                owned[target_id] = self._owned_target(entry)
        for target_id in owned.keys() - self._owned.keys():
            self._held_slots.add_target(
                target_id, self._owners.previous_owner_of(target_id)
            )
            self._journal.write(Event.HOME_ADOPTED, target=target_id)
        for target_id in self._owned.keys() - owned.keys():
            self._journal.write(Event.HOME_HANDED_OVER, target=target_id)
            self._former_targets[target_id] = self._owned[target_id]
            self._new_owners.add(self._owners.owner_of(target_id))
        self._former_targets = {
            target_id: target
            for target_id, target in self._former_targets.items()
            if target_id not in owned and self._registry.contains(target_id)
        }
        self._owned = owned
        self._by_service = {}
        for each in owned.values():
            self._by_service.setdefault(each.entry.service, []).append(each)

    def _owned_target(self, entry):
        cold_until = self._registry.cold_until(entry.id)
        target = self._owned.get(entry.id) or self._former_targets.get(entry.id)
        if target is None or not target.entry.is_same_incarnation(entry):
            limit = self._cold_limit(entry)
            return OwnedTarget(
                entry, limit, cold_until, self._held_slots, self._notices
            )
        target.entry = entry
        target.cold_until = max(target.cold_until, cold_until)
        return target

    def _cold_limit(self, entry):
        service = self._services(entry.service)
        if service is None or service.cold_requests_per_second is None:
            return None
        allowed = (
            service.cold_requests_per_second * self._bounds.cold_factor
            + self._bounds.cold_slack
        )
        return max(1, int(COLD_SHARE * allowed))
