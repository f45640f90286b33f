"""Rate limit on the slots of a target that other failure domains use."""

from collections import deque


class ShiftWindow:
    """Limits the rise of a level over a sliding window.

    The level is the number of slots that other failure domains use.

    :param cap: maximum rise within the window, in slots.
    :param window: length of the window in seconds.
    """

    def __init__(self, cap, window):
        self._cap = cap
        self._window = window
        self._points = deque([(float("-inf"), 0)])

    @property
    def points(self):
        """Return ``(instant, level)`` pairs: the changes of the level in the window."""
        return list(self._points)

    def reconfigure(self, cap, window):
        """Change the cap and the window; earlier rises still count."""
        self._cap = cap
        self._window = window

    def resume(self, points):
        """Continue with the points that the previous home handed over."""
        if points:
            self._points = deque(points)

    def headroom(self, level, now):
        """Record ``level`` and return by how many slots it may rise now."""
        self.record(level, now)
        lowest = min(point[1] for point in self._points)
        return max(0, lowest + self._cap - level)

    def record(self, level, now):
        """Record the level and drop points that are older than the window."""
        points = self._points
        if points[-1][1] != level:
            points.append((now, level))
        horizon = now - self._window
        while len(points) > 1 and points[1][0] <= horizon:
            points.popleft()
