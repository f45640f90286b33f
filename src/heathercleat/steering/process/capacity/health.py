"""Outlier detection and ejection of an owned target."""

from random import uniform

from heathercleat.process.clock import NEVER

#: Weight of the newest response in the moving averages.
LATENCY_WEIGHT = 0.15
FAILURE_WEIGHT = 0.2
#: Failure rate from which a target is ejected; four failures in a row reach it.
REST_SHARE = 0.55
#: Seconds of the first and of the longest ejection; each one doubles the last.
FIRST_REST = 0.5
LONGEST_REST = 4.0
#: A target is unresponsive once its oldest request has run for this multiple of the
#: mean latency, and for at least this many seconds.
SILENT_FACTOR = 5.0
SILENT_LEAST = 0.9
#: A target is slow if its latency exceeds this multiple of the median of its service by
#: more than this many seconds.
SLOW_FACTOR = 2.5
SLOW_LEAST = 0.05


class TargetHealth:
    """Moving averages over a target's responses, and its ejections.

    Works as a circuit breaker: after an ejection a single request probes the target.
    """

    __slots__ = (
        "latency",
        "failures",
        "rest_began_at",
        "rest_until",
        "rests",
        "on_trial",
    )

    def __init__(self):
        self.latency = 0.0
        self.failures = 0.0
        self.rest_began_at = NEVER
        self.rest_until = 0.0
        self.rests = 0
        self.on_trial = False

    def succeeded(self, seconds):
        """Record a complete response that took ``seconds``."""
        weight = LATENCY_WEIGHT if self.latency else 1.0
        self.latency += weight * (seconds - self.latency)
        self.failures -= FAILURE_WEIGHT * self.failures
        if self.on_trial:
            self.on_trial = False
            self.failures = 0.0
        self.rests = max(0, self.rests - 1)

    def is_known(self, began_at):
        """Return whether a request was sent before the last ejection.

        Its failure is not counted again: requests that are cut together must not
        extend the ejection.
        """
        return began_at <= self.rest_began_at

    def failed(self, now, began_at, may_rest=True):
        """Record a failed request; return whether the target is ejected for it.

        :param began_at: instant at which the request was sent.
        :param may_rest: whether enough other targets of the service are available.
        """
        if self.is_known(began_at):
            return False
        self.failures += FAILURE_WEIGHT * (1.0 - self.failures)
        if self.failures < REST_SHARE and not self.on_trial:
            return False
        if not may_rest:
            self.on_trial = False
            return False
        self.rest(now)
        return True

    def rest(self, now):
        """Eject the target for a jittered time; then one request probes it."""
        self.rest_began_at = now
        length = min(LONGEST_REST, FIRST_REST * 2**self.rests)
        self.rest_until = now + uniform(0.8, 1.2) * length
        self.rests += 1
        self.on_trial = True

    def is_silent(self, now, oldest_start):
        """Return whether the request sent at ``oldest_start`` has run for too long."""
        patience = max(SILENT_LEAST, SILENT_FACTOR * self.latency)
        return now - oldest_start > patience

    def is_slow(self, median):
        """Return whether its latency is well above the ``median`` of its service."""
        return self.latency > SLOW_FACTOR * median + SLOW_LEAST
