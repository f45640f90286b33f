"""Simulation of planned stops that counts messages, store calls and owner changes.

Gossip, membership, owners and look-ups run the production code; sockets, processes and
the store are simulated.
"""

from itertools import count
from operator import attrgetter

from heathercleat.process.logs import Journal
from heathercleat.steering.process.capacity.owners import Owners
from heathercleat.steering.process.capacity.registry import TargetRegistry
from heathercleat.steering.process.capacity.target import TargetEntry
from heathercleat.steering.process.directory import Directory
from heathercleat.steering.process.handover import QUIET_SECONDS
from heathercleat.steering.process.membership.member import Stage
from heathercleat.steering.process.shutdown import KEEP_ALIVE_SECONDS
from heathercleat.steering.process.store.member_rows import decode_member, encode_member
from heathercleat.steering.process.store.protocol import StoreRow
from standins.membership_simulation import (
    STEP_SECONDS,
    Network,
    SimulatedVm,
    run_nonblocking,
)

#: Number of regions, and of failure domains in each, by the number of VMs.
LAYOUTS = {9: (1, 3), 30: (1, 3), 72: (3, 2), 195: (3, 5), 300: (3, 4)}
SERVICES = ("s1", "s2")
#: Targets of each service in a failure domain.
TARGETS_OF_SERVICE = 4
#: Seconds from the start of a process to its registration, and to serving.
REGISTER_SECONDS, SERVE_SECONDS = 0.05, 0.1
#: Seconds from SIGTERM to the exit of an idle VM, and from there to its restart.
STOP_SECONDS = KEEP_ALIVE_SECONDS + QUIET_SECONDS
RESTART_SECONDS = 0.3
#: Seconds between successive stops of a rolling restart.
STOP_INTERVAL_SECONDS = 1.3
#: Seconds within which the membership of a new fleet converges.
SETTLE_SECONDS = 8.0
FRONT_PORT = 8381
MAX_TTL_SECONDS = 5.0
#: Rows per page of a read from the store.
PAGE_ROWS = 500


def regions_of(size):
    """Return the region of each failure domain for a fleet size in :data:`LAYOUTS`."""
    regions, domains = LAYOUTS[size]
    return {
        f"r{region}-{domain}": f"r{region}"
        for domain in range(domains)
        for region in range(regions)
    }


class Costs:
    """Counters of the whole fleet, in total or over an interval.

    :param messages: datagrams sent.
    :param bytes: total length of the datagrams.
    :param updates: membership updates in the datagrams.
    :param writes: store calls that change a row.
    :param reads: store calls that read rows.
    :param rankings: targets whose owner a VM recomputed, summed over all VMs.
    """

    __slots__ = ("messages", "bytes", "updates", "writes", "reads", "rankings")

    def __init__(self, *fields):
        for name, value in zip(self.__slots__, fields, strict=True):
            setattr(self, name, value)

    def minus(self, other):
        """Return the costs since ``other``."""
        return Costs(*(getattr(self, n) - getattr(other, n) for n in self.__slots__))


class CountingRows:
    """The members table, in memory, with counters of calls."""

    def __init__(self):
        self.rows = {}
        self.reads = 0
        self.writes = 0

    def write(self, vm, value):
        """Write the row of a VM, or remove it if ``value`` is ``None``."""
        self.writes += 1
        self.rows.pop(vm, None)
        if value is not None:
            self.rows[vm] = value

    def read(self):
        """Yield the :class:`Member` of each row."""
        self.reads += 1 + max(0, len(self.rows) - 1) // PAGE_ROWS
        for vm, value in list(self.rows.items()):
            yield decode_member(StoreRow(vm, value, 0))


class CountingOwners(Owners):
    """Owners with a counter of recomputed targets."""

    def __init__(self, registry, members):
        super().__init__(registry, members)
        self.rankings = 0

    def _rebuild(self):
        before = dict(self._assignments)
        super()._rebuild()
        for key, assignment in self._assignments.items():
            if assignment is not before.get(key):
                self.rankings += len(assignment.targets)


