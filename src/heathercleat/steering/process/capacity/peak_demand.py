"""The highest demand of a region within the last wave of its callers."""

from collections import deque

#: Seconds for which a demand counts. Demand rises and falls with the time of day of a
#: region's callers; in the shortest wave known, within 36 s. Objects that returned to
#: their region in each trough would be uncached there, so that their requests are late.
HOLD_SECONDS = 40.0


class PeakDemand:
    """The highest demand within the last :data:`HOLD_SECONDS`."""

    __slots__ = ("_peaks",)

    def __init__(self):
        # Pairs of instant and demand. Each demand is lower than the ones before it.
        self._peaks = deque()

    def record(self, demand, now):
        """Record the present demand; return the highest one."""
        while self._peaks and self._peaks[-1][1] <= demand:
            self._peaks.pop()
        self._peaks.append((now, demand))
        while self._peaks[0][0] <= now - HOLD_SECONDS:
            self._peaks.popleft()
        return self._peaks[0][1]
