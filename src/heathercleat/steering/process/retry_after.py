"""When a refused client may retry."""

from random import uniform

#: Maximum delay as a share of the client's remaining time; clients ignore longer ones.
MAX_DELAY_SHARE = 0.3


def compute_retry_at(call, mean_wait, now):
    """Return the instant from which a refused client may retry.

    Jitter spreads the retries of clients that are refused together.

    :param mean_wait: expected seconds until the request can be served.
    """
    max_delay = MAX_DELAY_SHARE * max(0.0, call.deadline - now)
    return now + min(max_delay, uniform(0.5, 1.5) * mean_wait)
