"""How quarantines spread over a fleet, without sockets: counted, not timed."""

import pytest

from standins.membership_simulation import Network, SimulatedVm

#: Seconds in which every VM that runs undisturbed has to know, on the deployment with
#: the shortest bound, and half of it for what the simulation leaves out.
STABLE_SECONDS = 3.0
SPREAD_SECONDS = STABLE_SECONDS / 2
SETTLE_SECONDS = 8.0


def settled(count, loss, seed=1):
    network = Network(loss, seed)
    for number in range(count):
        SimulatedVm(network, number)
    network.run(SETTLE_SECONDS)
    return network


def seconds_until_all_refuse(network, limit=10.0):
    began = network.clock.time
    while network.clock.time < began + limit:
        if all(vm.suspects.refused_until("f") for vm in network.running()):
            return network.clock.time - began
        network.run(0.05)
    return limit


@pytest.mark.parametrize(
    ("count", "loss"), [(9, 0.0), (9, 0.1), (30, 0.1), (72, 0.0), (72, 0.1)]
)
def test_ends_seen_at_three_vms_are_known_to_all_in_time(count, loss):
    network = settled(count, loss)
    for number, vm in enumerate(network.running()[:3]):
        vm.suspects.record_crash("f", f"i-{number}")
    assert seconds_until_all_refuse(network) <= SPREAD_SECONDS


def test_vm_that_starts_learns_of_a_quarantine(count=9):
    network = settled(count, 0.1)
    for number in range(3):
        network.running()[0].suspects.record_crash("f", f"i-{number}")
    network.run(SPREAD_SECONDS)
    SimulatedVm(network, count)
    assert seconds_until_all_refuse(network) <= SPREAD_SECONDS


def test_vm_that_was_cut_off_learns_of_a_quarantine():
    network = settled(9, 0.0)
    alone = network.running()[4]
    network.is_cut = lambda sender, receiver: alone in (sender, receiver)
    for number in range(3):
        network.running()[0].suspects.record_crash("f", f"i-{number}")
    network.run(5.0)
    assert alone.suspects.refused_until("f") is None
    network.is_cut = lambda sender, receiver: False
    assert seconds_until_all_refuse(network) <= STABLE_SECONDS


def test_nothing_is_told_once_all_know_the_same():
    network = settled(9, 0.0)
    for number in range(3):
        network.running()[0].suspects.record_crash("f", f"i-{number}")
    network.run(SPREAD_SECONDS)
    told = [list(vm.suspects.updates()) for vm in network.running()]
    assert all(told)
    sent = network.suspect_updates_sent
    network.run(SPREAD_SECONDS)
    assert network.suspect_updates_sent == sent
