"""How long targets take for the requests of each route."""

from heathercleat.steering.process.means import move_mean

#: Weight of the newest answer in the means.
WEIGHT = 0.05


class WorkTimes:
    """Mean seconds from sending a request to its whole answer, by route.

    Targets that know the object of a request take less time than others.
    """

    def __init__(self):
        self._means = {}
        self._home = {}
        self._other = {}

    def observe(self, route, seconds, home):
        """Take the time of one answer.

        :param home: whether the target is one that gets the requests for the object.
        """
        parts = self._home if home else self._other
        move_mean(self._means, route, seconds, WEIGHT)
        move_mean(parts, route, seconds, WEIGHT)

    def of(self, route):
        """Return the mean of a route; 0 before the first answer."""
        return self._means.get(route, 0.0)

    def at_home(self, route):
        """Return the mean at targets that get the requests for the object."""
        return self._home.get(route, 0.0)

    def longest(self, route):
        """Return the longest of a route's means."""
        return max(self.of(route), self.at_home(route), self.elsewhere(route))

    def elsewhere(self, route):
        """Return the mean at other targets."""
        return self._other.get(route, 0.0)
