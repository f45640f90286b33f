"""A limit on how fast requests move to other regions."""

#: Seconds of one window.
WINDOW = 2.0
#: Share of the allowed change between two windows that is used, since the VMs of a
#: region count apart and their windows do not begin together.
USED_SHARE = 0.5
#: Requests below which a window says nothing of shares.
LEAST_REQUESTS = 10


class ShiftLimit:
    """Counts the requests that this VM sends to other regions, by window.

    :param most: share of the requests that may change region between two windows.
    """

    __slots__ = ("_most", "_clock", "_ends_at", "_total", "_moved", "_last_share")

    def __init__(self, most, clock):
        self._most = USED_SHARE * most
        self._clock = clock
        self._ends_at = 0.0
        self._total = 0
        self._moved = 0
        self._last_share = 0.0

    @property
    def share(self):
        """Return the share of the last whole window that went to other regions."""
        return self._last_share

    def count(self, moved):
        """Note a request that was sent, and whether it went to another region."""
        self._roll()
        self._total += 1
        self._moved += moved

    def may_move(self):
        """Return whether one more request may go to another region now."""
        self._roll()
        limit = self._last_share + self._most
        return self._moved + 1 <= limit * max(self._total + 1, LEAST_REQUESTS)

    def _roll(self):
        now = self._clock.now()
        if now < self._ends_at:
            return
        self._last_share = self._moved / self._total if self._total else 0.0
        self._ends_at = now + WINDOW
        self._total = self._moved = 0
