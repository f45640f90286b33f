"""Tests that the reference pages list what the code defines."""

import re
from pathlib import Path

import pytest

from heathercleat import ResultCode
from heathercleat.events import Event
from heathercleat.process.metrics import Metrics
from heathercleat.steering.process.metrics import SteeringMetrics
from standins.fleet import ROOT

DOCS = ROOT / "docs" / "reference"
SOURCES = [path.read_text() for path in (ROOT / "src").rglob("*.py")]


def table_rows(name):
    lines = (DOCS / name).read_text().splitlines()
    cells = [line.strip("|").split("|") for line in lines if re.match(r"\| \d", line)]
    return [[cell.strip(" `") for cell in row] for row in cells]


def test_result_codes_and_their_table_agree():
    documented = [
        (row[0], row[1], row[2], row[3], row[5])
        for row in table_rows("result-codes.md")
    ]
    coded = [
        (
            str(code.number),
            code.name,
            str(code.status),
            code.run.value,
            str(code.exit_status),
        )
        for code in ResultCode
    ]
    assert documented == coded


def test_events_and_their_catalogue_agree():
    documented = [(row[0], row[1]) for row in table_rows("events.md")]
    assert documented == [(str(event.number), event.name.lower()) for event in Event]


@pytest.mark.parametrize("kind", [Event, ResultCode])
def test_numbers_are_unique(kind):
    numbers = [each.number for each in kind]
    assert len(numbers) == len(set(numbers))


@pytest.mark.parametrize("event", Event, ids=lambda event: event.name)
def test_every_event_is_logged_somewhere(event):
    assert any(f"Event.{event.name}" in source for source in SOURCES)


@pytest.mark.parametrize("code", ResultCode, ids=lambda code: code.name)
def test_every_code_is_used_somewhere(code):
    assert any(f"ResultCode.{code.name}" in source for source in SOURCES)


def test_metrics_and_their_page_agree():
    documented = set(
        re.findall(r"`(heathercleat_\w+)`", (DOCS / "metrics.md").read_text())
    )
    collectors = (Metrics(None)._registry, SteeringMetrics(dict))
    names = {metric.name for each in collectors for metric in each.collect()}
    exported = {name for name in names if name.startswith("heathercleat_")}
    assert documented == exported


def test_links_between_pages_are_not_broken():
    pages = [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
    for page in pages:
        for target in re.findall(r"\]\(([^)#]+)", page.read_text()):
            assert (page.parent / Path(target)).exists(), (page.name, target)
