"""Tests that VMs, targets and the store may start in any order."""

import pytest

from standins.fleet import wait_for
from standins.steering_fleet import SteeringFleet
from tests.platform_samples import config

DOMAINS = {"north-a": "north", "north-b": "north"}
TARGETS = {"i-1": ("s1", "north-a", 2), "i-2": ("s2", "north-a", 2)}


@pytest.fixture
def fleet():
    created_fleet = SteeringFleet(
        config(), DOMAINS, dict.fromkeys(DOMAINS, 1), TARGETS, subnet=32
    )
    try:
        yield created_fleet
    finally:
        created_fleet.stop()


STEPS = {
    "store": lambda fleet: fleet.start_store(),
    "config": lambda fleet: fleet.put("op", "config", fleet.config),
    "targets": lambda fleet: [fleet.announce(each) for each in fleet.targets],
    "vm-1": lambda fleet: fleet.start_vm(fleet.vms["north-a-1"]),
    "vm-2": lambda fleet: fleet.start_vm(fleet.vms["north-b-1"]),
}


@pytest.mark.parametrize(
    "order",
    [
        ["store", "config", "targets", "vm-1", "vm-2"],
        ["store", "targets", "vm-2", "vm-1", "config"],
        ["vm-1", "vm-2", "store", "config", "targets"],
        ["vm-1", "store", "vm-2", "targets", "config"],
        ["store", "vm-1", "vm-2", "config", "targets"],
    ],
    ids="-".join,
)
def test_components_may_start_in_any_order(fleet, order):
    fleet.start_targets()
    for step in order:
        STEPS[step](fleet)
    fleet.wait_ready()
    for vm in fleet.vms.values():
        wait_for(lambda vm=vm: fleet.send(vm, "POST", "/one/x", "q", b"")[0] == 200)


def test_vm_without_a_configuration_is_not_ready_and_refuses_requests(fleet):
    fleet.start_store()
    vm = fleet.vms["north-a-1"]
    fleet.start_vm(vm)
    wait_for(lambda: any(line["name"] == "vm_started" for line in fleet.log(vm)))
    wait_for(lambda: fleet._get_status(vm, "/v1/ready") is not None)
    assert not fleet.is_ready(vm)
    status, headers, _ = fleet.send(vm, "GET", "/one/x", "q1")
    assert status == 503
    assert float(headers["retry-after"]) > 0
