"""Usual sizes of responses, by route."""

from collections import OrderedDict, deque

#: Number of responses of a route to remember.
MAX_SAMPLES = 64
#: Quantile of their sizes that is expected of the next response. With the maximum, one
#: large response would make the VM refuse requests with small ones.
QUANTILE = 0.9
#: Bytes expected of the first response of a route; bodies have 60 to 360 KB.
INITIAL_BYTES = 256 << 10
#: Smallest estimate in bytes; covers the objects of a request and its head.
MIN_BYTES = 4 << 10
#: Routes are those of the configuration; this limits what other VMs can add.
MAX_ROUTES = 256


class ResponseSizes:
    """The sizes of the last responses of each route.

    :param max_bytes: the largest estimate in bytes. Without it, a route with a very
        large response would never be tried again.
    """

    __slots__ = ("_max_bytes", "_samples")

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._samples = OrderedDict()

    def record(self, route, size):
        """Record the size of a response in bytes."""
        samples = self._samples.get(route)
        if samples is None:
            samples = self._samples[route] = deque(maxlen=MAX_SAMPLES)
        samples.append(size)
        self._samples.move_to_end(route)
        while len(self._samples) > MAX_ROUTES:
            self._samples.popitem(last=False)

    def expected(self, route):
        """Return the bytes to reserve for the next response of a route."""
        samples = self._samples.get(route)
        if not samples:
            return min(INITIAL_BYTES, self._max_bytes)
        size = sorted(samples)[int(QUANTILE * len(samples))]
        return min(max(size, MIN_BYTES), self._max_bytes)
