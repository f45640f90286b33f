"""When a leaving VM ends, and which requests it can still finish."""

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError

#: The instant of an end that does not come.
NO_END = float("inf")
#: Seconds before the platform's kill at which a leaving process ends by itself.
STOP_MARGIN = 0.35
#: Seconds before the end at which the answers that are ready go first: they need a
#: round trip at most to be sent.
LAST_ANSWERS = 0.25
#: Seconds after the stop signal until which clients' connections are kept: those that
#: looked the VM up before may come for so long.
LINGER_SECONDS = 2.5
#: Why a request was given back.
LEAVING = "the VM is leaving"


class StopEstimate:
    """What a leaving VM knew of a request when it took it.

    :param after: seconds since the stop signal.
    :param needed: seconds that the request was taken to need at most.
    :param answers: answers of the route on which that rests.
    """

    __slots__ = ("after", "needed", "answers")

    def __init__(self, after, needed, answers):
        self.after = after
        self.needed = needed
        self.answers = answers


class Departure:
    """The end of this process, once it has been told to leave.

    A request is sent to a target only if it ends before the process does: by its
    deadline, or by the bound on the times of its route.

    :param work_times: the :class:`WorkTimes`.
    """

    def __init__(self, work_times):
        self._work_times = work_times
        self._began_at = None
        self._keeps_until = NO_END
        self._ends_at = NO_END

    @property
    def keeps_until(self):
        """Return the instant until which connections take further requests."""
        return self._keeps_until

    @property
    def ends_at(self):
        """Return the instant at which the process ends; infinite while it stays."""
        return self._ends_at

    @property
    def last_answers_at(self):
        """Return the instant from which ready answers wait for no others."""
        return self._ends_at - LAST_ANSWERS

    def begin(self, now, grace):
        """Start to leave.

        :param grace: seconds from now until the platform kills the process.
        """
        self._began_at = now
        self._ends_at = now + grace - STOP_MARGIN
        self._keeps_until = min(now + LINGER_SECONDS, self.last_answers_at)

    def elapsed(self, now):
        """Return the seconds since the stop signal."""
        return now - self._began_at

    def check(self, route, deadline, now):
        """Check that a request of a route can still be finished.

        :raises RequestError: when it may not; the client may come back at once, to
            another VM.
        """
        if self.is_too_late(route, deadline, now):
            raise RequestError(ResultCode.NO_ROOM, LEAVING, retry_at=now)

    def is_too_late(self, route, deadline, now):
        """Return whether a request sent to a target now might be cut.

        :param deadline: the instant at which the request ends in any case.
        """
        return now >= self.send_by(route, deadline, now)

    def is_short(self, route, now):
        """Return whether a request of a :class:`Route` that comes now may be cut."""
        return self.is_too_late(route.name, now + route.timeout, now)

    def send_by(self, route, deadline, now):
        """Return the instant until which a request may be sent to a target.

        :data:`NO_END` where its deadline ends it soon enough.
        """
        if deadline <= self.last_answers_at:
            return NO_END
        return self.last_answers_at - self._work_times.bound(route, now)

    def estimate(self, route, deadline, now):
        """Return the :class:`StopEstimate` of a request; ``None`` while it stays."""
        if self._began_at is None:
            return None
        needed = min(deadline - now, self._work_times.bound(route, now))
        return StopEstimate(self.elapsed(now), needed, self._work_times.answers(route))