class StoppableVm(SimulatedVm):
    """A simulated VM that registers, owns targets, serves look-ups and can stop."""

    def __init__(self, fleet, number, incarnation):
        super().__init__(fleet, number, incarnation, alone=True)
        # The base class marks the VM as serving.
        self.members.own.stage = Stage.STARTING
        self.next_round_at = fleet.clock.time
        self.started_at = fleet.clock.time
        self.stopped_at = None
        registry = TargetRegistry(Journal(self.name, self.domain), fleet.clock)
        registry.replace(fleet.targets)
        self.owners = CountingOwners(registry, self.members)
        self.directory = Directory(
            self.members, fleet.regions, FRONT_PORT, MAX_TTL_SECONDS, fleet.clock
        )

    @property
    def serving(self):
        """Return whether the VM accepts clients."""
        return self.running and self.members.own.is_serving

    @property
    def leaving(self):
        """Return whether the VM is shutting down."""
        return self.running and self.stopped_at is not None

    def receive(self, data):
        """Process a datagram; reply at once to a VM that was not live before."""
        newcomer = self.gossip.receive(data)
        if newcomer is not None:
            run_nonblocking(self.gossip._send_all([newcomer]))

    def compose(self, interval):
        """Return a heartbeat; refresh the owners as the production code does."""
        self.owners.owned()
        return super().compose(interval)

    def register(self):
        """Write the row of this VM and add the VMs of all other rows."""
        region = self.members.own.region
        rows = self.network.rows
        rows.write(self.name, encode_member(self.ip, self.domain, region))
        for each in rows.read():
            if each.vm != self.name:
                self.members.add_known(
                    each.vm, each.ip, each.failure_domain, each.region
                )

    def serve(self):
        """Start to accept clients."""
        self.members.set_serving(True)

    def stop(self):
        """Begin the shutdown, as on SIGTERM."""
        self.stopped_at = self.network.clock.time
        self.members.leave()
        run_nonblocking(self.gossip.leave())
        self.network.rows.write(self.name, None)

    def end(self):
        """End the process."""
        self.running = False

    def lookup(self, region, failure_domain):
        """Return the :class:`Lookup` for a client in a failure domain."""
        return self.directory.lookup(region, failure_domain)


class StopFleet(Network):
    """A fleet whose VMs start, stop and restart.

    :param size: the number of VMs, a key of :data:`LAYOUTS`.
    """

    def __init__(self, size, loss=0.0, seed=1):
        super().__init__(loss, seed, regions_of(size))
        self.rows = CountingRows()
        self.targets = list(_targets(self.regions))
        self._scheduled = []
        self._call_numbers = count()
        self._past_rankings = 0
        for number in range(size):
            self.start(number)

    @property
    def costs(self):
        """Return the total :class:`Costs`."""
        rankings = sum(vm.owners.rankings for vm in self.vms.values())
        return Costs(
            sum(self.sent.values()),
            self.bytes_sent,
            sum(self.updates_sent.values()),
            self.rows.writes,
            self.rows.reads,
            rankings + self._past_rankings,
        )

    def start(self, number):
        """Start or restart the process of a VM."""
        incarnation = int(self.clock.time * 1e9)
        previous = self._by_number(number)
        if previous is not None:
            self._past_rankings += previous.owners.rankings
        vm = StoppableVm(self, number, incarnation)
        self.schedule(REGISTER_SECONDS, vm.register)
        self.schedule(SERVE_SECONDS, vm.serve)

    def stop(self, vm, exit_after=STOP_SECONDS):
        """Stop a VM; it exits after some seconds and restarts."""
        vm.stop()
        self.schedule(exit_after, vm.end)
        self.schedule(exit_after + RESTART_SECONDS, lambda: self.start(vm.number))

    def schedule(self, seconds, action):
        """Call ``action()`` in ``seconds`` of simulated time."""
        self._scheduled.append(
            ScheduledCall(self.clock.time + seconds, next(self._call_numbers), action)
        )
        self._scheduled.sort(key=attrgetter("at", "number"))

    def run(self, seconds):
        """Advance the simulated time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.time += STEP_SECONDS
            while self._scheduled and self._scheduled[0].at <= self.clock.time:
                self._scheduled.pop(0).action()
            for vm in list(self.vms.values()):
                vm.step()

    def serving(self):
        """Return the VMs that accept clients."""
        return [vm for vm in self.vms.values() if vm.serving]

    def run_and_count(self, seconds):
        """Advance the simulated time and return the :class:`Costs` of it."""
        before = self.costs
        self.run(seconds)
        return self.costs.minus(before)

    def _by_number(self, number):
        return next((vm for vm in self.vms.values() if vm.number == number), None)


class ScheduledCall:
    """A scheduled call; ``number`` orders calls of the same instant."""

    __slots__ = ("at", "number", "action")

    def __init__(self, at, number, action):
        self.at = at
        self.number = number
        self.action = action


def converged_fleet(size, loss=0.0, seed=1):
    """Return a fleet whose VMs started together and whose membership has converged."""
    fleet = StopFleet(size, loss, seed)
    fleet.run(SETTLE_SECONDS)
    return fleet


def stop_one_by_one(fleet, vm_count):
    """Stop VMs at a fixed interval, without waiting for restarts."""
    for vm in fleet.serving()[:vm_count]:
        fleet.stop(vm)
        fleet.run(STOP_INTERVAL_SECONDS)


def stop_domain(fleet):
    """Stop all VMs of the first failure domain at once; return them."""
    domain = next(iter(fleet.regions))
    stopped = [vm for vm in fleet.serving() if vm.domain == domain]
    for vm in stopped:
        fleet.stop(vm)
    return stopped


def stop_all(fleet):
    """Stop all VMs at once; return them."""
    stopped = fleet.serving()
    for vm in stopped:
        fleet.stop(vm)
    return stopped


def _targets(regions):
    """Yield the :class:`TargetEntry` of each target."""
    for domain in regions:
        for service in SERVICES:
            for number in range(TARGETS_OF_SERVICE):
                name = f"{domain}-{service}-{number}"
                yield TargetEntry(
                    name, service, "127.0.0.9", 80, domain, 4, False, 0.0, None, None, 1
                )
