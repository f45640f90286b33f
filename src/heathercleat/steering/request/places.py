"""Where a request may be tried next, the best place first."""

from heathercleat.version.hashing import weight

#: Bytes of a body from which a target in the own failure domain goes before one that
#: knows the object: crossing twice with a larger body costs more than the work saved.
LARGE_BODY = 16 << 10
#: Targets of a region that get the requests for one object as long as they have room:
#: with one, popular objects overload it; with many, each target sees every object and
#: keeps none.
HOMES_OF_OBJECT = 3
#: Part of the work time that a target loses which does not know the object.
UNKNOWN_COST = 0.5
#: A request is refused at once where the reported wait is so many times its patience:
#: forwarding it in vain would cost both VMs 1.2 ms of processor time.
HOPELESS_FACTOR = 2.0
#: Difference between what two regions' clients lose from which requests of the worse
#: one wait in the better one: below it the means are noise.
LEAST_RELIEF = 0.08
#: Wait in seconds at an owner in another region beyond which its report leaves no hope.
FAR_WAIT = 0.1
#: Part of a region's slots that stay free for its own clients when others ask.
RESERVED_SHARE = 0.15
#: Seconds of waiting that are worth it to stay here: a forwarded request crosses the
#: network twice, with its body, and its report of the wait is old.
FORWARD_COST = 0.03


class Place:
    """A target with a free slot, or a VM to wait at when ``target`` is ``None``.

    :param vm: name of the owner.
    :param preferred: ids of the targets of the region that know the object of the
        request, the best first.
    :param remote: whether it lies in another region.
    """

    __slots__ = ("vm", "target", "preferred", "remote")

    def __init__(self, vm, target, preferred, remote):
        self.vm = vm
        self.target = target
        self.preferred = preferred
        self.remote = remote


