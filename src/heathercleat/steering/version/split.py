"""Splits the requests of a route between services by weight."""


class Splitter:
    """Smooth weighted round robin, which has less variance than a random choice.

    :param shares: the :class:`ServiceShare` of each service.
    """

    __slots__ = ("_current_weights", "_shares")

    def __init__(self, shares):
        self._shares = shares
        self._current_weights = dict.fromkeys((share.service for share in shares), 0.0)

    def next(self):
        """Return the service of the next request."""
        if len(self._shares) == 1:
            return self._shares[0].service
        total = 0.0
        for share in self._shares:
            self._current_weights[share.service] += share.weight
            total += share.weight
        chosen = max(self._current_weights, key=self._current_weights.get)
        self._current_weights[chosen] -= total
        return chosen
