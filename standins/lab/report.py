"""Reports on an experiment: Markdown tables, a plot and figures as JSON."""

import json

import pygal
from hdrh.histogram import HdrHistogram

#: A request is "in aim" when it succeeded within the latency objective, and "given up"
#: when an attempt ran at a target but failed, before the deadline, without the target's
#: response.
OUTCOMES = ("in aim", "late", "refused", "given up", "failed")
MS_PER_SECOND = 1000
#: Largest latency of the histogram, in milliseconds, and its significant digits.
MAX_LATENCY_MS = 60_000
SIGNIFICANT_DIGITS = 3


class Group:
    """Counts and latencies of a group of requests.

    :param latency_objective: objective in seconds.
    """

    def __init__(self, results, latency_objective):
        self.counts = dict.fromkeys(OUTCOMES, 0)
        self.retried = 0
        self._latencies = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
        for result in results:
            self.counts[outcome(result, latency_objective)] += 1
            self.retried += result.attempts > 1
            if result.status == 200:
                self._latencies.record_value(int(result.seconds * MS_PER_SECOND))

    @property
    def total(self):
        """Return the number of requests."""
        return sum(self.counts.values())

    def latency(self, percentile):
        """Return a latency percentile of successful requests, in milliseconds."""
        return self._latencies.get_value_at_percentile(percentile)

    def row(self, name):
        """Return a line of a Markdown table."""
        counts = " | ".join(str(self.counts[each]) for each in OUTCOMES)
        times = f"{self.latency(50)} | {self.latency(99)}"
        return f"| {name} | {self.total} | {counts} | {self.retried} | {times} |"


#: "asked" is the number of requests, "came back" that of requests with a retry.
HEADING = (
    f"| | asked | {' | '.join(OUTCOMES)} | came back | p50 ms | p99 ms |\n"
    f"|{' --- |' * (len(OUTCOMES) + 5)}"
)


def outcome(result, latency_objective):
    """Return which of :data:`OUTCOMES` a request had."""
    if result.is_abandoned:
        return "given up"
    if result.status == 200:
        return "in aim" if result.seconds <= latency_objective else "late"
    return "refused" if result.status == 503 else "failed"


class Report:
    """The report on one run of a scenario.

    :param scenario: the :class:`Scenario`.
    :param results: a list of :class:`Result`.
    """

    def __init__(self, scenario, results):
        self._scenario = scenario
        self._whole = Group(results, scenario.latency_objective)
        self._domains = _grouped(
            results, lambda each: each.domain, scenario.latency_objective
        )
        self._seconds = _grouped(
            results, lambda each: int(each.sent_at), scenario.latency_objective
        )

    def write(self, folder):
        """Write ``report.md``, ``plot.svg`` and ``report.json``."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "report.md").write_text(self.markdown())
        (folder / "plot.svg").write_bytes(self._plot())
        (folder / "report.json").write_text(json.dumps(self.figures(), indent=1))

    def markdown(self):
        """Return the Markdown tables."""
        faults = [f"- {fault.describe()}" for fault in self._scenario.faults]
        return "\n".join(
            [
                "# Faults",
                "",
                *(faults or ["none"]),
                "",
                "# All requests, and by client",
                "",
                HEADING,
                self._whole.row("all"),
                *(each.row(name) for name, each in self._domains.items()),
                "",
                "# By second",
                "",
                HEADING,
                *(each.row(second) for second, each in self._seconds.items()),
                "",
            ]
        )

    def figures(self):
        """Return the figures by group, as :func:`compare` reads them."""
        groups = {"all": self._whole, **self._domains}
        return {
            name: {
                "in aim %": round(100 * group.counts["in aim"] / group.total, 1),
                "refused %": round(100 * group.counts["refused"] / group.total, 1),
                "given up %": round(100 * group.counts["given up"] / group.total, 1),
                "came back %": round(100 * group.retried / group.total, 1),
                "failed %": round(100 * group.counts["failed"] / group.total, 1),
                "p50 ms": group.latency(50),
                "p99 ms": group.latency(99),
            }
            for name, group in groups.items()
        }

    def _plot(self):
        chart = pygal.StackedLine(fill=True, title="Requests by second and outcome")
        chart.x_labels = list(map(str, self._seconds))
        for each in OUTCOMES:
            counts = [group.counts[each] for group in self._seconds.values()]
            chart.add(each, counts)
        return chart.render()


def compare(before, after):
    """Return a Markdown table that compares two maps of :meth:`Report.figures`."""
    lines = ["| | figure | before | after |", "| --- | --- | --- | --- |"]
    for name in before.keys() & after.keys():
        for figure, value in before[name].items():
            lines.append(f"| {name} | {figure} | {value} | {after[name][figure]} |")
    return "\n".join([*lines[:2], *sorted(lines[2:])])


def _grouped(results, key, latency_objective):
    groups = {}
    for result in results:
        groups.setdefault(key(result), []).append(result)
    return {name: Group(groups[name], latency_objective) for name in sorted(groups)}
