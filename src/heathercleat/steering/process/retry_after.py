"""When a refused client may retry."""

from random import uniform

from heathercleat.process.clock import DISTANT_PAST

#: Maximum delay as a share of the client's remaining time; clients ignore longer ones.
MAX_DELAY_SHARE = 0.3


def compute_retry_at(call, mean_wait, now, closed_until=DISTANT_PAST):
    """Return the instant from which a refused client may retry.

    Jitter spreads the retries of clients that are refused together.

    :param mean_wait: expected seconds until the request can be served.
    :param closed_until: instant until which no target accepts requests; clients are
        told so even if it is later than they would wait.
    """
    max_delay = MAX_DELAY_SHARE * max(0.0, call.deadline - now)
    retry_at = now + min(max_delay, uniform(0.5, 1.5) * mean_wait)
    return max(retry_at, closed_until)
