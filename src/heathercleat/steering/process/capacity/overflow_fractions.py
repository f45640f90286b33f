"""Fractions of a region's objects that other regions serve, from demand and slots.

The functions are pure, so that VMs with the same reports come to the same result.
"""

#: Share of the usable slots for which demand is planned. Demand rises by up to 55% in
#: 9 s, faster than the fractions may, and requests for the same object arrive together.
TARGET_UTILISATION = 0.85
#: Highest utilisation of a region by its own demand and that of a region that is short.
#: Above 1, callers of both wait; without it, all callers of the smaller one are late.
MAX_UTILISATION = 1.5
#: Increase of the fraction, or decrease, that is not worth the uncached objects.
MIN_RISE = 0.02
MIN_FALL = 0.05
#: Difference of headroom, as a fraction of the objects, from which objects move from
#: one other region to another, and the share of the allowed change that this may use.
MIN_IMBALANCE = 0.2
BALANCE_SHARE = 0.1
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
    # Where the region that sends is short of slots all the same, both are used alike.
    utilisation = max(TARGET_UTILISATION, loads[own_region].utilisation)
    spare = min(MAX_UTILISATION, utilisation) * load.slots - used
    # A region that its own demand makes short gets no more.
    return min(0.0, spare) if load.demand >= load.slots else spare


def next_fractions(own_region, loads, peaks, required, max_change):
    """Return the next fractions of a region's objects for each other region.

    :param loads: the :class:`RegionLoad` of each region.
    :param peaks: the highest recent demand of each region. It decides which of several
        regions serves the objects, so that they do not move with each wave.
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
    headroom = {
        region: _headroom(loads[region], peaks.get(region, 0.0), own)
        - fractions.get(region, 0.0)
        for region in spare
    }
    missing = required - sum(fractions.values())
    if missing > MIN_RISE:
        _raise(fractions, spare, headroom, min(left, missing))
    elif missing < -MIN_FALL or not required:
        _lower(fractions, headroom, min(left, -missing))
    else:
        _balance(fractions, spare, headroom, BALANCE_SHARE * left)
    return {region: each for region, each in fractions.items() if each > 0.0}


def _headroom(load, peak, own):
    """Return the fraction of the own region's objects that fits at peak demand."""
    return (load.planned_slots - peak) / max(own.movable_at(load), MIN_MOVABLE)


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


def _raise(fractions, spare, headroom, change):
    """Raise the fraction for the region with spare slots and the most headroom."""
    regions = [each for each, fraction in spare.items() if fraction > 0.0]
    region = max(regions, key=lambda each: headroom[each], default=None)
    if region is not None:
        change = min(change, spare[region])
        fractions[region] = fractions.get(region, 0.0) + change


def _balance(fractions, spare, headroom, max_change):
    """Move objects from the region with the least headroom to that with the most."""
    regions = sorted(headroom, key=lambda each: headroom[each])
    used = [each for each in regions if fractions.get(each)]
    if not used or headroom[regions[-1]] - headroom[used[0]] < MIN_IMBALANCE:
        return
    change = min(max_change, fractions[used[0]], max(0.0, spare[regions[-1]]))
    fractions[used[0]] -= change
    fractions[regions[-1]] = fractions.get(regions[-1], 0.0) + change


def _lower(fractions, headroom, change):
    """Lower the fractions, first the one for the region with the least headroom."""
    for region in sorted(fractions, key=lambda each: headroom.get(each, 0.0)):
        lowered = min(change, fractions[region])
        fractions[region] -= lowered
        change -= lowered
