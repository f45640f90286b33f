"""Tests that edits run at most once while VMs, targets and the platform fail."""

import random
import signal
import threading
import time
from collections import Counter
from http.client import HTTPException

import pytest

from standins.caller import Caller
from standins.demo import demo_text
from standins.fleet import PORTS, Fleet, call, wait_for

CALLERS = 6
SERVICE = "rule-editing"
WORK_SECONDS = 0.05
LOAD_SECONDS = 9.0


@pytest.fixture
def fleet():
    vms = {"north-a": 2, "north-b": 1}
    with Fleet(demo_text(), vms, subnet=23, settings={"lookup_ttl_ms": 500}) as running:
        running.wait_ready()
        for name in running.targets:
            if name.startswith("rule"):
                running.switch_target(name, service_s=WORK_SECONDS)
        yield running


class Editor:
    """Sends edits in sequence and retries those of unknown outcome at other VMs."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self._number = number
        self._caller = Caller([vm.host for vm in fleet.vms.values()], timeout=2.0)
        self._random = random.Random(number)
        self.outcomes = {}

    def run(self, until):
        edit = 0
        while time.monotonic() < until:
            edit += 1
            self._edit(f"edit-{self._number}-{edit}")
            time.sleep(self._random.uniform(0, 0.02))

    def _edit(self, key):
        try:
            lookup = self._caller.look_up(SERVICE)
        except OSError:
            return
        if not lookup["ticket"]:
            return
        headers = {"heathercleat-ticket": lookup["ticket"], "idempotency-key": key}
        for host in self._destinations(lookup):
            outcome = self._send(host, headers)
            if outcome is not None:
                self.outcomes[key] = outcome
            if outcome in ("run", "not-run"):
                return
        self._caller.clear_lookups()

    def _destinations(self, lookup):
        issuer = lookup["ticket_vm"]["address"]
        others = [vm.host for vm in self._fleet.vms.values() if vm.host != issuer]
        return [issuer, issuer, *others]

    def _send(self, host, headers):
        path = f"/s/{SERVICE}/rules"
        port = PORTS["caller"]
        try:
            _, response_headers, _ = call(
                host, port, "POST", path, b"{}", headers, timeout=2.0
            )
        except (OSError, HTTPException):
            return None
        return response_headers.get("heathercleat-run")


def run_edits_under_faults(fleet, fault):
    """Send edits while ``fault`` is called repeatedly.

    Return the last outcomes and the numbers of runs, each by key.
    """
    until = time.monotonic() + LOAD_SECONDS
    editors = [Editor(fleet, number) for number in range(CALLERS)]
    threads = [threading.Thread(target=each.run, args=(until,)) for each in editors]
    for thread in threads:
        thread.start()
    while time.monotonic() < until - 1.0:
        fault()
    for thread in threads:
        thread.join()
    outcomes = {
        key: outcome for each in editors for key, outcome in each.outcomes.items()
    }
    runs = Counter(run[2] for run in fleet.runs() if run[2].startswith("edit-"))
    return outcomes, runs


def check_outcomes(outcomes, runs):
    run_twice = [key for key, count in runs.items() if count > 1]
    false_not_run = [
        key for key, outcome in outcomes.items() if outcome == "not-run" and runs[key]
    ]
    false_run = [
        key for key, outcome in outcomes.items() if outcome == "run" and not runs[key]
    ]
    assert (run_twice, false_not_run, false_run) == ([], [], [])
    counts = Counter(outcomes.values())
    assert counts["run"] > 50
    print(f"edits by last outcome: {dict(counts)}, runs: {sum(runs.values())}")


def kill_and_restart(fleet, rng):
    vm = rng.choice(list(fleet.vms.values()))
    time.sleep(rng.uniform(0.05, 0.4))
    vm.process.kill()
    vm.process.wait()
    time.sleep(rng.uniform(0.0, 0.5))
    fleet.start_vm(vm)
    wait_for(lambda: fleet.version(vm) is not None)


def pause_and_resume(fleet, rng):
    vm = rng.choice(list(fleet.vms.values()))
    time.sleep(rng.uniform(0.05, 0.3))
    vm.process.send_signal(signal.SIGSTOP)
    time.sleep(rng.uniform(0.2, 3.0))
    vm.process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("seed", [1, 2])
def test_kills_run_no_edit_twice(fleet, seed):
    rng = random.Random(seed)
    check_outcomes(*run_edits_under_faults(fleet, lambda: kill_and_restart(fleet, rng)))


def test_pauses_run_no_edit_twice(fleet):
    rng = random.Random(3)
    check_outcomes(*run_edits_under_faults(fleet, lambda: pause_and_resume(fleet, rng)))


def test_pauses_without_the_platform_run_no_edit_twice(fleet):
    rng = random.Random(4)
    fleet.switch_platform(down=True)
    time.sleep(1.5)
    fleet.vms["north-a-1"].process.send_signal(signal.SIGCONT)

    def fault():
        vm = fleet.vms["north-b-1"]
        time.sleep(rng.uniform(0.2, 0.6))
        vm.process.send_signal(signal.SIGSTOP)
        time.sleep(rng.uniform(0.2, 2.0))
        vm.process.send_signal(signal.SIGCONT)

    check_outcomes(*run_edits_under_faults(fleet, fault))


def test_lost_replies_of_the_platform_run_no_edit_twice(fleet):
    def fault():
        fleet.switch_platform(lose_replies=2)
        time.sleep(0.1)

    check_outcomes(*run_edits_under_faults(fleet, fault))


def test_cut_responses_run_no_edit_twice(fleet):
    targets = [name for name in fleet.targets if name.startswith("rule")]

    def fault():
        for name in targets:
            fleet.switch_target(name, cut=True)
        time.sleep(0.2)
        for name in targets:
            fleet.switch_target(name, cut=False)
        time.sleep(1.0)

    outcomes, runs = run_edits_under_faults(fleet, fault)
    check_outcomes(outcomes, runs)


def test_key_of_a_dead_issuer_is_closed_out_as_not_run(fleet):
    first = fleet.vms["north-a-1"]
    caller = Caller([first.host])
    lookup = caller.look_up(SERVICE)
    first.process.kill()
    other = fleet.vms["north-a-2"]
    headers = {
        "heathercleat-ticket": lookup["ticket"],
        "idempotency-key": "never-sent-before",
    }
    path = f"/s/{SERVICE}/rules"
    for _ in range(2):
        status, response_headers, _ = call(
            other.host, PORTS["caller"], "POST", path, b"{}", headers
        )
        assert response_headers["heathercleat-code"] == "4001"
        assert response_headers["heathercleat-run"] == "not-run"
    assert not [run for run in fleet.runs() if run[2] == "never-sent-before"]


def test_outcome_is_unknown_without_the_issuer_and_the_platform(fleet):
    fleet.switch_platform(down=True)
    first = fleet.vms["north-a-1"]

    def look_up_without_platform():
        caller = Caller([first.host])
        return caller.look_up(SERVICE)

    time.sleep(2.0)
    lookup = look_up_without_platform()
    first.process.kill()
    other = fleet.vms["north-a-2"]
    headers = {"heathercleat-ticket": lookup["ticket"], "idempotency-key": "k"}
    path = f"/s/{SERVICE}/rules"
    _, response_headers, _ = call(
        other.host, PORTS["caller"], "POST", path, b"{}", headers
    )
    assert response_headers["heathercleat-run"] == "unknown"
