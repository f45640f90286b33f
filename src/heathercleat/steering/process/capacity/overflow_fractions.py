"""Fractions of a region's objects that other regions serve, from demand and slots.

The functions are pure, so that VMs with the same reports come to the same result.
"""

#: Share of the usable slots for which demand is planned. Demand rises by up to 55% in
#: 9 s, faster than the fractions may, and requests for the same object arrive together.
TARGET_UTILISATION = 0.85
#: Increase of the fraction, or decrease, that is not worth the uncached objects.
MIN_RISE = 0.02
MIN_FALL = 0.1


class RegionLoad:
    """Demand and slots of a service in one region.

    :param demand: slots that the requests of the region's clients need, or ``None`` if
        unknown.
    :param movable: slots that those of them need which other regions may serve.
    :param slots: usable slots of the region.
    :param fractions: fraction of the region's objects that go to each other region.
    """

    __slots__ = ("demand", "movable", "slots", "fractions")

    def __init__(self, demand, movable, slots, fractions):
        self.demand = demand
        self.movable = movable
        self.slots = slots
        self.fractions = fractions

    @property
    def planned_slots(self):
        """Return the slots for which demand is planned."""
        return TARGET_UTILISATION * self.slots


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
        other.fractions.get(region, 0.0) * other.movable for other in loads.values()
    )
    return load.planned_slots - used


def next_fractions(own_region, loads, max_change):
    """Return the next fractions of a region's objects for each other region.

    :param loads: the :class:`RegionLoad` of each region.
    :param max_change: maximum change of the fractions, in sum.
    """
    own = loads[own_region]
    if own.demand is None:
        return own.fractions
    spare = {
        region: slots
        for region in sorted(loads)
        if region != own_region
        and (slots := spare_slots(region, loads, own_region)) is not None
    }
    fractions = dict(own.fractions)
    left = _withdraw(fractions, spare, own.movable, max_change)
    required = required_fraction(own)
    missing = required - sum(fractions.values())
    if missing > MIN_RISE:
        _raise(fractions, spare, own.movable, min(left, missing))
    elif missing < -MIN_FALL or not required:
        _lower(fractions, spare, min(left, -missing))
    return {region: each for region, each in fractions.items() if each > 0.0}


def _withdraw(fractions, spare, movable, max_change):
    """Lower the fractions for regions without the slots; return the change left."""
    left = max_change
    for region, fraction in fractions.items():
        slots = spare.get(region)
        if slots is None:
            excess = fraction
        elif slots < 0.0 and movable:
            excess = min(fraction, -slots / movable)
        else:
            continue
        change = min(left, excess)
        fractions[region] -= change
        left -= change
    return left


def _raise(fractions, spare, movable, change):
    """Raise the fraction for the region with the most spare slots."""
    region = max(spare, key=lambda each: spare[each], default=None)
    if region is not None and spare[region] > 0.0:
        change = min(change, spare[region] / movable)
        fractions[region] = fractions.get(region, 0.0) + change


def _lower(fractions, spare, change):
    """Lower the fractions, first the one for the region with the fewest spare slots."""
    for region in sorted(fractions, key=lambda each: spare.get(each, 0.0)):
        lowered = min(change, fractions[region])
        fractions[region] -= lowered
        change -= lowered
