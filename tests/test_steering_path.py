"""Tests of requests through a fleet of steering VMs, with and without faults."""

import signal
import socket
import threading
import time
from hashlib import sha256

import pytest

from heathercleat.steering.process.store.follower import RETRY_INTERVAL_SECONDS
from heathercleat.steering.process.store.tables import OPERATOR_WAIT_SECONDS
from standins.fleet import wait_for
from standins.steering_fleet import FRONT_PORT, SteeringFleet
from tests.platform_samples import config

DOMAINS = {"north-a": "north", "north-b": "north", "south-a": "south"}
TARGETS = {
    "i-1": ("s1", "north-a", 2),
    "i-2": ("s1", "north-b", 2),
    "i-3": ("s1", "south-a", 2),
    "i-4": ("s2", "north-a", 2),
}

#: Seconds without disturbance after which a change has to be in force in time.
STABLE_SECONDS = 3.0
#: Seconds within which a change has to be in force after it was acknowledged.
CONFIG_SECONDS = 2.0


@pytest.fixture
def fleet():
    with SteeringFleet(
        config(), DOMAINS, dict.fromkeys(DOMAINS, 1), TARGETS, subnet=31
    ) as started:
        yield started


@pytest.fixture
def vm(fleet):
    return fleet.vms["north-a-1"]


def run_concurrently(count, send):
    """Return the results of ``count`` concurrent calls of ``send(number)``."""
    results = [None] * count

    def run(number):
        results[number] = send(number)

    threads = [threading.Thread(target=run, args=(each,)) for each in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def test_requests_reach_targets_unchanged(fleet, vm):
    body = b"x" * 100_000
    status, headers, response_body = fleet.send(vm, "POST", "/one/a?b=c", "q1", body)
    assert status == 200
    assert headers["response-signature"] == "signed"
    assert response_body == sha256(body).hexdigest().encode()
    ((request_id, path, remaining_ms, digest),) = fleet.runs()
    assert (request_id, path) == ("q1", "/one/a?b=c")
    assert digest == sha256(body).hexdigest()
    assert 0 < remaining_ms <= 1000


def test_unknown_route_is_refused(fleet, vm):
    assert fleet.send(vm, "GET", "/other", "q1")[0] == 404


def test_no_target_exceeds_its_slots_under_requests_through_all_vms(fleet):
    for each in TARGETS:
        fleet.switch_target(each, work_s=0.1)
    vms = list(fleet.vms.values())

    def send(number):
        vm = vms[number % len(vms)]
        return fleet.send(vm, "GET", "/one/two/x", f"q{number}", wait_ms=3000)[0]

    statuses = run_concurrently(24, send)
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) >= 6
    records = [fleet.record(each) for each in TARGETS]
    assert max(each["most"] for each in records) <= 2
    assert sum(each["shed"] for each in records) == 0


def test_route_with_regions_is_served_only_in_them(fleet):
    statuses = run_concurrently(
        12,
        lambda number: fleet.send(
            fleet.vms["south-a-1"], "POST", "/one/x", f"q{number}", b"b"
        )[0],
    )
    assert 200 in statuses
    assert fleet.record("i-3")["runs"] == []


@pytest.mark.parametrize("fault", ["cut", "unsigned", "encoded", "lose"])
def test_broken_response_to_an_unsafe_request_is_an_error_without_retry(
    fleet, vm, fault
):
    for each in TARGETS:
        fleet.switch_target(each, **{fault: True})
    status, headers, _ = fleet.send(vm, "POST", "/one/x", "q1", b"b")
    assert status == 502
    assert "response-signature" not in headers
    assert len(fleet.runs()) == 1


@pytest.mark.parametrize("fault", ["cut", "unsigned", "lose"])
def test_broken_response_to_a_safe_request_is_retried_elsewhere(fleet, vm, fault):
    fleet.switch_target("i-1", **{fault: True})
    for number in range(4):
        assert fleet.send(vm, "GET", "/one/two/x", f"q{number}")[0] == 200


def test_stray_response_is_not_returned_for_the_request(fleet, vm):
    for each in TARGETS:
        fleet.switch_target(each, stray=True)
    for number in range(4):
        status, headers, response_body = fleet.send(
            vm, "GET", "/one/two/x", f"q{number}"
        )
        assert status == 200
        assert headers["request-id"] == f"q{number}"
        assert response_body == sha256(b"").hexdigest().encode()


