"""Connections to the store that go silent while new ones work."""

import copy
import time

import pytest

from standins.fleet import wait_for
from standins.steering_fleet import SteeringFleet, store_link
from tests.platform_samples import config

DOMAINS = {"north-a": "north", "north-b": "north", "south-a": "south"}
VMS = {"north-a": 2, "north-b": 1, "south-a": 1}
TARGETS = {"i-1": ("s1", "north-a", 4), "i-2": ("s1", "south-a", 4)}
#: Seconds after its acknowledgement in which a configuration is in force.
CONFIG_SECONDS = 2.0
#: Seconds after the connections went silent from which that holds again.
STABLE_SECONDS = 3.0


@pytest.fixture
def fleet():
    with SteeringFleet(
        config(), DOMAINS, VMS, TARGETS, subnet=51, proxied=True
    ) as started:
        yield started


def put_config_with_route(fleet, version, prefix):
    document = copy.deepcopy(config(version))
    paths = document["hosts"][0]["paths"]
    paths.append({**paths[-1], "name": f"added-{version}", "prefix": prefix})
    fleet.put("op", "config", document)


def status(fleet, vm, path):
    return fleet.send(vm, "GET", path, f"q{time.monotonic_ns()}")[0]


def test_configuration_is_in_force_in_time_after_connections_went_silent(fleet):
    # Each reader begins to wait for the next change.
    put_config_with_route(fleet, "r8", "/first/")
    for vm in fleet.vms.values():
        wait_for(lambda vm=vm: status(fleet, vm, "/first/x") == 200)
    for vm in fleet.vms.values():
        fleet.switch_link(store_link(vm), silence=True)
    time.sleep(STABLE_SECONDS - CONFIG_SECONDS)
    put_config_with_route(fleet, "r9", "/second/")
    time.sleep(CONFIG_SECONDS)
    seen = [status(fleet, vm, "/second/x") for vm in fleet.vms.values()]
    assert seen == [200] * len(fleet.vms)
