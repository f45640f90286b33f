"""Planned stops of simulated VMs: what they cost, and whom look-ups name meanwhile.

Everything that decides is the real code: heartbeats, membership, owners, look-ups and
the calls to the store. Sockets, processes and the store are simulated.
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
from standins.membership_simulation import STEP, Network, SimulatedVm, drive

#: Regions, and failure domains of each, by the number of VMs.
LAYOUTS = {9: (1, 3), 30: (1, 3), 72: (3, 2), 195: (3, 5), 300: (3, 4)}
SERVICES = ("s1", "s2")
TARGETS_OF_SERVICE = 4
#: Seconds from the start of a process to its first row and to serving.
REGISTER_SECONDS, SERVE_SECONDS = 0.05, 0.1
#: Seconds from the signal to the end of a VM without requests under way, and from there
#: to the start of its next process.
STOP_SECONDS = KEEP_ALIVE_SECONDS + QUIET_SECONDS
RESTART_SECONDS = 0.3
#: Seconds between two stops in turn.
TURN_SECONDS = 1.3
#: Seconds in which a fleet that starts has settled.
SETTLE_SECONDS = 8.0
FRONT_PORT = 8381
LONGEST_TTL = 5.0
#: Rows that one reading call to the store returns.
PAGE_ROWS = 500


def regions_of(size):
    """Return the region of each failure domain of a fleet of so many VMs."""
    regions, domains = LAYOUTS[size]
    return {
        f"r{region}-{domain}": f"r{region}"
        for domain in range(domains)
        for region in range(regions)
    }


class Costs:
    """What was spent so far, or between two moments.

    :param messages: datagrams that all VMs sent.
    :param bytes: their length.
    :param news: pieces of news in them.
    :param writes: calls to the store that change a row.
    :param reads: calls to the store that read rows.
    :param rankings: targets whose owner a VM worked out anew, summed over all VMs.
    """

    __slots__ = ("messages", "bytes", "news", "writes", "reads", "rankings")

    def __init__(self, *fields):
        for name, value in zip(self.__slots__, fields, strict=True):
            setattr(self, name, value)

    def minus(self, other):
        """Return the difference to earlier costs."""
        return Costs(*(getattr(self, n) - getattr(other, n) for n in self.__slots__))


class CountedRows:
    """The members' table in memory, which counts the calls to it."""

    def __init__(self):
        self.rows = {}
        self.reads = 0
        self.writes = 0

    def write(self, vm, value):
        """Put or remove the row of a VM."""
        self.writes += 1
        self.rows.pop(vm, None)
        if value is not None:
            self.rows[vm] = value

    def read(self):
        """Yield the :class:`Member` of each row."""
        self.reads += 1 + max(0, len(self.rows) - 1) // PAGE_ROWS
        for vm, value in list(self.rows.items()):
            yield decode_member(StoreRow(vm, value, 0))


class CountedOwners(Owners):
    """Owners that count the targets which are ranked."""

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
    """A VM that registers, owns targets, answers look-ups and can be stopped."""

    def __init__(self, fleet, number, incarnation):
        super().__init__(fleet, number, incarnation, alone=True)
        # The base takes a VM that is there for one that serves.
        self.members.own.stage = Stage.STARTING
        self.next_at = fleet.clock.time
        self.started_at = fleet.clock.time
        self.stopped_at = None
        registry = TargetRegistry(Journal(self.name, self.domain), fleet.clock)
        registry.replace(fleet.targets)
        self.owners = CountedOwners(registry, self.members)
        self.directory = Directory(
            self.members, fleet.regions, FRONT_PORT, LONGEST_TTL, fleet.clock
        )

    @property
    def serving(self):
        """Return whether the VM takes clients."""
        return self.running and self.members.own.is_serving

    @property
    def leaving(self):
        """Return whether the VM was told to stop and still runs."""
        return self.running and self.stopped_at is not None

    def take(self, data):
        """Take a datagram, and greet a VM that was not live before."""
        newcomer = self.gossip.receive(data)
        if newcomer is not None:
            drive(self.gossip._send_all([newcomer]))

    def compose(self, interval):
        """Return a heartbeat, for which the owners are looked at."""
        self.owners.owned()
        return super().compose(interval)

    def register(self):
        """Write the own row and learn of the others."""
        region = self.members.own.region
        rows = self.network.rows
        rows.write(self.name, encode_member(self.ip, self.domain, region))
        for each in rows.read():
            if each.vm != self.name:
                self.members.add_known(
                    each.vm, each.ip, each.failure_domain, each.region
                )

    def serve(self):
        """Take clients."""
        self.members.set_serving(True)

    def stop(self):
        """Do what the node does at the stop signal."""
        self.stopped_at = self.network.clock.time
        self.members.leave()
        drive(self.gossip.leave())
        self.network.rows.write(self.name, None)

    def end(self):
        """End the process."""
        self.running = False

    def lookup(self, region, failure_domain):
        """Return the :class:`Lookup` of a client that asks here."""
        return self.directory.lookup(region, failure_domain)


