"""Demand and usable slots by service and region; which objects leave their region.

Each VM reports the demand of its own clients to the others. The VMs of a region compute
from the same reports which fraction of the region's objects other regions serve.
"""

from statistics import median_low

from heathercleat.events import Event
from heathercleat.process.clock import DISTANT_PAST
from heathercleat.steering.process.capacity.cache_shortage import (
    CacheShortage,
    uneven_fraction,
)
from heathercleat.steering.process.capacity.demand_meter import Demand, DemandMeter
from heathercleat.steering.process.capacity.demand_reports import (
    REPORT_TTL_SECONDS,
    ServiceReport,
    VmReport,
    pack_report,
    unpack_report,
)
from heathercleat.steering.process.capacity.overflow_fractions import (
    RegionLoad,
    next_fractions,
    required_fraction,
)
from heathercleat.steering.process.capacity.peak_demand import PeakDemand
from heathercleat.version.hashing import part_of

#: Seconds for which a target's report of its machine's speed puts affinity by region
#: into effect for its service.
SPEED_REPORT_TTL_SECONDS = 10.0
#: Seconds by which the rest of that time is shortened when it is passed on, so that VMs
#: do not prolong it for each other; longer than a heartbeat takes to arrive.
PASS_ON_SECONDS = 0.3
#: Seconds between two changes of the fractions.
UPDATE_SECONDS = 0.25
#: If two changes are this many seconds apart or more, the process was suspended.
PAUSE_SECONDS = 1.0
#: Share of the allowed shift between regions that the fractions may use; the rest is
#: left for spillover.
SHIFT_SHARE = 0.5
#: Period of the allowed shift, in seconds.
SHIFT_SECONDS = 2.0
#: Seconds after a start of all VMs of a region in which fractions may change faster,
#: and by how much. All objects are uncached then, so that a region with few slots
#: cannot wait; the change is small enough to use several regions alike.
START_SECONDS = 4.0
START_CHANGE = 0.1
#: Seconds for which other VMs of the region have to have reported their demand for a
#: VM that starts to follow them; VMs that start together differ by less.
FOLLOW_SECONDS = 1.0
#: Maximum distance of a fraction from the median over the VMs of the region. At the
#: highest rate, fractions change by that much within two heartbeat intervals.
MAX_DEVIATION = 0.02
#: Minimum change of a fraction that is logged, and seconds between two log lines of a
#: service.
MIN_LOGGED_CHANGE = 0.05
LOG_INTERVAL_SECONDS = 5.0


class ServiceOverflow:
    """The overflow of one service, as decided by this VM.

    :ivar fractions: fraction of the own region's objects for each other region.
    :ivar loads: the :class:`RegionLoad` of each region.
    :ivar peaks: the :class:`PeakDemand` of each region.
    :ivar cache_shortage: the :class:`CacheShortage` of the own region.
    :ivar starts_until: instant until which this VM counts as just started; ``None``
        while the demand of its clients is not known.
    :ivar follows_peers: whether to take the fractions of the other VMs of the region
        until then. Otherwise all of them have just started.
    :ivar peers_since: instant since which others have reported, or ``None``.
    """

    __slots__ = (
        "fractions",
        "loads",
        "peaks",
        "cache_shortage",
        "starts_until",
        "follows_peers",
        "peers_since",
        "_logged",
        "_next_log_at",
    )

    def __init__(self, now):
        self.fractions = {}
        self.loads = {}
        self.peaks = {}
        self.cache_shortage = CacheShortage(now)
        self.starts_until = None
        self.follows_peers = True
        self.peers_since = None
        self._logged = {}
        self._next_log_at = DISTANT_PAST

    def is_starting(self, now):
        """Return whether this VM has just started."""
        return self.starts_until is None or now < self.starts_until

    def start(self, now):
        """Record that the demand is known; follow others that knew theirs before."""
        self.starts_until = now + START_SECONDS
        self.follows_peers = (
            self.peers_since is not None and now >= self.peers_since + FOLLOW_SECONDS
        )

    def resume(self, now):
        """Record that the process was suspended."""
        self.starts_until = now + START_SECONDS
        self.follows_peers = True

    def record_peaks(self, now):
        """Record the present demand; return the highest recent one of each region."""
        return {
            region: self.peaks.setdefault(region, PeakDemand()).record(load.demand, now)
            for region, load in self.loads.items()
            if load.demand is not None
        }

    def pop_logged_change(self, now):
        """Return the fractions logged last if a change has to be logged now."""
        regions = self.fractions.keys() | self._logged.keys()
        changes = [
            abs(self.fractions.get(each, 0.0) - self._logged.get(each, 0.0))
            for each in regions
        ]
        if now < self._next_log_at or max(changes, default=0.0) < MIN_LOGGED_CHANGE:
            return None
        before, self._logged = self._logged, dict(self.fractions)
        self._next_log_at = now + LOG_INTERVAL_SECONDS
        return before


