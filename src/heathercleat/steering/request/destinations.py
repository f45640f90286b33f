"""Selects the target or the VM to which a request is sent next."""

from math import isfinite
from random import random

from heathercleat.process.clock import DISTANT_PAST
from heathercleat.steering.process.capacity.slots import can_take_slot
from heathercleat.steering.request.affinity import AffinityTargets
from heathercleat.steering.request.eligibility import EligibleTargets
from heathercleat.steering.request.speed_choice import SpeedChoice

#: From this size on, targets in the failure domain of this VM come before affinity
#: targets, since sending the body costs more than the cache saves.
LARGE_BODY_BYTES = 16 << 10
#: An owner is excluded if its reported wait exceeds the remaining wait by this factor;
#: forwarding in vain costs both VMs 1.2 ms of processor time. Below that the owner
#: decides, since its report may be out of date by half a heartbeat interval.
MAX_WAIT_FACTOR = 2.0
#: Minimum difference between the loss rates of two regions for spillover; smaller ones
#: are noise.
MIN_LOSS_DIFFERENCE = 0.08
#: Remaining wait in seconds that is assumed for spillover to another region.
MAX_SPILLOVER_WAIT_SECONDS = 0.1
#: Share of the slots of a region that is reserved for its own clients.
RESERVED_SHARE = 0.15
#: Seconds added to the wait at another VM: a forwarded request crosses the network
#: twice, with its body, and the report of the wait is out of date.
FORWARD_COST_SECONDS = 0.03


class Destination:
    """A target with a free slot, or the queue of a VM if ``target`` is ``None``.

    :param vm: name of the owner.
    :param preferred: ids of the affinity targets of the region, best first.
    :param is_remote: whether it is in another region.
    :param is_affinity_target: whether the request waits at this target if it has no
        free slot after all.
    """

    __slots__ = ("vm", "target", "preferred", "is_remote", "is_affinity_target")

    def __init__(self, vm, target, preferred, is_remote, is_affinity_target=False):
        self.vm = vm
        self.target = target
        self.preferred = preferred
        self.is_remote = is_remote
        self.is_affinity_target = is_affinity_target


