"""Memory reserved for the response of one request."""

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError
from heathercleat.events import Event

#: Longest wait for memory in seconds before a request is refused; a third of the
#: shortest latency objective, so that the response may still be in time.
MAX_WAIT_SECONDS = 0.15
#: Seconds after which a refused caller may retry, unless a caller that does not read is
#: about to lose its response.
RETRY_SECONDS = 0.3
#: Bytes by which a reservation grows while a body of unknown length arrives.
STEP_BYTES = 256 << 10
#: Reason of an unsent attempt: the owner has no memory left for the request.
NO_MEMORY_REASON = "no memory left"


class ResponseMemory:
    """Reserves memory for responses before their requests are sent.

    :param budget: the :class:`MemoryBudget`.
    :param sizes: the :class:`ResponseSizes`.
    :param monitor: the :class:`OutputMonitor`.
    """

    def __init__(self, budget, sizes, monitor, journal, clock):
        self._budget = budget
        self._sizes = sizes
        self._monitor = monitor
        self._journal = journal
        self._clock = clock

    @property
    def budget(self):
        """Return the :class:`MemoryBudget`."""
        return self._budget

    @property
    def sizes(self):
        """Return the :class:`ResponseSizes`."""
        return self._sizes

    @property
    def monitor(self):
        """Return the :class:`OutputMonitor`."""
        return self._monitor

    async def reserve(self, call):
        """Return a :class:`ResponseReservation`, or ``None`` if there is no memory.

        Waits for memory for a short time.
        """
        route = call.route.name
        size = self._sizes.expected(route, call.path)
        wait_until = min(call.deadline, self._clock.now() + MAX_WAIT_SECONDS)
        if await self._budget.acquire_response(size, wait_until):
            return ResponseReservation(self, route, call.path, size)
        self._budget.record_refusal(route, size)
        return None

    async def reserve_or_refuse(self, call):
        """Return a :class:`ResponseReservation`.

        :raises RequestError: if there is no memory; the request has not run.
        """
        reservation = await self.reserve(call)
        if reservation is None:
            raise self._refusal("its response")
        return reservation

    def refuse_body(self, size):
        """Return the :class:`RequestError` for a body that found no memory."""
        self._budget.record_refusal(None, size)
        return self._refusal(f"a body of {size} bytes")

    def _refusal(self, subject):
        now = self._clock.now()
        budget = self._budget
        message = (
            f"not enough memory left for {subject}: {budget.request_bytes} bytes for "
            f"requests, {budget.response_bytes} for responses, limit {budget.limit:.0f}"
        )
        retry_at = max(now + RETRY_SECONDS, self._monitor.next_drop_at(now) or now)
        return RequestError(ResultCode.NO_ROOM, message, retry_at)

    def record_not_held(self, route, size):
        """Log that a response found no memory although its request has run."""
        self._journal.write(
            Event.RESPONSE_NOT_HELD,
            route=route,
            size=size,
            reserved=self._budget.reserved,
            limit=int(self._budget.limit),
        )


class ResponseReservation:
    """Bytes reserved for the response of one request.

    :param memory: the :class:`ResponseMemory`.
    :param route: name of the route.
    :param path: the path of the request with its query.
    :param size: the reserved bytes.
    """

    __slots__ = ("_memory", "_route", "_path", "_size")

    def __init__(self, memory, route, path, size):
        self._memory = memory
        self._route = route
        self._path = path
        self._size = size

    @property
    def size(self):
        """Return the reserved bytes."""
        return self._size

    def learn(self, size):
        """Record the size of the response for later requests."""
        self._memory.sizes.record(self._route, self._path, size)

    async def hold(self, size, deadline, step=0):
        """Reserve memory for a response of ``size`` bytes in all.

        :param step: reserve at least this many more bytes if more are needed.
        :raises TimeoutError: if there is no memory until ``deadline``.
        :raises ValueError: if the response is larger than all memory for it.
        """
        missing = size - self._size
        if missing <= 0:
            return
        budget = self._memory.budget
        if size > budget.largest:
            self._memory.record_not_held(self._route, size)
            raise ValueError(f"a response of {size} bytes cannot be held")
        missing = max(missing, step)
        if not await budget.extend_response(missing, deadline):
            self._memory.record_not_held(self._route, size)
            raise TimeoutError("no memory for the response")
        self._size += missing

    def trim(self, size):
        """Release what exceeds ``size`` bytes."""
        excess = self._size - size
        if excess > 0:
            self._size = size
            self._memory.budget.release_response(excess)

    def hand_over(self):
        """Return the reserved bytes; the caller of this method releases them."""
        size, self._size = self._size, 0
        return size

    def release(self):
        """Release all of it."""
        self.trim(0)
