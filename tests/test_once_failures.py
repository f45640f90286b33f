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
SWEEP_SECONDS = 9.0


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
    """Sends edits one after the other, and each unsure one again elsewhere."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self._number = number
        self._caller = Caller([vm.host for vm in fleet.vms.values()], timeout=2.0)
        self._random = random.Random(number)
        self.answers = {}

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
        for host in self._places(lookup):
            answer = self._send(host, headers)
            if answer is not None:
                self.answers[key] = answer
            if answer in ("run", "not-run"):
                return
        self._caller.clear_lookups()

    def _places(self, lookup):
        owner = lookup["ticket_vm"]["address"]
        others = [vm.host for vm in self._fleet.vms.values() if vm.host != owner]
        return [owner, owner, *others]

    def _send(self, host, headers):
        path = f"/s/{SERVICE}/rules"
        port = PORTS["caller"]
        try:
            _, given, _ = call(host, port, "POST", path, b"{}", headers, timeout=2.0)
        except (OSError, HTTPException):
            return None
        return given.get("heathercleat-run")


def sweep(fleet, fault):
    """Send edits while ``fault`` strikes; return answers and runs by key."""
    until = time.monotonic() + SWEEP_SECONDS
    editors = [Editor(fleet, number) for number in range(CALLERS)]
    threads = [threading.Thread(target=each.run, args=(until,)) for each in editors]
    for thread in threads:
        thread.start()
    while time.monotonic() < until - 1.0:
        fault()
    for thread in threads:
        thread.join()
    answers = {key: said for each in editors for key, said in each.answers.items()}
    runs = Counter(run[2] for run in fleet.runs() if run[2].startswith("edit-"))
    return answers, runs


def check(answers, runs):
    doubled = [key for key, count in runs.items() if count > 1]
    false_not_run = [
        key for key, said in answers.items() if said == "not-run" and runs[key]
    ]
    false_run = [
        key for key, said in answers.items() if said == "run" and not runs[key]
    ]
    assert (doubled, false_not_run, false_run) == ([], [], [])
    said = Counter(answers.values())
    assert said["run"] > 50
    print(f"edits by last answer: {dict(said)}, runs: {sum(runs.values())}")


def kill_and_restart(fleet, chance):
    vm = chance.choice(list(fleet.vms.values()))
    time.sleep(chance.uniform(0.05, 0.4))
    vm.process.kill()
    vm.process.wait()
    time.sleep(chance.uniform(0.0, 0.5))
    fleet.start_vm(vm)
    wait_for(lambda: fleet.version(vm) is not None)


def pause_and_resume(fleet, chance):
    vm = chance.choice(list(fleet.vms.values()))
    time.sleep(chance.uniform(0.05, 0.3))
    vm.process.send_signal(signal.SIGSTOP)
    time.sleep(chance.uniform(0.2, 3.0))
    vm.process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("seed", [1, 2])
def test_kills_double_nothing(fleet, seed):
    chance = random.Random(seed)
    check(*sweep(fleet, lambda: kill_and_restart(fleet, chance)))


def test_pauses_double_nothing(fleet):
    chance = random.Random(3)
    check(*sweep(fleet, lambda: pause_and_resume(fleet, chance)))


def test_kills_without_the_platform_double_nothing(fleet):
    chance = random.Random(4)
    fleet.switch_platform(down=True)
    time.sleep(1.5)
    fleet.vms["north-a-1"].process.send_signal(signal.SIGCONT)

    def fault():
        vm = fleet.vms["north-b-1"]
        time.sleep(chance.uniform(0.2, 0.6))
        vm.process.send_signal(signal.SIGSTOP)
        time.sleep(chance.uniform(0.2, 2.0))
        vm.process.send_signal(signal.SIGCONT)

    check(*sweep(fleet, fault))


def test_lost_replies_of_the_platform_double_nothing(fleet):
    def fault():
        fleet.switch_platform(lose_replies=2)
        time.sleep(0.1)

    check(*sweep(fleet, fault))


def test_targets_that_cut_their_answers_double_nothing(fleet):
    targets = [name for name in fleet.targets if name.startswith("rule")]

    def fault():
        for name in targets:
            fleet.switch_target(name, cut=True)
        time.sleep(0.2)
        for name in targets:
            fleet.switch_target(name, cut=False)
        time.sleep(1.0)

    answers, runs = sweep(fleet, fault)
    check(answers, runs)


def test_a_key_whose_owner_is_gone_is_closed_out_truthfully(fleet):
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
        status, given, _ = call(
            other.host, PORTS["caller"], "POST", path, b"{}", headers
        )
        assert given["heathercleat-code"] == "4001"
        assert given["heathercleat-run"] == "not-run"
    assert not [run for run in fleet.runs() if run[2] == "never-sent-before"]


def test_without_the_platform_a_gone_owner_leaves_the_outcome_unknown(fleet):
    fleet.switch_platform(down=True)
    first = fleet.vms["north-a-1"]

    def ticket_without_claims():
        caller = Caller([first.host])
        return caller.look_up(SERVICE)

    time.sleep(2.0)
    lookup = ticket_without_claims()
    first.process.kill()
    other = fleet.vms["north-a-2"]
    headers = {"heathercleat-ticket": lookup["ticket"], "idempotency-key": "k"}
    path = f"/s/{SERVICE}/rules"
    _, given, _ = call(other.host, PORTS["caller"], "POST", path, b"{}", headers)
    assert given["heathercleat-run"] == "unknown"
