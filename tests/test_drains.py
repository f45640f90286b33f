"""Tests that drains fail no request, and of requests while the platform is slow."""

import json
import threading
import time

import pytest

from standins.caller import Caller
from standins.demo import demo_text
from standins.fleet import PORTS, Fleet, call, wait_for
from standins.load import Load

#: Seconds after which a drained VM or target gets no new requests.
DRAIN_SECONDS = 3.0


@pytest.fixture
def fleet():
    vms = {"north-a": 2, "north-b": 1}
    with Fleet(demo_text(), vms, subnet=29) as running:
        running.wait_ready()
        yield running


def looked_up_hosts(vm):
    path = "/lookup?service=style-lookup"
    _, _, body = call(vm.host, PORTS["caller"], "GET", path)
    return {each["address"] for each in json.loads(body)["vms"]}


def home_count(fleet, vm):
    status = fleet.status(vm)
    return len(status["targets"]) if status else None


def drain(fleet, *args):
    return fleet.run("drain", "plan", *args, "--json", check=False)


def test_drained_vm_has_no_homes_and_is_not_looked_up_until_cancelled(fleet):
    drained, other = fleet.vms["north-a-1"], fleet.vms["north-a-2"]
    hosts = [vm.host for vm in fleet.vms.values()]
    with Load(hosts, "style-lookup", rate=50) as load:
        assert drain(fleet, "d1", "vm", drained.name).returncode == 0
        wait_for(lambda: drained.host not in looked_up_hosts(other), DRAIN_SECONDS)
        wait_for(lambda: home_count(fleet, drained) == 0)
        fleet.run("drain", "cancel", "d1")
        wait_for(lambda: drained.host in looked_up_hosts(other))
        wait_for(lambda: home_count(fleet, drained) > 0)
    assert set(load.count()) == {200}


def test_drained_domain_gets_no_new_requests_and_no_request_fails(fleet):
    hosts = [vm.host for vm in fleet.vms.values() if vm.domain == "north-a"]
    with Load(hosts, "style-lookup", rate=50) as load:
        time.sleep(0.5)
        assert drain(fleet, "d1", "failure_domain", "north-a").returncode == 0
        time.sleep(DRAIN_SECONDS)
        before = len(fleet.record("style-north-a")["runs"])
        time.sleep(1.0)
        assert len(fleet.record("style-north-a")["runs"]) == before
    assert set(load.count()) == {200}


def test_closed_loop_callers_served_by_leases_are_never_refused(fleet):
    """A caller may send a request before the granter knows that its last one ended."""
    assert drain(fleet, "d1", "target", "style-north-a").returncode == 0
    hosts = [vm.host for vm in fleet.vms.values() if vm.domain == "north-a"]
    statuses = []
    deadline = time.monotonic() + 4.0

    def send_requests():
        caller = Caller(hosts)
        while time.monotonic() < deadline:
            statuses.append(caller.send("style-lookup", "GET", "/x")[0])

    threads = [threading.Thread(target=send_requests) for _ in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert set(statuses) == {200}


def test_drain_starts_at_its_scheduled_time(fleet):
    vm = fleet.vms["north-a-1"]
    assert drain(fleet, "d1", "target", "style-north-a", "--in", 3).returncode == 0
    response = call(vm.host, PORTS["caller"], "GET", "/s/style-lookup/x")
    assert response[1]["heathercleat-target"] == "style-north-a"
    time.sleep(4.0)
    response = call(vm.host, PORTS["caller"], "GET", "/s/style-lookup/x")
    assert response[1]["heathercleat-target"] == "style-north-b"


def test_drain_that_leaves_too_few_slots_is_refused_with_the_numbers(fleet):
    assert drain(fleet, "d1", "failure_domain", "north-a").returncode == 0
    assert drain(fleet, "d2", "failure_domain", "north-b").returncode == 0
    result = drain(fleet, "d3", "failure_domain", "south-a")
    assert result.returncode == 5
    assert "would keep 4 of 16 slots" in result.stderr


def test_dry_run_shows_the_headroom_and_plans_nothing(fleet):
    result = drain(fleet, "d1", "failure_domain", "north-a", "--dry-run")
    headroom = {
        service_headroom["service"]: service_headroom
        for service_headroom in json.loads(result.stdout)["headroom"]
    }
    assert headroom["style-lookup"]["left"] == 12
    assert json.loads(fleet.run("drain", "list", "--json").stdout) == []


def test_requests_succeed_while_the_platform_is_slow(fleet):
    hosts = [vm.host for vm in fleet.vms.values()]
    fleet.switch_platform(slow_s=5.0)
    with Load(hosts, "style-lookup", rate=50) as load:
        time.sleep(3.0)
    assert set(load.count()) == {200}
    assert load.latency(0.9) < 1.0


def test_edits_of_callers_succeed_without_claims_while_the_platform_is_slow(fleet):
    fleet.switch_platform(slow_s=5.0)
    vm = fleet.vms["north-a-1"]
    run_states = []
    for number in range(10):
        path = "/lookup?service=rule-editing"
        _, _, body = call(vm.host, PORTS["caller"], "GET", path)
        headers = {
            "heathercleat-ticket": json.loads(body)["ticket"],
            "idempotency-key": f"slow-{number}",
        }
        path = "/s/rule-editing/rules"
        _, response_headers, _ = call(
            vm.host, PORTS["caller"], "POST", path, b"{}", headers
        )
        run_states.append(response_headers["heathercleat-run"])
    runs = [run[2] for run in fleet.runs() if run[2].startswith("slow-")]
    assert run_states[-1] == "run"
    assert set(run_states) <= {"run", "not-run"}
    assert len(runs) == len(set(runs)) == run_states.count("run")
