"""Classifies attempts near planned stops by their outcome."""

from collections import Counter
from enum import Enum

from standins.stops.records import NOT_RUN_STATUSES

#: Seconds for which a request may be on its way when the VM closes the connection.
CLOSE_RACE_SECONDS = 0.2
#: Seconds for which a kill may affect requests.
KILL_EFFECT_SECONDS = 4.0
#: Seconds after SIGTERM until which a VM accepts requests.
ACCEPT_SECONDS = 3.0
#: Share of the grace period after which the VM may abandon requests at targets.
LATE_RUN_SHARE = 5 / 6
#: Seconds before its deadline from which an attempt counts as timed out.
TIMED_OUT_MARGIN_SECONDS = 0.1
_MIN_ERROR_STATUS = 400


class Outcome(Enum):
    """The outcome of an attempt.

    ``LATE`` attempts were served after the latency objective of the request, which
    covers all its attempts. ``ABANDONED`` ones ran at a target whose response did not
    reach the client; ``ABANDONED_LATE`` ones did so near the end of the grace period,
    when a VM may abandon them. ``CLOSE_RACE`` ones may have been sent while the VM
    closed the connection.
    """

    SERVED = "served"
    LATE = "late"
    FAILED_AT_TARGET = "failed at target"
    REFUSED = "refused"
    REFUSED_BUT_RAN = "refused but ran"
    ABANDONED = "run and given up"
    ABANDONED_LATE = "run and given up, excused by the rules"
    ABANDONED_NEAR_KILL = "run and given up beside a kill"
    UNANSWERED = "unanswered, never run"
    UNANSWERED_NEAR_KILL = "unanswered, never run, beside a kill"
    CLOSE_RACE = "crossed the close, never run"
    FAILED = "failed, never run"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"


class Run:
    """The runs of one attempt at targets.

    :param count: number of runs.
    :param until: planned end of the last one.
    """

    __slots__ = ("count", "until")

    def __init__(self):
        self.count = 0
        self.until = 0.0


def collect_runs(spans):
    """Return ``{attempt id: Run}`` from the targets' run records."""
    runs = {}
    for id, _, until in spans:
        run = runs.setdefault(id, Run())
        run.count += 1
        run.until = max(run.until, until)
    return runs


