"""What requests of clients lose, by service, as this VM sees it."""

#: Weight of the newest request: twenty refusals in a row show, a single one does not.
WEIGHT = 0.03
#: Share of requests without a slot from which a service counts as overloaded.
OVERLOAD_SHARE = 0.12
#: What a late answer loses, a refusal being 1.
LATE_LOSS = 0.8


class Pressure:
    """Means over the latest requests, by service."""

    def __init__(self):
        self._refused = {}
        self._lost = {}

    def answered(self, service, late):
        """Note a request that a target answered."""
        self._observe(service, 0.0, LATE_LOSS if late else 0.0)

    def refused(self, service):
        """Note a request that found no slot."""
        self._observe(service, 1.0, 1.0)

    def is_overloaded(self, service):
        """Return whether a good part of the requests find no slot."""
        return self._refused.get(service, 0.0) > OVERLOAD_SHARE

    def lost(self, service):
        """Return the part of their worth that requests lose, 0 to 1."""
        return self._lost.get(service, 0.0)

    def _observe(self, service, refused, lost):
        for shares, value in ((self._refused, refused), (self._lost, lost)):
            share = shares.get(service, 0.0)
            shares[service] = share + WEIGHT * (value - share)
