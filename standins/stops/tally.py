"""Counts what planned stops did to requests, from outside."""

from collections import Counter
from enum import Enum

from standins.stops.records import NOT_RUN_STATUSES

#: Seconds after its last byte within which a request may cross a close.
LOSS_SLACK = 0.2
#: Seconds for which a disturbance that is not planned excuses what becomes of requests.
DISTURBED_SECONDS = 4.0
#: Seconds after SIGTERM from which a VM that stops should take nothing.
LAST_TAKEN_AFTER = 3.0
#: Part of the time before the kill in which a target may still be at work on a request.
LAST_PART = 5 / 6
#: Seconds before its deadline from which a request has run out of time.
TIMED_OUT_SLACK = 0.1
_ERROR = 400


class Outcome(Enum):
    """What became of an attempt; ``LATE`` counts from the first attempt."""

    SERVED = "served"
    LATE = "late"
    FAILED_AT_TARGET = "failed at target"
    REFUSED = "refused"
    REFUSED_BUT_RAN = "refused but ran"
    GIVEN_UP = "run and given up"
    EXCUSED = "run and given up, excused by the rules"
    DISTURBED = "run and given up beside a kill"
    UNANSWERED = "unanswered, never run"
    KILLED = "unanswered, never run, beside a kill"
    CROSSED = "crossed the close, never run"
    FAILED = "failed, never run"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"


class Run:
    """Runs of one attempt at targets.

    :param count: how many there were.
    :param until: when the last one is over, if nothing ends it.
    """

    __slots__ = ("count", "until")

    def __init__(self):
        self.count = 0
        self.until = 0.0


def collect_runs(spans):
    """Return ``{attempt id: Run}`` of the targets' records."""
    runs = {}
    for id, _, until in spans:
        run = runs.setdefault(id, Run())
        run.count += 1
        run.until = max(run.until, until)
    return runs


