"""The usable targets by service and region, with their owners and free slots.

The view is cached until targets or VMs change, so that the cost of a request hardly
depends on the number of targets.
"""

from heapq import nlargest
from math import ceil
from typing import Protocol

from heathercleat.steering.process.capacity.machine_speed import MachineSpeed
from heathercleat.steering.process.capacity.slots import reaches_idle_share
from heathercleat.version.hashing import part_of, rendezvous_weight

#: Seconds for which the summary of a region is cached; a tenth of the interval of the
#: heartbeats on which it is based.
SUMMARY_TTL_SECONDS = 0.015
#: Maximum number of targets cached for an affinity key; if too few of them can be used,
#: all targets are ranked.
MAX_RANKED_TARGETS = 4
#: Share of a region's targets that may run requests suspected of crashing targets.
ISOLATION_SHARE = 0.25
#: Maximum number of affinity keys cached for each service and region.
MAX_CACHED_AFFINITY_KEYS = 2048
#: Affinity key by which targets for suspected requests are selected.
_ISOLATION_KEY = "confined"


class TargetCapacity(Protocol):
    """The slots of one target, counted here or reported by its owner.

    ``speed`` is the :class:`MachineSpeed`.
    """

    speed: MachineSpeed

    def is_known(self, now):
        """Return whether this VM has a valid count of the free slots."""

    def free(self, now):
        """Return the number of free slots."""

    def limit(self, now):
        """Return the maximum number of concurrent requests, ``None`` if unknown."""

    def announced_limit(self, now):
        """Return the limit by which VMs choose the target for its objects."""

    def slowdown(self, now):
        """Return the factor by which work takes longer on its machine now."""


class Candidate:
    """A target that may run requests.

    :param entry: its :class:`TargetEntry`.
    :param owner: name of the VM that owns it.
    :param owner_region: the region of that VM.
    :param capacity: its :class:`TargetCapacity`.
    """

    __slots__ = ("entry", "owner", "owner_region", "capacity")

    def __init__(self, entry, owner, owner_region, capacity):
        self.entry = entry
        self.owner = owner
        self.owner_region = owner_region
        self.capacity = capacity

    def serves(self, affinity, now):
        """Return whether the target serves an object of which it is first in rank.

        A target with a small limit serves a part of its objects, the same at all VMs.
        """
        limit = self.capacity.announced_limit(now)
        if limit is None or reaches_idle_share(self.entry, limit):
            return True
        return part_of(affinity, self.entry.id) * self.entry.slots < limit

    def is_healthy(self, now):
        """Return whether the target is not limited to a small share of its slots."""
        limit = self.capacity.announced_limit(now)
        return limit is None or reaches_idle_share(self.entry, limit)


class RegionSummary:
    """Sums over the targets of a service in a region.

    Targets without a valid count of free slots are included in ``targets`` only.

    :param targets: number of targets.
    :param healthy: number of healthy targets, see :meth:`Candidate.is_healthy`.
    :param slots: number of slots.
    :param free: number of free slots.
    :param idle: whether any target has :data:`IDLE_SHARE` of its slots free.
    """

    __slots__ = ("targets", "healthy", "slots", "free", "idle")

    def __init__(self, candidates, now):
        self.targets = len(candidates)
        candidates = [each for each in candidates if each.capacity.is_known(now)]
        self.healthy = sum(each.is_healthy(now) for each in candidates)
        self.slots = sum(each.entry.slots for each in candidates)
        free = [each.capacity.free(now) for each in candidates]
        self.free = sum(max(0, each) for each in free)
        self.idle = any(
            count > 0 and reaches_idle_share(each.entry, count)
            for count, each in zip(free, candidates, strict=True)
        )


