"""Upper bounds on how long targets take for requests, by route and service."""

from collections import deque
from contextlib import contextmanager

#: Maximum number of completed runs to remember for each route and service.
MAX_SAMPLES = 100
#: Minimum number of completed runs from which a bound is computed.
MIN_RUNS = 30
#: Factor by which a bound exceeds the longest known run.
BOUND_FACTOR = 1.25
#: The bound while too few runs are known.
UNBOUNDED = float("inf")


class ActiveRun:
    """A run in progress.

    :param started_at: instant at which its request was sent.
    :param seconds: its duration as reported by the target's owner, or ``None``.
    :param may_have_run: whether a target may have run the request.
    :param succeeded: whether a target sent a complete response without a server error.
    """

    __slots__ = ("started_at", "seconds", "may_have_run", "succeeded")

    def __init__(self, started_at):
        self.started_at = started_at
        self.seconds = None
        self.may_have_run = True
        self.succeeded = False

    def record(self, result):
        """Record the :class:`AttemptResult`; an aborted run has none."""
        self.seconds = result.response_time
        self.may_have_run = not result.outcome.not_run
        self.succeeded = result.succeeded


class RunTimes:
    """The runs of each route at each service.

    A bound is an estimate from past runs; later runs may exceed it.
    """

    def __init__(self, clock):
        self._clock = clock
        self._runs_by_key = {}

    @contextmanager
    def track(self, call):
        """Track a run during a ``with`` block, which receives the run."""
        route_runs = self._runs_of(call)
        run = ActiveRun(self._clock.now())
        route_runs.running.add(run)
        try:
            yield run
        finally:
            route_runs.end(run, self._clock.now())

    def sample_count(self, call):
        """Return the number of runs from which the bound of a call is computed."""
        return len(self._runs_of(call).latest)

    def bound(self, call):
        """Return the bound on the run of a call, in seconds.

        :data:`UNBOUNDED` while too few runs are known. The age of runs in progress is
        included, since the first runs to complete after a start are the shortest ones.
        """
        return self._runs_of(call).bound(self._clock.now())

    def longest_bound(self, route):
        """Return the longest bound over the services of a route, in seconds.

        :param route: name of the route.
        """
        bounds = (
            route_runs.bound(self._clock.now())
            for (name, _), route_runs in self._runs_by_key.items()
            if name == route
        )
        return max(bounds, default=UNBOUNDED)

    def retain(self, routes):
        """Drop all routes except the named ones and those with runs in progress.

        :param routes: names of the routes to keep.
        """
        self._runs_by_key = {
            key: route_runs
            for key, route_runs in self._runs_by_key.items()
            if key[0] in routes or route_runs.running
        }

    def _runs_of(self, call):
        key = call.route.name, call.service
        route_runs = self._runs_by_key.get(key)
        if route_runs is None:
            route_runs = self._runs_by_key[key] = _RouteRuns()
        return route_runs


class _RouteRuns:
    """The runs of one route at one service."""

    __slots__ = ("latest", "running")

    def __init__(self):
        self.latest = deque(maxlen=MAX_SAMPLES)
        self.running = set()

    def end(self, run, now):
        """Record the end of a run; a failed run only if it is the longest one."""
        self.running.discard(run)
        if not run.may_have_run:
            return
        seconds = now - run.started_at if run.seconds is None else run.seconds
        if run.succeeded or seconds > max(self.latest, default=0.0):
            self.latest.append(seconds)

    def bound(self, now):
        """Return the bound in seconds."""
        if len(self.latest) < MIN_RUNS:
            return UNBOUNDED
        ages = (now - run.started_at for run in self.running)
        return BOUND_FACTOR * max(*self.latest, *ages)