class Tally:
    """The outcomes of all attempts near planned stops.

    :param attempts: every ended :class:`Attempt`.
    :param runs: ``{attempt id: Run}``.
    :param stops: every completed :class:`Stop`.
    :param kills: instants of SIGKILL.
    :param grace: seconds from SIGTERM to the platform's SIGKILL.
    """

    def __init__(self, attempts, runs, stops, kills, grace):
        self._runs = runs
        self._kills = kills
        self._grace = grace
        self._stops = {}
        for stop in stops:
            self._stops.setdefault(stop.vm, []).append(stop)
        self.began_at = min(stop.signalled_at for stop in stops)
        self.ended_at = max(stop.ready_at for stop in stops)
        self.attempts = [each for each in attempts if self._overlaps_stops(each)]
        self.outcomes = {each: self.outcome(each) for each in self.attempts}

    def counts(self):
        """Return the number of attempts by :class:`Outcome`."""
        return Counter(self.outcomes.values())

    def with_outcome(self, *outcomes):
        """Return the attempts that had one of the outcomes."""
        return [each for each, outcome in self.outcomes.items() if outcome in outcomes]

    def run_twice(self):
        """Return the at-most-once attempts that ran more than once."""
        return [each for each in self.attempts if each.kind.once and self.ran(each) > 1]

    def misdelivered(self):
        """Return the attempts that got the response to another one."""
        return [
            each
            for each in self.attempts
            if each.signed and each.response_id != each.id
        ]

    def accepted_late(self):
        """Return the attempts that ran although they were sent late in a shutdown."""
        return [
            each
            for each in self.attempts
            if self.ran(each)
            and (self.seconds_after_signal(each) or 0.0) > ACCEPT_SECONDS
        ]

    def refused_share(self):
        """Return the share of attempts that were refused."""
        return _refused_share(self.attempts, self.outcomes)

    def max_refused_share(self, window=2.0, step=0.1, min_attempts=20):
        """Return the largest share of refused attempts in a sliding window.

        :param window: length in seconds.
        :param min_attempts: minimum number of attempts in a window.
        """
        at, worst = self.began_at, 0.0
        while at < self.ended_at:
            sent = [each for each in self.attempts if at <= each.sent_at < at + window]
            if len(sent) >= min_attempts:
                worst = max(worst, _refused_share(sent, self.outcomes))
            at += step
        return worst

    def seconds_after_signal(self, attempt):
        """Return the seconds from SIGTERM to an attempt; ``None`` without a stop."""
        stop = self.stop_of(attempt)
        return None if stop is None else attempt.sent_at - stop.signalled_at

    def stop_of(self, attempt):
        """Return the :class:`Stop` of its VM during an attempt, or ``None``."""
        for stop in self._stops.get(attempt.vm, ()):
            if _overlaps(attempt, stop):
                return stop
        return None

    def ran(self, attempt):
        """Return the number of runs of an attempt."""
        return self._runs[attempt.id].count if attempt.id in self._runs else 0

    def outcome(self, attempt):
        """Return the :class:`Outcome` of an attempt."""
        if not attempt.connected:
            return Outcome.NOT_CONNECTED
        if attempt.signed:
            return _outcome_of_response(attempt)
        if attempt.status in NOT_RUN_STATUSES:
            return Outcome.REFUSED_BUT_RAN if self.ran(attempt) else Outcome.REFUSED
        if timed_out(attempt):
            return Outcome.TIMED_OUT
        if self.ran(attempt):
            return self._outcome_of_run(attempt)
        if attempt.status is not None:
            return Outcome.FAILED
        if (
            attempt.after_close
            or attempt.ended_at <= attempt.sent_at + CLOSE_RACE_SECONDS
        ):
            return Outcome.CLOSE_RACE
        return (
            Outcome.UNANSWERED_NEAR_KILL
            if self._is_near_kill(attempt)
            else Outcome.UNANSWERED
        )

    def _outcome_of_run(self, attempt):
        """Return the outcome of an attempt that ran without a target's response."""
        if self._is_near_kill(attempt):
            return Outcome.ABANDONED_NEAR_KILL
        ran_late = any(
            self._ran_late(attempt, stop) for stop in self._possible_stops(attempt)
        )
        return Outcome.ABANDONED_LATE if ran_late else Outcome.ABANDONED

    def _possible_stops(self, attempt):
        """Return the stops that may have aborted an attempt.

        That of its VM, or else those of VMs to which it may have been forwarded.
        """
        own = self.stop_of(attempt)
        if own is not None:
            return [own]
        every = (stop for stops in self._stops.values() for stop in stops)
        return [stop for stop in every if _overlaps(attempt, stop)]

    def _ran_late(self, attempt, stop):
        """Return whether an attempt was running at a target late in a stop."""
        if attempt.sent_at > stop.signalled_at + ACCEPT_SECONDS:
            return False
        worked_until = min(self._runs[attempt.id].until, attempt.ended_at)
        return worked_until >= stop.signalled_at + LATE_RUN_SHARE * self._grace

    def _is_near_kill(self, attempt):
        since = attempt.sent_at - KILL_EFFECT_SECONDS
        return any(since <= kill <= attempt.ended_at for kill in self._kills)

    def _overlaps_stops(self, attempt):
        """Return whether an attempt overlaps the time of the stops."""
        return attempt.ended_at >= self.began_at and attempt.sent_at <= self.ended_at


def seconds_to_last_close(connection_records, stops):
    """Return the longest time from a VM's SIGTERM to its last close of a connection."""
    latest = 0.0
    for stop in stops:
        for each in connection_records:
            is_of_stop = each.vm == stop.vm and each.opened_at < stop.ended_at
            if is_of_stop and each.closed_at >= stop.signalled_at:
                latest = max(latest, each.closed_at - stop.signalled_at)
    return latest


def timed_out(attempt):
    """Return whether an attempt reached its deadline."""
    return (
        attempt.client_timed_out
        or attempt.ended_at >= attempt.deadline - TIMED_OUT_MARGIN_SECONDS
    )


def _overlaps(attempt, stop):
    return attempt.sent_at <= stop.ended_at and attempt.ended_at >= stop.signalled_at


def _outcome_of_response(attempt):
    if attempt.status >= _MIN_ERROR_STATUS:
        return Outcome.FAILED_AT_TARGET
    return Outcome.LATE if attempt.ended_at > attempt.soft_deadline else Outcome.SERVED


def _refused_share(attempts, outcomes):
    refused = (Outcome.REFUSED, Outcome.REFUSED_BUT_RAN)
    count = sum(outcomes[each] in refused for each in attempts)
    return count / len(attempts) if attempts else 0.0
