"""Tests that a change of home never lets a target exceed its slots."""

import signal
import time

import pytest

from standins.fleet import Fleet, wait_for
from standins.load import Load

SERVICE = "slow"
SLOTS = 6
WORK_SECONDS = 3.0
TIMEOUT_MS = 5000


def slow_text():
    kind = {
        "kind": "read",
        "method": "GET",
        "path": "/",
        "run": "idempotent",
        "timeout_ms": TIMEOUT_MS,
    }
    targets = {
        f"slow-{number}": {"failure_domain": "north-a", "slots": SLOTS}
        for number in range(4)
    }
    return {
        "regions": {"north": {"failure_domains": ["north-a"]}},
        "services": {SERVICE: {"requests": [kind], "targets": targets}},
    }


@pytest.fixture
def busy_fleet():
    """Two VMs with four targets whose slots are all taken by long requests."""
    with Fleet(slow_text(), {"north-a": 2}, subnet=21) as fleet:
        fleet.wait_ready()
        for name in fleet.targets:
            fleet.switch_target(name, service_s=WORK_SECONDS, cancel_s=0.1)
        hosts = [vm.host for vm in fleet.vms.values()]
        with Load(hosts, SERVICE, rate=30, timeout=8.0):
            wait_for(lambda: in_flight(fleet) == SLOTS * len(fleet.targets))
            yield fleet


def in_flight(fleet):
    return sum(fleet.record(name)["in_flight"] for name in fleet.targets)


def excess_requests(fleet):
    return sum(fleet.record(name)["over"] for name in fleet.targets)


def home_count(fleet, vm):
    status = fleet.status(vm)
    return len(status["targets"]) if status else 0


def test_killed_home_is_replaced_without_exceeding_slots(busy_fleet):
    first, second = busy_fleet.vms.values()
    first.process.kill()
    wait_for(lambda: home_count(busy_fleet, second) == len(busy_fleet.targets))
    time.sleep(TIMEOUT_MS / 1000 + 1)
    assert excess_requests(busy_fleet) == 0
    assert in_flight(busy_fleet) == SLOTS * len(busy_fleet.targets)


def test_paused_home_is_replaced_and_resumed_without_exceeding_slots(busy_fleet):
    first, second = busy_fleet.vms.values()
    first.process.send_signal(signal.SIGSTOP)
    wait_for(lambda: home_count(busy_fleet, second) == len(busy_fleet.targets))
    first.process.send_signal(signal.SIGCONT)
    wait_for(lambda: home_count(busy_fleet, first) == len(busy_fleet.targets) / 2)
    time.sleep(TIMEOUT_MS / 1000)
    assert excess_requests(busy_fleet) == 0


def test_short_pause_of_a_home_does_not_exceed_slots(busy_fleet):
    first, _ = busy_fleet.vms.values()
    for _ in range(3):
        first.process.send_signal(signal.SIGSTOP)
        time.sleep(1.2)
        first.process.send_signal(signal.SIGCONT)
        time.sleep(1.0)
    assert excess_requests(busy_fleet) == 0


def test_restarted_home_counts_requests_that_may_still_run(busy_fleet):
    first, _ = busy_fleet.vms.values()
    first.process.kill()
    first.process.wait()
    busy_fleet.start_vm(first)
    wait_for(lambda: home_count(busy_fleet, first) == len(busy_fleet.targets) / 2)
    time.sleep(2.0)
    assert excess_requests(busy_fleet) == 0


def test_stopped_home_hands_its_targets_over_without_exceeding_slots(busy_fleet):
    first, second = busy_fleet.vms.values()
    first.process.terminate()
    wait_for(
        lambda: home_count(busy_fleet, second) == len(busy_fleet.targets), seconds=3.0
    )
    assert first.process.wait(timeout=15) == 0
    assert excess_requests(busy_fleet) == 0
