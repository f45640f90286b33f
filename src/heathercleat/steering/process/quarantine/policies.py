"""When and how long crashes cause refusals, and the keys of requests and groups.

A crash of a target is attributed to the request in progress there. Unless the request
has had a complete response, the crash also counts against groups: the requests of its
sender and, if the sender is unknown, those of all unknown senders on its route. A
caller therefore cannot avoid the limits by changing its requests or its identity.
"""

from functools import lru_cache
from hashlib import blake2b

#: Prefixes of group keys; not hexadecimal, so distinct from keys of requests.
SENDER_PREFIX, UNKNOWN_SENDERS_PREFIX = "s", "t"
#: Length in bytes of the digests in keys; equal to that of request fingerprints.
DIGEST_BYTES = 8
#: Maximum number of cached route digests.
MAX_CACHED_ROUTES = 1024


class CrashPolicy:
    """Thresholds and durations of refusal for one kind of key.

    The key is that of a request, of a sender or of all unknown senders of a route.

    :param refusal_threshold: number of crashes at which requests are refused.
    :param no_retry_threshold: number of crashes at which a request is no longer retried
        at another target.
    :param initial_refusal_seconds: seconds of refusal once ``refusal_threshold`` is
        reached; doubles with each further crash.
    :param max_refusal_seconds: maximum seconds of refusal.
    :param retention_seconds: all crashes are forgotten this many seconds after the last
        one.
    """

    __slots__ = (
        "refusal_threshold",
        "no_retry_threshold",
        "initial_refusal_seconds",
        "max_refusal_seconds",
        "retention_seconds",
    )

    def __init__(
        self,
        refusal_threshold,
        no_retry_threshold,
        initial_refusal_seconds,
        max_refusal_seconds,
        retention_seconds,
    ):
        self.refusal_threshold = refusal_threshold
        self.no_retry_threshold = no_retry_threshold
        self.initial_refusal_seconds = initial_refusal_seconds
        self.max_refusal_seconds = max_refusal_seconds
        self.retention_seconds = retention_seconds

    def refusal_seconds(self, count):
        """Return the seconds for which requests are refused after a crash.

        :param count: number of known crashes, at least ``refusal_threshold``.
        """
        return min(
            self.max_refusal_seconds,
            self.initial_refusal_seconds * 2 ** (count - self.refusal_threshold),
        )


#: A request that crashes targets does so each time, and is refused for a day.
REQUEST_POLICY = CrashPolicy(3, 2, 86_400.0, 86_400.0, 600.0)
#: Short, since a sender may also send harmless requests: one request may run after each
#: period of refusal.
SENDER_POLICY = CrashPolicy(3, 3, 5.0, 300.0, 600.0)
#: Shorter, since unknown senders have only the route in common and include all new
#: callers.
UNKNOWN_SENDERS_POLICY = CrashPolicy(6, 6, 2.0, 30.0, 60.0)


def policy_for(key):
    """Return the :class:`CrashPolicy` for the key of a request or a group."""
    if key.startswith(SENDER_PREFIX):
        return SENDER_POLICY
    return (
        UNKNOWN_SENDERS_POLICY
        if key.startswith(UNKNOWN_SENDERS_PREFIX)
        else REQUEST_POLICY
    )


def is_group_key(key):
    """Return whether a key belongs to a group of requests and not to one request."""
    return key.startswith((SENDER_PREFIX, UNKNOWN_SENDERS_PREFIX))


def is_unknown_senders_key(key):
    """Return whether a key belongs to the unknown senders of a route."""
    return key.startswith(UNKNOWN_SENDERS_PREFIX)


def sender_key(service, route, sender):
    """Return the key of a sender's requests on one route to one service.

    :param sender: digest of the sender, as hexadecimal digits.
    """
    return SENDER_PREFIX + _route_digest(service, route) + sender


def unknown_senders_key(service, route):
    """Return the key of unknown senders' requests on one route to one service."""
    return UNKNOWN_SENDERS_PREFIX + _route_digest(service, route)


@lru_cache(maxsize=MAX_CACHED_ROUTES)
def _route_digest(service, route):
    """Return a digest of a route to a service, as hexadecimal digits."""
    text = f"{len(service)}:{service}{route}".encode()
    return blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
