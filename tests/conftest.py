"""Shared fixtures, Hypothesis profiles and the list of tests that may fail."""

import os
from pathlib import Path

import pytest
from hypothesis import Phase, settings

from standins.demo import demo_text
from standins.fleet import SUBNET_VARIABLE, Fleet

#: If set, Hypothesis draws fresh examples; otherwise its examples are reproducible.
EXPLORE_VARIABLE = "HEATHERCLEAT_EXPLORE"
settings.register_profile("same", derandomize=True)
settings.register_profile("fresh", print_blob=True)
settings.load_profile("fresh" if EXPLORE_VARIABLE in os.environ else "same")

#: For state machines that simulate many heartbeats, where shrinking takes minutes.
PHASES_WITHOUT_SHRINKING = (Phase.explicit, Phase.reuse, Phase.generate)

VMS = {"north-a": 2, "north-b": 1, "south-a": 1, "south-b": 1}


#: Offset between the subnets of two pytest-xdist workers.
SUBNETS_PER_WORKER = 40


#: Tests that may fail, one per line: ``test | cause | issue``.
KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red():
    """Return ``{test id: cause}`` of the tests that may fail."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    rows = [line.split(" | ") for line in lines if line and not line.startswith("#")]
    return {test: f"{cause} (issue {issue})" for test, cause, issue in rows}


def pytest_collection_modifyitems(items):
    causes = known_red()
    for item in items:
        if item.nodeid in causes:
            item.add_marker(pytest.mark.xfail(reason=causes[item.nodeid]))


def pytest_terminal_summary(terminalreporter):
    for test, cause in known_red().items():
        terminalreporter.write_line(f"known red: {test}: {cause}")


def pytest_configure(config):
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    offset = int(os.environ.get(SUBNET_VARIABLE, 0)) + SUBNETS_PER_WORKER * int(worker)
    os.environ[SUBNET_VARIABLE] = str(offset)


@pytest.fixture(scope="module")
def fleet():
    """Run five VMs in four failure domains of two regions, once per test module."""
    with Fleet(demo_text(), VMS, subnet=20) as running:
        running.wait_ready()
        yield running
