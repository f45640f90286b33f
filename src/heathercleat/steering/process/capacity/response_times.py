"""Response times of targets, by route."""

from collections import deque

from heathercleat.steering.process.moving_average import update_moving_average

#: Weight of the newest response in the moving averages.
WEIGHT = 0.05
#: Maximum number of responses of affinity targets to remember for each route.
MAX_SAMPLES = 100
#: Number of new responses after which the time for a cached object is computed again.
RECOMPUTE_AFTER_RESPONSES = 20
#: Quantile of the remembered response times that is used as the time for a cached
#: object; low, since after a start most requests are for objects that are not cached
#: yet, which take three times as long. With up to 450 objects, a tenth of the first 100
#: requests are for cached ones.
CACHED_OBJECT_QUANTILE = 0.1


class ResponseTimes:
    """Mean seconds from sending a request to its complete response, by route.

    Requests take less time at their affinity targets, which cache the object of the
    request.
    """

    def __init__(self):
        self._means = {}
        self._affinity_means = {}
        self._other_means = {}
        self._cached_object_times = {}

    def record(self, route, seconds, is_affinity_target):
        """Record the time of one response.

        :param is_affinity_target: whether the target that responded is an affinity
            target of the request.
        """
        if is_affinity_target:
            self._cached_object_times.setdefault(route, _CachedObjectTime()).record(
                seconds
            )
        means = self._affinity_means if is_affinity_target else self._other_means
        update_moving_average(self._means, route, seconds, WEIGHT)
        update_moving_average(means, route, seconds, WEIGHT)

    def mean(self, route):
        """Return the mean response time of a route, 0 before the first response."""
        return self._means.get(route, 0.0)

    def at_affinity_target(self, route):
        """Return the mean at affinity targets, 0 before the first response."""
        return self._affinity_means.get(route, 0.0)

    def for_cached_object(self, route):
        """Return the time for a cached object at its affinity target, in seconds.

        ``None`` until enough responses are recorded.
        """
        cached = self._cached_object_times.get(route)
        return cached.seconds if cached else None

    def at_other_target(self, route):
        """Return the mean at other targets, 0 before the first response."""
        return self._other_means.get(route, 0.0)


class _CachedObjectTime:
    """The time that affinity targets of a route take for cached objects."""

    __slots__ = ("seconds", "_latest", "_new_count")

    def __init__(self):
        self.seconds = None
        self._latest = deque(maxlen=MAX_SAMPLES)
        self._new_count = 0

    def record(self, seconds):
        """Record the time of one response of an affinity target."""
        self._latest.append(seconds)
        self._new_count += 1
        if (
            len(self._latest) == MAX_SAMPLES
            and self._new_count >= RECOMPUTE_AFTER_RESPONSES
        ):
            self._new_count = 0
            self.seconds = sorted(self._latest)[
                int(CACHED_OBJECT_QUANTILE * MAX_SAMPLES)
            ]
