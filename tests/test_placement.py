"""Tests that every target has one home and homes are spread evenly over VMs."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathercleat import parse_text
from heathercleat.version.placement import MIN_POOL_SLOTS
from tests.test_text import make_text

DOMAIN = "north-a"
VMS = ["vm-1", "vm-2", "vm-3"]


def make_placement(*services):
    """Return the services and placement of a text.

    :param services: the slots of each target, for each service.
    """
    text = make_text()
    model = text["services"].pop("lookup")
    for number, slots in enumerate(services):
        text["services"][f"s{number}"] = {
            **model,
            "targets": {
                f"s{number}-{index}": {
                    "address": f"127.0.{number}.{index + 1}:9000",
                    "failure_domain": DOMAIN,
                    "slots": each,
                }
                for index, each in enumerate(slots)
            },
        }
    parsed = parse_text(json.dumps(text))
    return parsed.services, parsed.placement


def loads_of(services, homes):
    loads = dict.fromkeys(VMS, 0)
    for service in services.values():
        for target in service.targets.values():
            loads[homes[target.name]] += target.slots
    return loads


def test_service_with_few_slots_has_one_home():
    services, placement = make_placement([4, 4, 3])
    assert len(placement.homes_of(services["s0"], DOMAIN, VMS)) == 1


def test_service_with_many_slots_has_several_homes():
    services, placement = make_placement([6] * 12)
    assert len(placement.homes_of(services["s0"], DOMAIN, VMS)) == len(VMS)


def test_services_are_spread_over_the_vms():
    services, placement = make_placement([4, 4], [4, 4], [4, 4])
    loads = loads_of(services, placement.homes(DOMAIN, VMS))
    assert list(loads.values()) == [8, 8, 8]


def test_without_a_vm_there_are_no_homes():
    services, placement = make_placement([4])
    assert placement.homes(DOMAIN, []) == {}
    assert placement.homes_of(services["s0"], DOMAIN, []) == []


def test_home_does_not_depend_on_the_order_of_the_names():
    _, placement = make_placement([4] * 9, [3] * 5)
    _, other = make_placement([4] * 9, [3] * 5)
    assert placement.homes(DOMAIN, VMS) == other.homes(DOMAIN, VMS[::-1])


@pytest.mark.parametrize("removed", VMS)
def test_targets_of_the_remaining_vms_mostly_stay(removed):
    _, placement = make_placement(*([6] * 2 for _ in range(30)))
    before = placement.homes(DOMAIN, VMS)
    after = placement.homes(DOMAIN, [vm for vm in VMS if vm != removed])
    staying = [name for name, home in before.items() if home != removed]
    moved = [name for name in staying if after[name] != before[name]]
    assert len(moved) <= len(staying) / 4


@given(st.lists(st.lists(st.integers(1, 8), min_size=1, max_size=8), min_size=1))
@settings(max_examples=60, deadline=None)
def test_every_target_has_a_home_and_loads_are_balanced(sizes):
    services, placement = make_placement(*sizes)
    loads = loads_of(services, placement.homes(DOMAIN, VMS))
    total = sum(map(sum, sizes))
    assert sum(loads.values()) == total
    assert max(loads.values()) < total / len(VMS) + 2 * MIN_POOL_SLOTS + 8
