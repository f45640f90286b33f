"""Simulates the gossip of many VMs in one process, with packet loss and partitions."""

import random
from collections import Counter

import msgpack

from heathercleat.events import Event
from heathercleat.platform.settings import decode_node_settings
from heathercleat.process.logs import Journal
from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.held_slots import HeldSlots
from heathercleat.steering.process.capacity.notices import Notices
from heathercleat.steering.process.capacity.registry import TargetRegistry
from heathercleat.steering.process.configuration_freshness import (
    ConfigurationFreshness,
)
from heathercleat.steering.process.membership.extensions import Extensions
from heathercleat.steering.process.membership.gossip import MAX_DATAGRAM_BYTES, Gossip
from heathercleat.steering.process.membership.heartbeat import Heartbeat
from heathercleat.steering.process.membership.member import make_update
from heathercleat.steering.process.membership.members import Members
from heathercleat.steering.process.membership.report_pieces import ReportPieces
from heathercleat.steering.process.membership.workspace_reports import (
    WorkspaceReports,
)
from heathercleat.steering.process.quarantine.suspects import Suspects
from heathercleat.steering.process.quota.exchange import UsageExchange
from heathercleat.steering.process.quota.levels import Levels
from heathercleat.steering.process.quota.quota import Quota
from heathercleat.steering.process.quota.usage import Usage
from heathercleat.steering.process.rejected_items import RejectedItemLog
from tests.fakes import ManualClock
from tests.platform_samples import SETTINGS

#: The region of each failure domain.
REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south", "east-a": "east"}
#: Simulated time per step.
STEP_SECONDS = 0.01


async def do_nothing():
    """Do nothing, as the hook after each gossip round."""


class Network:
    """Delivers datagrams without delay, except for those lost or partitioned.

    :param loss: share of datagrams that are lost.
    :param regions: the region of each failure domain.
    """

    def __init__(self, loss=0.0, seed=1, regions=REGIONS):
        self.clock = ManualClock()
        self.regions = regions
        self.vms = {}
        self.loss = loss
        self.sent = Counter()
        self.bytes_sent = 0
        self.updates_sent = Counter()
        self.suspect_updates_sent = 0
        self.is_cut = lambda sender, receiver: False
        self.extensions_of = lambda vm: ()
        self._rng = random.Random(seed)

    def send(self, sender, ip, data):
        """Count a datagram and deliver it unless it is lost."""
        self.sent[sender.name] += 1
        self.bytes_sent += len(data)
        self.datagram = data
        message = Heartbeat.from_fields(unpack_first(data))
        self.suspect_updates_sent += len(message.suspects)
        for update in message.decode_updates():
            self.updates_sent[update.vm] += 1
        receiver = self.vms.get(ip)
        if receiver is None or not receiver.running or self.is_cut(sender, receiver):
            return
        if self._rng.random() >= self.loss:
            receiver.receive(data[: MAX_DATAGRAM_BYTES + 1])

    def run(self, seconds):
        """Advance the simulated time."""
        end = self.clock.time + seconds
        while self.clock.time < end:
            self.clock.time += STEP_SECONDS
            for vm in list(self.vms.values()):
                vm.step()

    def running(self):
        """Return the VMs whose simulated process is running."""
        return [vm for vm in self.vms.values() if vm.running]


class SimulatedVm:
    """The membership of one VM; :class:`Network` replaces its UDP socket.

    :param strength: capacity of the VM relative to others.
    :param alone: whether its membership starts without the other VMs.
    """

    def __init__(self, network, number, incarnation=1, strength=1.0, alone=False):
        self.network = network
        self.number = number
        self.name = f"vm-{number}"
        domains = list(network.regions)
        self.domain = domains[number % len(domains)]
        self.ip = f"10.0.{number // 200}.{number % 200 + 1}"
        self.running = True
        self.malformed_count = 0
        self.configuration_version = 1
        self.next_round_at = network.clock.time + random.Random(number).uniform(
            0.0, 0.2
        )
        settings = decode_node_settings(SETTINGS)
        settings.vm, settings.ip, settings.seeds = self.name, self.ip, []
        settings.failure_domain = self.domain
        settings.region = network.regions[self.domain]
        settings.regions = network.regions
        self.bounds = settings.bounds
        journal = Journal(self.name, self.domain)
        self.members = Members(settings, journal, network.clock, incarnation)
        self.members.own.strength = strength
        self.capacity_reports = CapacityReports(network.clock)
        self.held = HeldSlots(self.members, self.capacity_reports, network.clock)
        self.suspects = Suspects(journal, network.clock)
        clock = network.clock
        self.freshness = ConfigurationFreshness(lambda: self.configuration_version)
        self.workspaces = {}
        levels = Levels(lambda name: self.workspaces.get(name), self.bounds, clock)
        usage = Usage(levels, self.bounds, clock)
        exchange = UsageExchange(self.members, usage, levels, self.bounds, clock)
        self.quota = Quota(usage, levels, exchange, self.name, clock)
        self.workspace_reports = WorkspaceReports(
            self.freshness, lambda: self.configuration_version, exchange
        )
        registry = TargetRegistry(journal, clock)
        self.notices = Notices(registry, self.members.region_of, journal, clock)
        failures = RejectedItemLog(journal, clock, Event.REPORT_NOT_SENT)
        pieces = ReportPieces(self.capacity_reports, self.held, failures)
        self.gossip = Gossip(
            settings,
            self.members,
            self.capacity_reports,
            self.held,
            lambda: self.new_owners(),
            lambda: self.successors(),
            self.suspects,
            self.workspace_reports,
            self.notices,
            Extensions([pieces, *network.extensions_of(self)], failures, journal),
            pieces,
            failures,
            self.compose,
            do_nothing,
            journal,
            network.clock,
        )
        self.gossip._sock = self
        network.vms[self.ip] = self
        if not alone:
            self.add_all_members()
        self.members.set_serving(True)

    @property
    def serving_names(self):
        """Return the names of the members that this VM considers serving."""
        return {each.vm for each in self.members.serving()}

    def new_owners(self):
        """Return the new owners of targets that still run this VM's requests."""
        return set()

    def successors(self):
        """Return the names of the VMs that took over this VM's targets."""
        return set()

    def add_all_members(self):
        """Add all VMs to the membership, as after a read of the store."""
        for vm in self.network.vms.values():
            if vm is not self:
                region = self.network.regions[vm.domain]
                self.members.add_known(vm.name, vm.ip, vm.domain, region)

    async def sendto(self, data, address):
        """Send a datagram; the method that gossip calls on its socket."""
        self.network.send(self, address[0], data)

    def receive(self, data):
        """Process a received datagram; ignore one that is malformed."""
        try:
            self.gossip.receive(data)
        except (ValueError, msgpack.UnpackException):
            self.malformed_count += 1

    def step(self):
        """Run a gossip round if one is due."""
        if self.running and self.network.clock.time >= self.next_round_at:
            self.next_round_at = self.network.clock.time + run_nonblocking(
                self.gossip.round()
            )

    def compose(self, interval):
        """Return a heartbeat without target reports."""
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


def unpack_first(data):
    """Return the first msgpack object of a datagram."""
    unpacker = msgpack.Unpacker()
    unpacker.feed(data)
    return unpacker.unpack()


def run_nonblocking(coroutine):
    """Run a coroutine that never suspends and return its result.

    :raises AssertionError: when it suspends.
    """
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine suspended")
