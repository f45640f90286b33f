"""Selects the affinity target for an object by rendezvous hashing over all regions.

A target responds faster to requests for objects in its cache. Hashing over all regions
gives each target its share of the objects, wherever the clients are, and avoids caching
each object in every region. Where response times leave no time for a trip to another
region, :class:`ObjectOverflow` selects the target in place of it.
"""

from heathercleat.steering.request.wait_policy import RESPONSE_TIME_FACTOR
from heathercleat.version.hashing import rendezvous_weight

#: Share of the latency objective that a round trip may take while the response time for
#: cached objects is unknown. The mean would exclude other regions at first, since it
#: includes objects that are not cached yet; seconds later a large share of a region's
#: requests would change the region at once.
MAX_ROUND_TRIP_SHARE = 0.5


class AffinityTarget:
    """The target whose cache should hold the object of a request.

    :param candidate: its :class:`Candidate`.
    :param is_remote: whether it is in another region.
    """

    __slots__ = ("candidate", "is_remote")

    def __init__(self, candidate, is_remote):
        self.candidate = candidate
        self.is_remote = is_remote

    @property
    def ids(self):
        """Return its id in a tuple, as in :attr:`Destination.preferred`."""
        return (self.candidate.entry.id,)

    def may_have_free_slot(self, now):
        """Return whether it has a free slot or its free slots are unknown.

        Without a report of the owner, the free slots are unknown.
        """
        capacity = self.candidate.capacity
        return capacity.free(now) > 0 or not capacity.is_known(now)


class AffinityTargets:
    """Finds the affinity targets of requests.

    :param estimates: the :class:`Estimates`.
    :param overflow: the :class:`ObjectOverflow`; without it, objects have one affinity
        target over all regions.
    """

    def __init__(self, estimates, overflow=None):
        self._estimates = estimates
        self._overflow = overflow

    def ranked(self, eligible, is_large):
        """Return the :class:`AffinityTarget` objects of a request, best first.

        There is one for each region that can respond in time.

        :param is_large: whether the body is too large to be sent to another region.
        """
        affinity_targets = [
            AffinityTarget(each, False) for each in eligible.own_region_affinity_targets
        ]
        if not is_large:
            affinity_targets.extend(self._in_other_regions(eligible))
        call = eligible.call
        if self._overflow is not None and self._overflow.is_in_effect(call.service):
            return self._overflow.rank(call, affinity_targets)
        affinity = call.affinity
        return sorted(
            affinity_targets,
            key=lambda each: rendezvous_weight(affinity, each.candidate.entry.id),
            reverse=True,
        )

    def _in_other_regions(self, eligible):
        """Yield the affinity targets of other regions that can respond in time."""
        max_round_trip = self._max_round_trip(eligible.call.route)
        for region_targets in eligible.other_region_targets:
            for candidate in eligible.affinity_targets(region_targets):
                if self._estimates.round_trip(candidate.owner) <= max_round_trip:
                    yield AffinityTarget(candidate, True)

    def _max_round_trip(self, route):
        """Return the longest acceptable round-trip time, in seconds."""
        cached = self._estimates.cached_response_time(route)
        if cached is None:
            return MAX_ROUND_TRIP_SHARE * route.latency_objective
        return route.latency_objective - RESPONSE_TIME_FACTOR * cached
