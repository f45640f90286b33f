"""Retry-After instants for refused clients."""

from random import uniform

#: Longest retry delay that clients honour, as a fraction of their remaining time.
RETURN_SHARE = 0.3


def compute_retry_at(call, mean, now):
    """Return the instant from which a refused client may retry.

    The delay has random jitter, so that clients refused together do not retry together.

    :param mean: expected seconds until capacity is available.
    """
    longest = RETURN_SHARE * max(0.0, call.deadline - now)
    return now + min(longest, uniform(0.5, 1.5) * mean)
