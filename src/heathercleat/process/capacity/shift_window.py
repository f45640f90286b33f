"""The cap on a shift: how far the spill to a target may rise within a window."""

from collections import deque


class ShiftWindow:
    """Keeps the rise of a level within a cap over any window of time.

    :param cap: the most slots by which the level may rise.
    :param window: length of the window in seconds.
    """

    def __init__(self, cap, window):
        self._cap = cap
        self._window = window
        self._points = deque([(float("-inf"), 0)])

    @property
    def points(self):
        """Return ``(instant, level)`` of every change within the window."""
        return list(self._points)

    def adjust(self, cap, window):
        """Change the cap and the window; what has risen so far still counts."""
        self._cap = cap
        self._window = window

    def resume(self, points):
        """Go on from the points of the window of an earlier home."""
        if points:
            self._points = deque(points)

    def room(self, level, now):
        """Return by how many slots the level may rise above ``level`` at ``now``."""
        self.record(level, now)
        lowest = min(point[1] for point in self._points)
        return max(0, lowest + self._cap - level)

    def record(self, level, now):
        """Note that the level stands at ``level`` from ``now`` on."""
        points = self._points
        if points[-1][1] != level:
            points.append((now, level))
        horizon = now - self._window
        while len(points) > 1 and points[1][0] <= horizon:
            points.popleft()