class Tally:
    """The counts of one run.

    :param attempts: every ended :class:`Attempt`.
    :param runs: ``{attempt id: Run}``.
    :param stops: every :class:`Stop`, all of them over.
    :param kills: instants of kills that were not planned.
    :param grace: seconds from SIGTERM to the platform's kill.
    """

    def __init__(self, attempts, runs, stops, kills, grace):
        self._runs = runs
        self._kills = kills
        self._grace = grace
        self._stops = {}
        for stop in stops:
            self._stops.setdefault(stop.vm, []).append(stop)
        self.began_at = min(stop.told_at for stop in stops)
        self.ended_at = max(stop.ready_at for stop in stops)
        self.attempts = [each for each in attempts if self._is_near(each)]
        self.outcomes = {each: self.outcome(each) for each in self.attempts}

    def counts(self):
        """Return the number of attempts by :class:`Outcome`."""
        return Counter(self.outcomes.values())

    def with_outcome(self, *outcomes):
        """Return the attempts that had one of some outcomes."""
        return [each for each, outcome in self.outcomes.items() if outcome in outcomes]

    def doubled(self):
        """Return the attempts that may run once and ran again."""
        return [each for each in self.attempts if each.kind.once and self.ran(each) > 1]

    def mixed(self):
        """Return the attempts that got a target's answer to another one."""
        return [
            each for each in self.attempts if each.signed and each.answer_to != each.id
        ]

    def taken_late(self):
        """Return the attempts that ran though they were sent late in a stop."""
        return [
            each
            for each in self.attempts
            if self.ran(each) and (self.after(each) or 0.0) > LAST_TAKEN_AFTER
        ]

    def refused_share(self):
        """Return the share of attempts that were refused."""
        return _share(self.attempts, self.outcomes)

    def worst_share(self, window=2.0, step=0.1, least=20):
        """Return the largest share refused of those sent in some window.

        :param least: attempts that a window has at least.
        """
        at, worst = self.began_at, 0.0
        while at < self.ended_at:
            sent = [each for each in self.attempts if at <= each.sent_at < at + window]
            if len(sent) >= least:
                worst = max(worst, _share(sent, self.outcomes))
            at += step
        return worst

    def after(self, attempt):
        """Return the seconds from SIGTERM to an attempt; ``None`` outside a stop."""
        stop = self.stop_of(attempt)
        return None if stop is None else attempt.sent_at - stop.told_at

    def stop_of(self, attempt):
        """Return the :class:`Stop` in whose time an attempt was under way."""
        for stop in self._stops.get(attempt.vm, ()):
            if _overlaps(attempt, stop):
                return stop
        return None

    def ran(self, attempt):
        """Return how often an attempt ran."""
        return self._runs[attempt.id].count if attempt.id in self._runs else 0

    def outcome(self, attempt):
        """Return the :class:`Outcome` of an attempt."""
        if not attempt.connected:
            return Outcome.NOT_CONNECTED
        if attempt.signed:
            return _of_target(attempt)
        if attempt.status in NOT_RUN_STATUSES:
            return Outcome.REFUSED_BUT_RAN if self.ran(attempt) else Outcome.REFUSED
        if timed_out(attempt):
            return Outcome.TIMED_OUT
        if self.ran(attempt):
            return self._of_run(attempt)
        if attempt.status is not None:
            return Outcome.FAILED
        if attempt.behind_close or attempt.ended_at <= attempt.sent_at + LOSS_SLACK:
            return Outcome.CROSSED
        return Outcome.KILLED if self._is_disturbed(attempt) else Outcome.UNANSWERED

    def _of_run(self, attempt):
        """Return the outcome of an attempt that ran and got no target's answer."""
        if self._is_disturbed(attempt):
            return Outcome.DISTURBED
        ran_last = any(self._is_last(attempt, stop) for stop in self._near(attempt))
        return Outcome.EXCUSED if ran_last else Outcome.GIVEN_UP

    def _near(self, attempt):
        """Return the stops that may have ended an attempt.

        That of its own VM, or else those of VMs to which it may have been passed on.
        """
        own = self.stop_of(attempt)
        if own is not None:
            return [own]
        every = (stop for stops in self._stops.values() for stop in stops)
        return [stop for stop in every if _overlaps(attempt, stop)]

    def _is_last(self, attempt, stop):
        """Return whether a target was at work on an attempt late in a stop."""
        if attempt.sent_at > stop.told_at + LAST_TAKEN_AFTER:
            return False
        worked_until = min(self._runs[attempt.id].until, attempt.ended_at)
        return worked_until >= stop.told_at + LAST_PART * self._grace

    def _is_disturbed(self, attempt):
        since = attempt.sent_at - DISTURBED_SECONDS
        return any(since <= kill <= attempt.ended_at for kill in self._kills)

    def _is_near(self, attempt):
        """Return whether an attempt was under way between the stops' begin and end."""
        return attempt.ended_at >= self.began_at and attempt.sent_at <= self.ended_at


def last_closed(opened, stops):
    """Return the most seconds after SIGTERM at which a connection was still open."""
    latest = 0.0
    for stop in stops:
        for each in opened:
            is_of_stop = each.vm == stop.vm and each.opened_at < stop.ended_at
            if is_of_stop and each.closed_at >= stop.told_at:
                latest = max(latest, each.closed_at - stop.told_at)
    return latest


def timed_out(attempt):
    """Return whether an attempt had no time left, or its client left."""
    return attempt.left or attempt.ended_at >= attempt.deadline - TIMED_OUT_SLACK


def _overlaps(attempt, stop):
    return attempt.sent_at <= stop.ended_at and attempt.ended_at >= stop.told_at


def _of_target(attempt):
    if attempt.status >= _ERROR:
        return Outcome.FAILED_AT_TARGET
    return Outcome.LATE if attempt.ended_at > attempt.aim_at else Outcome.SERVED


def _share(attempts, outcomes):
    refused = (Outcome.REFUSED, Outcome.REFUSED_BUT_RAN)
    count = sum(outcomes[each] in refused for each in attempts)
    return count / len(attempts) if attempts else 0.0
