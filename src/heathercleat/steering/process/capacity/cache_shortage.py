"""Objects that the targets of a region cannot keep cached, from the times they take.

Demand shows them only while slots are short: with few requests, a region has the slots
to serve them uncached, and these requests are late all the same.
"""

#: Time for an uncached object as a multiple of that for a cached one.
UNCACHED_FACTOR = 1 / 0.3
#: Multiple of the time that another region's targets take from which objects count as
#: uncached; means over a region's requests of some seconds differ by up to a sixth.
MIN_TIME_RATIO = 1.2
#: Highest fraction to which missing cache leads. If requests still take longer with
#: this fraction elsewhere, there is another cause, such as slow machines.
MAX_FRACTION = 0.6
#: Seconds after a start in which objects are uncached because they are new.
WARM_UP_SECONDS = 15.0
#: Change of the fraction per second. It rises slowly, since the mean time follows it
#: by some seconds, and falls by a twentieth of the objects in 25 s.
RISE_PER_SECOND = 0.02
FALL_PER_SECOND = 0.002


def uneven_fraction(region, loads):
    """Return the fraction of a region's objects beyond its share of all slots.

    Without it, each target of a region with few targets has to cache more objects than
    those of other regions.

    :param loads: the :class:`RegionLoad` of each region.
    """
    total = sum(each.slots for each in loads.values())
    even = total / len(loads)
    return max(0.0, 1.0 - loads[region].slots / even) if even else 0.0


class CacheShortage:
    """The fraction of a region's objects that its targets cannot keep cached.

    It starts with what is beyond the region's share of all slots, since missing cache
    shows in response times only seconds after the objects have been evicted.

    :param now: when the requests of the region were first observed.
    """

    __slots__ = ("_fraction", "_updated_at", "_warm_at")

    def __init__(self, now):
        self._fraction = None
        self._updated_at = now
        self._warm_at = now + WARM_UP_SECONDS

    def update(self, load, shortest_run, uneven, now):
        """Return the fraction after a new report.

        :param load: the :class:`RegionLoad` of the region.
        :param shortest_run: mean seconds of a request at the targets of the region
            where they are lowest, or ``None`` if unknown.
        :param uneven: see :func:`uneven_fraction`.
        """
        seconds, self._updated_at = now - self._updated_at, now
        if self._fraction is None:
            self._fraction = uneven
        if now < self._warm_at or not load.run_seconds or not shortest_run:
            return self._fraction
        ratio = load.run_seconds / shortest_run
        if ratio >= MIN_TIME_RATIO:
            uncached = min(1.0, (ratio - 1) / (UNCACHED_FACTOR - 1))
            sent = sum(load.fractions.values())
            required = min(MAX_FRACTION, sent + (1 - sent) * uncached)
            risen = self._fraction + RISE_PER_SECOND * seconds
            # What goes elsewhere already need not rise again.
            risen = max(risen, min(sent, required))
            self._fraction = max(self._fraction, min(required, risen))
        else:
            self._fraction = max(0.0, self._fraction - FALL_PER_SECOND * seconds)
        return self._fraction
