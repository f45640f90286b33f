"""Simulation of requests of three regions to targets that cache objects.

Callers, targets and times are those of the archive (``docs/design/hard-load.md``). The
decisions are those of :class:`RegionalDemand`, one for each VM, with reports that
arrive late or not at all; requests, targets and their queues are simulated.
"""

from collections import Counter, OrderedDict, deque
from heapq import heappop, heappush
from math import pi, sin
from random import Random
from types import SimpleNamespace

import msgpack

from heathercleat.process.logs import Journal
from heathercleat.steering.process.capacity.regional_demand import RegionalDemand
from heathercleat.steering.process.capacity.target import TargetEntry
from heathercleat.steering.process.capacity.view import Candidate, RegionTargets
from heathercleat.steering.process.settings import Bounds

SERVICE = "archive"
REGIONS = ("east", "middle", "west")
TARGETS = {"east": 48, "middle": 10, "west": 40}
SLOTS = 9
CACHED_OBJECTS = 25
#: Share of the work that a request for a cached object takes.
CACHED_SHARE = 0.3
VMS_PER_REGION = 4
ONE_WAY_SECONDS = {True: 0.0005, False: 0.055}
HEARTBEAT_SECONDS = {True: 0.15, False: 0.3}
WAVE_SHARE, WAVE_SECONDS = 0.55, 36.0
#: Share of the requests that take longer, and by which factor.
LONG_SHARE, LONG_FACTOR = 0.03, 7.0
#: Slow periods of a target's machine: length, period and factor.
SLOW_SECONDS, SLOW_PERIOD, SLOW_FACTOR = 0.6, 4.0, 2.5
#: Length of the windows in which changes of region are counted, in seconds.
WINDOW_SECONDS = 2.0


class SimulatedRoute:
    """A route: requests per second, seconds of work, objects and their deadlines."""

    __slots__ = ("name", "rate", "work", "objects", "objective", "deadline")

    def __init__(self, name, rate, work, objects, objective, deadline):
        self.name = name
        self.rate = rate
        self.work = work
        self.objects = objects
        self.objective = objective
        self.deadline = deadline


ROUTES = (
    SimulatedRoute("lookup", 613.0, 1.1, 306, 1.012, 6.071),
    SimulatedRoute("deposit", 193.0, 1.4, 96, 1.232, 8.216),
)


class SimulatedTarget:
    """A target with slots, a first-in, first-out queue and a cache of objects."""

    def __init__(self, id, region, phase):
        self.id = id
        self.region = region
        self.used = 0
        self.queue = deque()
        self.is_usable = True
        self._cache = OrderedDict()
        self._phase = phase

    def is_known(self, now):
        """Return ``True``: all VMs know the free slots."""
        return True

    def free(self, now):
        """Return the number of free slots."""
        return SLOTS - self.used if self.is_usable else 0

    def limit(self, now):
        """Return the maximum number of concurrent requests."""
        return SLOTS if self.is_usable else 0

    def announced_limit(self, now):
        """Return the same limit."""
        return self.limit(now)

    def run_seconds(self, request, now):
        """Return the time for a request that starts now; cache its object."""
        share = CACHED_SHARE if request.object in self._cache else 1.0
        self._cache[request.object] = True
        self._cache.move_to_end(request.object)
        if len(self._cache) > CACHED_OBJECTS:
            self._cache.popitem(last=False)
        is_slow = (now + self._phase) % SLOW_PERIOD < SLOW_SECONDS
        factor = SLOW_FACTOR if is_slow else 1.0
        return request.route.work * share * factor * request.length


class SimulatedRequest:
    """One request; ``ended_at`` is ``None`` if it was refused."""

    __slots__ = (
        "route",
        "object",
        "vm",
        "arrived_at",
        "length",
        "target",
        "has_started",
        "is_over",
        "ended_at",
    )

    def __init__(self, route, number, vm, arrived_at, length):
        self.route = route
        self.object = f"{route.name}-{number}"
        self.vm = vm
        self.arrived_at = arrived_at
        self.length = length
        self.target = None
        self.has_started = self.is_over = False
        self.ended_at = None

    @property
    def is_late(self):
        """Return whether it was refused, or its response came after the objective."""
        return (
            self.ended_at is None
            or self.ended_at - self.arrived_at > self.route.objective
        )