class RegionTargets:
    """The candidates of one service in one region."""

    __slots__ = (
        "region",
        "candidates",
        "owners",
        "_ranked",
        "_isolation_candidates",
        "_summary",
        "_summary_expires_at",
    )

    def __init__(self, region, candidates):
        self.region = region
        self.candidates = candidates
        self.owners = sorted({each.owner for each in candidates})
        self._ranked = {}
        self._isolation_candidates = None
        self._summary = None
        self._summary_expires_at = 0.0

    def summary(self, now):
        """Return the :class:`RegionSummary`, which is cached briefly."""
        if self._summary is None or now >= self._summary_expires_at:
            self._summary = RegionSummary(self.candidates, now)
            self._summary_expires_at = now + SUMMARY_TTL_SECONDS
        return self._summary

    @property
    def isolation_candidates(self):
        """Return the candidates for requests suspected of crashing targets.

        All VMs that know the same targets select the same candidates.
        """
        if self._isolation_candidates is None:
            count = ceil(ISOLATION_SHARE * len(self.candidates))
            sort_key = _sort_key_for(_ISOLATION_KEY)
            self._isolation_candidates = nlargest(count, self.candidates, key=sort_key)
        return self._isolation_candidates

    def affinity_targets(self, affinity, count, usable, now):
        """Return the healthy candidates that rank first for an affinity key.

        :param count: maximum number of candidates to return.
        :param usable: returns whether a candidate may be used.
        """
        ranked = self._rank_targets(affinity)
        found = _first_serving(ranked, affinity, count, usable, now)
        if len(found) < count and len(ranked) < len(self.candidates):
            ranked = sorted(self.candidates, key=_sort_key_for(affinity), reverse=True)
            found = _first_serving(ranked, affinity, count, usable, now)
        return found

    def _rank_targets(self, affinity):
        ranked = self._ranked.get(affinity)
        if ranked is None:
            if len(self._ranked) >= MAX_CACHED_AFFINITY_KEYS:
                self._ranked.clear()
            ranked = nlargest(
                MAX_RANKED_TARGETS, self.candidates, key=_sort_key_for(affinity)
            )
            self._ranked[affinity] = ranked
        return ranked


class TargetView:
    """The usable targets by service and region.

    :param members: the live VMs.
    :param registry: the :class:`TargetRegistry`.
    :param owners: the :class:`Owners`.
    :param ledger: the :class:`SlotLedger` of own targets.
    :param reports: the :class:`CapacityReports` of other VMs' targets.
    """

    def __init__(self, members, registry, owners, ledger, reports):
        self._members = members
        self._registry = registry
        self._owners = owners
        self._ledger = ledger
        self._reports = reports
        self._services = {}
        owners.on_change(self._services.clear)

    def regions(self, service):
        """Return the :class:`RegionTargets` of a service by region."""
        regions = self._services.get(service)
        if regions is None:
            regions = self._services[service] = self._group(service)
        return regions

    def _group(self, service):
        groups = {}
        for entry in self._registry.of_service(service):
            owner = self._owners.owner_of(entry.id)
            member = self._members.find_live(owner) if owner is not None else None
            if member is None:
                continue
            region = self._members.region_of(entry.failure_domain)
            capacity = self._capacity_of(entry, owner)
            candidate = Candidate(entry, owner, member.region, capacity)
            groups.setdefault(region, []).append(candidate)
        return {
            region: RegionTargets(region, candidates)
            for region, candidates in groups.items()
        }

    def _capacity_of(self, entry, owner):
        owned = self._ledger.get(entry.id) if self._is_own(owner) else None
        if owned is not None:
            return owned
        capacity = self._reports.capacity(entry.id, owner)
        capacity.speed.keep_for(entry.incarnation_id)
        return capacity

    def _is_own(self, owner):
        return owner == self._members.own.vm


def _first_serving(ranked, affinity, count, usable, now):
    """Return the first usable ones of ranked candidates that serve an object."""
    found = []
    for each in ranked:
        if len(found) == count:
            break
        if usable(each) and each.serves(affinity, now):
            found.append(each)
    return found


def _sort_key_for(affinity):
    """Return a sort key for the candidates of an affinity key."""
    return lambda candidate: rendezvous_weight(affinity, candidate.entry.id)
