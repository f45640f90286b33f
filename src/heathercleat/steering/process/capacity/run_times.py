"""How long runs of requests take at most, by route and service."""

from collections import deque
from contextlib import contextmanager

#: Runs that are remembered for each route and service.
MAX_SAMPLES = 100
#: Runs below which no bound is known.
MIN_RUNS = 30
#: What a bound is multiplied by, so that few runs beyond the longest one exceed it.
BOUND_FACTOR = 1.25
#: The bound where none is known.
UNBOUNDED = float("inf")


class ActiveRun:
    """A run under way.

    :param started_at: when its request was sent.
    :param seconds: what it took as its VM tells, ``None`` for the time until its end.
    :param may_have_run: whether it reached a target, as far as is known.
    :param succeeded: whether a target answered it in whole, and not with its failure.
    """

    __slots__ = ("started_at", "seconds", "may_have_run", "succeeded")

    def __init__(self, started_at):
        self.started_at = started_at
        self.seconds = None
        self.may_have_run = True
        self.succeeded = False

    def take(self, result):
        """Take the :class:`AttemptResult`; without one, the run was broken off."""
        self.seconds = result.work
        self.may_have_run = not result.end.not_run
        self.succeeded = result.succeeded


class RunTimes:
    """The runs of each route at each service.

    A bound is an estimate: it knows nothing of runs longer than all that were seen.
    """

    def __init__(self, clock):
        self._clock = clock
        self._times = {}

    @contextmanager
    def watch(self, call):
        """Count a run as under way for the time of the block, which gets the run."""
        times = self._of(call)
        run = ActiveRun(self._clock.now())
        times.running.add(run)
        try:
            yield run
        finally:
            times.end(run, self._clock.now())

    def count(self, call):
        """Return the number of runs on which a bound rests."""
        return len(self._of(call).latest)

    def bound(self, call):
        """Return the seconds that a run of a call takes at most, as far as is known.

        Runs under way count with the time that they have taken so far: those that have
        ended soon after a start are the shortest ones. :data:`UNBOUNDED` while too few
        runs are known.
        """
        return self._of(call).bound(self._clock.now())

    def longest_bound(self, route):
        """Return the longest bound of a route's services in seconds, by its name."""
        bounds = (
            times.bound(self._clock.now())
            for (name, _), times in self._times.items()
            if name == route
        )
        return max(bounds, default=UNBOUNDED)

    def keep(self, routes):
        """Forget all routes but those of some names."""
        self._times = {
            key: times
            for key, times in self._times.items()
            if key[0] in routes or times.running
        }

    def _of(self, call):
        key = call.route.name, call.service
        times = self._times.get(key)
        if times is None:
            times = self._times[key] = _Times()
        return times


class _Times:
    """The runs of one route at one service."""

    __slots__ = ("latest", "running")

    def __init__(self):
        self.latest = deque(maxlen=MAX_SAMPLES)
        self.running = set()

    def end(self, run, now):
        """Take the end of a run; one that failed only says how long runs may be."""
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
