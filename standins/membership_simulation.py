"""Heartbeats of many VMs in one process, over a network that loses and cuts."""

import random
from collections import Counter

import msgpack

from heathercleat.platform.settings import decode_node_settings
from heathercleat.process.logs import Journal
from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.held_slots import HeldSlots
from heathercleat.steering.process.membership.gossip import Gossip
from heathercleat.steering.process.membership.heartbeat import Heartbeat
from heathercleat.steering.process.membership.member import make_update
from heathercleat.steering.process.membership.members import Members
from heathercleat.steering.process.quarantine.suspects import Suspects
from tests.fakes import ManualClock
from tests.platform_samples import SETTINGS

#: The region of each failure domain.
REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south", "east-a": "east"}
#: Seconds by which time passes.
STEP = 0.01


async def nothing_to_do():
    """Stand for what a VM does after each heartbeat."""


class Network:
    """Carries datagrams at once, but for those that are lost or cut.

    :param loss: share of datagrams that get lost.
    :param regions: the region of each failure domain.
    """

    def __init__(self, loss=0.0, seed=1, regions=REGIONS):
        self.clock = ManualClock()
        self.regions = regions
        self.vms = {}
        self.loss = loss
        self.sent = Counter()
        self.bytes_sent = 0
        self.told = Counter()
        self.suspects_told = 0
        self.is_cut = lambda sender, receiver: False
        self._rng = random.Random(seed)

    def send(self, sender, ip, data):
        """Carry a datagram, and count it."""
        self.sent[sender.name] += 1
        self.bytes_sent += len(data)
        self.datagram = data
        beat = Heartbeat.from_fields(first_object(data))
        self.suspects_told += len(beat.suspects)
        for news in beat.decode_updates():
            self.told[news.vm] += 1
        receiver = self.vms.get(ip)
        if receiver is None or not receiver.running or self.is_cut(sender, receiver):
            return
        if self._rng.random() >= self.loss:
            receiver.take(data)

    def run(self, seconds):
        """Let time pass."""
        end = self.clock.time + seconds
        while self.clock.time < end:
            self.clock.time += STEP
            for vm in list(self.vms.values()):
                vm.step()

    def running(self):
        """Return the VMs whose processes run."""
        return [vm for vm in self.vms.values() if vm.running]


class SimulatedVm:
    """The membership of one VM, with the network in the place of its socket."""

    def __init__(self, network, number, incarnation=1, strength=1.0, alone=False):
        self.network = network
        self.number = number
        self.name = f"vm-{number}"
        domains = list(network.regions)
        self.domain = domains[number % len(domains)]
        self.ip = f"10.0.{number // 200}.{number % 200 + 1}"
        self.running = True
        self.next_at = network.clock.time + random.Random(number).uniform(0.0, 0.2)
        settings = decode_node_settings(SETTINGS)
        settings.vm, settings.ip, settings.seeds = self.name, self.ip, []
        settings.failure_domain = self.domain
        settings.region = network.regions[self.domain]
        settings.regions = network.regions
        journal = Journal(self.name, self.domain)
        self.members = Members(settings, journal, network.clock, incarnation)
        self.members.own.strength = strength
        self.rooms = CapacityReports(network.clock)
        self.held = HeldSlots(self.members, self.rooms, network.clock)
        self.suspects = Suspects(journal, network.clock)
        self.gossip = Gossip(
            settings,
            self.members,
            self.rooms,
            self.held,
            lambda: self.new_owners(),
            lambda: self.successors(),
            self.suspects,
            self.compose,
            nothing_to_do,
            journal,
            network.clock,
        )
        self.gossip._sock = self
        network.vms[self.ip] = self
        if not alone:
            self.meet_all()
        self.members.set_serving(True)

    @property
    def known(self):
        """Return the names of the VMs that this one takes as serving."""
        return {each.vm for each in self.members.serving()}

    def new_owners(self):
        """Return the names of the VMs that own targets with requests from here."""
        return set()

    def successors(self):
        """Return the names of the VMs that took targets over from this one."""
        return set()

    def meet_all(self):
        """Learn from the store which VMs there are."""
        for vm in self.network.vms.values():
            if vm is not self:
                region = self.network.regions[vm.domain]
                self.members.add_known(vm.name, vm.ip, vm.domain, region)

    async def sendto(self, data, address):
        """Send a datagram, as a socket does."""
        self.network.send(self, address[0], data)

    def take(self, data):
        """Take a datagram."""
        self.gossip.receive(data)

    def step(self):
        """Send the heartbeats that are due."""
        if self.running and self.network.clock.time >= self.next_at:
            self.next_at = self.network.clock.time + drive(self.gossip.round())

    def compose(self, interval):
        """Return a heartbeat without reports on targets."""
        own = self.members.own
        return Heartbeat(
            make_update(own),
            interval,
            0,
            0,
            False,
            self.members.digest,
            self.members.updates_to_send(interval),
            [],
            [],
            [],
            [],
            self.suspects.digest,
            [],
        )


def first_object(data):
    """Return what the heartbeat in a datagram was packed from."""
    unpacker = msgpack.Unpacker()
    unpacker.feed(data)
    return unpacker.unpack()


def drive(coroutine):
    """Return the value of a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("it waits")
