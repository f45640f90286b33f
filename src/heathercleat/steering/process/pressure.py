"""Whether requests of a service find slots, as this VM sees it."""

#: Weight of the newest request: twenty refusals in a row show, a single one does not.
WEIGHT = 0.03
#: Share of requests without a slot from which a service counts as overloaded.
OVERLOAD_SHARE = 0.12


class Pressure:
    """Share of the latest requests that were given up without a slot, by service."""

    def __init__(self):
        self._shares = {}

    def observe(self, service, refused):
        """Note a request that ended, and whether it found no slot."""
        share = self._shares.get(service, 0.0)
        self._shares[service] = share + WEIGHT * (refused - share)

    def is_overloaded(self, service):
        """Return whether a good part of the requests find no slot."""
        return self._shares.get(service, 0.0) > OVERLOAD_SHARE
