"""A store that is restored from a backup, and the rows that it has then."""

import copy
import signal
import time
from http.client import HTTPException

import pytest

from standins.fleet import wait_for
from standins.steering_fleet import SteeringFleet
from tests.platform_samples import config

DOMAINS = {"north-a": "north", "north-b": "north", "south-a": "south"}
VMS = {"north-a": 2, "north-b": 1, "south-a": 1}
TARGETS = {
    "i-1": ("s1", "north-a", 4),
    "i-2": ("s1", "north-a", 4),
    "i-3": ("s1", "north-b", 4),
    "i-4": ("s1", "south-a", 4),
}
#: Seconds after its acknowledgement in which a configuration is in force.
CONFIG_SECONDS = 2.0
#: Seconds after which a target that leaves gets no requests.
DRAIN_SECONDS = 2.0
#: Longer than the time between two reads of any table.
READ_SECONDS = 2.0
#: Seconds after which a target writes its lost entry again.
REWRITE_SECONDS = 1.5
#: Changes that the store acknowledges and then loses.
LOST_CHANGES = 8
ADDED_PATH = "/added/"
#: Maximum seconds for the start of VMs.
START_SECONDS = 20.0
#: Seconds after a restore in which operators write the lost configuration again.
OPERATOR_SECONDS = 1.5


@pytest.fixture
def fleet():
    with SteeringFleet(config(), DOMAINS, VMS, TARGETS, subnet=36) as started:
        yield started


def config_with_route(version, prefix=ADDED_PATH):
    document = copy.deepcopy(config(version))
    paths = document["hosts"][0]["paths"]
    paths.append({**paths[-1], "name": f"added-{version}", "prefix": prefix})
    return document


def evacuated_at(fleet, vm):
    """Return the failure domains that a VM last logged as evacuated."""
    lines = [each for each in fleet.log(vm) if each["name"] == "evacuation_changed"]
    return lines[-1]["after"]


def lose_changes(fleet, count=LOST_CHANGES):
    """Make changes that all VMs see, and restore the store without them."""
    fleet.back_up_store()
    for number in range(count):
        fleet.put("op", "config", config_with_route(f"r{8 + number}", "/lost/"))
    for vm in fleet.vms.values():
        wait_for(lambda vm=vm: status(fleet, vm, "/lost/x") == 200)
    time.sleep(READ_SECONDS)
    fleet.restore_store()


def status(fleet, vm, path):
    request_id = f"q{time.monotonic_ns()}"
    return fleet.send(vm, "GET", path, request_id)[0]


def statuses(fleet, path):
    return [status(fleet, vm, path) for vm in fleet.vms.values()]


def restart_all(fleet, while_stopped):
    """Kill all VMs, call a function, and start them again."""
    for vm in fleet.vms.values():
        fleet.stop_vm(vm, signal.SIGKILL)
    while_stopped()
    for vm in fleet.vms.values():
        fleet.restart_vm(vm)


def statuses_during(fleet, vms, path, seconds):
    """Return the statuses of requests to VMs, as a set.

    Each VM is asked for a time that begins with its first response.
    """
    ends_at, seen = {}, set()
    started_at = time.monotonic()
    while any(time.monotonic() < ends_at.get(vm, float("inf")) for vm in vms):
        assert time.monotonic() < started_at + START_SECONDS, "a VM does not respond"
        for vm in vms:
            try:
                found = status(fleet, vm, path)
            except (OSError, HTTPException):
                continue
            if time.monotonic() < ends_at.setdefault(vm, time.monotonic() + seconds):
                seen.add(found)
        time.sleep(0.02)
    return seen


def entry_events(fleet, vm, target_id):
    """Return the names of the last two events about the entry of a target."""
    lines = [line for line in fleet.log(vm) if line.get("target") == target_id]
    names = [line["name"] for line in lines]
    return [name for name in names if name.startswith("target_")][-2:]


def test_configuration_written_after_the_store_was_restored_is_in_force_in_time(fleet):
    lose_changes(fleet)
    fleet.put("op", "config", config_with_route("r30"))
    time.sleep(CONFIG_SECONDS)
    assert statuses(fleet, ADDED_PATH + "x") == [200] * len(fleet.vms)


