"""What the answers of an owned target say about it."""

from random import uniform

from heathercleat.process.clock import DISTANT_PAST

#: Weight of the newest answer in the means.
LATENCY_WEIGHT = 0.15
FAILURE_WEIGHT = 0.2
#: Share of failed answers above which a target rests; four failures in a row reach it.
EJECTION_FAILURE_RATE = 0.55
#: Seconds of the first and the longest rest; it doubles from one to the next.
INITIAL_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
#: A target is silent when its oldest request has run so many times as long as its
#: usual answer, and so many seconds at least.
UNRESPONSIVE_FACTOR = 5.0
MIN_UNRESPONSIVE_SECONDS = 0.9
#: A target is slow when its answers take so many times as long as the median of the
#: others of its service, and so many seconds longer.
SLOW_FACTOR = 2.5
MIN_SLOW_EXCESS_SECONDS = 0.05


class TargetHealth:
    """Means over a target's answers, and its rests; latency in seconds."""

    __slots__ = (
        "latency",
        "failure_rate",
        "ejected_at",
        "ejected_until",
        "rests",
        "is_half_open",
    )

    def __init__(self):
        self.latency = 0.0
        self.failure_rate = 0.0
        self.ejected_at = DISTANT_PAST
        self.ejected_until = 0.0
        self.rests = 0
        self.is_half_open = False

    def succeeded(self, seconds):
        """Note a whole answer that took ``seconds``."""
        weight = LATENCY_WEIGHT if self.latency else 1.0
        self.latency += weight * (seconds - self.latency)
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate
        if self.is_half_open:
            self.is_half_open = False
            self.failure_rate = 0.0
        self.rests = max(0, self.rests - 1)

    def predates_ejection(self, started_at):
        """Return whether a failure tells nothing new: it began before the rest.

        Four requests that were cut at once made a rest of 4 s out of one of 0.5 s.
        """
        return started_at <= self.ejected_at

    def record_failure(self, now, started_at, may_eject=True):
        """Note a refused, broken or failed answer; return whether a rest begins.

        :param started_at: instant at which the request was sent.
        :param may_eject: whether others of its service can do its work.
        """
        if self.predates_ejection(started_at):
            return False
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)
        if self.failure_rate < EJECTION_FAILURE_RATE and not self.is_half_open:
            return False
        if not may_eject:
            self.is_half_open = False
            return False
        self.eject(now)
        return True

    def eject(self, now):
        """Take the target out for a while; then one request tries it."""
        self.ejected_at = now
        length = min(MAX_EJECTION_SECONDS, INITIAL_EJECTION_SECONDS * 2**self.rests)
        self.ejected_until = now + uniform(0.8, 1.2) * length
        self.rests += 1
        self.is_half_open = True

    def is_unresponsive(self, now, oldest_start):
        """Return whether the request begun at ``oldest_start`` waits for too long."""
        patience = max(MIN_UNRESPONSIVE_SECONDS, UNRESPONSIVE_FACTOR * self.latency)
        return now - oldest_start > patience

    def is_slow(self, median):
        """Return whether its answers take much longer than the ``median`` target's."""
        return self.latency > SLOW_FACTOR * median + MIN_SLOW_EXCESS_SECONDS
