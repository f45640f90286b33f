"""The report of a load test, as a table and as figures with goals."""

import re
from collections import Counter

from standins.stops.tally import Outcome, seconds_to_last_close

#: Maximum share of attempts refused when VMs are stopped one by one, and in the worst
#: seconds when all are stopped.
MAX_REFUSED_SHARE = 0.005
MAX_REFUSED_SHARE_TOGETHER = 0.10
#: Start of the details in the reason of a refusal.
DETAILS_PATTERN = re.compile(r' \(| for "')


class Report:
    """The results of a load test.

    :param tally: the :class:`Tally`.
    :param clients: the :class:`Clients`.
    :param refusals: number of log lines by the reason of a refusal.
    :param heading: the options of the run.
    """

    def __init__(self, tally, clients, stops, refusals, heading):
        self._tally = tally
        self._connection_records = clients.connection_records
        self._requests = clients.requests
        self._stops = stops
        self._refusals = refusals
        self._heading = heading

    def figures(self):
        """Return the figures of the JSON report."""
        tally = self._tally
        counts = tally.counts()
        return {
            **self._heading,
            "stops": len(self._stops),
            "seconds": round(tally.ended_at - tally.began_at, 1),
            "attempts": len(tally.attempts),
            **{outcome.value: counts[outcome] for outcome in Outcome},
            "taken over 3 s after SIGTERM": len(tally.accepted_late()),
            "once-only requests run twice": len(tally.run_twice()),
            "answers to other requests": len(tally.misdelivered()),
            "connections last closed at": round(
                seconds_to_last_close(self._connection_records, self._stops), 2
            ),
            "refused %": round(100 * tally.refused_share(), 2),
            "refused in the worst 2 s %": round(100 * tally.max_refused_share(), 1),
            "requests refused once or more": self._refused_requests(),
            "requests never served": self._never_served(),
            "failed by status": self._failed_by_status(),
            "refused by second after SIGTERM": self._refused_by_second(),
            "refused by reason, logged": self._refusals,
            "given up": [self._describe(each) for each in self._abandoned()],
        }

    def goals(self):
        """Return whether each goal is met, by its text."""
        tally = self._tally
        counts = tally.counts()
        abandoned_outcomes = (Outcome.ABANDONED, Outcome.ABANDONED_LATE)
        goals = {
            "0 run and given up": not any(counts[each] for each in abandoned_outcomes),
            "0 unanswered once read": not counts[Outcome.UNANSWERED],
            "0 refused that ran": not counts[Outcome.REFUSED_BUT_RAN],
            "0 once-only run twice": not tally.run_twice(),
            "0 answers to other requests": not tally.misdelivered(),
        }
        if self._heading["plan"] == "together":
            goals["under 10% refused in the worst 2 s"] = (
                tally.max_refused_share() < MAX_REFUSED_SHARE_TOGETHER
            )
        else:
            goals["under 0.5% refused"] = tally.refused_share() < MAX_REFUSED_SHARE
        return goals

    def table(self):
        """Return the figures and goals as a Markdown table."""
        rows = [
            f"| {name} | {_format_cell(value)} |"
            for name, value in self.figures().items()
        ]
        goals = [
            f"| goal: {name} | {'met' if met else 'MISSED'} |"
            for name, met in self.goals().items()
        ]
        return "\n".join(["| what | count |", "| --- | --- |", *rows, *goals])

    def _abandoned(self):
        return self._tally.with_outcome(
            Outcome.ABANDONED, Outcome.ABANDONED_LATE, Outcome.UNANSWERED
        )

    def _describe(self, attempt):
        """Describe an abandoned attempt, with its times in seconds after SIGTERM."""
        stop = self._tally.stop_of(attempt)
        outcome = self._tally.outcomes[attempt].value
        if stop is None:
            lasted = attempt.ended_at - attempt.sent_at
            return (
                f"{attempt.id} at {attempt.vm}, not stopping, {lasted:.2f} s: {outcome}"
            )
        sent = attempt.sent_at - stop.signalled_at
        ended = attempt.ended_at - stop.signalled_at
        answer = attempt.status or "no answer"
        return (
            f"{attempt.id} {attempt.kind.name} at {attempt.vm}, sent {sent:.2f} s, "
            f"{answer} {ended:.2f} s: {outcome}"
        )

    def _refused(self):
        return self._tally.with_outcome(Outcome.REFUSED, Outcome.REFUSED_BUT_RAN)

    def _failed_by_status(self):
        failed = self._tally.with_outcome(Outcome.FAILED)
        return dict(Counter(str(each.status) for each in failed))

    def _refused_by_second(self):
        """Return the number of refusals by second after SIGTERM of the VM."""
        seconds = Counter()
        for attempt in self._refused():
            seconds_after_signal = self._tally.seconds_after_signal(attempt)
            stopping = seconds_after_signal is not None and seconds_after_signal >= 0
            seconds[str(int(seconds_after_signal)) if stopping else "not stopping"] += 1
        return dict(sorted(seconds.items()))

    def _refused_requests(self):
        """Return the number of requests with a refused attempt."""
        refused = set(self._refused())
        return sum(not refused.isdisjoint(each.attempts) for each in self._requests)

    def _never_served(self):
        """Return the number of requests near the stops without a served attempt."""
        near = set(self._tally.attempts)
        return sum(
            near.issuperset(request.attempts)
            and not any(each.signed for each in request.attempts)
            for request in self._requests
            if request.attempts
        )


def count_refusals(lines):
    """Return the number of refusals in log lines by reason, without its details.

    Log lines that a VM suppressed are counted separately.
    """
    reasons = Counter()
    for line in lines:
        if line.get("name") == "request_refused":
            reasons[DETAILS_PATTERN.split(line["reason"], maxsplit=1)[0]] += 1
        if line.get("name") == "lines_left_out":
            reasons["lines left out"] += line["lines"]
    return dict(reasons.most_common())


def _format_cell(value):
    if isinstance(value, dict):
        return "; ".join(f"{name}: {count}" for name, count in value.items()) or "-"
    if isinstance(value, list):
        return "<br>".join(value) or "-"
    return value