def test_configuration_is_not_missed_when_versions_are_assigned_twice(fleet):
    lose_changes(fleet)
    fleet.put("op", "config", config_with_route("r30"))
    for number in range(2 * LOST_CHANGES):
        fleet.put("op", f"note-{number}", {})
    time.sleep(CONFIG_SECONDS)
    assert statuses(fleet, ADDED_PATH + "x") == [200] * len(fleet.vms)


def test_vms_that_start_under_a_restored_store_deny_no_route_that_it_lacks(fleet):
    fleet.back_up_store()
    fleet.put("op", "config", config_with_route("r8"))
    time.sleep(CONFIG_SECONDS)
    restart_all(fleet, fleet.restore_store)
    vms = fleet.vms.values()
    seen = statuses_during(fleet, vms, ADDED_PATH + "x", OPERATOR_SECONDS)
    fleet.put("op", "config", config_with_route("r8"))
    time.sleep(CONFIG_SECONDS)
    assert seen == {503}
    assert statuses(fleet, ADDED_PATH + "x") == [200] * len(fleet.vms)
    wait_for(lambda: statuses(fleet, "/unknown/x") == [404] * len(fleet.vms))


def test_vm_that_starts_under_a_restored_store_gets_the_configuration_of_others(fleet):
    started = fleet.vms["south-a-1"]
    lose_changes(fleet)
    time.sleep(READ_SECONDS)
    fleet.stop_vm(started, signal.SIGKILL)
    fleet.restart_vm(started)
    seen = statuses_during(fleet, [started], "/lost/x", CONFIG_SECONDS)
    assert 404 not in seen
    assert status(fleet, started, "/lost/x") == 200


def test_evacuation_that_a_restored_store_lacks_holds_until_it_is_written_again(fleet):
    fleet.back_up_store()
    fleet.put("op", "evacuate/north-a", {})
    time.sleep(READ_SECONDS)
    before = len(fleet.arrivals("i-1")) + len(fleet.arrivals("i-2"))
    fleet.restore_store()
    vms = fleet.vms.values()
    statuses_during(fleet, vms, "/one/two/x", OPERATOR_SECONDS)
    fleet.put("op", "evacuate/north-a", {})
    statuses_during(fleet, vms, "/one/two/x", OPERATOR_SECONDS)
    assert len(fleet.arrivals("i-1")) + len(fleet.arrivals("i-2")) == before


def test_evacuation_that_is_not_written_again_after_a_restore_ends(fleet):
    fleet.back_up_store()
    fleet.put("op", "evacuate/north-a", {})
    time.sleep(READ_SECONDS)
    fleet.restore_store()
    for vm in fleet.vms.values():
        wait_for(lambda vm=vm: evacuated_at(fleet, vm) == [])


def test_target_whose_entry_was_lost_is_used_until_it_is_written_again(fleet):
    entry_sequence = 7
    fleet.put("servers", "i-2", None)
    time.sleep(READ_SECONDS)
    fleet.back_up_store()
    fleet.announce("i-2", sequence=entry_sequence)
    time.sleep(READ_SECONDS)
    fleet.restore_store()
    time.sleep(REWRITE_SECONDS)
    fleet.announce("i-2", sequence=entry_sequence)
    time.sleep(READ_SECONDS)
    for vm in fleet.vms.values():
        assert entry_events(fleet, vm, "i-2") == ["target_found", "target_lapsing"]


def test_vm_whose_registration_was_lost_registers_again(fleet):
    restarted = fleet.vms["south-a-1"]
    fleet.stop_vm(restarted)
    wait_for(lambda: restarted.name not in fleet.registered_vms())
    fleet.back_up_store()
    fleet.restart_vm(restarted)
    wait_for(lambda: restarted.name in fleet.registered_vms())
    fleet.restore_store()
    assert restarted.name not in fleet.registered_vms()
    wait_for(lambda: sorted(fleet.registered_vms()) == sorted(fleet.vms))


def test_target_that_leaves_after_the_store_was_restored_gets_no_requests(fleet):
    lose_changes(fleet)
    fleet.announce("i-1", state="draining", sequence=2)
    time.sleep(DRAIN_SECONDS)
    before = len(fleet.arrivals("i-1"))
    for _ in range(6):
        assert statuses(fleet, "/one/two/x") == [200] * len(fleet.vms)
    assert len(fleet.arrivals("i-1")) == before
