"""From how many ends on requests are refused, by how many requests a key stands for.

An end of a target is laid to the request that was under way there and, where nothing
speaks for that request yet, to its sender and to the strangers on its route: a caller
that changes each request is another request each time, but not another sender, and one
that changes its name as well stays a stranger.
"""

from functools import lru_cache
from hashlib import blake2b

#: First letters of the keys of groups; that of a request is hexadecimal.
SENDER, STRANGERS = "s", "t"
#: 64 bits, as for requests.
DIGEST_BYTES = 8
#: Routes to services whose digits are kept.
MOST_PLACES = 1024


class Rule:
    """When requests of a key are refused, and for how long.

    :param ends: ends from which they are refused.
    :param ends_to_return: ends from which one is sent to another target only when its
        caller comes back.
    :param first_hold: seconds for which they are refused after the last of so many
        ends; twice as long after each more.
    :param longest_hold: the longest such time in seconds.
    :param memory: seconds for which ends are laid to a key after the last one.
    """

    __slots__ = ("ends", "ends_to_return", "first_hold", "longest_hold", "memory")

    def __init__(self, ends, ends_to_return, first_hold, longest_hold, memory):
        self.ends = ends
        self.ends_to_return = ends_to_return
        self.first_hold = first_hold
        self.longest_hold = longest_hold
        self.memory = memory

    def hold(self, count):
        """Return the seconds for which requests are refused after an end.

        :param count: the ends that are known, that one included.
        """
        return min(self.longest_hold, self.first_hold * 2 ** (count - self.ends))


#: One request ends what it runs on or does not: it is not tried again for a day.
REQUEST_RULE = Rule(3, 2, 86_400.0, 86_400.0, 600.0)
#: A sender has other requests, which may be sound: one of them is tried ever more
#: rarely.
SENDER_RULE = Rule(3, 3, 5.0, 300.0, 600.0)
#: Strangers have nothing in common but their route, and new callers come all the time.
STRANGERS_RULE = Rule(6, 6, 2.0, 30.0, 60.0)


def rule_of(key):
    """Return the :class:`Rule` for a request or a group."""
    if key.startswith(SENDER):
        return SENDER_RULE
    return STRANGERS_RULE if key.startswith(STRANGERS) else REQUEST_RULE


def is_group(key):
    """Return whether a key stands for a group, not for one request."""
    return key.startswith((SENDER, STRANGERS))


def is_of_strangers(key):
    """Return whether a key stands for the strangers on a route."""
    return key.startswith(STRANGERS)


def sender_key(service, route, sender):
    """Return the key of a sender's requests on one route to one service.

    :param sender: hexadecimal digits that tell the sender from others.
    """
    return SENDER + _place(service, route) + sender


def strangers_key(service, route):
    """Return the key of the strangers' requests on one route to one service."""
    return STRANGERS + _place(service, route)


@lru_cache(maxsize=MOST_PLACES)
def _place(service, route):
    """Return hexadecimal digits that tell a route to a service from others."""
    text = f"{len(service)}:{service}{route}".encode()
    return blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
