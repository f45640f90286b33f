"""How long targets take for the requests of each route."""

#: Weight of the newest answer in the mean.
WEIGHT = 0.05


class WorkTimes:
    """Mean seconds from sending a request to its whole answer, by route."""

    def __init__(self):
        self._means = {}

    def observe(self, route, seconds):
        """Take the time of one answer."""
        mean = self._means.get(route)
        self._means[route] = (
            seconds if mean is None else mean + WEIGHT * (seconds - mean)
        )

    def of(self, route):
        """Return the mean of a route; 0 before the first answer."""
        return self._means.get(route, 0.0)
