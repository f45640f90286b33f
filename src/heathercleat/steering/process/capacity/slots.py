"""Exact counts of the slots of the targets that this VM owns."""

from collections import deque
from statistics import median

from heathercleat.events import Event
from heathercleat.process.clock import DISTANT_PAST
from heathercleat.steering.process.capacity.health import TargetHealth

#: Seconds for which a target's own report of load from elsewhere is believed.
LOAD_REPORT_TTL_SECONDS = 0.4
#: Share of the allowed rate of a cold target that one owner uses: two VMs may be its
#: owners within one second, one after the other.
COLD_SHARE = 0.45
#: Window over which the rate of a cold target counts, in seconds.
COLD_WINDOW_SECONDS = 1.0

#: Share of a target's slots that must be free for requests whose object it does not
#: know: such a request holds its slot 3.4 times as long (0.26 s in place of 0.075 s,
#: measured on an overloaded deployment) and may push a known object out.
IDLE_SHARE = 0.5


def can_take_slot(entry, free, preferred):
    """Return whether a request may use one of the free slots of a target.

    :param entry: the :class:`TargetEntry`.
    :param preferred: ids of the targets that know its object; empty for any.
    """
    if not preferred or entry.id in preferred:
        return True
    return reaches_idle_share(entry, free)


def reaches_idle_share(entry, count):
    """Return whether so many slots are :data:`IDLE_SHARE` of a target's."""
    return count >= IDLE_SHARE * entry.slots


class SlotUse:
    """A request that occupies a slot of a target.

    :param deadline: instant at which it ends at the latest.
    """

    __slots__ = ("target", "started_at", "deadline")

    def __init__(self, target, started_at, deadline):
        self.target = target
        self.started_at = started_at
        self.deadline = deadline


class OwnedTarget:
    """A target whose slots this VM counts.

    :param entry: its :class:`TargetEntry`.
    :param cold_limit: requests within :data:`COLD_WINDOW_SECONDS` while cold, or
        ``None``.
    :param held: the :class:`HeldSlots`.
    """

    __slots__ = (
        "entry",
        "_held",
        "health",
        "uses",
        "cold_limit",
        "cold_until",
        "slow",
        "_recent",
        "_elsewhere",
        "_elsewhere_until",
    )

    def __init__(self, entry, cold_limit, cold_until, held):
        self.entry = entry
        self._held = held
        self.health = TargetHealth()
        self.uses = []
        self.cold_limit = cold_limit
        self.cold_until = cold_until
        self.slow = False
        self._recent = deque()
        self._elsewhere = 0
        self._elsewhere_until = 0.0

    def is_known(self, now):
        """Return whether the slots are counted here: they are."""
        return True

    def free(self, now):
        """Return how many more requests the target takes now."""
        elsewhere = self._held.count(self.entry.id, now)
        if now < self._elsewhere_until:
            elsewhere = max(elsewhere, self._elsewhere)
        free = self.limit(now) - len(self.uses) - elsewhere
        if now < self.cold_until and self.cold_limit is not None:
            free = min(free, self.cold_limit - self._count_recent(now))
        return max(0, free)

    def take(self, now, deadline=DISTANT_PAST):
        """Occupy a slot and return the :class:`SlotUse`.

        :param deadline: instant at which the request ends at the latest.
        """
        use = SlotUse(self, now, deadline)
        self.uses.append(use)
        self._recent.append(now)
        self._count_recent(now)
        return use

    def record_reported_load(self, running, waiting, now):
        """Take the target's own report of its load, to see requests of other VMs.

        It tells also of those of which the VM that sent them tells nothing, as one that
        is cut off from this one.
        """
        self._elsewhere = max(0, running + waiting - len(self.uses))
        self._elsewhere_until = now + LOAD_REPORT_TTL_SECONDS

    def limit(self, now):
        """Return how many requests the target should have at once now."""
        if now < self.health.ejected_until:
            return 0
        if self.uses and self.health.is_unresponsive(now, self.uses[0].started_at):
            return 0
        if self.health.is_half_open or self.slow:
            return 1
        return self.entry.slots

    def is_current(self, registry):
        """Return whether the target has not started again since it was owned here."""
        entry = registry.entry(self.entry.id)
        return entry is not None and entry.is_same_incarnation(self.entry)

    def _count_recent(self, now):
        while self._recent and self._recent[0] <= now - COLD_WINDOW_SECONDS:
            self._recent.popleft()
        return len(self._recent)


