"""Where a request may be tried next, the best place first."""

from random import random

from heathercleat.steering.process.capacity.slots import can_take_slot
from heathercleat.steering.request.affinity import AffinityTargets
from heathercleat.steering.request.eligibility import EligibleTargets

#: Bytes of a body from which a target in the own failure domain goes before one that
#: knows the object: crossing twice with a larger body costs more than the work saved.
LARGE_BODY_BYTES = 16 << 10
#: A request is refused at once where the reported wait is so many times its patience:
#: forwarding it in vain would cost both VMs 1.2 ms of processor time. A report is old
#: by half a heartbeat interval; between one and two times the owner itself decides.
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


class Destination:
    """A target with a free slot, or a VM to wait at when ``target`` is ``None``.

    :param vm: name of the owner.
    :param preferred: ids of the targets of the region that know the object of the
        request, the best first.
    :param remote: whether it lies in another region.
    :param is_home: whether the target is the home of the request's object: where it has
        no room after all, the request waits for it there.
    """

    __slots__ = ("vm", "target", "preferred", "remote", "is_home")

    def __init__(self, vm, target, preferred, remote, is_home=False):
        self.vm = vm
        self.target = target
        self.preferred = preferred
        self.remote = remote
        self.is_home = is_home


class DestinationSelector:
    """Finds places for requests.

    :param view: the :class:`TargetView`.
    :param members: the live VMs.
    :param estimates: the :class:`Estimates` of waits and times.
    :param losses: the :class:`RegionLossRates`.
    :param shift: the :class:`RegionShiftLimit`.
    """

    def __init__(self, view, members, estimates, losses, shift, clock):
        self._view = view
        self._members = members
        self._estimates = estimates
        self._homes = AffinityTargets(estimates)
        self._losses = losses
        self._shift = shift
        self._clock = clock

    def free(self, call, avoid, avoid_vms):
        """Return the best :class:`Destination` with a free slot, or ``None``."""
        choice = self._choice(call, avoid, avoid_vms)
        confined = self._confined(choice) if call.confined else None
        if confined is not None:
            return confined
        home = self._home(choice)
        if home is not None and home.may_have_room(choice.now):
            return self._at_home(home, home.candidate.entry.id)
        if home is not None and choice.waits_for_home:
            return None
        if self._shift.must_move():
            return self._best_far(choice, 0.0) or self._best_near(choice)
        found = self._best_near(choice)
        if found is not None or not self._shift.may_move():
            return found
        return self._best_far(choice, self._near_wait(choice))

    def _confined(self, choice):
        """Return the :class:`Destination` for a request that may end its target, or
        ``None``.

        It is one of a few targets of this region that runs no other request, and not
        the last one with room. Where there is none the request goes where any does: an
        end is no proof.
        """
        near, now = choice.near, choice.now
        if near is None:
            return None
        free = near.summary(now).free
        for each in near.confined:
            slots = each.entry.slots
            if (
                each.capacity.free(now) >= slots
                and free > slots
                and choice.usable(each)
            ):
                return Destination(each.owner, each.entry.id, (each.entry.id,), False)
        return None

    def waiting(self, call, avoid, avoid_vms):
        """Return the :class:`Destination` to wait at, or ``None``.

        It is the home of the object, or else the owner of this region with the shortest
        wait. The wait is ``None`` where an owner's targets are all out of service.
        """
        choice = self._choice(call, avoid, avoid_vms)
        patience = call.give_up_at - choice.now
        home = self._home(choice)
        if home is not None and self._has_hope(call, home, patience):
            return self._at_home(home)
        if choice.near is None:
            return None
        return self._shortest_wait(choice, choice.near, choice.usable, patience, False)

    def _home(self, choice):
        """Return the :class:`AffinityTarget` of the request's object, or ``None``."""
        return self._homes.of(choice, len(choice.call.body) >= LARGE_BODY_BYTES)

    def _at_home(self, home, target=None):
        owner = home.candidate.owner
        return Destination(owner, target, home.ids, home.remote, is_home=True)

    def _has_hope(self, call, home, patience):
        return self._waiting_cost(call, home.candidate.owner, patience) is not None

    def select_spillover(self, call, avoid, avoid_vms):
        """Return the :class:`Destination` to wait at where clients lose less, or
        ``None``.

        It lies in another region, which can answer in time and whose own clients lose
        less of their worth than those of this region. A large body stays: to carry it
        between regions costs more than a late answer loses. So does a request whose
        object has a home, which waits there.
        """
        if len(call.body) >= LARGE_BODY_BYTES or not self._shift.may_move():
            return None
        choice = self._choice(call, avoid, avoid_vms)
        if self._home(choice) is not None:
            return None
        service = call.service
        least = min(
            choice.far,
            key=lambda each: self._losses.of(each.region, service),
            default=None,
        )
        if least is None:
            return None
        own_loss = self._losses.of(self._members.own.region, service)
        if own_loss - self._losses.of(least.region, service) < LEAST_RELIEF:
            return None

        def in_time(candidate):
            return choice.usable(candidate) and self._estimates.is_in_time(
                call, candidate.owner, is_home=True
            )

        return self._shortest_wait(choice, least, in_time, FAR_WAIT, True)

    def expected_wait(self, call):
        """Return the shortest known wait in this region in seconds, or ``None``."""
        return self._known_wait(self._choice(call))

    def describe(self, call):
        """Return what is known of the targets that may run a request, for the log."""
        choice = self._choice(call)
        near = [choice.near] if choice.near else []
        parts = [_describe("here", near, choice.now)]
        parts.append(_describe("elsewhere", choice.far, choice.now))
        wait = self._known_wait(choice)
        parts.append("no wait known" if wait is None else f"wait {wait:.3f} s")
        return "; ".join(parts)

    def _choice(self, call, avoid=frozenset(), avoid_vms=frozenset()):
        regions = self._view.regions(call.service)
        own_region = self._members.own.region
        now = self._clock.now()
        return EligibleTargets(call, regions, own_region, avoid, avoid_vms, now)

    def _shortest_wait(self, choice, targets, usable, patience, remote):
        """Return the :class:`Destination` to wait at in a region, or ``None``.

        :param usable: returns whether a candidate may be used.
        """
        affinity_targets = choice.affinity_targets(targets, usable)
        candidates = affinity_targets or filter(usable, targets.candidates)
        costs = {}
        for owner in {each.owner for each in candidates}:
            cost = self._waiting_cost(choice.call, owner, patience)
            if cost is not None:
                costs[owner] = cost
        if not costs:
            return None
        # Chance decides between equals: owners that do not report here all are.
        owner = min(costs, key=lambda each: (costs[each], random()))
        return Destination(owner, None, _ids(affinity_targets), remote)

    def _waiting_cost(self, call, owner, patience):
        """Return the seconds that waiting at an owner costs; ``None`` without hope."""
        wait = self._estimates.wait(owner, call)
        if wait is None or wait > HOPELESS_FACTOR * patience:
            return None
        return wait if owner == self._members.own.vm else wait + FORWARD_COST

    def _best_near(self, choice):
        """Return the best :class:`Destination` of this region, or ``None``."""
        near = choice.near
        if near is None:
            return None
        affinity_targets = choice.near_homes
        if len(choice.call.body) < LARGE_BODY_BYTES:
            return self._best(choice, near, affinity_targets, choice.usable, False)
        here = self._members.own.failure_domain

        def beside(candidate):
            return candidate.entry.failure_domain == here and choice.usable(candidate)

        return self._best(choice, near, affinity_targets, beside, False) or self._best(
            choice, near, affinity_targets, choice.usable, False
        )

    def _best(self, choice, targets, affinity_targets, usable, remote):
        """Return the :class:`Destination` of the best free target of a region, or
        ``None``.

        A target that knows the object goes first; after it one that this VM owns, then
        the one with the largest part of its slots free.
        """
        now, known = choice.now, _ids(affinity_targets)
        for each in affinity_targets:
            # An owner that does not report here is tried: it answers at once.
            may_have_room = each.capacity.free(now) > 0 or not each.capacity.is_known(
                now
            )
            if may_have_room and usable(each):
                return Destination(each.owner, each.entry.id, known, remote)
        summary = targets.summary(now)
        if not (summary.idle if affinity_targets else summary.free):
            return None
        best = min(
            (
                each
                for each in targets.candidates
                if self._is_free(each, known, now) and usable(each)
            ),
            key=lambda each: self._order(each, now),
            default=None,
        )
        if best is None:
            return None
        target = best.entry.id
        return Destination(best.owner, target, known or (target,), remote)

    def _is_free(self, candidate, known, now):
        free = candidate.capacity.free(now)
        return free > 0 and can_take_slot(candidate.entry, free, known)

    def _order(self, candidate, now):
        """Return the order among free targets, the lowest first."""
        elsewhere = candidate.owner != self._members.own.vm
        return elsewhere, -candidate.capacity.free(now) / candidate.entry.slots

    def _known_wait(self, choice):
        """Return the shortest known wait in this region, or ``None``."""
        near = choice.near
        if near is None:
            return None
        return self._estimates.shortest_wait(near, choice.call)

    def _near_wait(self, choice):
        """Return the shortest wait in this region; infinite where there is none."""
        wait = self._known_wait(choice)
        return float("inf") if wait is None else wait

    def _best_far(self, choice, near_wait):
        """Return the :class:`Destination` in the region with the most room, or
        ``None``.

        :param near_wait: seconds that the request would wait in this region.
        """
        known = set()

        def helps(candidate):
            if not choice.usable(candidate):
                return False
            owner, is_home = candidate.owner, candidate.entry.id in known
            in_time = self._estimates.is_in_time(choice.call, owner, is_home)
            return in_time or self._estimates.trip(owner) < near_wait

        rooms = [(_spare(each.summary(choice.now)), each) for each in choice.far]
        for capacity, targets in sorted(rooms, key=lambda each: -each[0]):
            if capacity <= 0.0:
                return None
            affinity_targets = choice.affinity_targets(targets)
            known.update(_ids(affinity_targets))
            place = self._best(choice, targets, affinity_targets, helps, True)
            if place is not None:
                return place
        return None


def _spare(summary):
    """Return the free slots of a region that others' clients may use."""
    return summary.free - RESERVED_SHARE * summary.slots


def _ids(candidates):
    return tuple(each.entry.id for each in candidates)


def _describe(name, regions, now):
    summaries = [each.summary(now) for each in regions]
    targets = sum(each.targets for each in summaries)
    healthy = sum(each.healthy for each in summaries)
    free = sum(each.free for each in summaries)
    return f"{name} {targets} targets, {healthy} sound, {free} free"
