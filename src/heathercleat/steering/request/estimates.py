"""Estimated waits and response times of requests."""

from heathercleat.steering.process.capacity.machine_speed import UNCACHED_FACTOR
from heathercleat.steering.process.capacity.owned_target import INITIAL_RUN_SECONDS


class Estimates:
    """Estimates for selecting a destination; all durations in seconds.

    :param members: the live VMs.
    :param admission: the :class:`Admission`, for waits at this VM.
    :param capacity_reports: the :class:`CapacityReports`, for waits at other owners.
    :param round_trip: function that returns the round-trip time to a VM.
    :param response_times: the :class:`ResponseTimes`.
    :param shares: the :class:`WorkspaceShares`; ``None`` if slots are not divided among
        workspaces.
    """

    def __init__(
        self,
        members,
        admission,
        capacity_reports,
        round_trip,
        response_times,
        clock,
        shares=None,
    ):
        self._members = members
        self._admission = admission
        self._capacity_reports = capacity_reports
        self._round_trip = round_trip
        self._response_times = response_times
        self._clock = clock
        self._shares = shares

    def round_trip(self, owner):
        """Return the round-trip time to an owner."""
        return self._round_trip(owner)

    def wait(self, owner, call):
        """Return how long a request would wait for a slot at an owner.

        The wait is ``None`` if the owner has no usable slot, and 0 if the owner does
        not report to this VM, or must decide itself; see
        :meth:`WorkspaceShares.is_starved`.
        """
        wait = self._expected_wait(owner, call)
        is_starved = self._shares is not None and self._shares.is_starved(call)
        return 0.0 if is_starved and wait is not None else wait

    def _expected_wait(self, owner, call):
        if owner == self._members.own.vm:
            return self._admission.expected_wait_seconds(call)
        if not self._capacity_reports.has_valid_report(owner):
            return 0.0
        estimate = self._capacity_reports.wait_estimate(owner, call.service)
        if estimate is not None and self._shares is not None:
            estimate = self._shares.scale_wait(owner, call, estimate)
        return estimate and estimate.for_call(
            call, self._clock.now(), self.response_time(call, True)
        )

    def shortest_wait(self, region_targets, call):
        """Return the shortest reported wait at the owners of a region, or ``None``.

        :param region_targets: the :class:`RegionTargets`.
        """
        own = self._members.own.vm
        waits = [
            self._expected_wait(owner, call)
            for owner in region_targets.owners
            if owner == own or self._capacity_reports.has_valid_report(owner)
        ]
        return min((each for each in waits if each is not None), default=None)

    def response_time(self, call, is_affinity_target):
        """Return the mean response time.

        :param is_affinity_target: whether the target has the object cached.
        """
        times, route = self._response_times, call.route.name
        if call.affinity is None or not call.route.sticky:
            return times.mean(route)
        return (
            times.at_affinity_target(route)
            if is_affinity_target
            else times.at_other_target(route)
        )

    def cached_response_time(self, route):
        """Return the response time for a cached object, or ``None`` if unknown."""
        return self._response_times.for_cached_object(route.name)

    def usual_run_seconds(self, call, is_cached):
        """Return how long a request takes at a target whose machine is not slow.

        :param is_cached: whether the target has the object cached.
        """
        times, route = self._response_times, call.route.name
        if call.affinity is None or not call.route.sticky:
            return times.mean(route) or INITIAL_RUN_SECONDS
        cached = times.for_cached_object(route) or times.at_affinity_target(route)
        if is_cached:
            return cached or INITIAL_RUN_SECONDS
        uncached = UNCACHED_FACTOR * (cached or INITIAL_RUN_SECONDS)
        return max(uncached, times.at_other_target(route))

    def finish_seconds(self, call, candidate, is_cached, now):
        """Return when a request is expected to finish at a candidate, from now.

        :param is_cached: whether the target has the object cached.
        """
        owner, capacity = candidate.owner, candidate.capacity
        seconds = capacity.speed.run_seconds(
            self.usual_run_seconds(call, is_cached), now
        )
        if capacity.is_known(now) and not capacity.free(now):
            seconds += self._expected_wait(owner, call) or 0.0
        if owner != self._members.own.vm:
            seconds += self._round_trip(owner)
        return seconds

    def is_in_time(self, call, owner, is_affinity_target):
        """Return whether a response would be in time if the owner has a free slot."""
        expected = self._round_trip(owner) + self.response_time(
            call, is_affinity_target
        )
        return self._clock.now() + expected <= call.soft_deadline
