"""Simulated load on targets whose machines are slow at times, without a network."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from curio import Kernel

from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.loss_rates import LossRates
from heathercleat.steering.process.capacity.owned_target import OwnedTarget
from heathercleat.steering.process.capacity.region_loss_rates import RegionLossRates
from heathercleat.steering.process.capacity.region_shift import RegionShiftLimit
from heathercleat.steering.process.capacity.response_times import ResponseTimes
from heathercleat.steering.process.capacity.speed_reports import SpeedReports
from heathercleat.steering.process.capacity.view import TargetView
from heathercleat.steering.request.attempt_result import TargetResponseHead
from heathercleat.steering.request.destinations import DestinationSelector
from heathercleat.steering.request.estimates import Estimates
from tests.steering_parts import Parts, call, entry, make_heartbeat, route

SLOTS = 4
TARGETS_PER_VM = 6
#: Length of a slow period, and of the interval between heartbeats, in seconds.
SLOW_SECONDS = 0.6
HEARTBEAT_SECONDS = 0.15
#: Seconds after which a request without a slot looks for one again.
RETRY_SECONDS = 0.01
#: Seconds of arrivals.
LOAD_SECONDS = 30.0
#: Number of objects that a target caches, and the factor of the work for others.
CACHED_OBJECTS = 25
UNCACHED_FACTOR = 3.3


class PeerLedger:
    """The targets of a second VM; stands in for its :class:`SlotLedger`."""

    def __init__(self, targets):
        self._targets = {each.entry.id: each for each in targets}

    def all(self):
        """Return every target."""
        return self._targets.values()

    def of_service(self, service):
        """Return every target; all are of one service."""
        return list(self._targets.values())

    def get(self, target_id):
        """Return the target of that id, or ``None``."""
        return self._targets.get(target_id)


class Machine:
    """Alternates between usual and slow periods, and caches objects."""

    def __init__(self, random, factor, slow_share, seconds):
        self._factor = factor
        self._starts = []
        mean_gap = SLOW_SECONDS * (1.0 - slow_share) / slow_share
        at = random.uniform(-SLOW_SECONDS, mean_gap)
        while at < seconds:
            self._starts.append(at)
            at += SLOW_SECONDS + random.expovariate(1.0 / mean_gap)
        self._objects = []

    def slowdown(self, at):
        """Return the factor by which work takes longer at an instant."""
        is_slow = any(0.0 <= at - start < SLOW_SECONDS for start in self._starts)
        return self._factor if is_slow else 1.0

    def finish(self, at, work):
        """Return when work that starts at an instant is done, in steps of 5 ms."""
        while work > 0.0:
            work -= 0.005 / self.slowdown(at)
            at += 0.005
        return at

    def is_cached(self, name):
        """Return whether an object is cached, and cache it."""
        found = name in self._objects
        if found:
            self._objects.remove(name)
        self._objects = [*self._objects, name][-CACHED_OBJECTS:]
        return found or name is None


class SlowMachineLoad:
    """Requests to a VM that owns half of the targets; another VM owns the others.

    :param is_reported: whether responses have the fourth field.
    :param factor: slowdown of a machine in its slow periods.
    :param slow_share: share of the time in which a machine is slow.
    :param rate: requests per second.
    :param work: usual seconds of a request, if its object is cached.
    :param objects: number of objects that requests are for; 0 for no affinity.
    """

    def __init__(self, is_reported, factor, slow_share, rate, work, objects, seed=5):
        self.random = random = Random(seed)
        self.is_reported, self.rate, self.work = is_reported, rate, work
        self.objects, self.seconds = objects, LOAD_SECONDS
        near = [entry(f"n{each}", slots=SLOTS) for each in range(TARGETS_PER_VM)]
        far = [
            entry(f"f{each}", domain="north-b", slots=SLOTS)
            for each in range(TARGETS_PER_VM)
        ]
        self.parts = parts = Parts([*near, *far])
        self.clock, members = parts.clock, parts.members
        self.began_at = self.clock.now()
        members.record_heartbeat(make_heartbeat("vm-2", domain="north-b"))
        self.reports = CapacityReports(self.clock)
        peer_ledger = PeerLedger(
            OwnedTarget(each, None, 0.0, parts.held, parts.notices) for each in far
        )
        self.ledgers = {"vm-1": parts.ledger, "vm-2": peer_ledger}
        self.admissions = {
            vm: Admission(ledger, members.region_of, self.clock)
            for vm, ledger in self.ledgers.items()
        }
        self.peer_speeds, self.own_speeds = (
            SpeedReports(ledger, self.reports, parts.registry, self.clock)
            for ledger in (peer_ledger, parts.ledger)
        )
        self.machines = {
            each.id: Machine(random, factor, slow_share, self.seconds + 60.0)
            for each in [*near, *far]
        }
        self.times = ResponseTimes()
        view = TargetView(
            members, parts.registry, parts.owners, parts.ledger, self.reports
        )
        shift = RegionShiftLimit(0.15, self.clock)
        loss_rates = RegionLossRates(members, self.reports, LossRates(), self.clock)
        estimates = Estimates(
            members,
            self.admissions["vm-1"],
            self.reports,
            lambda vm: 0.001,
            self.times,
            self.clock,
        )
        self.selector = DestinationSelector(
            view, members, estimates, loss_rates, shift, parts.notices, self.clock
        )
        self.slow_starts, self.latencies = 0, []
        self.kernel, self.numbers, self.events = Kernel(), count(), []

    def run(self):
        """Return the share of requests that start at slow machines, and latencies."""
        at = 0.0
        while at < self.seconds:
            at += self.random.expovariate(self.rate)
            name = f"o{self.random.randrange(self.objects)}" if self.objects else None
            self._schedule(at, self._start, name, at, self.random.uniform(0.8, 1.2))
        for number in range(int(self.seconds / HEARTBEAT_SECONDS)):
            self._schedule(number * HEARTBEAT_SECONDS, self._send_heartbeat)
        while self.events:
            at, _, act, arguments = heappop(self.events)
            self.clock.time = self.began_at + at
            act(*arguments)
        self.kernel.run(shutdown=True)
        return self.slow_starts / len(self.latencies), sorted(self.latencies)

    @property
    def _elapsed(self):
        return self.clock.time - self.began_at

    def _schedule(self, at, act, *arguments):
        heappush(self.events, (at, next(self.numbers), act, arguments))

    def _send_heartbeat(self):
        now, targets = self.clock.now(), self.ledgers["vm-2"].all()
        reports = [[t.entry.id, t.free(now), SLOTS, len(t.uses)] for t in targets]
        self.reports.record_report("vm-2", reports, [["s1", 0.0, 0.0]], [])
        report = self.peer_speeds.report()
        if report is not None:
            self.own_speeds.merge("vm-2", report)

    def _start(self, name, arrived_at, size):
        request = call(self.clock, route(sticky=bool(name)), affinity=name)
        request.give_up_at = request.deadline
        request.affinity_until = request.arrived_at + (self.work if name else 0.0)
        found = self.selector.select_free(request, frozenset(), frozenset())
        use = found and self.kernel.run(
            self.admissions[found.vm].acquire,
            request,
            found.preferred,
            frozenset(),
            self.clock.now(),
        )
        if use is None:
            self._schedule(
                self._elapsed + RETRY_SECONDS, self._start, name, arrived_at, size
            )
            return
        target_id = use.target.entry.id
        machine, at = self.machines[target_id], self._elapsed
        self.slow_starts += machine.slowdown(at) > 1.0
        work = self.work * size * (1 if machine.is_cached(name) else UNCACHED_FACTOR)
        if found.vm == "vm-2":
            self.reports.capacity(target_id, "vm-2").reserve()
        is_preferred = target_id in found.preferred
        self._schedule(
            machine.finish(at, work), self._end, use, found.vm, arrived_at, is_preferred
        )

    def _end(self, use, vm, arrived_at, is_preferred):
        now, target_id = self.clock.now(), use.target.entry.id
        use.target.uses.remove(use)
        head = TargetResponseHead()
        if self.is_reported:
            head.slowdown = self.machines[target_id].slowdown(self._elapsed)
        use.target.record_response(head, now)
        use.target.health.record_success(now - use.started_at)
        if vm == "vm-2":
            self.reports.capacity(target_id, vm).release()
            if head.slowdown is not None:
                self.reports.record_slowdown(target_id, vm, head.slowdown)
        self.times.record("r1", now - use.started_at, is_preferred)
        self.latencies.append(self._elapsed - arrived_at)
