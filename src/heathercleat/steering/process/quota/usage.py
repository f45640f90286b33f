"""Requests that this VM admitted, by workspace."""

from bisect import bisect_left
from collections import deque


class Usage:
    """The admitted requests of each workspace.

    :param levels: the :class:`Levels`, to which each request is added.
    :param bounds: the :class:`Bounds`, for the length of the window.
    """

    def __init__(self, levels, bounds, clock):
        self._levels = levels
        self._bounds = bounds
        self._clock = clock
        # By workspace name: instants of admission within the window, in order, and the
        # number of requests since the start.
        self._admissions = {}
        self._totals = {}

    def record(self, workspace):
        """Record one request that is admitted now; return the instant."""
        now = self._clock.now()
        self._levels.add(workspace, 1)
        self._admissions.setdefault(workspace, deque()).append(now)
        self._totals[workspace] = self._totals.get(workspace, 0) + 1
        return now

    def remove(self, workspace, instant):
        """Remove a request that did not run, unless the window has passed."""
        admissions = self._current(workspace)
        if instant in admissions:
            admissions.remove(instant)
            self._levels.add(workspace, -1)
            self._totals[workspace] -= 1

    def count(self, workspace):
        """Return the number of requests in the window."""
        return len(self._current(workspace))

    def count_since(self, workspace, instant):
        """Return the number of requests in the window from an instant on."""
        admissions = self._current(workspace)
        return len(admissions) - bisect_left(admissions, instant)

    def totals(self):
        """Return the requests since the start of workspaces with some in the window."""
        return {
            name: self._totals[name]
            for name in list(self._admissions)
            if self._current(name)
        }

    def _current(self, workspace):
        """Return the instants within the window."""
        admissions = self._admissions.get(workspace)
        if admissions is None:
            return ()
        begins_at = self._clock.now() - self._bounds.quota_window
        while admissions and admissions[0] <= begins_at:
            admissions.popleft()
        if not admissions:
            del self._admissions[workspace]
        return admissions


class Charge:
    """One admitted request, charged to its workspace.

    :param workspace: its name.
    """

    __slots__ = ("_usage", "_workspace", "_admitted_at")

    def __init__(self, usage, workspace):
        self._usage = usage
        self._workspace = workspace
        self._admitted_at = usage.record(workspace)

    def refund(self):
        """Take the charge back, since the request did not run."""
        self._usage.remove(self._workspace, self._admitted_at)

    def record_repeat(self):
        """Charge a further run of the request."""
        self._usage.record(self._workspace)