class SimulatedVm:
    """A VM with its :class:`RegionalDemand` and its view of members and targets."""

    def __init__(self, simulation, name, region):
        self.name = self.vm = name
        self.region = region
        self.is_running = True
        self._simulation = simulation
        self.own = self
        self.topology = SimpleNamespace(is_mesh=True)
        self.start()

    def start(self):
        """Start the process, without any state."""
        settings = SimpleNamespace(bounds=Bounds(), is_contended=False)
        self.demand = RegionalDemand(
            self, self, settings, Journal(self.name, self.region), self._simulation
        )

    def strong_serving(self):
        """Return the VMs that are live for this one."""
        return [each for each in self._simulation.vms if self._sees(each)]

    def find_live(self, name):
        """Return the live VM with a name, or ``None``."""
        return next((each for each in self.strong_serving() if each.vm == name), None)

    def regions(self, service):
        """Return the :class:`RegionTargets` in the view of this VM."""
        reachable = {each.region for each in self.strong_serving()}
        return {
            region: targets
            for region, targets in self._simulation.region_targets.items()
            if region in reachable and targets.candidates
        }

    def _sees(self, other):
        return other is self or (
            other.is_running and not self._simulation.is_cut(self, other)
        )


class RegionSimulation:
    """Simulated callers, VMs and targets; itself the clock of all VMs.

    :param approach: ``global`` for one affinity target over all regions, ``regional``
        for one in each region, or ``overflow`` for the latter with overflow by demand.
    :param wave: share by which the demand rises and falls.
    :param loss: share of the reports that are lost.
    :param load: factor of the rate of all requests.
    """

    def __init__(self, approach, seed=1, wave=WAVE_SHARE, loss=0.025, load=1.0):
        self.approach = approach
        self.time = 0.0
        self.requests = []
        self.fraction_spreads = []
        self.cut_regions = set()
        self.loss = loss
        self._wave = wave
        self._load = load
        self._random = Random(seed)
        self._events = []
        self._number = 0
        self.targets = {}
        self.region_targets = {}
        for region, count in TARGETS.items():
            self.set_targets(region, count)
        self.vms = []
        for region in REGIONS:
            for number in range(VMS_PER_REGION):
                self.vms.append(SimulatedVm(self, f"{region}-{number}", region))
        for vm in self.vms:
            self._push(self._random.uniform(0.0, 0.15), self._send_reports, vm, 0)
        for region in REGIONS:
            self._push(0.0, self._arrive, region)

    def now(self):
        """Return the simulated time in seconds."""
        return self.time

    def set_targets(self, region, count):
        """Replace the targets of a region in the view of all VMs."""
        candidates = []
        for number in range(count):
            id = f"{region}-t{number}"
            target = self.targets.get(id)
            if target is None:
                phase = self._random.uniform(0.0, SLOW_PERIOD)
                target = self.targets[id] = SimulatedTarget(id, region, phase)
            entry = TargetEntry(
                id, SERVICE, "", 0, region, SLOTS, False, 0, None, None, 1
            )
            candidates.append(Candidate(entry, f"{region}-0", region, target))
        self.region_targets[region] = RegionTargets(region, candidates)
        regions = self.region_targets.values()
        self.all_targets = RegionTargets(
            None, [each for targets in regions for each in targets.candidates]
        )

    def is_cut(self, vm, other):
        """Return whether the link between two VMs is cut."""
        return vm.region != other.region and bool(
            {vm.region, other.region} & self.cut_regions
        )

    def run_until(self, end):
        """Run all events before an instant."""
        while self._events[0][0] < end:
            self.time, _, run, args = heappop(self._events)
            run(*args)
        self.time = end

    def fractions(self, region):
        """Return the summed overflow fraction at each running VM of a region."""
        return [
            sum(vm.demand.overflow(SERVICE, region).values())
            for vm in self.vms
            if vm.region == region and vm.is_running
        ]

    def largest_spread(self, start, end):
        """Return the largest difference of fractions between VMs of a region."""
        return max(each for at, each in self.fraction_spreads if start <= at < end)

    def _push(self, seconds, run, *args):
        self._number += 1
        heappush(self._events, (self.time + seconds, self._number, run, args))

    def _rate(self, region):
        """Return the requests per second of a region's callers."""
        phase = self.time / WAVE_SECONDS + REGIONS.index(region) / len(REGIONS)
        mean = sum(each.rate for each in ROUTES) / len(REGIONS)
        return self._load * mean * (1.0 + self._wave * sin(2 * pi * phase))

    def _arrive(self, region):
        self._push(self._random.expovariate(self._rate(region)), self._arrive, region)
        vms = [each for each in self.vms if each.region == region and each.is_running]
        if not vms:
            return
        route = self._random.choices(ROUTES, [each.rate for each in ROUTES])[0]
        is_long = self._random.random() < LONG_SHARE
        length = self._random.uniform(0.8, 1.2) * (LONG_FACTOR if is_long else 1.0)
        number, vm = self._random.randrange(route.objects), self._random.choice(vms)
        request = SimulatedRequest(route, number, vm, self.time, length)
        self.requests.append(request)
        vm.demand.record_request(SERVICE, route.name, True)
        request.target = self._affinity_target(vm, request.object)
        self._push(self._one_way(request), self._reach_target, request)

    def _affinity_target(self, vm, affinity):
        regions = vm.regions(SERVICE)
        if self.approach == "global":
            targets = self.all_targets
        elif self.approach == "regional":
            targets = regions[vm.region]
        else:
            region = vm.demand.region_for(SERVICE, affinity)
            targets = regions.get(region) or regions.get(vm.region) or self.all_targets
        found = targets.affinity_targets(affinity, 1, lambda each: True, self.time)
        return found[0].capacity

    def _one_way(self, request):
        return ONE_WAY_SECONDS[request.target.region == request.vm.region]

    def _reach_target(self, request):
        target, route = request.target, request.route
        if target.free(self.time):
            self._start(request)
            return
        target.queue.append(request)
        until_late = request.arrived_at + route.objective - CACHED_SHARE * route.work
        self._push(max(0.0, until_late - self.time), self._take_any, request)
        until_refused = request.arrived_at + route.deadline - 1.25 * route.work
        self._push(max(0.0, until_refused - self.time), self._refuse, request)

    def _take_any(self, request):
        """Start a request at any free target of its region, if it still waits."""
        if request.has_started or request.is_over:
            return
        candidates = self.region_targets[request.vm.region].candidates
        best = max(
            (each.capacity for each in candidates), key=lambda each: each.free(0)
        )
        if best.free(self.time):
            request.target.queue.remove(request)
            request.target = best
            self._start(request)

    def _refuse(self, request):
        if not request.has_started:
            request.target.queue.remove(request)
            request.is_over = True

    def _start(self, request):
        request.has_started = True
        request.target.used += 1
        seconds = request.target.run_seconds(request, self.time)
        self._push(seconds, self._end, request, seconds)

    def _end(self, request, seconds):
        target = request.target
        target.used -= 1
        if target.queue and target.free(self.time):
            self._start(target.queue.popleft())
        self._push(self._one_way(request), self._respond, request, seconds)

    def _respond(self, request, seconds):
        request.is_over = True
        request.ended_at = self.time
        vm = request.vm
        in_own_region = request.target.region == vm.region
        vm.demand.record_run(SERVICE, request.route.name, seconds, in_own_region)
        vm.demand.record_speed_report(SERVICE)

    def _send_reports(self, vm, count):
        """Send the report of a VM; to other regions every second time."""
        self._push(HEARTBEAT_SECONDS[True], self._send_reports, vm, count + 1)
        if not vm.is_running:
            return
        report = vm.demand.report()
        if count % 4 == 0:
            fractions = self.fractions(vm.region)
            spread = max(fractions) - min(fractions)
            self.fraction_spreads.append((self.time, spread))
        if report is None:
            return
        packed = msgpack.packb(report)
        for other in self.vms:
            in_region = other.region == vm.region
            is_lost = self._random.random() < self.loss or self.is_cut(vm, other)
            if other is not vm and not is_lost and (in_region or count % 2 == 0):
                self._push(ONE_WAY_SECONDS[in_region], self._deliver, vm, other, packed)

    def _deliver(self, vm, other, packed):
        if other.is_running:
            other.demand.merge(vm.vm, msgpack.unpackb(packed))


