"""When a refused client may retry."""

from random import uniform

#: Part of a client's remaining time up to which it honours the advice.
MAX_DELAY_SHARE = 0.3


def compute_retry_at(call, mean, now):
    """Return the instant from which a refused client may retry.

    Jitter spreads the retries of clients that are refused together.

    :param mean: seconds after which there is room, as far as is known.
    """
    longest = MAX_DELAY_SHARE * max(0.0, call.deadline - now)
    return now + min(longest, uniform(0.5, 1.5) * mean)
