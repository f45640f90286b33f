"""Targets that one request may use."""

#: Affinity targets of one object in a region; each further one must also cache it. With
#: two, overloaded deployments served less.
AFFINITY_TARGETS_PER_REGION = 1


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
        "_own_region_affinity_targets",
    )

    def __init__(self, call, regions, own_region, avoid, avoid_vms, now):
        self.call = call
        self.now = now
        self._regions = regions
        self._own_region = own_region
        self._avoid = avoid
        self._avoid_vms = avoid_vms
        self._own_region_affinity_targets = None

    @property
    def own_region_targets(self):
        """Return the :class:`RegionTargets` of this region, ``None`` if not usable."""
        if not self.call.route.allows(self._own_region):
            return None
        return self._regions.get(self._own_region)

    @property
    def other_region_targets(self):
        """Return the :class:`RegionTargets` of the other allowed regions."""
        return [
            region_targets
            for region, region_targets in self._regions.items()
            if region != self._own_region and self.call.route.allows(region)
        ]

    @property
    def can_wait_for_affinity(self):
        """Return whether the request may still wait for an affinity target."""
        return self.now < self.call.affinity_until

    def is_usable(self, candidate):
        """Return whether the request may use a candidate and its owner."""
        if candidate.entry.id in self._avoid or candidate.owner in self._avoid_vms:
            return False
        region = candidate.owner_region
        return region == self._own_region or self.call.route.allows(region)

    @property
    def own_region_affinity_targets(self):
        """Return the affinity targets in this region, best first."""
        if self._own_region_affinity_targets is None:
            self._own_region_affinity_targets = (
                self.affinity_targets(self.own_region_targets)
                if self.own_region_targets
                else []
            )
        return self._own_region_affinity_targets

    def affinity_targets(self, region_targets, is_usable=None):
        """Return the affinity targets in a region, best first.

        :param is_usable: filter for candidates; :meth:`is_usable` by default.
        """
        call = self.call
        if call.affinity is None or not call.route.sticky:
            return []
        is_usable = is_usable or self.is_usable
        return region_targets.affinity_targets(
            call.affinity, AFFINITY_TARGETS_PER_REGION, is_usable, self.now
        )
