"""Tells repeats of clients from first requests by the time that the client has left.

A client says how long it waits, and a repeat has less time left than a first request.
Clients of one route need not all wait equally long: a bound near the longest wait would
take most first requests for repeats.
"""

from collections import Counter

#: Classes into which the waits of a route are divided, up to the longest one.
CLASSES = 40
#: First requests fill neighbouring classes; a class with less than this part of the
#: requests of the fullest one lies below them.
DENSE_SHARE = 0.25
#: Requests after which all counts are halved, so that the last few hundred decide.
MOST_COUNTED = 400


class RetryDetector:
    """Learns for each route how long clients wait at first."""

    __slots__ = ("_routes",)

    def __init__(self):
        self._routes = {}

    def elapsed(self, route, wait):
        """Return the seconds since the first attempt, at least; 0 for a first one.

        :param wait: seconds that the client has left.
        """
        waits = self._routes.get(route)
        if waits is None:
            waits = self._routes[route] = _Waits()
        waits.count(wait)
        return max(0.0, waits.shortest_first() - wait)


class _Waits:
    """The waits of one route's requests."""

    __slots__ = ("_longest", "_counts", "_edge")

    def __init__(self):
        self._longest = 0.0
        self._counts = Counter()
        self._edge = CLASSES

    def count(self, wait):
        """Take the wait of one request, in seconds."""
        if wait > self._longest:
            # Classes are parts of the longest wait: the counts belong to others now.
            if wait > self._longest * (1 + 1 / CLASSES):
                self._counts.clear()
            self._longest = wait
        self._counts[min(CLASSES - 1, int(wait / self._longest * CLASSES))] += 1
        if self._counts.total() > MOST_COUNTED:
            self._halve()
        self._edge = self._find_edge()

    def shortest_first(self):
        """Return the shortest wait of first requests, in seconds."""
        return self._edge / CLASSES * self._longest

    def _find_edge(self):
        """Return the lowest class that first requests fill, from the top down."""
        least = DENSE_SHARE * max(self._counts.values())
        edge = CLASSES
        while edge and self._counts[edge - 1] >= least:
            edge -= 1
        return min(edge, CLASSES - 1)

    def _halve(self):
        for each in self._counts:
            self._counts[each] //= 2
