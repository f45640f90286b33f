"""How long targets take for the requests of each route."""

from collections import deque

from heathercleat.steering.process.moving_average import update_moving_average

#: Weight of the newest answer in the means.
WEIGHT = 0.05
#: Answers of homes that are remembered for each route, and after how many new ones the
#: time of a known object is worked out again.
MAX_SAMPLES = 100
RECOMPUTE_INTERVAL = 20
#: Place of that time among the remembered ones: objects that are learned take three
#: times as long, and are most of the first answers. With 450 objects or fewer in
#: reach a tenth of the first 100 requests are for known ones.
KNOWN_OBJECT_QUANTILE = 0.1


class ResponseTimes:
    """Mean seconds from sending a request to its whole answer, by route.

    Targets that know the object of a request take less time than others.
    """

    def __init__(self):
        self._means = {}
        self._home = {}
        self._other = {}
        self._known = {}

    def observe(self, route, seconds, home):
        """Take the time of one answer.

        :param home: whether the target is one that gets the requests for the object.
        """
        if home:
            self._known.setdefault(route, _KnownTime()).observe(seconds)
        parts = self._home if home else self._other
        update_moving_average(self._means, route, seconds, WEIGHT)
        update_moving_average(parts, route, seconds, WEIGHT)

    def of(self, route):
        """Return the mean of a route; 0 before the first answer."""
        return self._means.get(route, 0.0)

    def at_affinity_target(self, route):
        """Return the mean at targets that get the requests for the object."""
        return self._home.get(route, 0.0)

    def known(self, route):
        """Return the time for a known object at its home.

        ``None`` until enough answers have come to tell it from objects being learned.
        """
        known = self._known.get(route)
        return known.seconds if known else None

    def elsewhere(self, route):
        """Return the mean at other targets."""
        return self._other.get(route, 0.0)


class _KnownTime:
    """The time that a route's homes take for objects that they know."""

    __slots__ = ("seconds", "_latest", "_new")

    def __init__(self):
        self.seconds = None
        self._latest = deque(maxlen=MAX_SAMPLES)
        self._new = 0

    def observe(self, seconds):
        """Take the time of one answer of a home."""
        self._latest.append(seconds)
        self._new += 1
        if len(self._latest) == MAX_SAMPLES and self._new >= RECOMPUTE_INTERVAL:
            self._new = 0
            self.seconds = sorted(self._latest)[
                int(KNOWN_OBJECT_QUANTILE * MAX_SAMPLES)
            ]
