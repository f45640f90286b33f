"""Where a request may be tried next, the best place first."""

from heathercleat.steering.process.slots import is_open
from heathercleat.version.hashing import weight

#: Bytes of a body from which a target in the own failure domain goes before one that
#: knows the object: crossing twice with a larger body costs more than the work saved.
LARGE_BODY = 16 << 10
#: Targets of a region that get the requests for one object while they have room. Each
#: more one has to learn the object first: with one in place of two, the worth of served
#: requests rose from 0.27 to 0.28 and from 0.29 to 0.32 on two overloaded days, and
#: from 0.46 to 0.50 at 80 VMs.
HOMES_OF_OBJECT = 1
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

    :param candidates: the :class:`Candidates`.
    :param members: the live VMs.
    :param rooms: what other VMs' clients lose.
    :param shift: the :class:`ShiftLimit`.
    :param trip: returns the round trip to a VM in seconds.
    :param work_times: the :class:`WorkTimes`.
    :param pressure: what this VM's clients lose, a :class:`Pressure`.
    """

    def __init__(
        self, candidates, members, rooms, shift, trip, work_times, pressure, clock
    ):
        self._candidates = candidates
        self._members = members
        self._rooms = rooms
        self._shift = shift
        self._trip = trip
        self._work_times = work_times
        self._pressure = pressure
        self._clock = clock

    def free(self, call, avoid, avoid_vms):
        """Return the best :class:`Place` with a free slot, or ``None``."""
        near, far = self._candidates.split(call, avoid, avoid_vms)
        if self._shift.must_move():
            return self._best_far(call, far, 0.0) or self._best_near(call, near)
        found = self._best_near(call, near)
        if found is not None:
            return found
        if not far or not self._shift.may_move():
            return None
        return self._best_far(call, far, self._near_wait(call))

    def waiting(self, call, avoid, avoid_vms):
        """Return the :class:`Place` of this region to wait at, or ``None``.

        It is the one with the shortest wait among the owners of targets that know the
        object. The wait is ``None`` where an owner's targets are all out of service.
        """
        near, _ = self._candidates.split(call, avoid, avoid_vms)
        patience = call.patient_until - self._clock.now()
        return self._shortest_wait(call, near, patience, False)

    def relief(self, call, avoid, avoid_vms):
        """Return the :class:`Place` to wait at where clients lose less, or ``None``.

        It lies in another region, which can answer in time and whose own clients lose
        less of their worth than those of this region. A large body stays: to carry it
        between regions costs more than a late answer loses.
        """
        if len(call.body) >= LARGE_BODY or not self._shift.may_move():
            return None
        _, far = self._candidates.split(call, avoid, avoid_vms)
        losses = {region: self._region_loss(region, call.service) for region in far}
        least = min(losses, key=losses.get, default=None)
        if least is None:
            return None
        own_loss = self._region_loss(self._members.own.region, call.service)
        if own_loss - losses[least] < LEAST_RELIEF:
            return None
        in_time = [each for each in far[least] if self._is_in_time(call, each.owner)]
        return self._shortest_wait(call, in_time, FAR_WAIT, True)

    def expected_wait(self, call):
        """Return the shortest known wait in this region in seconds, or ``None``."""
        return self._candidates.shortest_wait(call)

    def describe(self, call):
        """Return what is known of the targets that may run a request, for the log."""
        return self._candidates.describe(call)

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
        for each in candidates:
            if preferred and each.entry.id not in preferred:
                continue
            if self._is_hopeless(each.owner, call.service, patience):
                continue
            cost = self._waiting_cost(call, each.owner)
            if cost is not None:
                costs[each.owner] = cost
        if not costs:
            return None
        return Place(min(costs, key=costs.get), None, preferred, remote)

    def _is_hopeless(self, owner, service, patience):
        """Return whether no slot will come free in time, by an old report."""
        wait = self._candidates.wait(owner, service)
        return wait is not None and wait > HOPELESS_FACTOR * patience

    def _waiting_cost(self, call, owner):
        """Return the seconds that waiting at an owner costs, or ``None``."""
        wait = self._candidates.wait(owner, call.service)
        if wait is None or owner == self._members.own.vm:
            return wait
        return wait + FORWARD_COST

    def _best_near(self, call, near):
        preferred = self._preferred(call, near)
        free = [
            each
            for each in near
            if each.free and is_open(each.entry, each.free, preferred)
        ]
        if not free:
            return None
        if len(call.body) >= LARGE_BODY:
            here = self._members.own.failure_domain
            free = [each for each in free if each.entry.failure_domain == here] or free
        return self._place(free, preferred, False)

    def _place(self, free, preferred, remote):
        """Return the :class:`Place` of the best free target of a region."""
        best = min(free, key=lambda each: self._order(each, preferred))
        target = best.entry.id
        return Place(best.owner, target, preferred or (target,), remote)

    def _preferred(self, call, candidates):
        """Return the ids of the targets that know the object, the best first."""
        if call.affinity is None or not call.route.sticky:
            return ()
        ranked = sorted(
            (each.entry.id for each in candidates if each.sound),
            key=lambda target_id: weight(call.affinity, target_id),
            reverse=True,
        )
        return tuple(ranked[:HOMES_OF_OBJECT])

    def _order(self, candidate, preferred):
        """Return the order among free targets, the lowest first."""
        entry = candidate.entry
        known = len(preferred)
        if entry.id in preferred:
            known = preferred.index(entry.id)
        elsewhere = candidate.owner != self._members.own.vm
        return known, elsewhere, -candidate.free / entry.slots

    def _best_far(self, call, far, near_wait):
        """Return the :class:`Place` in the region with the most room, or ``None``.

        :param far: the candidates of other regions, by region.
        :param near_wait: seconds that the request would wait in this region.
        """
        best, known, most = None, (), 0.0
        for candidates in far.values():
            slots = sum(each.entry.slots for each in candidates)
            room = sum(each.free for each in candidates) - RESERVED_SHARE * slots
            preferred = self._preferred(call, candidates)
            useful = [
                each
                for each in candidates
                if is_open(each.entry, each.free, preferred)
                and self._helps(call, each, near_wait)
            ]
            if room > most and useful:
                best, known, most = useful, preferred, room
        return None if best is None else self._place(best, known, True)

    def _helps(self, call, candidate, near_wait):
        """Return whether a request is answered in time there, or sooner than here."""
        if candidate.free <= 0:
            return False
        owner = candidate.owner
        return self._is_in_time(call, owner) or self._trip(owner) < near_wait

    def _is_in_time(self, call, owner):
        """Return whether a request is in time through an owner that has room."""
        expected = self._trip(owner) + self._work_times.of(call.route.name)
        return self._clock.now() + expected <= call.aim_at

    def _near_wait(self, call):
        """Return the shortest wait in this region; infinite where there is none."""
        wait = self.expected_wait(call)
        return float("inf") if wait is None else wait
