"""Policies by which crashes lead to refusals, and the keys of requests and groups.

A crash of a target is attributed to the request in progress there. Unless the request
has had a complete response, the crash also counts against groups: the requests of its
sender and, if the sender is unknown, those of all unknown senders on its route. So a
caller cannot avoid the limits by changing its requests or its identity.
"""

from functools import lru_cache
from hashlib import blake2b

#: Prefixes of group keys; not hexadecimal, so distinct from keys of requests.
SENDER, STRANGERS = "s", "t"
#: As for the fingerprints of requests.
DIGEST_BYTES = 8
#: Most digests of routes to services to cache.
MOST_PLACES = 1024


class Rule:
    """When requests of a key are refused, and for how long.

    :param ends: number of crashes from which requests are refused.
    :param ends_to_return: number of crashes from which a request is no longer retried
        at another target within one attempt.
    :param first_hold: seconds of refusal after ``ends`` crashes; doubles with each
        further crash.
    :param longest_hold: upper limit of these seconds.
    :param memory: seconds after the last crash for which crashes count.
    """

    __slots__ = ("ends", "ends_to_return", "first_hold", "longest_hold", "memory")

    def __init__(self, ends, ends_to_return, first_hold, longest_hold, memory):
        self.ends = ends
        self.ends_to_return = ends_to_return
        self.first_hold = first_hold
        self.longest_hold = longest_hold
        self.memory = memory

    def hold(self, count):
        """Return the seconds for which requests are refused after a crash.

        :param count: number of known crashes, at least ``ends``.
        """
        return min(self.longest_hold, self.first_hold * 2 ** (count - self.ends))


#: A request that crashes targets does so each time, and is refused for a day.
REQUEST_RULE = Rule(3, 2, 86_400.0, 86_400.0, 600.0)
#: A sender may also send harmless requests; one of them is tried after each refusal.
SENDER_RULE = Rule(3, 3, 5.0, 300.0, 600.0)
#: Mild, since unknown senders share only their route and include all new callers.
STRANGERS_RULE = Rule(6, 6, 2.0, 30.0, 60.0)


def rule_of(key):
    """Return the :class:`Rule` for the key of a request or a group."""
    if key.startswith(SENDER):
        return SENDER_RULE
    return STRANGERS_RULE if key.startswith(STRANGERS) else REQUEST_RULE


def is_group(key):
    """Return whether a key is of a group, not of one request."""
    return key.startswith((SENDER, STRANGERS))


def is_of_strangers(key):
    """Return whether a key is of the unknown senders on a route."""
    return key.startswith(STRANGERS)


def sender_key(service, route, sender):
    """Return the key of a sender's requests on one route to one service.

    :param sender: digest of the sender, as hexadecimal digits.
    """
    return SENDER + _place(service, route) + sender


def strangers_key(service, route):
    """Return the key of unknown senders' requests on one route to one service."""
    return STRANGERS + _place(service, route)


@lru_cache(maxsize=MOST_PLACES)
def _place(service, route):
    """Return a digest of a route to a service, as hexadecimal digits."""
    text = f"{len(service)}:{service}{route}".encode()
    return blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
