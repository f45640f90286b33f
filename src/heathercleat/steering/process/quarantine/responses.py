"""Recent complete responses, after which crashes do not count against a key.

A key is that of a request or of a group of requests.
"""

from collections import deque
from typing import Protocol

#: Seconds after a complete response in which a crash is not attributed to the request.
#: A frequent request is in progress at most targets that crash for other reasons. The
#: time is short, since a request may crash targets that responded to it before.
EXEMPTION_SECONDS = 3.0
#: Maximum number of unused responses remembered of a key; equal to the maximum number
#: of crashes remembered of a group.
MAX_CREDITS = 16


class ResponseHistory(Protocol):
    """Decides which crashes do not count because of complete responses."""

    def record(self, key, now):
        """Record a complete response to a request of a key."""

    def claim_exemption(self, key, now):
        """Return whether a crash reported now is exempt; may use up a response."""


class RecentResponses:
    """Responses, each of which exempts its key from all crashes for a time.

    The time is :data:`EXEMPTION_SECONDS`.

    :param max_keys: maximum number of keys; the least recent key is evicted.
    """

    __slots__ = ("_max_keys", "_instants")

    def __init__(self, max_keys):
        self._max_keys = max_keys
        # Key to the instant of its last response, the latest last.
        self._instants = {}

    def record(self, key, now):
        """Record a complete response."""
        self._instants.pop(key, None)
        self._instants[key] = now
        if len(self._instants) > self._max_keys:
            del self._instants[next(iter(self._instants))]

    def claim_exemption(self, key, now):
        """Return whether the last response is recent."""
        responded_at = self._instants.get(key)
        return responded_at is not None and now - responded_at <= EXEMPTION_SECONDS

    def __contains__(self, key):
        return key in self._instants

    def __len__(self):
        return len(self._instants)


class ResponseCredits:
    """Responses, each of which exempts its key from a single crash.

    :param max_keys: maximum number of keys; the least recent key is evicted.
    """

    __slots__ = ("_max_keys", "_credits")

    def __init__(self, max_keys):
        self._max_keys = max_keys
        # Key to the instants of its unused responses, the latest key last.
        self._credits = {}

    def record(self, key, now):
        """Record a complete response."""
        credits = self._credits.pop(key, None)
        self._credits[key] = deque(maxlen=MAX_CREDITS) if credits is None else credits
        self._credits[key].append(now)
        if len(self._credits) > self._max_keys:
            del self._credits[next(iter(self._credits))]

    def claim_exemption(self, key, now):
        """Use up a recent response; return ``False`` if there was none."""
        credits = self._credits.get(key)
        if not credits:
            return False
        return now - credits.popleft() <= EXEMPTION_SECONDS or self.claim_exemption(
            key, now
        )

    def __len__(self):
        return len(self._credits)
