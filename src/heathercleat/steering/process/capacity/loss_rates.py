"""Loss rates of client requests at this VM.

A refused request counts as a full loss, a late response as a partial one.
"""

#: Weight of the newest request; twenty refusals in a row show, and a single one hardly
#: changes the rate.
WEIGHT = 0.03
#: Loss of a late response; a refusal counts as 1.
LATE_RESPONSE_LOSS = 0.8


class LossRates:
    """Moving average of the loss of client requests, by service."""

    def __init__(self):
        self._rates = {}

    def record_response(self, service, late):
        """Record a request that a target responded to."""
        self._update(service, LATE_RESPONSE_LOSS if late else 0.0)

    def record_refusal(self, service):
        """Record a request that was refused for lack of a slot."""
        self._update(service, 1.0)

    def rate(self, service):
        """Return the mean loss rate of a service, 0 to 1."""
        return self._rates.get(service, 0.0)

    def _update(self, service, loss):
        mean = self._rates.get(service, 0.0)
        self._rates[service] = mean + WEIGHT * (loss - mean)
