"""The targets among which the place of one request is chosen."""

#: Targets of a region that get the requests for one object while they have room. Each
#: more one has to learn the object first: with one in place of two, the worth of served
#: requests rose from 0.27 to 0.28 and from 0.29 to 0.32 on two overloaded days, and
#: from 0.46 to 0.50 at 80 VMs.
HOMES_OF_OBJECT = 1


class EligibleTargets:
    """What one request may use.

    :param call: the :class:`Call`.
    :param regions: the :class:`RegionTargets` of its service by region.
    :param own_region: the region of this VM.
    :param avoid: ids of targets to leave out.
    :param avoid_vms: names of VMs whose targets to leave out.
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
        """Return the :class:`RegionTargets` of this region, or ``None``."""
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
        """Return whether the request may still wait for the home of its object."""
        return self.now < self.call.affinity_until

    def usable(self, candidate):
        """Return whether a candidate may run the request and its owner carry it."""
        if candidate.entry.id in self._avoid or candidate.owner in self._avoid_vms:
            return False
        region = candidate.owner_region
        return region == self._own_region or self.call.route.allows(region)

    @property
    def near_homes(self):
        """Return the candidates of this region that know the object."""
        if self._near_homes is None:
            self._near_homes = self.affinity_targets(self.near) if self.near else []
        return self._near_homes

    def affinity_targets(self, targets, usable=None):
        """Return the candidates of a region that know the object, the best first."""
        call = self.call
        if call.affinity is None or not call.route.sticky:
            return []
        usable = usable or self.usable
        return targets.affinity_targets(
            call.affinity, HOMES_OF_OBJECT, usable, self.now
        )
