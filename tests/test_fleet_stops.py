"""Planned stops of simulated VMs: what they cost, and whom look-ups name meanwhile."""

import random

import pytest

from heathercleat.platform.settings import decode_node_settings
from heathercleat.process.logs import Journal
from heathercleat.steering.process.capacity.registry import TargetRegistry
from heathercleat.steering.process.membership.gossip import (
    INTERVAL,
    LEAVE_SECONDS,
    MAX_REPAIRED_AT_ONCE,
)
from heathercleat.steering.process.membership.topology import (
    MONITORED_IN_REGION,
    MONITORED_OUTSIDE_REGION,
)
from heathercleat.steering.process.store.tables import READERS, Tables
from standins.stop_simulation import (
    RESTART_SECONDS,
    SERVICES,
    SETTLE_SECONDS,
    STOP_SECONDS,
    TARGETS_OF_SERVICE,
    TURN_SECONDS,
    settled,
    stop_all,
    stop_domain,
    stop_in_turn,
)
from tests.platform_samples import SETTINGS

#: A fleet in which all VMs hear each other, and one in which they tell each other news.
SMALL, LARGE = 9, 30
#: Heartbeats in which news crosses a fleet of this size, the one of the VM included.
HOPS = {SMALL: 1, LARGE: 2}
LOOK_SECONDS = 0.05
#: VMs that pick a VM or that it picks.
PARTNERS = 2 * (MONITORED_IN_REGION + MONITORED_OUTSIDE_REGION)
#: Heartbeats that tell a piece of news to a partner, and what is told of a stop: that
#: the VM leaves, that it is gone, that it is back.
TOLD, PIECES = 3, 3
#: Changes of who owns targets: the VM leaves and is back.
CHANGES = 2


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


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_vm_that_starts_again_names_all_others_with_its_next_heartbeat(size):
    fleet = settled(size)
    stopped = fleet.serving()[0]
    fleet.stop(stopped)
    fleet.run(STOP_SECONDS + RESTART_SECONDS + INTERVAL + LOOK_SECONDS)
    started = fleet.vms[stopped.ip]
    assert started is not stopped
    assert len(started.members.active()) == size


class StopCosts:
    """What stops cost beyond an idle fleet, and how many VMs stayed meanwhile.

    :param act: stops VMs of a fleet.
    """

    def __init__(self, fleet, act):
        idle = fleet.spent(SETTLE_SECONDS)
        before, began = fleet.costs, fleet.clock.time
        started = {vm.name: vm.owners.rankings for vm in fleet.vms.values()}
        act(fleet)
        fleet.run(SETTLE_SECONDS)
        seconds = fleet.clock.time - began
        self.spent = fleet.costs.minus(before)
        self.messages = self.spent.messages - idle.messages * seconds / SETTLE_SECONDS
        stayed = [vm for vm in fleet.vms.values() if vm.started_at < began]
        self.rankings = [vm.owners.rankings - started[vm.name] for vm in stayed]
        self.stops = len(fleet.vms) - len(stayed)


def tables_of(vm):
    """Return the tables that a simulated VM would follow."""
    settings = decode_node_settings(SETTINGS)
    settings.vm, settings.regions = vm.name, vm.network.regions
    journal, clock = Journal(vm.name, vm.domain), vm.network.clock
    registry = TargetRegistry(journal, clock)
    return Tables(settings, registry, vm.members, None, None, journal, clock)


def in_turn(stops):
    """Return what stops so many VMs in turn."""
    return lambda fleet: stop_in_turn(fleet, stops)


@pytest.mark.parametrize(
    ("size", "act"),
    [
        (30, in_turn(1)),
        (30, in_turn(6)),
        (30, stop_domain),
        (30, stop_all),
        (72, in_turn(3)),
    ],
)
def test_stops_cost_each_vm_that_stays_the_same_in_every_fleet(size, act):
    bill = StopCosts(settled(size), act)
    assert bill.stops > 0
    assert bill.spent.writes == 2 * bill.stops
    assert bill.spent.reads == bill.stops
    # A VM that stays sends a round more at most, and each partner what is told.
    assert bill.messages <= bill.stops * size * PARTNERS
    told = PARTNERS * TOLD * (PIECES + MAX_REPAIRED_AT_ONCE)
    assert bill.spent.news <= bill.stops * size * told
    ranked = CHANGES * len(SERVICES) * TARGETS_OF_SERVICE
    assert max(bill.rankings, default=0) <= bill.stops * ranked


@pytest.mark.parametrize(("size", "readers"), [(SMALL, SMALL), (LARGE, READERS)])
def test_rows_that_a_stop_changes_are_not_read_by_every_vm(size, readers):
    fleet = settled(size)
    tables = [tables_of(vm) for vm in fleet.vms.values()]
    assert sum(each.reads_member_table() for each in tables) == readers
