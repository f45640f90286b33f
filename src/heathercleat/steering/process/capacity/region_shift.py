"""Limit on how fast traffic shifts between regions."""

#: Length of a window in seconds.
WINDOW_SECONDS = 1.0
#: Fraction of the two-second limit that one window may use; windows are not aligned, so
#: several can overlap a period of two seconds.
STEP_SHARE = 0.35
#: Minimum number of requests in a window from which a share is computed.
MIN_REQUESTS = 10


class RegionShiftLimit:
    """Limits the change of the share of requests that this VM sends to other regions.

    There is no limit until the first window with enough requests has ended.

    :param max_change: share of the requests that may change region within two seconds.
    """

    __slots__ = ("_step", "_clock", "_ends_at", "_total", "_moved", "_last_share")

    def __init__(self, max_change, clock):
        self._step = STEP_SHARE * max_change
        self._clock = clock
        self._ends_at = 0.0
        self._total = 0
        self._moved = 0
        self._last_share = None

    @property
    def share(self):
        """Return the share of requests to other regions.

        This is the share in the last window with enough requests; 0 if there was none.
        """
        return self._last_share or 0.0

    def record(self, moved):
        """Record a request that was sent.

        :param moved: whether it was sent to another region.
        """
        self._roll_window()
        self._total += 1
        self._moved += moved

    def may_move(self):
        """Return whether one more request may go to another region now."""
        self._roll_window()
        if self._last_share is None:
            return True
        limit = self._last_share + self._step
        return self._moved + 1 <= limit * max(self._total + 1, MIN_REQUESTS)

    def must_move(self):
        """Return whether the next request has to go to another region.

        Otherwise the share would fall too fast.
        """
        self._roll_window()
        if self._last_share is None:
            return False
        return self._moved < (self._last_share - self._step) * self._total

    def _roll_window(self):
        now = self._clock.now()
        if now < self._ends_at:
            return
        if self._total >= MIN_REQUESTS:
            self._last_share = self._moved / self._total
        self._ends_at = now + WINDOW_SECONDS
        self._total = self._moved = 0
