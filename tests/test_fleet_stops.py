"""Planned stops of simulated VMs: what they cost, and whom look-ups name meanwhile."""

import random

import pytest

from heathercleat.steering.process.membership.gossip import INTERVAL, LEAVE_SECONDS
from standins.stop_simulation import (
    STOP_SECONDS,
    TURN_SECONDS,
    settled,
    stop_all,
    stop_domain,
)

#: A fleet in which all VMs hear each other, and one in which they tell each other news.
SMALL, LARGE = 9, 24
#: Heartbeats in which news crosses a fleet of this size, the one of the VM included.
HOPS = {SMALL: 1, LARGE: 2}
LOOK_SECONDS = 0.05


@pytest.fixture(autouse=True)
def _seed():
    random.seed(5)


def naming(fleet, stopped):
    """Return the running VMs whose look-ups may name one of the stopped ones."""
    names = {vm.name for vm in stopped}
    return [
        vm
        for vm in fleet.vms.values()
        if vm.running and any(each.vm in names for each in vm.members.active())
    ]


def seconds_until_unnamed(fleet, stopped, limit=STOP_SECONDS):
    """Return the seconds until no look-up names the stopped VMs."""
    began = fleet.clock.time
    while naming(fleet, stopped) and fleet.clock.time < began + limit:
        fleet.run(LOOK_SECONDS)
    return fleet.clock.time - began


@pytest.mark.parametrize("size", [SMALL, LARGE])
@pytest.mark.parametrize("stop", [stop_domain, stop_all])
def test_vms_that_leave_together_are_named_for_a_heartbeat_at_most(size, stop):
    fleet = settled(size)
    stopped = stop(fleet)
    assert seconds_until_unnamed(fleet, stopped) <= HOPS[size] * INTERVAL + LOOK_SECONDS


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_vm_that_leaves_does_not_name_those_that_leave_after_it(size):
    fleet = settled(size)
    for vm in fleet.serving()[:4]:
        fleet.stop(vm)
        seconds = seconds_until_unnamed(fleet, [vm])
        assert seconds <= HOPS[size] * INTERVAL + LOOK_SECONDS
        fleet.run(TURN_SECONDS - seconds)


@pytest.mark.parametrize("size", [SMALL, LARGE])
@pytest.mark.parametrize("stop", [stop_domain, stop_all])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lost_datagram_does_not_keep_a_vm_that_leaves_named(size, stop, seed):
    fleet = settled(size, 0.1, seed)
    stopped = stop(fleet)
    bound = LEAVE_SECONDS + HOPS[size] * INTERVAL
    assert seconds_until_unnamed(fleet, stopped) <= bound
