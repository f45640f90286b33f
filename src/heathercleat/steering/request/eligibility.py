"""Targets that one request may use."""

#: Affinity targets for one object in a region; each one has to cache the object first.
HOMES_OF_OBJECT = 1


class EligibleTargets:
    """Filters the targets of a service for one request.

    :param call: the :class:`Call`.
    :param regions: the :class:`RegionTargets` of the service by region.
    :param own_region: the region of this VM.
    :param avoid: ids of targets to exclude.
    :param avoid_vms: names of VMs whose targets to exclude.
    """

    __slots__ = (
        "call",
        "now",
        "_regions",
        "_own_region",
        "_avoid",
        "_avoid_vms",
        "_near_homes",
    )

    def __init__(self, call, regions, own_region, avoid, avoid_vms, now):
        self.call = call
        self.now = now
        self._regions = regions
        self._own_region = own_region
        self._avoid = avoid
        self._avoid_vms = avoid_vms
        self._near_homes = None

    @property
    def near(self):
        """Return the :class:`RegionTargets` of this region, ``None`` if not usable."""
        if not self.call.route.allows(self._own_region):
            return None
        return self._regions.get(self._own_region)

    @property
    def far(self):
        """Return the :class:`RegionTargets` of the other allowed regions."""
        return [
            targets
            for region, targets in self._regions.items()
            if region != self._own_region and self.call.route.allows(region)
        ]

    @property
    def waits_for_home(self):
        """Return whether the request may still wait for an affinity target."""
        return self.now < self.call.affinity_until

    def usable(self, candidate):
        """Return whether the request may use a candidate and its owner."""
        if candidate.entry.id in self._avoid or candidate.owner in self._avoid_vms:
            return False
        region = candidate.owner_region
        return region == self._own_region or self.call.route.allows(region)

    @property
    def near_homes(self):
        """Return the affinity targets in this region, best first."""
        if self._near_homes is None:
            self._near_homes = self.affinity_targets(self.near) if self.near else []
        return self._near_homes

    def affinity_targets(self, targets, usable=None):
        """Return the affinity targets in a region, best first.

        :param usable: filter for candidates; :meth:`usable` by default.
        """
        call = self.call
        if call.affinity is None or not call.route.sticky:
            return []
        usable = usable or self.usable
        return targets.affinity_targets(
            call.affinity, HOMES_OF_OBJECT, usable, self.now
        )
