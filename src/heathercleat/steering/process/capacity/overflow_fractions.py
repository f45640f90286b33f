"""Fractions of a region's objects that other regions serve, from demand and slots.

The functions are pure, so that VMs with the same reports come to the same result.
"""

#: Share of the usable slots for which demand is planned. Demand rises by up to 55% in
#: 9 s, faster than the fractions may, and requests for the same object arrive together.
TARGET_UTILISATION = 0.85
#: Increase of the fraction, or decrease, that is not worth the uncached objects.
MIN_RISE = 0.02
MIN_FALL = 0.1
#: Lowest movable demand in slots by which spare slots are divided.
MIN_MOVABLE = 0.01


class RegionLoad:
    """Demand and slots of a service in one region.

    :param demand: slots that the requests of the region's clients need, or ``None`` if
        unknown.
    :param movable: slots that those of them need which other regions may serve.
    :param run_seconds: mean time of a request at the region's targets, or ``None``.
    :param slots: usable slots of the region.
    :param fractions: fraction of the region's objects that go to each other region.
    """

    __slots__ = ("demand", "movable", "run_seconds", "slots", "fractions")

    def __init__(self, demand, movable, run_seconds, slots, fractions):
        self.demand = demand
        self.movable = movable
        self.run_seconds = run_seconds
        self.slots = slots
        self.fractions = fractions

    @property
    def planned_slots(self):
        """Return the slots for which demand is planned."""
        return TARGET_UTILISATION * self.slots

    @property
    def utilisation(self):
        """Return the slots that the objects which stay need, divided by all slots."""
        stays = self.demand - sum(self.fractions.values()) * self.movable
        return stays / self.slots if self.slots else float("inf")

    def movable_at(self, other):
        """Return the slots that the movable requests need in another region.

        They take less time there if that region keeps more of its objects cached.
        """
        if not self.run_seconds or not other.run_seconds:
            return self.movable
        return self.movable * other.run_seconds / self.run_seconds


def required_fraction(load):
    """Return the fraction of a region's movable objects that it has no slots for."""
    if not load.movable:
        return 0.0
    excess = load.demand - load.planned_slots
    return min(1.0, max(0.0, excess / load.movable))


def spare_slots(region, loads, own_region):
    """Return the slots that a region may still give to the objects of another one.

    Negative if it gives too many already, ``None`` if it must not give any.
    """
    load = loads[region]
    # Two regions do not exchange work, even while one fraction is still falling.
    if load.demand is None or load.fractions.get(own_region):
        return None
    used = load.demand + sum(
        other.fractions.get(region, 0.0) * other.movable_at(load)
        for other in loads.values()
    )
    # Where slots are short everywhere, both regions are used alike.
    utilisation = min(1.0, max(TARGET_UTILISATION, loads[own_region].utilisation))
    return utilisation * load.slots - used


def next_fractions(own_region, loads, required, max_change):
    """Return the next fractions of a region's objects for each other region.

    :param loads: the :class:`RegionLoad` of each region.
    :param required: sum of the fractions that the region needs.
    :param max_change: maximum change of the fractions, in sum.
    """
    own = loads[own_region]
    if own.demand is None:
        return own.fractions
    spare = {
        region: slots / max(own.movable_at(loads[region]), MIN_MOVABLE)
        for region in sorted(loads)
        if region != own_region
        and (slots := spare_slots(region, loads, own_region)) is not None
    }
    fractions = dict(own.fractions)
    left = _withdraw(fractions, spare, max_change)
    missing = required - sum(fractions.values())
    if missing > MIN_RISE:
        _raise(fractions, spare, min(left, missing))
    elif missing < -MIN_FALL or not required:
        _lower(fractions, spare, min(left, -missing))
    return {region: each for region, each in fractions.items() if each > 0.0}


def _withdraw(fractions, spare, max_change):
    """Lower the fractions for regions without the slots; return the change left.

    :param spare: fraction of the objects that each region can take in addition.
    """
    left = max_change
    for region, fraction in fractions.items():
        excess = min(fraction, -spare[region]) if region in spare else fraction
        change = min(left, max(0.0, excess))
        fractions[region] -= change
        left -= change
    return left


def _raise(fractions, spare, change):
    """Raise the fraction for the region with the most spare slots."""
    region = max(spare, key=lambda each: spare[each], default=None)
    if region is not None and spare[region] > 0.0:
        change = min(change, spare[region])
        fractions[region] = fractions.get(region, 0.0) + change


def _lower(fractions, spare, change):
    """Lower the fractions, first the one for the region with the fewest spare slots."""
    for region in sorted(fractions, key=lambda each: spare.get(each, 0.0)):
        lowered = min(change, fractions[region])
        fractions[region] -= lowered
        change -= lowered
