"""Usual sizes of responses, by route and path."""

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
#: Number of paths to remember; each takes some 150 bytes.
MAX_PATHS = 2048
#: Factor of the known size of a path that is still expected after a smaller response.
PATH_DECAY = 0.75


class ResponseSizes:
    """The sizes of the last responses of each route, and of the paths used last.

    The size for a path is a moving maximum. It keeps callers of large responses from
    making the VM refuse requests with small ones on the same route.

    :param max_bytes: the largest estimate in bytes. Without it, a route with a very
        large response would never be tried again.
    """

    __slots__ = ("_max_bytes", "_samples", "_paths")

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._samples = OrderedDict()
        self._paths = OrderedDict()

    def record(self, route, path, size):
        """Record the size of a response in bytes.

        :param path: the path of the request with its query.
        """
        self._record_path((route, hash(path)), size)
        samples = self._samples.get(route)
        if samples is None:
            samples = self._samples[route] = deque(maxlen=MAX_SAMPLES)
        samples.append(size)
        self._samples.move_to_end(route)
        while len(self._samples) > MAX_ROUTES:
            self._samples.popitem(last=False)

    def expected(self, route, path):
        """Return the bytes to reserve for the response to a request."""
        known = self._paths.get((route, hash(path)))
        size = self._expected_of_route(route) if known is None else known
        return min(max(size, MIN_BYTES), self._max_bytes)

    def _record_path(self, key, size):
        self._paths[key] = max(size, int(PATH_DECAY * self._paths.get(key, 0)))
        self._paths.move_to_end(key)
        while len(self._paths) > MAX_PATHS:
            self._paths.popitem(last=False)

    def _expected_of_route(self, route):
        samples = self._samples.get(route)
        if not samples:
            return INITIAL_BYTES
        return sorted(samples)[int(QUANTILE * len(samples))]
