"""Affinity targets by region: in the own region unless the object overflows."""

from heathercleat.steering.request.destinations import LARGE_BODY_BYTES
from heathercleat.steering.request.wait_policy import RESPONSE_TIME_FACTOR
from heathercleat.version.hashing import rendezvous_weight

#: Multiple of the usual time for a cached object that the latency objective has to
#: cover in addition to the round trip. On a slow machine, work takes 2.5 times as long
#: for about 0.6 s, so that most requests take less than 2.25 times as long. Without
#: this margin, they would be late in another region only.
MAX_SLOWDOWN = 2.25
#: Time for a cached object as a share of the latency objective, until measured. A
#: target that has an object cached does 0.3 of the work, and all of the work takes
#: about as long as the objective.
USUAL_CACHED_SHARE = 0.3
#: Factor of that time for a route whose requests may go to other regions already. A
#: route just beyond the threshold would change the region of its requests again and
#: again, since the measured time varies by some per cent.
KEPT_MARGIN = 0.85


class ObjectOverflow:
    """Ranks the affinity targets of a request, and counts the demand of requests.

    :param demand: the :class:`RegionalDemand`.
    :param members: the live VMs.
    :param estimates: the :class:`Estimates`.
    """

    def __init__(self, demand, members, estimates):
        self._demand = demand
        self._members = members
        self._estimates = estimates
        # Names of the routes whose requests may go to other regions, and of those
        # whose responses from there are hardly ever late.
        self._movable_routes = set()
        self._routes_with_margin = set()

    def is_in_effect(self, service):
        """Return whether objects of a service have an affinity target by region."""
        return self._demand.is_in_effect(service)

    def record_request(self, call):
        """Record the arrival of a client's request.

        A retry of a refused request is not counted, since the request itself was.
        """
        if call.is_client_retry or not self.is_in_effect(call.service):
            return
        # Others never use the slots of this region.
        if call.route.allows(self._demand.own_region):
            is_movable = self._is_movable(call)
            self._demand.record_request(call.service, call.route.name, is_movable)
            if is_movable:
                has_margin = call.route.name in self._routes_with_margin
                self._demand.record_margin(call.service, has_margin)

    def record_run(self, call, result, in_own_region):
        """Record how long a request took at a target.

        :param result: the :class:`AttemptResult`.
        """
        if not self.is_in_effect(call.service):
            return
        if result.response_time is not None and not result.outcome.not_run:
            self._demand.record_run(
                call.service, call.route.name, result.response_time, in_own_region
            )

    def rank(self, call, affinity_targets):
        """Return the :class:`AffinityTarget` objects, best first.

        That is the one of the own region, or that of the region to which the object
        overflows. The others follow by their rendezvous weight.
        """
        region = self._demand.region_for(call.service, call.affinity)
        own_region = self._demand.own_region

        def sort_key(affinity_target):
            candidate = affinity_target.candidate
            target_region = self._members.region_of(candidate.entry.failure_domain)
            is_first = target_region == region and (
                not affinity_target.is_remote
                or self._bears_round_trip(
                    call, self._estimates.round_trip(candidate.owner)
                )
            )
            weight = rendezvous_weight(call.affinity, candidate.entry.id)
            return is_first, target_region == own_region, weight

        return sorted(affinity_targets, key=sort_key, reverse=True)

    def _is_movable(self, call):
        """Return whether another region may serve a request."""
        if call.affinity is None or not call.route.sticky:
            return False
        if len(call.body) >= LARGE_BODY_BYTES:
            return False
        round_trips = [
            self._estimates.round_trip(member.vm)
            for member in self._members.strong_serving()
            if member.region != self._demand.own_region
            and call.route.allows(member.region)
        ]
        return bool(round_trips) and self._bears_round_trip(call, min(round_trips))

    def _bears_round_trip(self, call, round_trip):
        """Return whether responses of another region are in time.

        While the time for a cached object is unknown, it is assumed to be a usual part
        of the latency objective: the first response times are those of objects that are
        not cached yet.
        """
        objective = call.route.latency_objective
        cached = self._estimates.cached_response_time(call.route)
        is_measured = cached is not None
        if not is_measured:
            cached = USUAL_CACHED_SHARE * objective
        run_seconds = MAX_SLOWDOWN * cached
        margin_seconds = RESPONSE_TIME_FACTOR * run_seconds
        limit, name = objective - round_trip, call.route.name
        _update(self._routes_with_margin, name, margin_seconds, limit)
        if not is_measured:
            return name in self._routes_with_margin
        _update(self._movable_routes, name, run_seconds, limit)
        return name in self._movable_routes


def _update(routes, name, seconds, limit):
    """Add a route if it takes no more than ``limit`` seconds, or else remove it."""
    kept_margin = KEPT_MARGIN if name in routes else 1.0
    if kept_margin * seconds <= limit:
        routes.add(name)
    else:
        routes.discard(name)