class Places:
    """Finds places for requests.

    :param members: the live VMs.
    :param registry: the usable targets.
    :param owners: the owner of each target.
    :param ledger: the free slots of own targets.
    :param admission: the waits at own targets.
    :param rooms: what is believed of other owners' targets.
    :param shift: the :class:`ShiftLimit`.
    :param trip: returns the round trip to a VM in seconds.
    :param work_times: the :class:`WorkTimes`.
    :param pressure: what this VM's clients lose, a :class:`Pressure`.
    """

    def __init__(
        self,
        members,
        registry,
        owners,
        ledger,
        admission,
        rooms,
        shift,
        trip,
        work_times,
        pressure,
        clock,
    ):
        self._members = members
        self._registry = registry
        self._owners = owners
        self._ledger = ledger
        self._admission = admission
        self._rooms = rooms
        self._shift = shift
        self._trip = trip
        self._work_times = work_times
        self._pressure = pressure
        self._clock = clock

    def free(self, call, avoid, avoid_vms):
        """Return the best :class:`Place` with a free slot, or ``None``."""
        now = self._clock.now()
        near, far = [], []
        for entry, owner in self._candidates(call, avoid, avoid_vms):
            free = self._free(entry, owner, now)
            if self._is_near(entry):
                near.append((entry, owner, free))
            else:
                far.append((entry, owner, free))
        if self._shift.must_move():
            return self._best_far(call, far, 0.0) or self._best_near(call, near)
        found = self._best_near(call, near)
        if found is not None:
            return found
        if not far or not self._shift.may_move():
            return None
        return self._best_far(call, far, self._near_wait(call, near))

    def waiting(self, call, avoid, avoid_vms):
        """Return the :class:`Place` of this region to wait at, or ``None``.

        It is the one with the shortest wait, where a target that does not know the
        object counts as a longer one. The wait is ``None`` where an owner's targets are
        all out of service.
        """
        near = [
            (entry, owner, 0)
            for entry, owner in self._candidates(call, avoid, avoid_vms)
            if self._is_near(entry)
        ]
        patience = call.patient_until - self._clock.now()
        return self._shortest_wait(call, near, patience, False)

    def relief(self, call, avoid, avoid_vms):
        """Return the :class:`Place` to wait at where clients lose less, or ``None``.

        It lies in another region, which can answer in time and whose own clients lose
        less of their worth than those of this region.
        """
        if not self._shift.may_move():
            return None
        own_loss = self._region_loss(self._members.own.region, call.service)
        regions = {}
        for entry, owner in self._candidates(call, avoid, avoid_vms):
            if not self._is_near(entry) and self._is_in_time(call, owner):
                region = self._members.region_of(entry.failure_domain)
                regions.setdefault(region, []).append((entry, owner, 0))
        losses = {each: self._region_loss(each, call.service) for each in regions}
        least = min(losses, key=losses.get, default=None)
        if least is None or own_loss - losses[least] < LEAST_RELIEF:
            return None
        return self._shortest_wait(call, regions[least], FAR_WAIT, True)

    def _region_loss(self, region, service):
        """Return the mean loss of the clients of a region's VMs."""
        own = self._members.own.vm
        losses = [
            self._pressure.lost(service)
            if member.vm == own
            else self._rooms.loss(member.vm, service)
            for member in self._members.serving()
            if member.region == region
        ]
        return sum(losses) / len(losses) if losses else 1.0

    def _shortest_wait(self, call, candidates, patience, remote):
        """Return the :class:`Place` to wait at among candidates, or ``None``."""
        preferred = self._preferred(call, candidates)
        costs = {}
        for entry, owner, _ in candidates:
            if self._is_hopeless(owner, call.service, patience):
                continue
            cost = self._waiting_cost(call, entry, owner, preferred)
            if cost is not None:
                costs[owner] = min(cost, costs.get(owner, cost))
        if not costs:
            return None
        return Place(min(costs, key=costs.get), None, preferred, remote)

    def _is_hopeless(self, owner, service, patience):
        """Return whether no slot will come free in time, by an old report."""
        wait = self._wait(owner, service)
        return wait is not None and wait > HOPELESS_FACTOR * patience

    def _waiting_cost(self, call, entry, owner, preferred):
        """Return the seconds that waiting at an owner costs, or ``None``."""
        wait = self._wait(owner, call.service)
        if wait is None:
            return None
        if owner != self._members.own.vm:
            wait += FORWARD_COST
        if preferred and entry.id not in preferred:
            wait += UNKNOWN_COST * self._work_times.of(call.route.name)
        return wait

    def expected_wait(self, call):
        """Return the shortest known wait in this region in seconds, or ``None``."""
        waits = [
            self._wait(vm, call.service) for vm in self._near_owners(call, frozenset())
        ]
        return min((each for each in waits if each is not None), default=None)

    def allowed_target_exists(self, call):
        """Return whether any usable target may run the request."""
        return any(True for _ in self._candidates(call, frozenset(), frozenset()))

    def _candidates(self, call, avoid, avoid_vms):
        """Yield each allowed target and its owner."""
        for entry in self._registry.of_service(call.service):
            if entry.id in avoid:
                continue
            if not call.route.allows(self._members.region_of(entry.failure_domain)):
                continue
            owner = self._owners.of(entry.id)
            if owner is None or owner in avoid_vms:
                continue
            member = self._members.live(owner)
            if member is not None and self._may_carry(call, member):
                yield entry, owner

    def _may_carry(self, call, member):
        """Return whether a request's body may pass through a VM."""
        own_region = self._members.own.region
        return member.region == own_region or call.route.allows(member.region)

    def _free(self, entry, owner, now):
        if owner == self._members.own.vm:
            return self._ledger.free(entry.id, now)
        return self._rooms.free(entry.id, owner)

    def _is_near(self, entry):
        region = self._members.region_of(entry.failure_domain)
        return region == self._members.own.region

    def _best_near(self, call, near):
        free = [each for each in near if each[2] > 0]
        if not free:
            return None
        if len(call.body) >= LARGE_BODY:
            here = self._members.own.failure_domain
            free = [each for each in free if each[0].failure_domain == here] or free
        return self._place(call, near, free, False)

    def _place(self, call, candidates, free, remote):
        """Return the :class:`Place` of the best free target of a region."""
        preferred = self._preferred(call, candidates)
        entry, owner, _ = min(free, key=lambda each: self._order(each, preferred))
        return Place(owner, entry.id, preferred or (entry.id,), remote)

    def _preferred(self, call, candidates):
        """Return the ids of the targets that know the object, the best first."""
        if call.affinity is None or not call.route.sticky:
            return ()
        ranked = sorted(
            (entry.id for entry, _, _ in candidates),
            key=lambda target_id: weight(call.affinity, target_id),
            reverse=True,
        )
        return tuple(ranked[:HOMES_OF_OBJECT])

    def _order(self, candidate, preferred):
        """Return the order among free targets, the lowest first."""
        entry, owner, free = candidate
        known = len(preferred)
        if entry.id in preferred:
            known = preferred.index(entry.id)
        return known, owner != self._members.own.vm, -free / entry.slots

    def _best_far(self, call, far, near_wait):
        """Return the :class:`Place` in the region with the most room, or ``None``.

        :param near_wait: seconds that the request would wait in this region.
        """
        regions = {}
        for entry, owner, free in far:
            region = self._members.region_of(entry.failure_domain)
            regions.setdefault(region, []).append((entry, owner, free))
        best, region, most = None, None, 0.0
        for candidates in regions.values():
            slots = sum(each[0].slots for each in candidates)
            room = sum(each[2] for each in candidates) - RESERVED_SHARE * slots
            useful = [each for each in candidates if self._helps(call, each, near_wait)]
            if room > most and useful:
                best, region, most = useful, candidates, room
        if best is None:
            return None
        return self._place(call, region, best, True)

    def _helps(self, call, candidate, near_wait):
        """Return whether a request is answered in time there, or sooner than here."""
        _, owner, free = candidate
        if free <= 0:
            return False
        return self._is_in_time(call, owner) or self._trip(owner) < near_wait

    def _is_in_time(self, call, owner):
        """Return whether a request is in time through an owner that has room."""
        expected = self._trip(owner) + self._work_times.of(call.route.name)
        return self._clock.now() + expected <= call.aim_at

    def _near_wait(self, call, near):
        if not near:
            return float("inf")
        wait = self.expected_wait(call)
        return float("inf") if wait is None else wait

    def _near_owners(self, call, avoid_vms):
        owners = {
            owner
            for entry, owner in self._candidates(call, frozenset(), avoid_vms)
            if self._is_near(entry)
        }
        return owners

    def _wait(self, vm, service):
        if vm == self._members.own.vm:
            return self._admission.expected_wait(service)
        return self._rooms.wait(vm, service)
