"""The fractions of their requests that workspaces and routes are served.

Ranks are strict, so that a route or a workspace could get no slot for as long as others
fill all of them. Its requests go first while its fraction is far below that of all.
"""

from math import exp

#: Requests of a route or workspace go first while it is served a smaller fraction than
#: this share of the fraction served of all. Callers are owed a quarter; the margin is
#: for requests that are refused before they reach the owner of a target.
FLOOR_SHARE = 0.3
#: Seconds within which earlier requests lose most of their weight; shorter than the
#: periods of 5 to 8 s in which callers exceed their usual load.
DECAY_SECONDS = 2.0
#: Weighted requests below which a fraction is not significant.
MIN_REQUESTS = 3.0
#: Weighted requests below which a count is dropped.
NEGLIGIBLE_REQUESTS = 0.01
_ALL = "all", None


class ServedCount:
    """Requests and served requests of one key, with exponential decay."""

    __slots__ = ("requests", "served", "updated_at")

    def __init__(self, now):
        self.requests = 0.0
        self.served = 0.0
        self.updated_at = now

    def advance(self, now):
        """Let the counts decay until now."""
        factor = exp((self.updated_at - now) / DECAY_SECONDS)
        self.requests *= factor
        self.served *= factor
        self.updated_at = now


class ServedFractions:
    """The fractions served of requests by workspace and by route.

    The number of counts is bounded, since a count is dropped when it has decayed and
    callers pass the names of the configuration.
    """

    __slots__ = ("_clock", "_counts")

    def __init__(self, clock):
        self._clock = clock
        self._counts = {}

    def record(self, workspace, route, is_served):
        """Record a request that was served or refused."""
        now = self._clock.now()
        for key in (_ALL, ("workspace", workspace), ("route", route)):
            count = self._counts.get(key)
            if count is None:
                count = self._counts[key] = ServedCount(now)
            count.advance(now)
            count.requests += 1.0
            count.served += is_served

    def is_starved(self, workspace, route):
        """Return whether a workspace or a route is served far less than the others."""
        total = self._counts.get(_ALL)
        if total is None:
            return False
        floor = FLOOR_SHARE * total.served / total.requests
        return any(
            self._is_below(floor, key)
            for key in (("workspace", workspace), ("route", route))
        )

    def expire(self):
        """Drop the counts that have decayed."""
        now = self._clock.now()
        for key, count in list(self._counts.items()):
            count.advance(now)
            if count.requests < NEGLIGIBLE_REQUESTS:
                del self._counts[key]

    def _is_below(self, floor, key):
        """Return whether the fraction of a key is significant and below a floor."""
        count = self._counts.get(key)
        if count is None:
            return False
        count.advance(self._clock.now())
        return count.requests >= MIN_REQUESTS and count.served < floor * count.requests
