"""Levels of the token buckets of workspaces, as far as this VM knows."""

from math import exp

#: Shortest seconds from the end of a process until another one of its VM serves.
RESTART_SECONDS = 0.25


class Level:
    """The level of one bucket.

    :param value: requests beyond the steady rate; the limit is the burst.
    :param use: requests within about a window, with exponential decay.
    """

    __slots__ = ("value", "use", "updated_at")

    def __init__(self, value, now):
        self.value = value
        self.use = 0.0
        self.updated_at = now

    def advance(self, now, workspace, window):
        """Let the level fall at the workspace's rate since the last update."""
        seconds = now - self.updated_at
        self.updated_at = now
        self.value = max(0.0, self.value - workspace.rate * seconds)
        self.use *= exp(-seconds / window)


class Levels:
    """The levels of all workspaces with a limit.

    :param find_workspace: returns the :class:`Workspace` with a name, or ``None``.
    :param bounds: the :class:`Bounds`.
    """

    def __init__(self, find_workspace, bounds, clock):
        self._find_workspace = find_workspace
        self._bounds = bounds
        self._clock = clock
        self._started_at = clock.now()
        self._levels = {}

    def add(self, name, count):
        """Add requests of a workspace that were admitted; negative for refunds."""
        level = self._current(name)
        if level is not None:
            level.value = max(0.0, level.value + count)
            level.use = max(0.0, level.use + count)

    def set(self, name, value):
        """Set the level of a workspace."""
        level = self._current(name)
        if level is not None:
            level.value = value

    def raise_to(self, name, value):
        """Set the level of a workspace unless it is higher already."""
        self.set(name, max(value, self.value(name)))

    def value(self, name):
        """Return the level of a workspace, 0 without a limit."""
        level = self._current(name)
        return 0.0 if level is None else level.value

    def use(self, name):
        """Return the requests of a workspace within about a window."""
        level = self._current(name)
        return 0.0 if level is None else level.use

    def values(self):
        """Return the levels above 0 by workspace, rounded up."""
        values = {name: self.value(name) for name in list(self._levels)}
        return {name: round(value + 0.5) for name, value in values.items() if value}

    def tolerated(self, workspace):
        """Return the requests by which a window may exceed the limit of a workspace."""
        limit = workspace.rate * self._bounds.quota_window + workspace.burst
        return self._bounds.quota_over * limit + self._bounds.quota_slack

    def _current(self, name):
        """Return the :class:`Level` as of now, ``None`` for no limit.

        A level above what is tolerated stems from an earlier, higher limit.
        """
        workspace, now = self._find_workspace(name), self._clock.now()
        if workspace is None or workspace.rate is None:
            self._levels.pop(name, None)
            return None
        level = self._levels.get(name)
        if level is None:
            level = self._levels[name] = Level(self._initial(workspace), now)
        level.advance(now, workspace, self._bounds.quota_window)
        highest = workspace.burst + self.tolerated(workspace)
        level.value = min(level.value, highest)
        return level

    def _initial(self, workspace):
        """Return the level if the burst was used up before this process started."""
        seconds = self._clock.now() - self._started_at + RESTART_SECONDS
        return max(0.0, workspace.burst - workspace.rate * seconds)