def test_request_refused_by_a_target_is_retried_elsewhere(fleet, vm):
    fleet.switch_target("i-1", shed=1.0)
    for number in range(5):
        assert fleet.send(vm, "GET", "/one/two/x", f"q{number}")[0] == 200


def test_replaced_target_never_runs_the_request(fleet, vm):
    fleet.switch_target("i-1", id="i-9")
    for number in range(5):
        assert fleet.send(vm, "GET", "/one/two/x", f"q{number}")[0] == 200
    assert fleet.record("i-1")["runs"] == []


def test_full_targets_refuse_at_once_with_retry_after(fleet, vm):
    for each in TARGETS:
        fleet.switch_target(each, work_s=1.5)
    responses = run_concurrently(
        12, lambda number: fleet.send(vm, "GET", "/one/two/x", f"q{number}", None, 900)
    )
    refused = [headers for status, headers, _ in responses if status == 503]
    assert refused
    assert all(0 < float(headers["retry-after"]) <= 0.3 for headers in refused)


def test_request_past_its_routes_timeout_gets_a_response(fleet, vm):
    for each in TARGETS:
        fleet.switch_target(each, work_s=5.0)
    started_at = time.monotonic()
    status, _, _ = fleet.send(vm, "GET", "/one/two/x", "q1", wait_ms=8000)
    assert status == 504
    assert time.monotonic() - started_at < 4.0


def test_client_that_disconnects_frees_the_slot(fleet, vm):
    document = config("r9")
    for route in document["hosts"][0]["paths"]:
        route["timeout"] = "60s"
    fleet.put("op", "config", document)
    wait_for(lambda: '"configuration"} 9.0' in fleet.metrics(vm))
    for each in TARGETS:
        fleet.switch_target(each, work_s=30.0)
    head = (
        b"GET /one/two/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\n"
        b"Deadline-Ms: 30000\r\n\r\n"
    )
    with socket.create_connection((vm.host, FRONT_PORT)) as sock:
        sock.sendall(head)
        wait_for(lambda: 'requests_under_way"} 1.0' in fleet.metrics(vm))
    wait_for(lambda: 'requests_under_way"} 0.0' in fleet.metrics(vm), seconds=5)


def test_evacuated_domain_gets_no_requests_until_evacuation_ends(fleet, vm):
    fleet.put("op", "evacuate/north-a", {})
    wait_for(lambda: fleet.send(vm, "POST", "/one/x", "before", b"")[0] == 200)
    wait_for(
        lambda: any(line["name"] == "evacuation_changed" for line in fleet.log(vm))
    )
    runs = len(fleet.record("i-1")["runs"])
    for number in range(6):
        fleet.send(vm, "GET", "/one/two/x", f"q{number}")
    assert len(fleet.record("i-1")["runs"]) == runs
    fleet.put("op", "evacuate/north-a", None)

    def served_there():
        fleet.send(vm, "GET", "/one/two/x", "again")
        return len(fleet.record("i-1")["runs"]) > runs

    wait_for(served_there)


def test_new_configuration_takes_effect(fleet, vm):
    changed = config("r9")
    changed["hosts"][0]["paths"][0]["prefix"] = "/new/"
    fleet.put("op", "config", changed)
    wait_for(lambda: fleet.send(vm, "POST", "/new/x", "q1", b"")[0] == 200)
    assert fleet.send(vm, "POST", "/one/x", "q2", b"")[0] == 404


def test_configuration_that_does_not_decode_changes_nothing(fleet, vm):
    fleet.put("op", "config", {"version": "r9"})
    wait_for(
        lambda: any(line["name"] == "configuration_rejected" for line in fleet.log(vm))
    )
    assert fleet.send(vm, "POST", "/one/x", "q1", b"")[0] == 200


@pytest.mark.parametrize("down", ["busy", "reset", "silent"])
def test_requests_are_served_while_the_store_is_unavailable(fleet, vm, down):
    fleet.switch_store(down=down)
    wait_for(lambda: any(line["name"] == "store_lost" for line in fleet.log(vm)))
    for number in range(5):
        assert fleet.send(vm, "GET", "/one/two/x", f"q{number}")[0] == 200


def has_lost_operator_table(fleet, vm):
    return any(
        line["name"] == "store_lost" and line["table"] == "op" for line in fleet.log(vm)
    )


