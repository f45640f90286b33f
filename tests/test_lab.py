"""Tests of the lab: scenarios are validated and requests counted by outcome."""

import json
import subprocess
import sys

import pytest

from standins.lab.load import Result, mark_abandoned
from standins.lab.report import Group, Report, compare, outcome
from standins.lab.scenario import Scenario, ScenarioError, load_scenario

DOCUMENT = {
    "seconds": 2,
    "failure_domains": {"north-a": "north"},
    "vms": {"north-a": 1},
    "targets": {"t-1": {"failure_domain": "north-a", "slots": 4}},
    "clients": {"north-a": 10},
    "work_s": 0.02,
    "faults": [{"at_s": 1, "for_s": 0.5, "kind": "store_down"}],
}


def make_result(status=200, seconds=0.1, sent_at=0.5, domain="north-a"):
    return Result(sent_at, domain, seconds, status, 1)


def write_scenario(folder, **changes):
    path = folder / "scenario.jsonc"
    path.write_text("// a comment\n" + json.dumps({**DOCUMENT, **changes}))
    return path


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (make_result(), "in aim"),
        (make_result(seconds=0.4), "late"),
        (make_result(503), "refused"),
        (make_result(502), "failed"),
        (make_result(None), "failed"),
    ],
)
def test_result_is_classified_by_its_outcome(result, expected):
    assert outcome(result, 0.3) == expected


@pytest.mark.parametrize(
    ("runs", "expected"),
    [
        ([["q-1", "/", 1, ""]], "given up"),
        ([["q-2", "/", 1, ""]], "in aim"),
        ([], "in aim"),
    ],
)
def test_request_is_given_up_where_a_failed_attempt_ran(runs, expected):
    retried = Result(0.5, "north-a", 0.1, 200, 2, ["q-1"])
    mark_abandoned([retried], runs)
    assert outcome(retried, 0.3) == expected


def test_latencies_count_successful_responses_only():
    group = Group([make_result(seconds=0.1), make_result(503, seconds=9.0)], 0.3)
    assert (group.total, group.latency(99)) == (2, 100)


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"clients": {"nowhere": 1}}, "clients/nowhere: no such failure domain"),
        ({"vms": {"nowhere": 1}}, "vms/nowhere: no such failure domain"),
        ({"seconds": 0}, "seconds: 0 is less than"),
        ({"typo": 1}, "'typo' was unexpected"),
        ({"faults": [{"at_s": 1, "kind": "flood"}]}, "'flood' is not one of"),
        (
            {"faults": [{"at_s": 1, "for_s": 9, "kind": "rolling_restart"}]},
            "faults/0: a rolling restart ends by itself",
        ),
    ],
)
def test_invalid_scenario_is_an_error(tmp_path, changes, message):
    with pytest.raises(ScenarioError, match=message):
        load_scenario(write_scenario(tmp_path, **changes))


def test_report_has_tables_a_plot_and_figures(tmp_path):
    results = [make_result(), make_result(503, sent_at=1.5, domain="north-b")]
    Report(Scenario(DOCUMENT), results).write(tmp_path)
    text = (tmp_path / "report.md").read_text()
    assert "1 s to 1.5 s: store_down" in text
    assert "| north-b | 1 | 0 | 0 | 1 | 0 |" in text
    assert (tmp_path / "plot.svg").read_bytes().startswith(b"<?xml")
    figures = json.loads((tmp_path / "report.json").read_text())
    assert figures["all"]["in aim %"] == 50.0


def test_two_reports_are_compared():
    before = {"all": {"in aim %": 50.0}}
    after = {"all": {"in aim %": 75.0}, "north-a": {"in aim %": 75.0}}
    assert compare(before, after).splitlines()[-1] == "| all | in aim % | 50.0 | 75.0 |"


def test_scenario_runs_from_the_command_line(tmp_path):
    command = [sys.executable, "-m", "standins.lab", "run"]
    paths = [str(write_scenario(tmp_path)), str(tmp_path / "out")]
    done = subprocess.run([*command, *paths], capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    figures = json.loads((tmp_path / "out" / "report.json").read_text())
    assert figures["all"]["in aim %"] > 0


def test_invalid_scenario_is_reported_on_the_command_line(tmp_path):
    command = [sys.executable, "-m", "standins.lab", "run"]
    paths = [str(write_scenario(tmp_path, typo=1)), str(tmp_path / "out")]
    done = subprocess.run([*command, *paths], capture_output=True, text=True)
    assert done.returncode != 0
    assert "typo" in done.stderr
    assert "Traceback" not in done.stderr
