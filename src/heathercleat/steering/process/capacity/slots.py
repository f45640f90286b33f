"""The targets that this VM owns, and who may use their slots."""

from statistics import median

from heathercleat.events import Event
from heathercleat.steering.process.capacity.owned_target import OwnedTarget

#: Share of a cold target's allowed rate that one owner uses; below one half, since the
#: owner may change within a window.
COLD_SHARE = 0.45
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
