"""Deadlines of a graceful shutdown, and which requests can complete before them."""

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError
from heathercleat.steering.process.retry_after import compute_retry_at

#: A deadline that never passes.
NO_DEADLINE = float("inf")
#: The process exits this many seconds before the platform kills it.
KILL_MARGIN_SECONDS = 0.35
#: This many seconds before the exit, the process starts to send ready responses without
#: waiting for earlier requests of their connection; long enough for a round trip.
FLUSH_SECONDS = 0.25
#: Maximum of each of the two preceding durations, as a fraction of the grace period.
MARGIN_SHARE = 1 / 12
#: Seconds after the stop signal for which client connections are kept open, since
#: clients with an old lookup result may still connect.
KEEP_ALIVE_SECONDS = 2.5
#: Expected seconds until the first VM serves again after all VMs were stopped together.
RESTART_SECONDS = 1.0
#: Reason in refusals of a VM that is shutting down.
LEAVING_REASON = "the VM is leaving"


class CompletionEstimate:
    """How long a request may still take during a shutdown.

    :param seconds_since_stop: seconds from the stop signal to the estimate.
    :param needed: upper bound of the seconds that the request needs.
    :param sample_count: number of past runs from which that bound was computed.
    """

    __slots__ = ("seconds_since_stop", "needed", "sample_count")

    def __init__(self, seconds_since_stop, needed, sample_count):
        self.seconds_since_stop = seconds_since_stop
        self.needed = needed
        self.sample_count = sample_count


class Shutdown:
    """The deadlines of this process after a stop signal.

    A request is sent to a target only if it will complete before the process exits.
    This is known if its deadline is before the exit. For a request that arrived while
    connections were kept open, it is also known if the bound on its route's run time
    is less than the time left before the exit.

    :param run_times: the :class:`RunTimes`.
    :param others_serve: returns whether another VM serves clients.
    """

    def __init__(self, run_times, others_serve):
        self._run_times = run_times
        self._others_serve = others_serve
        self._began_at = None
        self._keep_alive_until = NO_DEADLINE
        self._flush_at = NO_DEADLINE
        self._ends_at = NO_DEADLINE

    @property
    def run_times(self):
        """Return the :class:`RunTimes`."""
        return self._run_times

    @property
    def keep_alive_until(self):
        """Return the instant until which connections accept further requests.

        Infinite before :meth:`begin`.
        """
        return self._keep_alive_until

    @property
    def ends_at(self):
        """Return the instant of the process exit; infinite before :meth:`begin`."""
        return self._ends_at

    @property
    def flush_at(self):
        """Return the instant from which ready responses are sent at once.

        From then on they do not wait for earlier requests of their connection.
        """
        return self._flush_at

    def begin(self, now, grace):
        """Set the deadlines at a stop signal.

        :param now: instant of the signal.
        :param grace: seconds from now until the platform kills the process.
        """
        self._began_at = now
        max_margin = MARGIN_SHARE * grace
        self._ends_at = now + grace - min(KILL_MARGIN_SECONDS, max_margin)
        self._flush_at = self._ends_at - min(FLUSH_SECONDS, max_margin)
        self._keep_alive_until = min(now + KEEP_ALIVE_SECONDS, self.flush_at)

    def elapsed(self, now):
        """Return the seconds since the stop signal."""
        return now - self._began_at

    def check(self, call, now):
        """Check that a request can still complete.

        :raises RequestError: if the request might not complete. The client may retry at
            once if another VM is serving, and otherwise after a delay.
        """
        if self.is_too_late(call, now):
            mean_wait = 0.0 if self._others_serve() else RESTART_SECONDS
            retry_at = compute_retry_at(call, mean_wait, now)
            raise RequestError(ResultCode.NO_ROOM, LEAVING_REASON, retry_at)

    def is_too_late(self, call, now):
        """Return whether a request sent to a target now might not complete."""
        return now >= self.send_deadline(call)

    def send_deadline(self, call):
        """Return the instant until which a request may be sent to a target.

        :data:`NO_DEADLINE` if the request's own deadline is early enough; negative
        infinity if the request arrived after :attr:`keep_alive_until`.
        """
        if call.deadline <= self.flush_at:
            return NO_DEADLINE
        if call.arrived_at >= self._keep_alive_until:
            return -NO_DEADLINE
        return self.flush_at - self._run_times.bound(call)

    def is_time_short(self, route, now):
        """Return whether the time left no longer suffices for requests of a route.

        ``False`` for a route whose requests exceed the whole grace period.

        :param route: a :class:`Route`.
        """
        needed = min(route.timeout, self._run_times.longest_bound(route.name))
        total = self.flush_at - self._began_at
        return needed <= total and now + needed > self.flush_at

    def estimate(self, call, now):
        """Return the :class:`CompletionEstimate` of a request.

        ``None`` before the stop signal.
        """
        if self._began_at is None:
            return None
        needed = min(call.deadline - now, self._run_times.bound(call))
        return CompletionEstimate(
            self.elapsed(now), needed, self._run_times.sample_count(call)
        )
