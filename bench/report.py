"""Benchmark reports: measurements with their baselines and bounds."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path

OUTPUT_FOLDER = Path("build/bench")


@dataclass(slots=True)
class Row:
    """One measurement and its baseline in the same run.

    ``bound`` is the largest ratio of the two that passes, or the smallest if
    ``at_least`` is set.
    """

    what: str
    value: float
    baseline: float
    unit: str
    against: str
    bound: float
    at_least: bool = False

    @property
    def ratio(self):
        """Return value over baseline; 0 over 0 is 0."""
        if self.baseline:
            return self.value / self.baseline
        return float("inf") if self.value else 0.0

    @property
    def passed(self):
        """Return whether the ratio is within its bound."""
        if self.at_least:
            return self.ratio >= self.bound
        return self.ratio <= self.bound

    def render(self):
        """Return a line of a Markdown table."""
        sign = ">=" if self.at_least else "<="
        verdict = "ok" if self.passed else "FAIL"
        return (
            f"| {self.what} | {self.value:.4g} {self.unit} | {self.baseline:.4g} "
            f"({self.against}) | {self.ratio:.3g} | {sign} {self.bound:g} | {verdict} |"
        )


HEADING = (
    "| what | here | baseline | ratio | bound | |\n"
    "| --- | --- | --- | --- | --- | --- |"
)


class Report:
    """Prints rows as they are added and writes them all at the end."""

    def __init__(self):
        self._rows = []
        print(HEADING)

    @property
    def passed(self):
        """Return whether every row is within its bound."""
        return all(row.passed for row in self._rows)

    def add(self, row):
        """Add and print a row."""
        self._rows.append(row)
        print(row.render(), flush=True)

    def write(self):
        """Write the report as Markdown and JSON."""
        OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
        lines = [HEADING, *(row.render() for row in self._rows)]
        (OUTPUT_FOLDER / "report.md").write_text("\n".join(lines) + "\n")
        rows = [{**asdict(row), "ratio": row.ratio} for row in self._rows]
        (OUTPUT_FOLDER / "report.json").write_text(json.dumps(rows, indent=1))
