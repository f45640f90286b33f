"""Paces the requests to a target that limits their rate.

Requests that can take another target keep to the limit. Those that wait, since no
target has a free slot, may exceed it by a part of what the platform tolerates: half of
the limit and five requests in four seconds.
"""

#: Factor of the limit for requests that wait.
OVERDRAFT_FACTOR = 1.3
#: Seconds of the limit that may be used at once after a pause.
BURST_SECONDS = 0.5
#: Minimum of such a burst in requests. Shorter ones are lost, since other VMs learn of
#: free slots by heartbeats.
MIN_BURST = 2.0
#: Requests per second to a target that accepts none: only its responses show that the
#: limit has ended.
PROBE_RATE = 0.25
#: Tolerance in requests for rounding errors.
_EPSILON = 1e-6


class TokenBucket:
    """A token bucket that stores when it is full again."""

    __slots__ = ("_full_at",)

    def __init__(self):
        self._full_at = 0.0

    def available(self, rate, burst, now):
        """Return the number of tokens.

        :param rate: tokens per second.
        :param burst: tokens in a full bucket.
        """
        missing = max(0.0, self._full_at - now) * rate
        return max(0, int(burst - missing + _EPSILON))

    def withdraw(self, rate, burst, now):
        """Take a token; an empty bucket stays empty."""
        full_at = max(now, self._full_at) + 1 / rate
        self._full_at = min(full_at, now + burst / rate)


class Pacer:
    """Counts the requests to one target against its limit."""

    __slots__ = ("_limit", "_overdraft")

    def __init__(self):
        self._limit = TokenBucket()
        self._overdraft = TokenBucket()

    def available(self, rate, now):
        """Return the number of requests within the limit that may be sent now.

        :param rate: requests per second that the target accepts.
        """
        rate = max(rate, PROBE_RATE)
        within_limit = self._limit.available(rate, _burst(rate), now)
        return min(within_limit, self.available_to_waiting(rate, now))

    def available_to_waiting(self, rate, now):
        """Return the number of requests that wait and may be sent now."""
        rate = max(rate, PROBE_RATE)
        return self._overdraft.available(OVERDRAFT_FACTOR * rate, _burst(rate), now)

    def withdraw(self, rate, now):
        """Count a request that is sent now."""
        rate = max(rate, PROBE_RATE)
        self._limit.withdraw(rate, _burst(rate), now)
        self._overdraft.withdraw(OVERDRAFT_FACTOR * rate, _burst(rate), now)


def _burst(rate):
    return max(MIN_BURST, BURST_SECONDS * rate)
