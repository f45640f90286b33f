"""The usable targets by service and region, with their owners and their room.

What depends on which targets and VMs there are is worked out when these change, so that
the work for a request hardly grows with their number. To find that there is no place
took 23 ms of processor time with 1,900 targets of a service, and 1.8 ms with 210, when
every target was looked at for each request; it takes 0.28 and 0.06 ms (processor time
on a busy machine).
"""

from heapq import nlargest
from math import ceil
from typing import Protocol

from heathercleat.steering.process.capacity.slots import reaches_idle_share
from heathercleat.version.hashing import weight

#: Seconds for which the sums over a region's targets are kept: a tenth of the interval
#: of the heartbeats that they are made of.
SUMMARY_TTL_SECONDS = 0.015
#: Best targets that are remembered for an object; all are ranked again where none of
#: them is sound.
MAX_RANKED_TARGETS = 4
#: Part of a region's targets that get the requests under which others ended.
CONFINED_SHARE = 0.25
#: Objects that are remembered for each service and region: 2,048 take 0.4 MB.
MAX_OBJECTS = 2048
#: Stands in for an object where targets are ranked for confined requests.
_CONFINED = "confined"


class TargetCapacity(Protocol):
    """Tells the slots of one target, as far as they are known here."""

    def is_known(self, now):
        """Return whether the target's owner tells them to this VM."""

    def free(self, now):
        """Return the free slots."""

    def limit(self, now):
        """Return how many requests it takes at once, ``None`` if unknown."""


class Candidate:
    """A target that may run requests.

    :param entry: its :class:`TargetEntry`.
    :param owner: name of the VM that owns it.
    :param owner_region: the region of that VM.
    :param room: its :class:`TargetCapacity`.
    """

    __slots__ = ("entry", "owner", "owner_region", "capacity")

    def __init__(self, entry, owner, owner_region, capacity):
        self.entry = entry
        self.owner = owner
        self.owner_region = owner_region
        self.capacity = capacity

    def is_healthy(self, now):
        """Return whether the target takes requests at its usual rate."""
        limit = self.capacity.limit(now)
        return limit is None or reaches_idle_share(self.entry, limit)


class RegionSummary:
    """Sums over the targets of a service in a region whose room is known here.

    :param targets: all of them, known or not.
    :param idle: whether the slots of any target are free by half.
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
        "_confined",
        "_summary",
        "_until",
    )

    def __init__(self, region, candidates):
        self.region = region
        self.candidates = candidates
        self.owners = sorted({each.owner for each in candidates})
        self._ranked = {}
        self._confined = None
        self._summary = None
        self._until = 0.0

    def summary(self, now):
        """Return the :class:`RegionSummary`, of the last :data:`SUMMARY_TTL_SECONDS`
        seconds."""
        if self._summary is None or now >= self._until:
            self._summary = RegionSummary(self.candidates, now)
            self._until = now + SUMMARY_TTL_SECONDS
        return self._summary

    @property
    def confined(self):
        """Return the candidates for requests under which others ended.

        They are the same at all VMs that know the same targets.
        """
        if self._confined is None:
            count = ceil(CONFINED_SHARE * len(self.candidates))
            weight_of = _weight_for(_CONFINED)
            self._confined = nlargest(count, self.candidates, key=weight_of)
        return self._confined

    def affinity_targets(self, affinity, count, usable, now):
        """Return the sound candidates that rank first for an object.

        :param count: how many there should be.
        :param usable: returns whether a candidate may be used.
        """
        ranked = self._rank(affinity)
        found = _first(ranked, count, usable, now)
        if len(found) < count and len(ranked) < len(self.candidates):
            ranked = sorted(self.candidates, key=_weight_for(affinity), reverse=True)
            found = _first(ranked, count, usable, now)
        return found

    def _rank(self, affinity):
        ranked = self._ranked.get(affinity)
        if ranked is None:
            if len(self._ranked) >= MAX_OBJECTS:
                self._ranked.clear()
            ranked = nlargest(
                MAX_RANKED_TARGETS, self.candidates, key=_weight_for(affinity)
            )
            self._ranked[affinity] = ranked
        return ranked


class TargetView:
    """The usable targets by service and region.

    :param members: the live VMs.
    :param registry: the usable targets.
    :param owners: the owner of each target.
    :param ledger: the slots of own targets.
    :param rooms: what is believed of other owners' targets.
    """

    def __init__(self, members, registry, owners, ledger, rooms):
        self._members = members
        self._registry = registry
        self._owners = owners
        self._ledger = ledger
        self._rooms = rooms
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
            owner = self._owners.of(entry.id)
            member = self._members.live(owner) if owner is not None else None
            if member is None:
                continue
            region = self._members.region_of(entry.failure_domain)
            capacity = self._room(entry.id, owner)
            candidate = Candidate(entry, owner, member.region, capacity)
            groups.setdefault(region, []).append(candidate)
        return {
            region: RegionTargets(region, candidates)
            for region, candidates in groups.items()
        }

    def _room(self, target_id, owner):
        owned = self._ledger.get(target_id) if self._is_own(owner) else None
        return owned or self._rooms.capacity(target_id, owner)

    def _is_own(self, owner):
        return owner == self._members.own.vm


def _first(ranked, count, usable, now):
    """Return the first sound and usable ones of ranked candidates."""
    found = []
    for each in ranked:
        if len(found) == count:
            break
        if usable(each) and each.is_healthy(now):
            found.append(each)
    return found


def _weight_for(affinity):
    """Return a key for the order of candidates for an object."""
    return lambda candidate: weight(affinity, candidate.entry.id)
