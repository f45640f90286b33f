"""A table and figures of a run, and the goals that they are held against."""

import re
from collections import Counter

from standins.stops.tally import Outcome, last_closed

#: Goals: none run and given up, none unanswered once read, and shares of requests
#: refused, where VMs are stopped in turn and in the worst seconds of a fleet's stop.
MOST_REFUSED = 0.005
MOST_REFUSED_TOGETHER = 0.10
#: What a reason tells of one request begins so.
DETAILS = re.compile(r' \(| for "')


class Report:
    """What came of a run.

    :param tally: the :class:`Tally`.
    :param clients: the :class:`Clients`.
    :param refusals: number of log lines of VMs by the reason of a refusal.
    :param heading: what ran, a map of texts and numbers.
    """

    def __init__(self, tally, clients, stops, refusals, heading):
        self._tally = tally
        self._opened = clients.opened
        self._requests = clients.requests
        self._stops = stops
        self._refusals = refusals
        self._heading = heading

    def figures(self):
        """Return the figures as they go into a file."""
        tally = self._tally
        counts = tally.counts()
        return {
            **self._heading,
            "stops": len(self._stops),
            "seconds": round(tally.ended_at - tally.began_at, 1),
            "attempts": len(tally.attempts),
            **{outcome.value: counts[outcome] for outcome in Outcome},
            "taken over 3 s after SIGTERM": len(tally.taken_late()),
            "once-only requests run twice": len(tally.doubled()),
            "answers to other requests": len(tally.mixed()),
            "connections last closed at": round(
                last_closed(self._opened, self._stops), 2
            ),
            "refused %": round(100 * tally.refused_share(), 2),
            "refused in the worst 2 s %": round(100 * tally.worst_share(), 1),
            "requests refused once or more": self._refused_requests(),
            "requests never served": self._never_served(),
            "failed by status": self._failed_by_status(),
            "refused by second after SIGTERM": self._refused_by_second(),
            "refused by reason, logged": self._refusals,
            "given up": [self._describe(each) for each in self._given_up()],
        }

    def goals(self):
        """Return ``{goal: whether it is met}``."""
        tally = self._tally
        counts = tally.counts()
        given_up = (Outcome.GIVEN_UP, Outcome.EXCUSED)
        goals = {
            "0 run and given up": not any(counts[each] for each in given_up),
            "0 unanswered once read": not counts[Outcome.UNANSWERED],
            "0 refused that ran": not counts[Outcome.REFUSED_BUT_RAN],
            "0 once-only run twice": not tally.doubled(),
            "0 answers to other requests": not tally.mixed(),
        }
        if self._heading["plan"] == "together":
            goals["under 10% refused in the worst 2 s"] = (
                tally.worst_share() < MOST_REFUSED_TOGETHER
            )
        else:
            goals["under 0.5% refused"] = tally.refused_share() < MOST_REFUSED
        return goals

    def table(self):
        """Return the figures and goals as a table in Markdown."""
        rows = [
            f"| {name} | {_text(value)} |" for name, value in self.figures().items()
        ]
        goals = [
            f"| goal: {name} | {'met' if met else 'MISSED'} |"
            for name, met in self.goals().items()
        ]
        return "\n".join(["| what | count |", "| --- | --- |", *rows, *goals])

    def _given_up(self):
        return self._tally.with_outcome(
            Outcome.GIVEN_UP, Outcome.EXCUSED, Outcome.UNANSWERED
        )

    def _describe(self, attempt):
        """Return an attempt that was given up, in seconds after SIGTERM."""
        stop = self._tally.stop_of(attempt)
        outcome = self._tally.outcomes[attempt].value
        if stop is None:
            lasted = attempt.ended_at - attempt.sent_at
            return (
                f"{attempt.id} at {attempt.vm}, not stopping, {lasted:.2f} s: {outcome}"
            )
        sent = attempt.sent_at - stop.told_at
        ended = attempt.ended_at - stop.told_at
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
        """Return counts by second after the signal of the VM that refused."""
        seconds = Counter()
        for attempt in self._refused():
            after = self._tally.after(attempt)
            inside = after is not None and after >= 0
            seconds[str(int(after)) if inside else "not stopping"] += 1
        return dict(sorted(seconds.items()))

    def _refused_requests(self):
        """Return the number of requests one of whose attempts was refused."""
        refused = set(self._refused())
        return sum(not refused.isdisjoint(each.attempts) for each in self._requests)

    def _never_served(self):
        """Return the number of requests none of whose attempts was served."""
        near = set(self._tally.attempts)
        return sum(
            near.issuperset(request.attempts)
            and not any(each.signed for each in request.attempts)
            for request in self._requests
            if request.attempts
        )


def count_refusals(lines):
    """Return the number of refusals by reason, of log lines; VMs leave some out.

    What a reason tells of the moment, in parentheses or quoted, is left out.
    """
    reasons = Counter()
    for line in lines:
        if line.get("name") == "request_refused":
            reasons[DETAILS.split(line["reason"], maxsplit=1)[0]] += 1
        if line.get("name") == "lines_left_out":
            reasons["lines left out"] += line["lines"]
    return dict(reasons.most_common())


def _text(value):
    if isinstance(value, dict):
        return "; ".join(f"{name}: {count}" for name, count in value.items()) or "-"
    if isinstance(value, list):
        return "<br>".join(value) or "-"
    return value