class Outcome:
    """Shares of the requests of a simulation that arrived in a period."""

    def __init__(self, simulation, start, end):
        self._requests = [
            each for each in simulation.requests if start <= each.arrived_at < end
        ]
        self._start = start

    def _share(self, counts, region=None):
        requests = [each for each in self._requests if region in (None, each.vm.region)]
        return sum(map(counts, requests)) / len(requests)

    @property
    def crossing(self):
        """Return the share of the requests that another region served."""
        return self._share(lambda each: each.target.region != each.vm.region)

    @property
    def late(self):
        """Return the share of the requests that were late or refused."""
        return self._share(lambda each: each.is_late)

    def served(self, region):
        """Return the share of a region's requests that were served in time."""
        return self._share(lambda each: not each.is_late, region)

    def answered(self, region):
        """Return the share of a region's requests that were answered."""
        return self._share(lambda each: each.ended_at is not None, region)

    def largest_shift(self, region):
        """Return the largest change of region from one window to the next."""
        windows = {}
        for each in self._requests:
            if each.vm.region == region:
                number = int((each.arrived_at - self._start) / WINDOW_SECONDS)
                windows.setdefault(number, Counter())[each.target.region] += 1
        changes = []
        for number, counts in windows.items():
            after = windows.get(number + 1)
            if after is not None:
                shares = (
                    abs(counts[r] / counts.total() - after[r] / after.total())
                    for r in REGIONS
                )
                changes.append(sum(shares) / 2)
        return max(changes)
