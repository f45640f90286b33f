"""Tests that VMs agree on the membership by heartbeats over a lossy network."""

import random

import pytest

from heathercleat.steering.process.membership import gossip
from heathercleat.steering.process.membership.gossip import (
    HEARTBEAT_INTERVAL_SECONDS,
    IDLE_INTERVAL_SECONDS,
)
from heathercleat.steering.process.membership.heartbeat import Heartbeat
from heathercleat.steering.process.membership.member import SILENCE_SECONDS
from heathercleat.steering.process.membership.members import PAUSE_SECONDS
from heathercleat.steering.process.membership.topology import (
    IDLE_MONITORED_IN_REGION,
    IDLE_MONITORED_OUTSIDE_REGION,
    MAX_MESH_SIZE,
    MONITORED_IN_REGION,
    MONITORED_OUTSIDE_REGION,
)
from standins.membership_simulation import (
    Network,
    SimulatedVm,
    run_nonblocking,
    unpack_first,
)
from tests.steering_parts import Parts, make_heartbeat

SMALL, LARGE = 8, 60
#: Size of a fleet of which a starting VM contacts only a part.
VERY_LARGE = 2000
#: Numbers of VMs that are strong enough to serve requests, and of the others.
STRONG, WEAK = 21, 63
#: Seconds for a fleet to form, and to agree on a death or a restart.
START_SECONDS = 4.0
AGREE_SECONDS = 4.0


@pytest.fixture(autouse=True)
def _seed():
    """Select the same VMs in each run.

    With this seed a cut half shrinks to a full mesh while it still lists VMs of the
    other half as live.
    """
    random.seed(5)


def start(count, loss=0.0):
    network = Network(loss)
    for number in range(count):
        SimulatedVm(network, number)
    network.run(START_SECONDS)
    return network


def disagreeing(network):
    """Return the VMs whose serving members differ from the running VMs."""
    expected = {vm.name for vm in network.running()}
    return [vm.name for vm in network.running() if vm.serving_names != expected]


@pytest.mark.parametrize("loss", [0.0, 0.05])
@pytest.mark.parametrize("count", [SMALL, LARGE])
def test_all_vms_discover_each_other(count, loss):
    assert disagreeing(start(count, loss)) == []


def test_vms_started_together_discover_each_other_soon():
    network = Network()
    vms = [SimulatedVm(network, number, alone=True) for number in range(SMALL)]
    network.run(0.3)
    for vm in vms:
        vm.add_all_members()
    network.run(0.3)
    assert disagreeing(network) == []


@pytest.mark.parametrize("loss", [0.0, 0.05])
@pytest.mark.parametrize("count", [SMALL, LARGE])
@pytest.mark.parametrize("deaths", [1, 4])
def test_all_vms_learn_of_deaths(count, loss, deaths):
    network = start(count, loss)
    for vm in list(network.vms.values())[1 : deaths + 1]:
        vm.running = False
    network.run(AGREE_SECONDS)
    assert disagreeing(network) == []


@pytest.mark.parametrize("count", [SMALL, LARGE])
def test_all_vms_learn_of_the_loss_of_a_failure_domain(count):
    network = start(count)
    for vm in network.vms.values():
        vm.running = vm.domain != "north-a"
    network.run(AGREE_SECONDS)
    assert disagreeing(network) == []


@pytest.mark.parametrize("incarnation", [2, 0])
@pytest.mark.parametrize("count", [SMALL, LARGE])
def test_restarted_vm_is_live_even_with_an_earlier_clock(count, incarnation):
    network = start(count)
    vm = list(network.vms.values())[3]
    vm.running = False
    network.run(AGREE_SECONDS)
    SimulatedVm(network, vm.number, incarnation)
    network.run(AGREE_SECONDS)
    assert disagreeing(network) == []


def test_different_memberships_have_different_digests():
    """A sum of CRCs would be equal for these members."""

    def digest(*vms):
        parts = Parts()
        for vm in vms:
            parts.members.record_heartbeat(make_heartbeat(vm, incarnation=7))
        return parts.members.digest

    assert digest("i-1", "i-2") != digest("i-0", "i-3")