class DestinationSelector:
    """Selects destinations for requests.

    :param view: the :class:`TargetView`.
    :param members: the live VMs.
    :param estimates: the :class:`Estimates`.
    :param loss_rates: the :class:`RegionLossRates`.
    :param shift: the :class:`RegionShiftLimit`.
    :param notices: the :class:`Notices`.
    :param speed_log: the :class:`SpeedLog`, or ``None``.
    :param overflow: the :class:`ObjectOverflow`, or ``None``.
    """

    def __init__(
        self,
        view,
        members,
        estimates,
        loss_rates,
        shift,
        notices,
        clock,
        speed_log=None,
        overflow=None,
    ):
        self._view = view
        self._members = members
        self._estimates = estimates
        self._affinity_targets = AffinityTargets(estimates, overflow)
        self._speed_choice = SpeedChoice(estimates, shift, speed_log)
        self._loss_rates = loss_rates
        self._shift = shift
        self._notices = notices
        self._clock = clock

    def select_free(self, call, avoid, avoid_vms):
        """Return the best :class:`Destination` with a free slot, or ``None``."""
        eligible = self._eligible_targets(call, avoid, avoid_vms)
        isolated = self._find_isolated(eligible) if call.needs_isolation else None
        if isolated is not None:
            return isolated
        affinity_target = self._affinity_target(eligible)
        faster = affinity_target and self._faster_than(affinity_target, eligible)
        if faster is not None:
            return faster
        if affinity_target is not None and affinity_target.may_have_free_slot(
            eligible.now
        ):
            return self._destination_at(
                affinity_target, affinity_target.candidate.entry.id
            )
        if affinity_target is not None and eligible.can_wait_for_affinity:
            return None
        if self._shift.must_move():
            return self._best_in_other_regions(eligible, 0.0) or self._best_in_region(
                eligible
            )
        destination = self._best_in_region(eligible)
        if destination is not None or not self._shift.may_move():
            return destination
        return self._best_in_other_regions(eligible, self._region_wait(eligible))

    def _find_isolated(self, eligible):
        """Return the :class:`Destination` for a request that may crash its target.

        The target is one of a few in this region, runs no other request, and is not
        the only one with free slots. ``None`` if there is no such target.
        """
        region_targets, now = eligible.own_region_targets, eligible.now
        if region_targets is None:
            return None
        free = region_targets.summary(now).free
        for each in region_targets.isolation_candidates:
            slots = each.entry.slots
            if (
                each.capacity.free(now) >= slots
                and free > slots
                and eligible.is_usable(each)
            ):
                return Destination(each.owner, each.entry.id, (each.entry.id,), False)
        return None

    def select_queue(self, call, avoid, avoid_vms):
        """Return the :class:`Destination` with the queue to wait in, or ``None``.

        The queue at the owner of the affinity target is preferred, unless its wait is
        too long. The alternative is the queue with the shortest wait in this region.
        """
        eligible = self._eligible_targets(call, avoid, avoid_vms)
        max_wait = call.give_up_at - eligible.now
        affinity_target = self._affinity_target(eligible)
        if affinity_target is not None and self._can_wait_at(
            call, affinity_target, max_wait
        ):
            return self._destination_at(affinity_target)
        if eligible.own_region_targets is None:
            return None
        return self._shortest_wait(
            eligible, eligible.own_region_targets, eligible.is_usable, max_wait, False
        )

    def _affinity_target(self, eligible):
        """Return the :class:`AffinityTarget` of the request, or ``None``."""
        is_large = len(eligible.call.body) >= LARGE_BODY_BYTES
        ranked = self._affinity_targets.ranked(eligible, is_large)
        return self._speed_choice.affinity_target(eligible.call, ranked, eligible.now)

    def _faster_than(self, affinity_target, eligible):
        """Return a :class:`Destination` in place of a slow affinity target.

        It is in this region and does not have the object cached. ``None`` if there is
        none. The owner may use any target then, hence the change of the call.
        """
        call, region_targets = eligible.call, eligible.own_region_targets
        if region_targets is None or len(call.body) >= LARGE_BODY_BYTES:
            return None
        preferred, now = affinity_target.ids, eligible.now
        best = self._speed_choice.target_without_affinity(
            call,
            affinity_target,
            lambda: self._free_candidates(
                region_targets, preferred, eligible.is_usable, now
            ),
            now,
        )
        if best is None:
            return None
        call.affinity_until = min(call.affinity_until, now)
        return Destination(best.owner, best.entry.id, preferred, False)

    def _destination_at(self, affinity_target, target=None):
        owner = affinity_target.candidate.owner
        return Destination(
            owner,
            target,
            affinity_target.ids,
            affinity_target.is_remote,
            is_affinity_target=True,
        )

    def _can_wait_at(self, call, affinity_target, max_wait):
        return (
            self._waiting_cost(call, affinity_target.candidate.owner, max_wait)
            is not None
        )

    def select_spillover(self, call, avoid, avoid_vms):
        """Return the :class:`Destination` in a less loaded region, or ``None``.

        The region must be able to respond in time and must have a lower loss rate.
        Requests with large bodies stay in this region, since sending them costs more
        than a late response. Requests with an affinity target also stay.
        """
        if len(call.body) >= LARGE_BODY_BYTES or not self._shift.may_move():
            return None
        eligible = self._eligible_targets(call, avoid, avoid_vms)
        if self._affinity_target(eligible) is not None:
            return None
        service = call.service
        least_loaded = min(
            eligible.other_region_targets,
            key=lambda each: self._loss_rates.loss_rate(each.region, service),
            default=None,
        )
        if least_loaded is None:
            return None
        own_loss = self._loss_rates.loss_rate(self._members.own.region, service)
        if (
            own_loss - self._loss_rates.loss_rate(least_loaded.region, service)
            < MIN_LOSS_DIFFERENCE
        ):
            return None

        def can_respond_in_time(candidate):
            return eligible.is_usable(candidate) and self._estimates.is_in_time(
                call, candidate.owner, is_affinity_target=True
            )

        return self._shortest_wait(
            eligible,
            least_loaded,
            can_respond_in_time,
            MAX_SPILLOVER_WAIT_SECONDS,
            True,
        )

    def expected_wait(self, call):
        """Return the shortest reported wait in this region in seconds, or ``None``."""
        return self._reported_wait(self._eligible_targets(call))

    def closed_until(self, call):
        """Return the instant until which no target accepts the request.

        An instant of the past unless all targets of this region have asked for rest and
        other regions have none that may serve it.
        """
        eligible = self._eligible_targets(call)
        others = eligible.other_region_targets
        if any(each.summary(eligible.now).healthy for each in others):
            return DISTANT_PAST
        region_targets = eligible.own_region_targets
        candidates = region_targets.candidates if region_targets else ()
        instants = (
            self._notices.closed_until(each.entry.incarnation_id) for each in candidates
        )
        earliest = min(instants, default=DISTANT_PAST)
        return earliest if isfinite(earliest) else DISTANT_PAST

    def describe(self, call):
        """Describe the usable targets, for the log."""
        eligible = self._eligible_targets(call)
        region_targets = (
            [eligible.own_region_targets] if eligible.own_region_targets else []
        )
        parts = [_describe("here", region_targets, eligible.now)]
        parts.append(
            _describe("elsewhere", eligible.other_region_targets, eligible.now)
        )
        wait = self._reported_wait(eligible)
        parts.append("wait unknown" if wait is None else f"wait {wait:.3f} s")
        return "; ".join(parts)

    def _eligible_targets(self, call, avoid=frozenset(), avoid_vms=frozenset()):
        regions = self._view.regions(call.service)
        own_region = self._members.own.region
        now = self._clock.now()
        return EligibleTargets(call, regions, own_region, avoid, avoid_vms, now)

    def _shortest_wait(self, eligible, region_targets, is_usable, max_wait, is_remote):
        """Return the :class:`Destination` with the shortest wait, or ``None``.

        :param is_usable: filter for candidates.
        :param max_wait: seconds for which the request may still wait.
        """
        affinity_targets = eligible.affinity_targets(region_targets, is_usable)
        candidates = affinity_targets or filter(is_usable, region_targets.candidates)
        costs = {}
        for owner in {each.owner for each in candidates}:
            cost = self._waiting_cost(eligible.call, owner, max_wait)
            if cost is not None:
                costs[owner] = cost
        if not costs:
            return None
        # Random among equals, such as owners that do not report to this VM.
        owner = min(costs, key=lambda each: (costs[each], random()))
        return Destination(owner, None, _ids(affinity_targets), is_remote)

    def _waiting_cost(self, call, owner, max_wait):
        """Return the cost of waiting in seconds, ``None`` if the wait is too long."""
        wait = self._estimates.wait(owner, call)
        if wait is None or wait > MAX_WAIT_FACTOR * max_wait:
            return None
        return wait if owner == self._members.own.vm else wait + FORWARD_COST_SECONDS

    def _best_in_region(self, eligible):
        """Return the best :class:`Destination` of this region, or ``None``."""
        region_targets = eligible.own_region_targets
        if region_targets is None:
            return None
        affinity_targets = eligible.own_region_affinity_targets
        if len(eligible.call.body) < LARGE_BODY_BYTES:
            return self._best(
                eligible, region_targets, affinity_targets, eligible.is_usable, False
            )
        own_domain = self._members.own.failure_domain

        def is_in_domain(candidate):
            return candidate.entry.failure_domain == own_domain and eligible.is_usable(
                candidate
            )

        return self._best(
            eligible, region_targets, affinity_targets, is_in_domain, False
        ) or self._best(
            eligible, region_targets, affinity_targets, eligible.is_usable, False
        )

    def _best(self, eligible, region_targets, affinity_targets, is_usable, is_remote):
        """Return the best :class:`Destination` with a free slot, or ``None``.

        Affinity targets come first, then targets of this VM, then the targets with the
        largest share of free slots.

        :param is_usable: filter for candidates.
        """
        now, preferred = eligible.now, _ids(affinity_targets)
        for each in affinity_targets:
            # Without a report of the owner, the free slots are unknown.
            may_have_free_slot = each.capacity.free(
                now
            ) > 0 or not each.capacity.is_known(now)
            if may_have_free_slot and is_usable(each):
                return Destination(each.owner, each.entry.id, preferred, is_remote)
        summary = region_targets.summary(now)
        if not (summary.idle if affinity_targets else summary.free):
            return None
        candidates = self._free_candidates(region_targets, preferred, is_usable, now)
        if not candidates:
            return None
        best = self._speed_choice.free_target(
            eligible.call, candidates, not affinity_targets, now
        )
        target = best.entry.id
        return Destination(best.owner, target, preferred or (target,), is_remote)

    def _free_candidates(self, region_targets, preferred, is_usable, now):
        """Return the candidates of a region with enough free slots, best first."""
        free = (
            each
            for each in region_targets.candidates
            if self._is_free(each, preferred, now) and is_usable(each)
        )
        return sorted(free, key=lambda each: self._sort_key(each, now))

    def _is_free(self, candidate, preferred, now):
        free = candidate.capacity.free(now)
        return free > 0 and can_take_slot(candidate.entry, free, preferred)

    def _sort_key(self, candidate, now):
        """Return the sort key of a free target, the lowest first."""
        is_other_owner = candidate.owner != self._members.own.vm
        return is_other_owner, -candidate.capacity.free(now) / candidate.entry.slots

    def _reported_wait(self, eligible):
        """Return the shortest reported wait in this region, or ``None``."""
        region_targets = eligible.own_region_targets
        if region_targets is None:
            return None
        return self._estimates.shortest_wait(region_targets, eligible.call)

    def _region_wait(self, eligible):
        """Return the shortest reported wait in this region, or infinity."""
        wait = self._reported_wait(eligible)
        return float("inf") if wait is None else wait

    def _best_in_other_regions(self, eligible, region_wait):
        """Return a free :class:`Destination` in another region, or ``None``.

        :param region_wait: seconds that the request would wait in this region.
        """
        affinity_ids = set()

        def is_faster(candidate):
            if not eligible.is_usable(candidate):
                return False
            owner, is_affinity_target = (
                candidate.owner,
                candidate.entry.id in affinity_ids,
            )
            is_in_time = self._estimates.is_in_time(
                eligible.call, owner, is_affinity_target
            )
            return is_in_time or self._estimates.round_trip(owner) < region_wait

        spare_slots = [
            (_spare_slots(each.summary(eligible.now)), each)
            for each in eligible.other_region_targets
        ]
        for spare, region_targets in sorted(spare_slots, key=lambda each: -each[0]):
            if spare <= 0.0:
                return None
            affinity_targets = eligible.affinity_targets(region_targets)
            affinity_ids.update(_ids(affinity_targets))
            destination = self._best(
                eligible, region_targets, affinity_targets, is_faster, True
            )
            if destination is not None:
                return destination
        return None


def _spare_slots(summary):
    """Return the free slots of a region that other regions may use."""
    return summary.free - RESERVED_SHARE * summary.slots


def _ids(candidates):
    return tuple(each.entry.id for each in candidates)


def _describe(name, regions, now):
    summaries = [each.summary(now) for each in regions]
    targets = sum(each.targets for each in summaries)
    healthy = sum(each.healthy for each in summaries)
    free = sum(each.free for each in summaries)
    return f"{name} {targets} targets, {healthy} healthy, {free} free"