class RegionalDemand:
    """Decides which objects other regions serve; a :class:`HeartbeatExtension`.

    :param members: the live VMs.
    :param view: the :class:`TargetView`.
    :param settings: the :class:`NodeSettings`.
    """

    name = "demand"

    def __init__(self, members, view, settings, journal, clock):
        self._members = members
        self._view = view
        self._settings = settings
        self._journal = journal
        self._clock = clock
        self._meter = DemandMeter(clock)
        self._reports = {}
        self._speed_reports_until = {}
        self._services_with_margin = set()
        self._services = {}
        self._updated_at = clock.now()
        #: Fractions do not change until then unless those of other VMs are known.
        self._held_until = DISTANT_PAST

    @property
    def own_region(self):
        """Return the region of this VM."""
        return self._members.own.region

    def is_in_effect(self, service):
        """Return whether the objects of a service have an affinity target by region.

        This is so while its targets report the speed of their machines: on a slow one,
        a request takes so long that a round trip to another region makes it late.
        """
        until = self._speed_reports_until.get(service, DISTANT_PAST)
        return self._clock.now() < until

    def record_speed_report(self, service):
        """Record that a target of a service reported the speed of its machine."""
        until = self._clock.now() + SPEED_REPORT_TTL_SECONDS
        self._speed_reports_until[service] = until

    def record_request(self, service, route, is_movable):
        """Record a request of a client; see :meth:`DemandMeter.record_request`."""
        self._meter.record_request(service, route, is_movable)

    def record_margin(self, service, has_margin):
        """Record whether responses of another region are hardly ever late.

        Only then do objects overflow before the region's slots are short.
        """
        if has_margin:
            self._services_with_margin.add(service)
        else:
            self._services_with_margin.discard(service)

    def record_run(self, service, route, seconds, in_own_region):
        """Record a request at a target; see :meth:`DemandMeter.record_run`."""
        self._meter.record_run(service, route, seconds, in_own_region)

    def overflow(self, service, region):
        """Return the fraction of a region's objects that go to each other region."""
        if not self.is_in_effect(service):
            return {}
        self._update()
        return self._fractions(service, region)

    def region_for(self, service, affinity):
        """Return the region whose affinity target serves an object of this region.

        VMs of a region with equal fractions return the same one.
        """
        remaining = 1.0
        for region, fraction in sorted(self.overflow(service, self.own_region).items()):
            # Of the objects that remain, so that the fractions add up.
            position = part_of(affinity, f"{self.own_region}\0{region}")
            if position * remaining < fraction:
                return region
            remaining -= fraction
        return self.own_region

    def report(self):
        """Return the report of this VM to the others, ``None`` for nothing."""
        self._update()
        services = self._services_in_effect()
        # Most VMs only answer lookups and have no clients.
        if self._members.own not in self._members.strong_serving():
            services = [each for each in services if each in self._meter.services]
        if not services:
            return None
        return pack_report({service: self._own_report(service) for service in services})

    def merge(self, vm, report):
        """Record the report of another VM.

        :raises ValueError: when it is malformed; :exc:`TypeError` likewise.
        """
        now = self._clock.now()
        services = unpack_report(report)
        self._reports[vm] = VmReport(services, now)
        for service, each in services.items():
            until = now + min(each.speed_seconds, SPEED_REPORT_TTL_SECONDS)
            known_until = self._speed_reports_until.get(service, DISTANT_PAST)
            if until > max(now, known_until):
                self._speed_reports_until[service] = until

    def gauges(self):
        """Yield service, region, demand, usable slots and fraction sent elsewhere.

        Demand and slots are as of the last update.
        """
        self._update()
        for service, overflow in self._services.items():
            for region, load in overflow.loads.items():
                sent = sum(self._fractions(service, region).values())
                yield service, region, load.demand or 0.0, load.slots, sent

    def _services_in_effect(self):
        """Return the names of the services in effect."""
        now = self._clock.now()
        return sorted(
            each for each, until in self._speed_reports_until.items() if now < until
        )

    def _own_report(self, service):
        """Return the :class:`ServiceReport` of this VM."""
        until = self._speed_reports_until.get(service, DISTANT_PAST)
        speed_seconds = max(0.0, until - self._clock.now() - PASS_ON_SECONDS)
        overflow = self._services.get(service)
        fractions = overflow.fractions if overflow else {}
        return ServiceReport(self._meter.demand(service), fractions, speed_seconds)

    def _update(self):
        """Change the fractions if a change is due."""
        self._meter.update()
        now = self._clock.now()
        seconds = now - self._updated_at
        if seconds < UPDATE_SECONDS:
            return
        self._updated_at = now
        if seconds >= PAUSE_SECONDS:
            self._held_until = now + REPORT_TTL_SECONDS
            for overflow in self._services.values():
                overflow.resume(now)
        self._reports = {
            vm: each for vm, each in self._reports.items() if each.is_valid(now)
        }
        self._speed_reports_until = {
            service: until
            for service, until in self._speed_reports_until.items()
            if now < until
        }
        services = self._services_in_effect()
        self._drop_services_except(services)
        shift_rate = SHIFT_SHARE * self._settings.bounds.shift_share / SHIFT_SECONDS
        for service in services:
            self._update_service(service, shift_rate * min(seconds, PAUSE_SECONDS), now)

    def _drop_services_except(self, services):
        for service in self._services.keys() - set(services):
            del self._services[service]
            self._journal.write(
                Event.AFFINITY_SCOPE_CHANGED, service=service, by_region=False
            )

    def _update_service(self, service, max_change, now):
        overflow = self._services.get(service)
        if overflow is None:
            overflow = self._services[service] = ServiceOverflow(now)
            self._journal.write(
                Event.AFFINITY_SCOPE_CHANGED, service=service, by_region=True
            )
        overflow.loads = self._loads(service)
        peers = self._peer_fractions(service)
        if not peers:
            overflow.peers_since = None
        elif overflow.peers_since is None:
            overflow.peers_since = now
        if overflow.starts_until is None and self._meter.demand(service) is not None:
            overflow.start(now)
        overflow.fractions = self._next_fractions(
            service, overflow, peers, max_change, now
        )
        self._log_change(service, overflow, now)

    def _next_fractions(self, service, overflow, peers, max_change, now):
        """Return the next fractions of this region's objects.

        :param peers: the fractions at the other VMs of this region.
        """
        peaks = overflow.record_peaks(now)
        required = self._required_fraction(service, overflow, peaks, now)
        is_starting = overflow.is_starting(now)
        if is_starting and overflow.follows_peers:
            if peers:
                return _median(peers)
            if now < self._held_until:
                return overflow.fractions
        is_first = is_starting and not overflow.follows_peers
        fractions = next_fractions(
            self.own_region,
            overflow.loads,
            peaks,
            required,
            START_CHANGE if is_first else max_change,
        )
        return fractions if is_starting else _limit_deviation(fractions, peers)

    def _required_fraction(self, service, overflow, peaks, now):
        """Return the fraction that this region needs, for slots and cached objects."""
        load = overflow.loads[self.own_region]
        if not load.demand or not load.movable:
            return 0.0
        peak = peaks[self.own_region]
        movable = load.movable * peak / load.demand
        planned = RegionLoad(
            peak, movable, load.run_seconds, load.slots, load.fractions
        )
        others = (
            each.run_seconds
            for region, each in overflow.loads.items()
            if region != self.own_region and each.run_seconds
        )
        uneven = 0.0
        if service in self._services_with_margin:
            uneven = uneven_fraction(self.own_region, overflow.loads)
        uncached = overflow.cache_shortage.update(
            load, min(others, default=None), uneven, now
        )
        return max(required_fraction(planned), uncached)

    def _peer_fractions(self, service):
        """Return the fractions in use at the other VMs of this region."""
        return [
            each.fractions(service)
            for each in self._reports_from(self.own_region)
            if each.demand(service) is not None
        ]

    def _loads(self, service):
        """Return the :class:`RegionLoad` of each region."""
        regions = self._view.regions(service)
        return {
            region: self._load(service, region, regions.get(region))
            for region in sorted({self.own_region, *regions})
        }

    def _load(self, service, region, region_targets):
        demand = self._demand(service, region)
        candidates = region_targets.candidates if region_targets else ()
        now = self._clock.now()
        is_known = demand is not None
        return RegionLoad(
            demand.total if is_known else None,
            demand.movable if is_known else 0.0,
            demand.total / demand.rate if is_known and demand.rate else None,
            sum(_usable_slots(each, now) for each in candidates),
            self._fractions(service, region),
        )

    def _fractions(self, service, region):
        """Return the fraction of a region's objects that go to each other region."""
        if region == self.own_region:
            overflow = self._services.get(service)
            return overflow.fractions if overflow else {}
        reports = self._reports_from(region)
        return _median([each.fractions(service) for each in reports])

    def _demand(self, service, region):
        """Return the :class:`Demand` of a region, ``None`` if it is unknown.

        A region without VMs that handle requests has none: its clients send their
        requests to other regions.
        """
        demands = [each.demand(service) for each in self._reports_from(region)]
        if region == self.own_region:
            demands.append(self._meter.demand(service))
        known = [each for each in demands if each is not None]
        vms = [each for each in self._members.strong_serving() if each.region == region]
        if not known:
            return None if vms else Demand()
        # Where VMs have gossip partners only, the others count as their mean.
        factor = 1.0
        if not self._members.topology.is_mesh:
            factor = max(1.0, len(vms) / len(known))
        total = Demand()
        for each in known:
            total.add(each, factor)
        return total

    def _reports_from(self, region):
        """Return the valid reports of the live VMs of a region."""
        now = self._clock.now()
        return [
            report
            for vm, report in self._reports.items()
            if report.is_valid(now)
            and (member := self._members.find_live(vm)) is not None
            and member.region == region
        ]

    def _log_change(self, service, overflow, now):
        before = overflow.pop_logged_change(now)
        if before is None:
            return
        oldest = min((each.reported_at for each in self._reports.values()), default=now)
        self._journal.write(
            Event.OVERFLOW_CHANGED,
            service=service,
            before=_rounded(before),
            after=_rounded(overflow.fractions),
            demand={
                region: load.demand and round(load.demand, 1)
                for region, load in overflow.loads.items()
            },
            slots={region: load.slots for region, load in overflow.loads.items()},
            report_age=round(now - oldest, 3),
        )


def _usable_slots(candidate, now):
    """Return the usable slots of a target; all if its owner does not report."""
    limit = candidate.capacity.announced_limit(now)
    return candidate.entry.slots if limit is None else limit


def _median(fractions):
    """Return the median fraction of each region, without those of 0."""
    regions = {region for each in fractions for region in each}
    medians = {
        region: median_low([each.get(region, 0.0) for each in fractions])
        for region in regions
    }
    return {region: each for region, each in medians.items() if each > 0.0}


def _limit_deviation(fractions, peers):
    """Return the fractions, close to the median over all VMs of the region."""
    medians = _median([fractions, *peers])
    limited = {}
    for region in fractions.keys() | medians.keys():
        middle = medians.get(region, 0.0)
        highest, lowest = middle + MAX_DEVIATION, max(0.0, middle - MAX_DEVIATION)
        fraction = min(highest, max(lowest, fractions.get(region, 0.0)))
        if fraction > 0.0:
            limited[region] = fraction
    return limited


def _rounded(fractions):
    return {region: round(each, 3) for region, each in fractions.items()}
