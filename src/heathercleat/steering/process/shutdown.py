"""When a leaving VM ends, and which requests it can still finish."""

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError
from heathercleat.steering.process.retry_after import compute_retry_at

#: The instant of an end that does not come.
NO_DEADLINE = float("inf")
#: Seconds before the platform's kill at which a leaving process ends by itself.
KILL_MARGIN_SECONDS = 0.35
#: Seconds before the end at which the answers that are ready go first: they need a
#: round trip at most to be sent.
FLUSH_SECONDS = 0.25
#: Part of the time until the kill that each of these takes at most.
MARGIN_SHARE = 1 / 12
#: Seconds after the stop signal until which clients' connections are kept: those that
#: looked the VM up before may come for so long.
KEEP_ALIVE_SECONDS = 2.5
#: Seconds after which one of the VMs that stop together may serve again.
RESTART_SECONDS = 1.0
#: Why a request was given back.
LEAVING_REASON = "the VM is leaving"


class StopEstimate:
    """What a leaving VM knew of a request when it took it.

    :param after: seconds since the stop signal.
    :param needed: seconds that the request was taken to need at most.
    :param runs: runs of its route at its service on which that rests.
    """

    __slots__ = ("after", "needed", "runs")

    def __init__(self, after, needed, runs):
        self.after = after
        self.needed = needed
        self.runs = runs


class Shutdown:
    """The end of this process, once it has been told to leave.

    A request is sent to a target only if it ends before the process does: by its
    deadline, or, where it came while connections were kept, by the bound on the runs of
    its route.

    :param runs: the :class:`RunTimes`.
    :param others_serve: returns whether a VM serves to which clients may go.
    """

    def __init__(self, runs, others_serve):
        self._runs = runs
        self._others_serve = others_serve
        self._began_at = None
        self._keeps_until = NO_DEADLINE
        self._last_answers_at = NO_DEADLINE
        self._ends_at = NO_DEADLINE

    @property
    def runs(self):
        """Return the :class:`RunTimes`."""
        return self._runs

    @property
    def keep_alive_until(self):
        """Return the instant until which connections take further requests."""
        return self._keeps_until

    @property
    def ends_at(self):
        """Return the instant at which the process ends; infinite while it stays."""
        return self._ends_at

    @property
    def flush_at(self):
        """Return the instant from which ready answers wait for no others."""
        return self._last_answers_at

    def begin(self, now, grace):
        """Start to leave.

        :param grace: seconds from now until the platform kills the process.
        """
        self._began_at = now
        most = MARGIN_SHARE * grace
        self._ends_at = now + grace - min(KILL_MARGIN_SECONDS, most)
        self._last_answers_at = self._ends_at - min(FLUSH_SECONDS, most)
        self._keeps_until = min(now + KEEP_ALIVE_SECONDS, self.flush_at)

    def elapsed(self, now):
        """Return the seconds since the stop signal."""
        return now - self._began_at

    def check(self, call, now):
        """Check that a request can still be finished.

        :raises RequestError: when it may not; the client may come back at once, to
            another VM, or later where none serves.
        """
        if self.is_too_late(call, now):
            mean = 0.0 if self._others_serve() else RESTART_SECONDS
            retry_at = compute_retry_at(call, mean, now)
            raise RequestError(ResultCode.NO_ROOM, LEAVING_REASON, retry_at)

    def is_too_late(self, call, now):
        """Return whether a request sent to a target now might be cut."""
        return now >= self.send_deadline(call)

    def send_deadline(self, call):
        """Return the instant until which a request may be sent to a target.

        :data:`NO_DEADLINE` where its deadline ends it soon enough.
        """
        if call.deadline <= self.flush_at:
            return NO_DEADLINE
        if call.arrived_at >= self._keeps_until:
            return -NO_DEADLINE
        return self.flush_at - self._runs.bound(call)

    def is_time_short(self, route, now):
        """Return whether little time is left for what could be finished at first.

        :param route: a :class:`Route`.
        """
        needed = min(route.timeout, self._runs.longest_bound(route.name))
        whole = self.flush_at - self._began_at
        return needed <= whole and now + needed > self.flush_at

    def estimate(self, call, now):
        """Return the :class:`StopEstimate` of a request; ``None`` while it stays."""
        if self._began_at is None:
            return None
        needed = min(call.deadline - now, self._runs.bound(call))
        return StopEstimate(self.elapsed(now), needed, self._runs.count(call))
