"""What the answers of an owned target say about it."""

from random import uniform

from heathercleat.process.clock import NEVER

#: Weight of the newest answer in the means.
LATENCY_WEIGHT = 0.15
FAILURE_WEIGHT = 0.2
#: Share of failed answers above which a target rests; four failures in a row reach it.
REST_SHARE = 0.55
#: Seconds of the first and the longest rest; it doubles from one to the next.
FIRST_REST = 0.5
LONGEST_REST = 4.0
#: A target is silent when its oldest request has run so many times as long as its
#: usual answer, and so many seconds at least.
SILENT_FACTOR = 5.0
SILENT_LEAST = 0.9
#: A target is slow when its answers take so many times as long as the median of the
#: others of its service, and so many seconds longer.
SLOW_FACTOR = 2.5
SLOW_LEAST = 0.05


class TargetHealth:
    """Means over a target's answers, and its rests; latency in seconds."""

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
        """Note a whole answer that took ``seconds``."""
        weight = LATENCY_WEIGHT if self.latency else 1.0
        self.latency += weight * (seconds - self.latency)
        self.failures -= FAILURE_WEIGHT * self.failures
        if self.on_trial:
            self.on_trial = False
            self.failures = 0.0
        self.rests = max(0, self.rests - 1)

    def is_known(self, began_at):
        """Return whether a failure tells nothing new: it began before the rest.

        Four requests that were cut at once made a rest of 4 s out of one of 0.5 s.
        """
        return began_at <= self.rest_began_at

    def failed(self, now, began_at, may_rest=True):
        """Note a refused, broken or failed answer; return whether a rest begins.

        :param began_at: instant at which the request was sent.
        :param may_rest: whether others of its service can do its work.
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
        """Take the target out for a while; then one request tries it."""
        self.rest_began_at = now
        length = min(LONGEST_REST, FIRST_REST * 2**self.rests)
        self.rest_until = now + uniform(0.8, 1.2) * length
        self.rests += 1
        self.on_trial = True

    def is_silent(self, now, oldest_start):
        """Return whether the request begun at ``oldest_start`` waits for too long."""
        patience = max(SILENT_LEAST, SILENT_FACTOR * self.latency)
        return now - oldest_start > patience

    def is_slow(self, median):
        """Return whether its answers take much longer than the ``median`` target's."""
        return self.latency > SLOW_FACTOR * median + SLOW_LEAST
