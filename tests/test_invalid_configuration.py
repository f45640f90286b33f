"""A configuration that cannot be used, and VMs that start beside it."""

import copy
import signal
import time

import pytest

from standins.fleet import wait_for
from standins.steering_fleet import SteeringFleet
from tests.platform_samples import config

DOMAINS = {"north-a": "north", "south-a": "south"}
VMS = {"north-a": 2, "south-a": 1}
TARGETS = {"i-1": ("s1", "north-a", 4), "i-2": ("s1", "south-a", 4)}
SERVED_PATH = "/one/two/x"
#: Longer than until the change of a row has reached all VMs.
SPREAD_SECONDS = 2.0


@pytest.fixture
def fleet():
    with SteeringFleet(config(), DOMAINS, VMS, TARGETS, subnet=50) as started:
        yield started


def config_with_negative_timeout():
    document = copy.deepcopy(config("r9"))
    document["hosts"][0]["paths"][1]["timeout"] = "-1s"
    return document


def config_without_limits():
    document = config("r9")
    del document["limits"]
    return document


def status(fleet, vm, path):
    return fleet.send(vm, "GET", path, f"q{time.monotonic_ns()}")[0]


def restart_all(fleet):
    for vm in fleet.vms.values():
        fleet.stop_vm(vm, signal.SIGKILL)
    for vm in fleet.vms.values():
        fleet.restart_vm(vm)


def write_invalid_configuration(fleet, document):
    fleet.put("op", "config", document)
    time.sleep(SPREAD_SECONDS)


def test_invalid_configuration_leaves_the_one_in_force_at_all_vms(fleet):
    write_invalid_configuration(fleet, config_with_negative_timeout())
    for vm in fleet.vms.values():
        assert status(fleet, vm, SERVED_PATH) == 200


def test_vm_that_starts_beside_an_invalid_configuration_gets_the_one_in_force(fleet):
    write_invalid_configuration(fleet, config_without_limits())
    started = fleet.vms["south-a-1"]
    fleet.stop_vm(started, signal.SIGKILL)
    fleet.restart_vm(started)
    wait_for(lambda: fleet.is_ready(started))
    assert status(fleet, started, SERVED_PATH) == 200


def test_fleet_that_starts_beside_an_invalid_configuration_has_the_last_valid_one(
    fleet,
):
    write_invalid_configuration(fleet, config_without_limits())
    restart_all(fleet)
    for vm in fleet.vms.values():
        wait_for(lambda vm=vm: fleet.is_ready(vm))
        assert status(fleet, vm, SERVED_PATH) == 200


def test_valid_configuration_from_before_another_valid_one_is_not_restored(fleet):
    write_invalid_configuration(fleet, config_without_limits())
    restart_all(fleet)
    fleet.put("op", "config", config("r10"))
    time.sleep(SPREAD_SECONDS)
    for vm in fleet.vms.values():
        fleet.stop_vm(vm, signal.SIGKILL)
    document = config_without_limits()
    document["version"] = "r11"
    fleet.put("op", "config", document)
    for vm in fleet.vms.values():
        fleet.restart_vm(vm)
    time.sleep(SPREAD_SECONDS)
    for vm in fleet.vms.values():
        assert status(fleet, vm, SERVED_PATH) == 503


def test_valid_configuration_after_an_invalid_one_is_taken(fleet):
    write_invalid_configuration(fleet, config_without_limits())
    document = config("r10")
    document["hosts"][0]["paths"][1]["prefix"] = "/corrected/"
    fleet.put("op", "config", document)
    time.sleep(SPREAD_SECONDS)
    for vm in fleet.vms.values():
        assert status(fleet, vm, "/corrected/x") == 200
