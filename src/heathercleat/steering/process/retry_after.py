"""When a refused client is asked to come back."""

from random import uniform

#: Part of a client's remaining time up to which it honours the advice.
RETURN_SHARE = 0.3


def compute_retry_at(call, mean, now):
    """Return the instant from which a refused client is welcome again.

    Clients that are refused together come back apart, and within the time in which
    they honour the advice.

    :param mean: seconds after which there is room, as far as is known.
    """
    longest = RETURN_SHARE * max(0.0, call.deadline - now)
    return now + min(longest, uniform(0.5, 1.5) * mean)
