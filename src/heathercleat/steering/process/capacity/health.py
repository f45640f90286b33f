"""Outlier detection and ejection of an owned target."""

from random import uniform

from heathercleat.process.clock import DISTANT_PAST

#: Weight of the newest response in the moving averages.
LATENCY_WEIGHT = 0.15
FAILURE_WEIGHT = 0.2
#: Smaller, since targets are compared by their rejection rates.
REJECTION_WEIGHT = 0.1
#: Failure rate from which a target is ejected; four failures in a row reach it.
EJECTION_FAILURE_RATE = 0.55
#: A target that rejects requests is ejected only if its rejection rate exceeds that of
#: the other targets of its service by this much: if all reject alike, an ejection only
#: takes the part away that they still accept.
REJECTION_EXCESS = 0.4
#: Share of the rejection rate that is kept at an ejection, so that one rejection after
#: it does not cause the next one.
KEPT_REJECTION_SHARE = 0.8
#: Seconds of the first and of the longest ejection; each ejection doubles the time.
INITIAL_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
#: A target is unresponsive once its oldest request has run for this multiple of the
#: mean latency, and for at least this many seconds.
UNRESPONSIVE_FACTOR = 5.0
MIN_UNRESPONSIVE_SECONDS = 0.9
#: A target is slow if its latency exceeds this multiple of the median of its service by
#: more than this many seconds.
SLOW_FACTOR = 2.5
MIN_SLOW_EXCESS_SECONDS = 0.05


class TargetHealth:
    """Moving averages over a target's responses, and its ejections.

    Works as a circuit breaker: after an ejection a single request probes the target.
    """

    __slots__ = (
        "latency",
        "failure_rate",
        "rejection_rate",
        "ejected_at",
        "ejected_until",
        "ejection_count",
        "is_half_open",
    )

    def __init__(self):
        self.latency = 0.0
        self.failure_rate = 0.0
        self.rejection_rate = 0.0
        self.ejected_at = DISTANT_PAST
        self.ejected_until = 0.0
        self.ejection_count = 0
        self.is_half_open = False

    def record_success(self, seconds):
        """Record a complete response that took ``seconds``."""
        weight = LATENCY_WEIGHT if self.latency else 1.0
        self.latency += weight * (seconds - self.latency)
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate
        self.rejection_rate -= REJECTION_WEIGHT * self.rejection_rate
        if self.is_half_open:
            self.is_half_open = False
            self.failure_rate = 0.0
        self.ejection_count = max(0, self.ejection_count - 1)

    def predates_ejection(self, started_at):
        """Return whether a request was sent before the last ejection.

        Such a request's failure is not counted: requests that fail together must not
        extend the ejection.
        """
        return started_at <= self.ejected_at

    def record_failure(self, now, started_at, may_eject=True):
        """Record a failed request; return whether the target is ejected for it.

        :param started_at: instant at which the request was sent.
        :param may_eject: whether an ejection is within the :class:`EjectionLimit`.
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

    def record_rejection(self, now, started_at, usual_rate, may_eject=True):
        """Record a request that the target rejected without running it.

        :param started_at: instant at which the request was sent.
        :param usual_rate: the rejection rate of the other targets of the service.
        :param may_eject: whether an ejection is within the :class:`EjectionLimit`.
        :return: whether the target is ejected for it.
        """
        if self.predates_ejection(started_at):
            return False
        self.rejection_rate += REJECTION_WEIGHT * (1.0 - self.rejection_rate)
        max_rate = max(EJECTION_FAILURE_RATE, usual_rate + REJECTION_EXCESS)
        if self.rejection_rate < max_rate or not may_eject:
            self.is_half_open = False
            return False
        self.rejection_rate *= KEPT_REJECTION_SHARE
        self.eject(now)
        return True

    def eject(self, now):
        """Eject the target for a jittered time, after which one request probes it."""
        self.ejected_at = now
        seconds_ejected = min(
            MAX_EJECTION_SECONDS, INITIAL_EJECTION_SECONDS * 2**self.ejection_count
        )
        self.ejected_until = now + uniform(0.8, 1.2) * seconds_ejected
        self.ejection_count += 1
        self.is_half_open = True

    def probe_next(self):
        """Let a single request show whether the target accepts requests again."""
        self.is_half_open = True

    def is_unresponsive(self, now, oldest_started_at):
        """Return whether the oldest request in progress has run for too long.

        :param oldest_started_at: instant at which that request was sent.
        """
        max_run_seconds = max(
            MIN_UNRESPONSIVE_SECONDS, UNRESPONSIVE_FACTOR * self.latency
        )
        return now - oldest_started_at > max_run_seconds

    def is_slow(self, median):
        """Return whether the latency is well above the ``median`` of the service."""
        return self.latency > SLOW_FACTOR * median + MIN_SLOW_EXCESS_SECONDS
