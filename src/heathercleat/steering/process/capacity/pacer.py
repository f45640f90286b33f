"""Paces the requests to a target that limits their rate."""

#: Seconds of the rate that may be used at once after a pause; at least one request.
#: Shorter bursts are lost, since other VMs learn of free slots by heartbeats.
BURST_SECONDS = 1.0
#: Requests per second to a target that accepts none: only its responses show that the
#: limit has ended.
PROBE_RATE = 0.25
#: Tolerance in requests for rounding errors.
_EPSILON = 1e-6


class Pacer:
    """A token bucket that stores when it would be full again."""

    __slots__ = ("_full_at",)

    def __init__(self):
        self._full_at = 0.0

    def available(self, rate, now):
        """Return the number of requests that may be sent now.

        :param rate: requests per second that the target accepts.
        """
        missing = max(0.0, self._full_at - now) * _paced(rate)
        return max(0, int(_burst(rate) - missing + _EPSILON))

    def withdraw(self, rate, now):
        """Count a request that is sent now."""
        self._full_at = max(now, self._full_at) + 1 / _paced(rate)


def _paced(rate):
    return max(rate, PROBE_RATE)


def _burst(rate):
    return max(1.0, BURST_SECONDS * rate)
