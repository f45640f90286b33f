"""Whole answers, which speak for requests, their senders and strangers."""

from collections import deque
from typing import Protocol

#: Seconds after a whole answer in which an end is not laid to its request: a request
#: that many callers send is under way at most targets that end by another cause. Not
#: longer, since a request may begin to end targets that answered it before.
EXEMPTION_SECONDS = 3.0
#: ResponseHistory that are kept for ends to come: as many as ends are remembered of a
#: group.
MAX_CREDITS = 16


class ResponseHistory(Protocol):
    """What whole answers say about ends."""

    def note(self, key, now):
        """Note a whole answer to a request of a key."""

    def exempts_crash(self, key, now):
        """Return whether an end that is learned of now is not laid to a key."""


class RecentResponses:
    """ResponseHistory that speak for all ends: what is answered does not end its
    target.

    :param most: keys that are remembered, the latest answered ones.
    """

    __slots__ = ("_most", "_instants")

    def __init__(self, most):
        self._most = most
        # The latest one at the end.
        self._instants = {}

    def note(self, key, now):
        """Note a whole answer."""
        self._instants.pop(key, None)
        self._instants[key] = now
        if len(self._instants) > self._most:
            del self._instants[next(iter(self._instants))]

    def exempts_crash(self, key, now):
        """Return whether the last answer is recent."""
        answered_at = self._instants.get(key)
        return answered_at is not None and now - answered_at <= EXEMPTION_SECONDS

    def __contains__(self, key):
        return key in self._instants

    def __len__(self):
        return len(self._instants)


class ResponseCredits:
    """ResponseHistory that speak for one end each: who was answered is not who ended a
    target.

    :param most: keys that are remembered, the latest answered ones.
    """

    __slots__ = ("_most", "_credits")

    def __init__(self, most):
        self._most = most
        # Instants of answers by key, the latest answered key at the end.
        self._credits = {}

    def note(self, key, now):
        """Note a whole answer."""
        credits = self._credits.pop(key, None)
        self._credits[key] = deque(maxlen=MAX_CREDITS) if credits is None else credits
        self._credits[key].append(now)
        if len(self._credits) > self._most:
            del self._credits[next(iter(self._credits))]

    def exempts_crash(self, key, now):
        """Spend a recent answer; return whether there was one."""
        credits = self._credits.get(key)
        if not credits:
            return False
        return now - credits.popleft() <= EXEMPTION_SECONDS or self.exempts_crash(
            key, now
        )

    def __len__(self):
        return len(self._credits)
