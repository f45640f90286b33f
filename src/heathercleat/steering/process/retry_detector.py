"""Detection of client retries by the client's remaining time.

Each request carries the time for which the client still waits; it is shorter for a
retry than for a first attempt. The times of first attempts may differ, so the lowest
one is derived from the distribution of the times on each route.
"""

from collections import Counter

#: Number of histogram buckets between zero and the longest wait of a route.
BUCKETS = 40
#: First attempts fill adjacent buckets up to the highest one. The first bucket below
#: them has less than this fraction of the fullest bucket's count.
DENSE_SHARE = 0.25
#: Requests after which all counts are halved, so that recent requests dominate.
MAX_COUNTED = 400


class RetryDetector:
    """Estimates for each route how long clients wait on their first attempt."""

    __slots__ = ("_routes",)

    def __init__(self):
        self._routes = {}

    def record_wait(self, route, wait):
        """Record the wait of a request; return the time since the first attempt.

        The result is a lower bound in seconds, and 0 for a first attempt.

        :param route: name of the route.
        :param wait: remaining seconds that the client waits.
        """
        waits = self._routes.get(route)
        if waits is None:
            waits = self._routes[route] = _Waits()
        waits.count(wait)
        return max(0.0, waits.min_first_attempt_wait() - wait)


class _Waits:
    """Histogram of the waits of one route's requests."""

    __slots__ = ("_longest", "_counts", "_lowest_bucket")

    def __init__(self):
        self._longest = 0.0
        self._counts = Counter()
        self._lowest_bucket = BUCKETS

    def count(self, wait):
        """Count the wait of one request, in seconds."""
        if wait > self._longest:
            # Bucket bounds are relative to the longest wait, so older counts are
            # invalid if it grows much.
            if wait > self._longest * (1 + 1 / BUCKETS):
                self._counts.clear()
            self._longest = wait
        self._counts[min(BUCKETS - 1, int(wait / self._longest * BUCKETS))] += 1
        if self._counts.total() > MAX_COUNTED:
            self._halve()
        self._lowest_bucket = self._find_lowest_bucket()

    def min_first_attempt_wait(self):
        """Return the shortest wait of first attempts, in seconds."""
        return self._lowest_bucket / BUCKETS * self._longest

    def _find_lowest_bucket(self):
        """Return the lowest bucket that first attempts fill."""
        min_count = DENSE_SHARE * max(self._counts.values())
        lowest = BUCKETS
        while lowest and self._counts[lowest - 1] >= min_count:
            lowest -= 1
        return min(lowest, BUCKETS - 1)

    def _halve(self):
        for bucket in self._counts:
            self._counts[bucket] //= 2
