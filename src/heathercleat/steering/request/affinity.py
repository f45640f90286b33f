"""Which target gets the requests for an object: one home over all regions.

A target that has handled an object lately is three times as fast for it, and remembers
only some dozens of objects. With a home in each region, the region with a sixth of the
targets and a third of the callers sent half of its requests away one by one: its
callers waited, and every region learned the same objects. Rendezvous hashing over the
targets of all regions gives each target its share of the objects, and so of the load,
wherever the callers are; no counter has to follow the demand. On two overloaded days
0.75 of the worth was served in place of 0.71 and 0.69, and 7.2% and 5.4% refused in
place of 8.0% and 9.2% (one run each).
"""

from heathercleat.steering.request.wait_policy import SPREAD
from heathercleat.version.hashing import weight

#: Part of the aim that a round trip may take where the time of a known object is not
#: told yet. The mean would not do: it is that of objects being learned at first, so
#: that homes lay near, and went to other regions seconds later. On one of 40 drawn days
#: 36% of a region's requests changed region at once.
TRIP_SHARE = 0.5


class AffinityTarget:
    """The target that knows the object of a request.

    :param candidate: its :class:`Candidate`.
    :param remote: whether it lies in another region.
    """

    __slots__ = ("candidate", "remote")

    def __init__(self, candidate, remote):
        self.candidate = candidate
        self.remote = remote

    @property
    def ids(self):
        """Return the ids of the targets that know the object."""
        return (self.candidate.entry.id,)

    def may_have_room(self, now):
        """Return whether it has a free slot, as far as is known.

        An owner that does not report here is tried: it answers at once.
        """
        capacity = self.candidate.capacity
        return capacity.free(now) > 0 or not capacity.is_known(now)


class AffinityTargets:
    """Finds the homes of requests' objects.

    :param estimates: the :class:`Estimates` of waits and times.
    """

    def __init__(self, estimates):
        self._estimates = estimates

    def of(self, choice, large):
        """Return the :class:`AffinityTarget` of a request's object, or ``None``.

        :param large: whether its body is too large to cross regions.
        """
        affinity_targets = [AffinityTarget(each, False) for each in choice.near_homes]
        if not large:
            affinity_targets.extend(self._far(choice))
        affinity = choice.call.affinity
        return max(
            affinity_targets,
            key=lambda each: weight(affinity, each.candidate.entry.id),
            default=None,
        )

    def _far(self, choice):
        """Yield the homes in other regions from which an answer can be in time."""
        spare = self._spare(choice.call.route)
        for targets in choice.far:
            for candidate in choice.affinity_targets(targets):
                if self._estimates.trip(candidate.owner) <= spare:
                    yield AffinityTarget(candidate, True)

    def _spare(self, route):
        """Return the longest round trip to a home, in seconds."""
        known = self._estimates.known_work(route)
        if known is None:
            return TRIP_SHARE * route.latency_objective
        return route.latency_objective - SPREAD * known
