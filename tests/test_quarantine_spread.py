"""Tests that quarantines reach every VM of a simulated fleet in bounded time."""

import pytest

from standins.membership_simulation import Network, SimulatedVm

#: Limit on the time until a quarantine reaches every VM. The simulation may use half of
#: it, since it has no sockets and processes.
MAX_SPREAD_SECONDS = 3.0
SIMULATED_SPREAD_SECONDS = MAX_SPREAD_SECONDS / 2
SETTLE_SECONDS = 8.0


def settled_network(count, loss, seed=1):
    network = Network(loss, seed)
    for number in range(count):
        SimulatedVm(network, number)
    network.run(SETTLE_SECONDS)
    return network


def seconds_until_refused_everywhere(network, limit=10.0):
    started_at = network.clock.time
    while network.clock.time < started_at + limit:
        if all(vm.suspects.refused_until("f") for vm in network.running()):
            return network.clock.time - started_at
        network.run(0.05)
    return limit


@pytest.mark.parametrize(
    ("count", "loss"), [(9, 0.0), (9, 0.1), (30, 0.1), (72, 0.0), (72, 0.1)]
)
def test_quarantine_by_crashes_at_three_vms_reaches_all_in_time(count, loss):
    network = settled_network(count, loss)
    for number, vm in enumerate(network.running()[:3]):
        vm.suspects.record_crash("f", f"i-{number}")
    assert seconds_until_refused_everywhere(network) <= SIMULATED_SPREAD_SECONDS


def test_vm_that_starts_receives_a_quarantine(count=9):
    network = settled_network(count, 0.1)
    for number in range(3):
        network.running()[0].suspects.record_crash("f", f"i-{number}")
    network.run(SIMULATED_SPREAD_SECONDS)
    SimulatedVm(network, count)
    assert seconds_until_refused_everywhere(network) <= SIMULATED_SPREAD_SECONDS


def test_reconnected_vm_receives_a_quarantine():
    network = settled_network(9, 0.0)
    isolated = network.running()[4]
    network.is_cut = lambda sender, receiver: isolated in (sender, receiver)
    for number in range(3):
        network.running()[0].suspects.record_crash("f", f"i-{number}")
    network.run(5.0)
    assert isolated.suspects.refused_until("f") is None
    network.is_cut = lambda sender, receiver: False
    assert seconds_until_refused_everywhere(network) <= MAX_SPREAD_SECONDS


def test_no_updates_are_sent_once_all_vms_agree():
    network = settled_network(9, 0.0)
    for number in range(3):
        network.running()[0].suspects.record_crash("f", f"i-{number}")
    network.run(SIMULATED_SPREAD_SECONDS)
    pending_updates = [list(vm.suspects.updates()) for vm in network.running()]
    assert all(pending_updates)
    sent_count = network.suspect_updates_sent
    network.run(SIMULATED_SPREAD_SECONDS)
    assert network.suspect_updates_sent == sent_count