@pytest.mark.parametrize("count", [SMALL, LARGE])
def test_all_vms_learn_that_a_vm_leaves(count):
    network = start(count)
    vm = list(network.vms.values())[3]
    vm.members.set_serving(False)
    run_nonblocking(vm.gossip.send())
    network.run(1.0)
    assert all(vm.name not in each.serving_names for each in network.running())


def test_vms_without_requests_learn_that_a_vm_leaves():
    network = start_with_idle_vms(SMALL, SMALL)
    vm = next(iter(network.vms.values()))
    vm.members.leave()
    run_nonblocking(vm.gossip.leave())
    network.run(HEARTBEAT_INTERVAL_SECONDS)
    assert all(vm.name not in each.serving_names for each in network.running())


@pytest.mark.parametrize("count", [SMALL, LARGE])
def test_vms_cut_off_by_region_rejoin(count):
    network = start(count)
    network.is_cut = lambda one, other: (
        (one.domain == "south-a") != (other.domain == "south-a")
    )
    network.run(AGREE_SECONDS)
    for vm in network.running():
        in_south = vm.domain == "south-a"
        assert all(
            (each.domain == "south-a") == in_south
            for each in network.running()
            if each.name in vm.serving_names
        )
    network.is_cut = lambda one, other: False
    network.run(2 * AGREE_SECONDS)
    assert disagreeing(network) == []


def test_vm_with_one_cut_link_stays_live_for_the_rest():
    network = start(LARGE)
    vm = next(iter(network.vms.values()))
    monitored_name = next(iter(vm.members.topology.monitored))
    pair = {vm.name, monitored_name}
    network.is_cut = lambda one, other: {one.name, other.name} == pair
    network.run(AGREE_SECONDS)
    assert monitored_name not in vm.serving_names
    rest = [each for each in network.running() if each.name not in pair]
    assert all(pair <= each.serving_names for each in rest)


def test_resumed_vm_is_live_again():
    network = start(LARGE)
    vm = list(network.vms.values())[3]
    vm.running = False
    network.run(AGREE_SECONDS)
    vm.running = True
    network.run(AGREE_SECONDS)
    assert disagreeing(network) == []


@pytest.mark.parametrize("count", [LARGE, 2 * LARGE])
def test_heartbeats_of_a_vm_do_not_grow_with_the_fleet(count):
    network = start(count)
    network.sent.clear()
    network.run(3.0)
    max_messages = (
        3.0
        / HEARTBEAT_INTERVAL_SECONDS
        * 3
        * (MONITORED_IN_REGION + MONITORED_OUTSIDE_REGION)
    )
    assert max(network.sent.values()) < max_messages


def start_without_peers(rows):
    """Start a VM whose peers from the store never answer."""
    network = Network()
    vm = SimulatedVm(network, 0, alone=True)
    for number in range(1, rows):
        vm.members.add_known(f"vm-{number}", f"10.9.{number}", "south-a", "south")
    return vm


def test_vm_that_starts_in_a_large_fleet_is_not_silent_for_long():
    # A longer silence would be detected as a death, or as a pause of this VM.
    assert run_nonblocking(start_without_peers(VERY_LARGE).gossip.round()) < min(
        SILENCE_SECONDS, PAUSE_SECONDS
    )


def test_first_heartbeats_of_a_vm_that_starts_do_not_grow_with_the_fleet():
    heartbeat_counts = []
    for rows in (VERY_LARGE, 2 * VERY_LARGE):
        vm = start_without_peers(rows)
        vm.network.run(START_SECONDS)
        heartbeat_counts.append(vm.network.sent[vm.name])
    assert heartbeat_counts[0] == heartbeat_counts[1]


def test_vm_that_receives_many_heartbeats_before_it_sends_any_contacts_the_rest():
    vm = start_without_peers(LARGE)
    network = vm.network
    for number in range(1, MAX_MESH_SIZE + 2):
        other = SimulatedVm(network, number, alone=True)
        other.members.add_known(vm.name, vm.ip, vm.domain, "north")
        run_nonblocking(other.gossip.send())
    vm.members.update_live()
    assert not vm.members.topology.is_mesh
    unseen = sum(each.last_heartbeat_at is None for each in vm.members.others())
    run_nonblocking(vm.gossip.round())
    assert unseen > 0
    assert network.sent[vm.name] >= unseen