def test_change_after_a_silent_outage_is_in_force_in_time(fleet, vm):
    # Calls that the outage left without a response must not delay later reads.
    fleet.switch_store(down="silent")
    for each in fleet.vms.values():
        wait_for(lambda each=each: has_lost_operator_table(fleet, each))
    # Each VM makes one more call, to which it gets no response.
    time.sleep(2 * RETRY_INTERVAL_SECONDS)
    fleet.switch_store(down=None)
    time.sleep(STABLE_SECONDS)
    fleet.put("op", "config", config("r9"))
    wait_for(lambda: '"configuration"} 9.0' in fleet.metrics(vm), CONFIG_SECONDS)


def test_table_is_read_again_after_its_history_is_dropped(fleet, vm):
    fleet.switch_store(history=1)
    for number in range(5):
        fleet.announce("i-1", sequence=number)
    fleet.put("op", "config", config("r9"))
    wait_for(lambda: '"configuration"} 9.0' in fleet.metrics(vm))


def test_vm_refused_by_the_store_gets_tables_from_another_vm(fleet, vm):
    fleet.switch_store(refused=[vm.host])
    wait_for(lambda: any(line["name"] == "store_lost" for line in fleet.log(vm)))
    # A long poll that is already open still returns changes until it ends.
    time.sleep(OPERATOR_WAIT_SECONDS)
    fleet.put("op", "config", config("r9"))
    wait_for(lambda: '"configuration"} 9.0' in fleet.metrics(vm))


def test_killed_vm_leaves_lookups_and_its_targets_get_new_owners(fleet, vm):
    fleet.stop_vm(vm, signal.SIGKILL)
    other = fleet.vms["north-b-1"]
    wait_for(lambda: f"{vm.host}:{FRONT_PORT}" not in fleet.resolve(other, "", ""))
    wait_for(lambda: fleet.send(other, "GET", "/one/two/x", "q1")[0] == 200)
    statuses = {
        fleet.send(other, "POST", "/one/x", f"q{number}", b"")[0]
        for number in range(10)
    }
    assert statuses == {200}


def test_planned_stop_interrupts_no_request(fleet, vm):
    for each in TARGETS:
        fleet.switch_target(each, work_s=0.8)
    responses = []
    thread = threading.Thread(
        target=lambda: responses.append(fleet.send(vm, "POST", "/one/x", "q1", b"")[0])
    )
    thread.start()
    wait_for(lambda: fleet.runs())
    fleet.stop_vm(vm)
    thread.join()
    assert responses == [200]
    assert vm.process.wait(10) == 0


def test_lookup_returns_the_vms_of_the_clients_region(fleet, vm):
    north_hosts = fleet.resolve(vm, "north", "north-a")
    assert sorted(north_hosts) == [
        f"{fleet.vms[name].host}:{FRONT_PORT}" for name in ("north-a-1", "north-b-1")
    ]
    south_hosts = fleet.resolve(vm, "south", "south-a")
    assert south_hosts == [f"{fleet.vms['south-a-1'].host}:{FRONT_PORT}"]


def test_changed_settings_are_read_on_sighup(fleet, vm):
    fleet.stop_vm(vm, signal.SIGHUP)
    wait_for(lambda: any(line["name"] == "settings_reloaded" for line in fleet.log(vm)))
    assert fleet.send(vm, "POST", "/one/x", "q1", b"")[0] == 200


def test_invalid_settings_change_nothing(fleet, vm):
    with open(vm.settings, "w") as file:
        file.write("node: [")
    fleet.stop_vm(vm, signal.SIGHUP)
    wait_for(lambda: any(line["name"] == "task_failed" for line in fleet.log(vm)))
    assert fleet.send(vm, "POST", "/one/x", "q1", b"")[0] == 200


def test_leaving_vm_refuses_requests_instead_of_interrupting_them(fleet, vm):
    for each in TARGETS:
        fleet.switch_target(each, work_s=0.9)
    statuses, without_response = [], []

    def send(number):
        while vm.process.poll() is None:
            request_id = f"q{number}-{time.time()}"
            try:
                result = fleet.send(vm, "POST", "/one/x", request_id, b"")
            except OSError:
                without_response.append(request_id)
                return
            statuses.append(result[0])

    stopping = threading.Timer(0.3, fleet.stop_vm, (vm,))
    stopping.start()
    run_concurrently(4, send)
    assert 503 in statuses
    assert set(statuses) <= {200, 503}
    assert not {run[0] for run in fleet.runs()} & set(without_response)
