"""Reports of any number and content leave a VM's heartbeats intact."""

import random

import pytest

from heathercleat.steering.process.membership.gossip import MAX_DATAGRAM_BYTES
from standins.membership_simulation import Network, SimulatedVm

TARGET_COUNT = 500
SERVICE_COUNT = 2000
LONG_NAME = "s" * 60
ROUNDS_SECONDS = 2.0


class ReportingVm(SimulatedVm):
    """A VM with reports on targets and services, which tests may change."""

    def __init__(self, network, number):
        self.rooms, self.waits, self.losses = {}, {}, {}
        super().__init__(network, number)

    def compose(self, interval):
        heartbeat = super().compose(interval)
        heartbeat.rooms = [[name, *values] for name, values in self.rooms.items()]
        heartbeat.waits = [[name, *values] for name, values in self.waits.items()]
        heartbeat.losses = [[name, each] for name, each in self.losses.items()]
        return heartbeat

    def knows(self, owner):
        """Return whether all reports of another VM are known and in time."""
        now, reports = self.network.clock.now(), self.capacity_reports
        free = {
            name: reports.capacity(name, owner.name).free(now) for name in owner.rooms
        }
        losses = {name: reports.loss_rate(owner.name, name) for name in owner.losses}
        return (
            free == {name: values[0] for name, values in owner.rooms.items()}
            and losses == owner.losses
            and all(reports.wait_estimate(owner.name, name) for name in owner.waits)
        )


def start_vms(count=4, loss=0.0):
    """Return VMs that consider each other live."""
    random.seed(7)
    network = Network(loss)
    vms = [ReportingVm(network, number) for number in range(count)]
    network.run(ROUNDS_SECONDS)
    return network, vms


def fill(vm):
    """Let a VM report on as many targets and services as one may have to."""
    for number in range(TARGET_COUNT):
        vm.rooms[f"i-{number:08x}"] = [number % 7, 8, 1]
    for number in range(SERVICE_COUNT):
        name = f"{LONG_NAME}{number:04}"
        vm.losses[name] = 0.25 if number % 50 == 0 else 0.0
        if number < TARGET_COUNT:
            vm.waits[name] = [0.1, 0.2]


def assert_all_live(vms):
    names = {vm.name for vm in vms}
    for vm in vms:
        assert {each.vm for each in vm.members.live_others()} == names - {vm.name}
        assert vm.malformed_count == 0


def test_vm_with_more_reports_than_a_datagram_holds_is_live():
    network, vms = start_vms()
    sizes = []
    send = network.send
    network.send = lambda *args: sizes.append(len(args[-1])) or send(*args)
    fill(vms[0])
    network.run(ROUNDS_SECONDS)
    assert_all_live(vms)
    assert max(sizes) <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("section", ["rooms", "waits", "losses"])
@pytest.mark.parametrize("name", ["caf\ud83d", "s" * 70_000, 1 << 80])
def test_report_that_cannot_be_sent_costs_only_itself(section, name):
    network, vms = start_vms()
    sender, receiver = vms[:2]
    sender.rooms["i-1"] = [3, 8, 1]
    unusable = {"rooms": [1, 8, 1], "waits": [0.1, 0.1], "losses": 0.5}
    getattr(sender, section)[name] = unusable[section]
    network.run(ROUNDS_SECONDS)
    assert_all_live(vms)
    capacity = receiver.capacity_reports.capacity("i-1", sender.name)
    assert capacity.free(network.clock.now()) == 3


@pytest.mark.parametrize("loss", [0.0, 0.05])
@pytest.mark.parametrize("receiver_number", [3, 4])
def test_all_reports_arrive_in_pieces(loss, receiver_number):
    network, vms = start_vms(5, loss)
    sender, receiver = vms[0], vms[receiver_number]
    fill(sender)
    network.run(60.0)
    assert receiver.knows(sender)
    assert_all_live(vms)


def test_changed_report_is_in_the_next_piece():
    network, vms = start_vms()
    sender, receiver = vms[:2]
    fill(sender)
    network.run(60.0)
    sender.rooms["i-00000007"] = [5, 8, 1]
    del sender.rooms["i-00000008"]
    network.run(0.5)
    reports, now = receiver.capacity_reports, network.clock.now()
    assert reports.capacity("i-00000007", sender.name).free(now) == 5
    assert reports.capacity("i-00000008", sender.name).free(now) == 0


def test_reports_are_whole_again_once_they_fit():
    network, vms = start_vms()
    sender, receiver = vms[:2]
    fill(sender)
    network.run(ROUNDS_SECONDS)
    sender.rooms, sender.waits, sender.losses = {"i-1": [2, 8, 1]}, {}, {"s1": 0.0}
    network.run(ROUNDS_SECONDS)
    assert receiver.knows(sender)
    assert receiver.capacity_reports.loss_rate(sender.name, "s2") is None


def test_other_reports_arrive_while_all_targets_change():
    network, vms = start_vms(2)
    sender, receiver = vms
    for number in range(TARGET_COUNT):
        sender.rooms[f"i-{number:08x}"] = [1, 8, 1]
    sender.waits = {f"service-{number}": [0.1, 0.2] for number in range(50)}
    for free in range(100):
        for values in sender.rooms.values():
            values[0] = free % 8
        network.run(0.15)
    reports = receiver.capacity_reports
    assert all(reports.wait_estimate(sender.name, name) for name in sender.waits)
