"""A limit on how fast requests move between regions."""

#: Seconds of one window.
WINDOW_SECONDS = 1.0
#: Change of the share within one window, as a part of the change that is allowed within
#: two seconds: the VMs of a region count apart, and windows of any beginning count.
STEP_SHARE = 0.35
#: Requests below which a window says nothing of shares.
MIN_REQUESTS = 10


class RegionShiftLimit:
    """Counts the requests that this VM sends to other regions, by window.

    A VM that has sent nothing yet may move any share: nothing changes region then.

    :param most: share of the requests that may change region within two seconds.
    """

    __slots__ = ("_step", "_clock", "_ends_at", "_total", "_moved", "_last_share")

    def __init__(self, most, clock):
        self._step = STEP_SHARE * most
        self._clock = clock
        self._ends_at = 0.0
        self._total = 0
        self._moved = 0
        self._last_share = None

    @property
    def share(self):
        """Return the share of the last whole window that went to other regions."""
        return self._last_share or 0.0

    def count(self, moved):
        """Note a request that was sent, and whether it went to another region."""
        self._roll()
        self._total += 1
        self._moved += moved

    def may_move(self):
        """Return whether one more request may go to another region now."""
        self._roll()
        if self._last_share is None:
            return True
        limit = self._last_share + self._step
        return self._moved + 1 <= limit * max(self._total + 1, MIN_REQUESTS)

    def must_move(self):
        """Return whether a request that may go elsewhere should, to return slowly."""
        self._roll()
        if self._last_share is None:
            return False
        return self._moved < (self._last_share - self._step) * self._total

    def _roll(self):
        now = self._clock.now()
        if now < self._ends_at:
            return
        if self._total >= MIN_REQUESTS:
            self._last_share = self._moved / self._total
        self._ends_at = now + WINDOW_SECONDS
        self._total = self._moved = 0