class SlotLedger:
    """All targets that this VM owns.

    :param owners: tells which they are.
    :param registry: the usable targets.
    :param services: returns the :class:`Service` of a name, or ``None``.
    :param bounds: the operators' :class:`Bounds`.
    :param held: the :class:`HeldSlots`.
    """

    def __init__(self, owners, registry, services, bounds, held, journal, clock):
        self._owners = owners
        self._registry = registry
        self._services = services
        self._bounds = bounds
        self._held = held
        self._journal = journal
        self._clock = clock
        self._owned = {}
        # Targets owned earlier: one that comes back, as it does when many targets come
        # and go, still has its requests under way and its rate while cold.
        self._former = {}
        self._successors = set()
        self._by_service = {}
        self._stale = True
        owners.on_change(self._mark_stale)

    def of_service(self, service):
        """Return the :class:`OwnedTarget` objects of a service."""
        self._refresh()
        return self._by_service.get(service, ())

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
        """Yield each target with requests from here that another VM owns now.

        With it come the name of that VM, the number of requests, and the instant at
        which the last of them ends at the latest.
        """
        self._refresh()
        for target_id, target in self._former.items():
            owner = self._owners.of(target_id) if target.uses else None
            if owner is not None and target.is_current(self._registry):
                deadline = max(use.deadline for use in target.uses)
                yield target_id, owner, len(target.uses), deadline

    def new_owners(self):
        """Return the names of the VMs that own targets with requests from here."""
        return {owner for _, owner, _, _ in self.handed_over_targets()}

    def pop_new_owners(self):
        """Return the names of the VMs that took targets over since the last call."""
        self._refresh()
        successors, self._successors = self._successors, set()
        return successors

    def release(self, use):
        """Free the slot of a use."""
        if use in use.target.uses:
            use.target.uses.remove(use)

    def update_slow_targets(self):
        """Note which targets are much slower than the others of their service."""
        for targets in self._by_service.values():
            latencies = [each.health.latency for each in targets if each.health.latency]
            middle = median(latencies) if len(latencies) > 1 else 0.0
            for each in targets:
                self._set_slow(each, bool(middle) and each.health.is_slow(middle))

    def _set_slow(self, target, slow):
        if slow == target.slow:
            return
        target.slow = slow
        event = Event.TARGET_SLOW if slow else Event.TARGET_FAST
        self._journal.write(
            event, target=target.entry.id, seconds=round(target.health.latency, 4)
        )

    def _mark_stale(self):
        self._stale = True

    def _refresh(self):
        if not self._stale:
            return
        self._stale = False
        owned = {}
        for target_id in self._owners.owned():
            entry = self._registry.get(target_id)
            if entry is not None:
                owned[target_id] = self._keep(entry)
        for target_id in owned.keys() - self._owned.keys():
            self._held.add_target(target_id, self._owners.before(target_id))
            self._journal.write(Event.HOME_ADOPTED, target=target_id)
        for target_id in self._owned.keys() - owned.keys():
            self._journal.write(Event.HOME_HANDED_OVER, target=target_id)
            self._former[target_id] = self._owned[target_id]
            self._successors.add(self._owners.of(target_id))
        self._former = {
            target_id: target
            for target_id, target in self._former.items()
            if target_id not in owned and self._registry.knows(target_id)
        }
        self._owned = owned
        self._by_service = {}
        for each in owned.values():
            self._by_service.setdefault(each.entry.service, []).append(each)

    def _keep(self, entry):
        cold_until = self._registry.cold_until(entry.id)
        target = self._owned.get(entry.id) or self._former.get(entry.id)
        if target is None or not target.entry.is_same_incarnation(entry):
            limit = self._cold_limit(entry)
            return OwnedTarget(entry, limit, cold_until, self._held)
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
