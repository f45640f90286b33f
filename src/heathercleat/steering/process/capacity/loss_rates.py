"""What requests of clients lose, by service, as this VM sees it."""

#: Weight of the newest request: twenty refusals in a row show, a single one does not.
WEIGHT = 0.03
#: What a late answer loses, a refusal being 1.
LATE_LOSS_RATE = 0.8


class LossRates:
    """Means over the latest requests, by service."""

    def __init__(self):
        self._lost = {}

    def answered(self, service, late):
        """Note a request that a target answered."""
        self._observe(service, LATE_LOSS_RATE if late else 0.0)

    def refused(self, service):
        """Note a request that found no slot."""
        self._observe(service, 1.0)

    def rate(self, service):
        """Return the part of their worth that requests lose, 0 to 1."""
        return self._lost.get(service, 0.0)

    def _observe(self, service, rate):
        share = self._lost.get(service, 0.0)
        self._lost[service] = share + WEIGHT * (rate - share)
