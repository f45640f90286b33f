"""From how many ends on requests are refused, by how many requests a key stands for.

An end of a target is laid to the request that was under way there and, where nothing
speaks for that request yet, to its sender and to the strangers on its route: a caller
that changes each request is another request each time, but not another sender, and one
that changes its name as well stays a stranger.
"""

from functools import lru_cache
from hashlib import blake2b

#: First letters of the keys of groups; that of a request is hexadecimal.
SENDER_PREFIX, UNKNOWN_SENDERS_PREFIX = "s", "t"
#: 64 bits, as for requests.
DIGEST_BYTES = 8
#: Routes to services whose digits are kept.
MAX_CACHED_ROUTES = 1024


class CrashPolicy:
    """When requests of a key are refused, and for how long.

    :param ends: ends from which they are refused.
    :param crashes_to_stop_retries: ends from which one is sent to another target only
        when its
        caller comes back.
    :param initial_refusal_seconds: seconds for which they are refused after the last of
        so many
        ends; twice as long after each more.
    :param max_refusal_seconds: the longest such time in seconds.
    :param memory: seconds for which ends are laid to a key after the last one.
    """

    __slots__ = (
        "ends",
        "crashes_to_stop_retries",
        "initial_refusal_seconds",
        "max_refusal_seconds",
        "retention_seconds",
    )

    def __init__(
        self,
        ends,
        crashes_to_stop_retries,
        initial_refusal_seconds,
        max_refusal_seconds,
        retention_seconds,
    ):
        self.ends = ends
        self.crashes_to_stop_retries = crashes_to_stop_retries
        self.initial_refusal_seconds = initial_refusal_seconds
        self.max_refusal_seconds = max_refusal_seconds
        self.retention_seconds = retention_seconds

    def refusal_seconds(self, count):
        """Return the seconds for which requests are refused after an end.

        :param count: the ends that are known, that one included.
        """
        return min(
            self.max_refusal_seconds,
            self.initial_refusal_seconds * 2 ** (count - self.ends),
        )


#: One request ends what it runs on or does not: it is not tried again for a day.
REQUEST_POLICY = CrashPolicy(3, 2, 86_400.0, 86_400.0, 600.0)
#: A sender has other requests, which may be sound: one of them is tried ever more
#: rarely.
SENDER_POLICY = CrashPolicy(3, 3, 5.0, 300.0, 600.0)
#: Strangers have nothing in common but their route, and new callers come all the time.
UNKNOWN_SENDERS_POLICY = CrashPolicy(6, 6, 2.0, 30.0, 60.0)


def policy_for(key):
    """Return the :class:`CrashPolicy` for a request or a group."""
    if key.startswith(SENDER_PREFIX):
        return SENDER_POLICY
    return (
        UNKNOWN_SENDERS_POLICY
        if key.startswith(UNKNOWN_SENDERS_PREFIX)
        else REQUEST_POLICY
    )


def is_group_key(key):
    """Return whether a key stands for a group, not for one request."""
    return key.startswith((SENDER_PREFIX, UNKNOWN_SENDERS_PREFIX))


def is_unknown_senders_key(key):
    """Return whether a key stands for the strangers on a route."""
    return key.startswith(UNKNOWN_SENDERS_PREFIX)


def sender_key(service, route, sender):
    """Return the key of a sender's requests on one route to one service.

    :param sender: hexadecimal digits that tell the sender from others.
    """
    return SENDER_PREFIX + _place(service, route) + sender


def unknown_senders_key(service, route):
    """Return the key of the strangers' requests on one route to one service."""
    return UNKNOWN_SENDERS_PREFIX + _place(service, route)


@lru_cache(maxsize=MAX_CACHED_ROUTES)
def _place(service, route):
    """Return hexadecimal digits that tell a route to a service from others."""
    text = f"{len(service)}:{service}{route}".encode()
    return blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
