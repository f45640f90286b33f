"""Division of a route's requests over services by weight."""


class Splitter:
    """Smooth weighted round robin: exact shares over any run of requests.

    Drawing at random instead leaves a part of 10% of 40 requests a second off by a
    third of itself within a second.
    """

    __slots__ = ("_credits", "_shares")

    def __init__(self, shares):
        self._shares = shares
        self._credits = dict.fromkeys((share.service for share in shares), 0.0)

    def next(self):
        """Return the service of the next request."""
        if len(self._shares) == 1:
            return self._shares[0].service
        total = 0.0
        for share in self._shares:
            self._credits[share.service] += share.weight
            total += share.weight
        chosen = max(self._credits, key=self._credits.get)
        self._credits[chosen] -= total
        return chosen