class StopFleet(Network):
    """A fleet whose VMs start, stop and start again.

    :param size: the number of VMs, one of :data:`LAYOUTS`.
    """

    def __init__(self, size, loss=0.0, seed=1):
        super().__init__(loss, seed, regions_of(size))
        self.rows = CountedRows()
        self.targets = list(_targets(self.regions))
        self._due = []
        self._numbers = count()
        self._rankings_before = 0
        for number in range(size):
            self.start(number)

    @property
    def costs(self):
        """Return the :class:`Costs` so far."""
        rankings = sum(vm.owners.rankings for vm in self.vms.values())
        return Costs(
            sum(self.sent.values()),
            self.bytes_sent,
            sum(self.told.values()),
            self.rows.writes,
            self.rows.reads,
            rankings + self._rankings_before,
        )

    def start(self, number):
        """Start a process of a VM, or its next one."""
        incarnation = int(self.clock.time * 1e9)
        before = self._by_number(number)
        if before is not None:
            self._rankings_before += before.owners.rankings
        vm = StoppableVm(self, number, incarnation)
        self.after(REGISTER_SECONDS, vm.register)
        self.after(SERVE_SECONDS, vm.serve)

    def stop(self, vm, lasts=STOP_SECONDS):
        """Tell a VM to stop; it ends and starts again."""
        vm.stop()
        self.after(lasts, vm.end)
        self.after(lasts + RESTART_SECONDS, lambda: self.start(vm.number))

    def after(self, seconds, act):
        """Act in so many seconds."""
        self._due.append(Due(self.clock.time + seconds, next(self._numbers), act))
        self._due.sort(key=attrgetter("at", "number"))

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / STEP)):
            self.clock.time += STEP
            while self._due and self._due[0].at <= self.clock.time:
                self._due.pop(0).act()
            for vm in list(self.vms.values()):
                vm.step()

    def serving(self):
        """Return the VMs that take clients."""
        return [vm for vm in self.vms.values() if vm.serving]

    def spent(self, seconds):
        """Return the :class:`Costs` of the next seconds."""
        before = self.costs
        self.run(seconds)
        return self.costs.minus(before)

    def _by_number(self, number):
        return next((vm for vm in self.vms.values() if vm.number == number), None)


class Due:
    """What happens at an instant."""

    __slots__ = ("at", "number", "act")

    def __init__(self, at, number, act):
        self.at = at
        self.number = number
        self.act = act


def settled(size, loss=0.0, seed=1):
    """Return a fleet that started together and has settled."""
    fleet = StopFleet(size, loss, seed)
    fleet.run(SETTLE_SECONDS)
    return fleet


def stop_in_turn(fleet, stops):
    """Stop so many VMs one after the other, without a wait for the first."""
    for vm in fleet.serving()[:stops]:
        fleet.stop(vm)
        fleet.run(TURN_SECONDS)


def stop_domain(fleet):
    """Stop all VMs of one failure domain at once; return them."""
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
    """Yield the targets of all failure domains."""
    for domain in regions:
        for service in SERVICES:
            for number in range(TARGETS_OF_SERVICE):
                name = f"{domain}-{service}-{number}"
                yield TargetEntry(
                    name, service, "127.0.0.9", 80, domain, 4, False, 0.0, None, None, 1
                )