def test_vm_that_contacts_only_some_others_learns_of_the_rest(monkeypatch):
    network = start(LARGE)
    monkeypatch.setattr(gossip, "MAX_CONTACTED", 2)
    newcomer = SimulatedVm(network, LARGE)
    network.run(START_SECONDS)
    assert newcomer.serving_names == {vm.name for vm in network.running()}
    assert disagreeing(network) == []


def test_vm_without_requests_receives_no_capacity_reports():
    network = Network()
    weak = SimulatedVm(network, 0, strength=0.01)
    strong = [SimulatedVm(network, number) for number in range(1, SMALL)]
    network.run(START_SECONDS)
    assert weak.serving_names == {vm.name for vm in network.running()}
    assert not any(weak.capacity_reports.has_valid_report(vm.name) for vm in strong)
    assert all(
        strong[0].capacity_reports.has_valid_report(vm.name) for vm in strong[1:]
    )


def test_small_fleet_sends_no_membership_updates():
    network = start(MAX_MESH_SIZE)
    assert all(
        vm.members.updates_to_send(HEARTBEAT_INTERVAL_SECONDS) == []
        for vm in network.running()
    )


def start_with_idle_vms(strong, weak, loss=0.0):
    """Start a fleet in which only ``strong`` VMs can serve requests."""
    network = Network(loss)
    for number in range(strong + weak):
        SimulatedVm(network, number, strength=1.0 if number < strong else 0.1)
    network.run(START_SECONDS)
    return network


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_vms_without_requests_learn_of_deaths(loss):
    network = start_with_idle_vms(STRONG, WEAK, loss)
    for vm in list(network.vms.values())[1:3]:
        vm.running = False
    network.run(AGREE_SECONDS + 2 * IDLE_INTERVAL_SECONDS)
    assert disagreeing(network) == []


def test_vm_without_requests_sends_few_heartbeats():
    network = start_with_idle_vms(STRONG, WEAK)
    network.sent.clear()
    network.run(3.6)
    weak = [vm.name for vm in network.running() if vm.members.own.strength < 1.0]
    # Four rounds to four monitored VMs, and as many responses.
    assert max(network.sent[name] for name in weak) <= 4 * 2 * 4


def test_update_is_sent_to_each_vm_a_few_times_only():
    network = start_with_idle_vms(STRONG, WEAK)
    network.run(4.0)
    network.updates_sent.clear()
    dead = list(network.vms.values())[1]
    dead.running = False
    network.run(AGREE_SECONDS)
    monitored_by_serving = 2 * (MONITORED_IN_REGION + MONITORED_OUTSIDE_REGION)
    idle_monitored = (IDLE_MONITORED_IN_REGION + IDLE_MONITORED_OUTSIDE_REGION) * 2
    # A death causes up to two updates: suspected and dead.
    max_messages = 3 * 2 * (STRONG * monitored_by_serving + WEAK * idle_monitored)
    assert 0 < network.updates_sent[dead.name] <= max_messages


def test_owners_are_recomputed_only_when_a_vm_with_requests_changes():
    network = start_with_idle_vms(STRONG, WEAK)
    observer, dead, *_ = network.running()
    weak = network.running()[-1]
    changes = []
    observer.members.on_change(
        lambda: changes.append(observer.members.strong_serving())
    )
    weak.members.set_serving(False)
    network.run(AGREE_SECONDS)
    assert weak.name not in observer.serving_names
    assert changes == []
    dead.running = False
    network.run(AGREE_SECONDS)
    assert len(changes) == 1


def test_updates_are_sent_to_gossip_partners_only():
    network = Network()
    non_partners = []

    def is_cut(sender, receiver):
        if Heartbeat.from_fields(unpack_first(network.datagram)).news:
            member = sender.members.find(receiver.name)
            if not sender.gossip._is_partner(member):
                non_partners.append(receiver.name)
        return False

    network.is_cut = is_cut
    for number in range(STRONG + WEAK):
        SimulatedVm(network, number, strength=1.0 if number < STRONG else 0.1)
    network.run(START_SECONDS)
    assert sum(network.updates_sent.values()) > 0
    assert non_partners == []
