"""Planned stops of simulated VMs: their cost, and how long look-ups list them."""

import random

import pytest

from heathercleat.platform.settings import decode_node_settings
from heathercleat.process.logs import Journal
from heathercleat.steering.process.capacity.registry import TargetRegistry
from heathercleat.steering.process.membership.gossip import (
    HEARTBEAT_INTERVAL_SECONDS,
    LEAVE_SECONDS,
    MAX_REPAIRED_AT_ONCE,
)
from heathercleat.steering.process.membership.topology import (
    MONITORED_IN_REGION,
    MONITORED_OUTSIDE_REGION,
)
from heathercleat.steering.process.store.tables import READER_COUNT, Tables
from standins.stop_simulation import (
    RESTART_SECONDS,
    SERVICES,
    SETTLE_SECONDS,
    STOP_INTERVAL_SECONDS,
    STOP_SECONDS,
    TARGETS_OF_SERVICE,
    converged_fleet,
    stop_all,
    stop_domain,
    stop_one_by_one,
)
from tests.platform_samples import SETTINGS

#: Sizes of a fleet in which all VMs exchange heartbeats, and of one that needs gossip.
SMALL_FLEET, LARGE_FLEET = 9, 30
#: Heartbeats after which all VMs of a fleet have an update, by fleet size.
HOPS = {SMALL_FLEET: 1, LARGE_FLEET: 2}
#: Seconds between two checks of the look-ups.
POLL_SECONDS = 0.05
#: Maximum number of VMs that monitor a VM or that it monitors.
MAX_PARTNERS = 2 * (MONITORED_IN_REGION + MONITORED_OUTSIDE_REGION)
#: Heartbeats that carry an update to a partner, and updates for each stop: the VM
#: leaves, has ended, and serves again.
HEARTBEATS_PER_UPDATE, UPDATES_PER_STOP = 3, 3
#: Changes of the owners of targets for each stop: the VM leaves and serves again.
OWNER_CHANGES_PER_STOP = 2


@pytest.fixture(autouse=True)
def _seed():
    random.seed(5)


def vms_listing(fleet, stopped):
    """Return the running VMs whose look-ups may list one of the stopped ones."""
    names = {vm.name for vm in stopped}
    return [
        vm
        for vm in fleet.vms.values()
        if vm.running and any(each.vm in names for each in vm.members.strong_serving())
    ]


def seconds_until_unlisted(fleet, stopped, limit=STOP_SECONDS):
    """Return the seconds until no look-up lists the stopped VMs."""
    began = fleet.clock.time
    while vms_listing(fleet, stopped) and fleet.clock.time < began + limit:
        fleet.run(POLL_SECONDS)
    return fleet.clock.time - began


@pytest.mark.parametrize("size", [SMALL_FLEET, LARGE_FLEET])
@pytest.mark.parametrize("stop", [stop_domain, stop_all])
def test_vms_that_leave_together_are_listed_for_a_heartbeat_at_most(size, stop):
    fleet = converged_fleet(size)
    stopped = stop(fleet)
    assert (
        seconds_until_unlisted(fleet, stopped)
        <= HOPS[size] * HEARTBEAT_INTERVAL_SECONDS + POLL_SECONDS
    )


@pytest.mark.parametrize("size", [SMALL_FLEET, LARGE_FLEET])
def test_vm_that_leaves_does_not_list_those_that_leave_after_it(size):
    fleet = converged_fleet(size)
    for vm in fleet.serving()[:4]:
        fleet.stop(vm)
        seconds = seconds_until_unlisted(fleet, [vm])
        assert seconds <= HOPS[size] * HEARTBEAT_INTERVAL_SECONDS + POLL_SECONDS
        fleet.run(STOP_INTERVAL_SECONDS - seconds)


@pytest.mark.parametrize("size", [SMALL_FLEET, LARGE_FLEET])
@pytest.mark.parametrize("stop", [stop_domain, stop_all])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lost_datagram_does_not_keep_a_vm_that_leaves_listed(size, stop, seed):
    fleet = converged_fleet(size, 0.1, seed)
    stopped = stop(fleet)
    bound = LEAVE_SECONDS + HOPS[size] * HEARTBEAT_INTERVAL_SECONDS
    assert seconds_until_unlisted(fleet, stopped) <= bound


@pytest.mark.parametrize("size", [SMALL_FLEET, LARGE_FLEET])
def test_vm_that_starts_again_lists_all_others_with_its_next_heartbeat(size):
    fleet = converged_fleet(size)
    stopped = fleet.serving()[0]
    fleet.stop(stopped)
    fleet.run(
        STOP_SECONDS + RESTART_SECONDS + HEARTBEAT_INTERVAL_SECONDS + POLL_SECONDS
    )
    restarted = fleet.vms[stopped.ip]
    assert restarted is not stopped
    assert len(restarted.members.strong_serving()) == size


class StopCosts:
    """The cost of stops beyond that of an idle fleet.

    :param act: stops VMs of the fleet.
    """

    def __init__(self, fleet, act):
        idle = fleet.run_and_count(SETTLE_SECONDS)
        before, began = fleet.costs, fleet.clock.time
        rankings_before = {vm.name: vm.owners.rankings for vm in fleet.vms.values()}
        act(fleet)
        fleet.run(SETTLE_SECONDS)
        seconds = fleet.clock.time - began
        self.spent = fleet.costs.minus(before)
        self.messages = self.spent.messages - idle.messages * seconds / SETTLE_SECONDS
        remaining = [vm for vm in fleet.vms.values() if vm.started_at < began]
        self.rankings = [
            vm.owners.rankings - rankings_before[vm.name] for vm in remaining
        ]
        self.stops = len(fleet.vms) - len(remaining)


def tables_of(vm):
    """Return the tables that a simulated VM would follow."""
    settings = decode_node_settings(SETTINGS)
    settings.vm, settings.regions = vm.name, vm.network.regions
    journal, clock = Journal(vm.name, vm.domain), vm.network.clock
    registry = TargetRegistry(journal, clock)
    return Tables(
        settings,
        registry,
        vm.members,
        None,
        lambda: None,
        None,
        vm.freshness,
        journal,
        clock,
    )


def in_turn(stops):
    """Return a function that stops ``stops`` VMs of a fleet, one after another."""
    return lambda fleet: stop_one_by_one(fleet, stops)


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
def test_cost_of_stops_for_each_remaining_vm_does_not_grow_with_the_fleet(size, act):
    costs = StopCosts(converged_fleet(size), act)
    assert costs.stops > 0
    assert costs.spent.writes == 2 * costs.stops
    assert costs.spent.reads == costs.stops
    # A remaining VM sends each partner at most one more heartbeat, and the updates.
    assert costs.messages <= costs.stops * size * MAX_PARTNERS
    max_updates = (
        MAX_PARTNERS * HEARTBEATS_PER_UPDATE * (UPDATES_PER_STOP + MAX_REPAIRED_AT_ONCE)
    )
    assert costs.spent.updates <= costs.stops * size * max_updates
    max_rankings = OWNER_CHANGES_PER_STOP * len(SERVICES) * TARGETS_OF_SERVICE
    assert max(costs.rankings, default=0) <= costs.stops * max_rankings


@pytest.mark.parametrize(
    ("size", "readers"), [(SMALL_FLEET, SMALL_FLEET), (LARGE_FLEET, READER_COUNT)]
)
def test_rows_that_a_stop_changes_are_not_read_by_every_vm(size, readers):
    fleet = converged_fleet(size)
    tables = [tables_of(vm) for vm in fleet.vms.values()]
    assert sum(each.reads_member_table() for each in tables) == readers
