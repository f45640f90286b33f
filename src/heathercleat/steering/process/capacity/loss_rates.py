"""Loss rates of this VM: the share of their value that requests lose."""

#: Weight of the newest request; a single refusal hardly changes the rate.
WEIGHT = 0.03
#: Loss of a late response; that of a refusal is 1.
LATE_LOSS_RATE = 0.8


class LossRates:
    """Moving average of the loss of client requests, by service."""

    def __init__(self):
        self._lost = {}

    def record_response(self, service, late):
        """Record a request that a target responded to."""
        self._observe(service, LATE_LOSS_RATE if late else 0.0)

    def record_refusal(self, service):
        """Record a request that was refused for lack of a slot."""
        self._observe(service, 1.0)

    def rate(self, service):
        """Return the loss rate of a service, 0 to 1."""
        return self._lost.get(service, 0.0)

    def _observe(self, service, rate):
        share = self._lost.get(service, 0.0)
        self._lost[service] = share + WEIGHT * (rate - share)
