"""Budget of the process memory for the bodies of requests and responses."""

from curio import Event as Signal
from curio import timeout_after
from curio.errors import TaskTimeout

from heathercleat.events import Event

#: Bytes for the program, its tables and its connections; an idle VM uses 37 MB.
PROGRAM_BYTES = 64 << 20
#: Fraction of the memory that is shared out at least, for very small limits.
MIN_SPARE_SHARE = 0.2
#: Fraction of the other memory that bodies may use. The rest is for receive buffers of
#: sockets, overhead of the kernel for each packet, data in transit through h11 and
#: memory that the allocator keeps.
BODY_SHARE = 0.5
#: Reservations up to this size, in bytes, may use all of the limit, so that requests
#: without a body or with a small one are served while large bodies wait for memory.
SMALL_BYTES = 64 << 10
#: Uploads have up to 360 KB. Larger bodies leave room for them.
MEDIUM_BYTES = 512 << 10
#: Fractions of the limit up to which larger reservations are granted.
MEDIUM_SHARE = 0.85
LARGE_SHARE = 0.6
#: Memory counts as sufficient again below this fraction of the limit; less than
#: ``LARGE_SHARE``, so that the log does not alternate between both.
SUFFICIENT_SHARE = 0.5
#: Seconds between two log lines on refused requests.
REFUSAL_LINE_SECONDS = 1.0


class MemoryBudget:
    """Bytes reserved for the bodies of requests and responses.

    :param memory: memory limit of the process, in bytes.
    """

    __slots__ = (
        "_limit",
        "_request_bytes",
        "_response_bytes",
        "_waiters",
        "_is_short",
        "_refused_count",
        "_next_refusal_line_at",
        "_journal",
        "_clock",
        "responses",
    )

    def __init__(self, memory, journal, clock):
        spare = max(memory - PROGRAM_BYTES, MIN_SPARE_SHARE * memory)
        self._limit = spare * BODY_SHARE
        self._request_bytes = 0
        self._response_bytes = 0
        self._waiters = []
        self._is_short = False
        self._refused_count = 0
        self._next_refusal_line_at = 0.0
        self._journal = journal
        self._clock = clock
        #: The :class:`ResponseMemory` with this budget.
        self.responses = None

    @property
    def limit(self):
        """Return the maximum number of reserved bytes."""
        return self._limit

    @property
    def request_bytes(self):
        """Return the bytes reserved for the bodies of requests."""
        return self._request_bytes

    @property
    def response_bytes(self):
        """Return the bytes reserved for the bodies of responses."""
        return self._response_bytes

    @property
    def reserved(self):
        """Return all reserved bytes."""
        return self._request_bytes + self._response_bytes

    @property
    def has_waiters(self):
        """Return whether a request or response waits for memory."""
        return bool(self._waiters)

    @property
    def largest(self):
        """Return the bytes that a large reservation may have at most."""
        return self._limit * LARGE_SHARE

    def reserve(self, size):
        """Reserve bytes for a request body; return whether there was room."""
        if not self._has_room(size, self._limit_for(size)):
            self._record_shortage()
            return False
        self._request_bytes += size
        return True

    def release(self, size):
        """Release bytes of a request body."""
        self._request_bytes -= size

    def release_response(self, size):
        """Release bytes of a response."""
        self._response_bytes -= size

    async def acquire_response(self, size, wait_until):
        """Reserve bytes for a response that was not requested yet.

        :param wait_until: how long to wait for memory, an instant.
        :return: whether they were reserved.
        """
        return await self._acquire(size, self._limit_for(size), wait_until)

    async def extend_response(self, size, wait_until):
        """Reserve more bytes for a response that is arriving; see above.

        It precedes requests that wait for memory, since it has run already.
        """
        return await self._acquire(size, self._limit, wait_until, is_first=True)

    async def grant_waiting(self):
        """Reserve bytes for those that wait, in order, as far as there is room."""
        for waiter in list(self._waiters):
            if self._has_room(waiter.size, waiter.limit):
                self._waiters.remove(waiter)
                self._response_bytes += waiter.size
                waiter.is_granted = True
                await waiter.signal.set()
            elif waiter.is_first:
                break
        if self._is_short and not self._waiters:
            self._record_sufficiency()

    def record_refusal(self, route, size):
        """Record that a request was refused for memory; log one line per second."""
        self._refused_count += 1
        now = self._clock.now()
        if now < self._next_refusal_line_at:
            return
        self._next_refusal_line_at = now + REFUSAL_LINE_SECONDS
        self._write(
            Event.REFUSED_FOR_MEMORY,
            route=route,
            size=size,
            refused=self._refused_count,
        )
        self._refused_count = 0

    async def _acquire(self, size, limit, wait_until, is_first=False):
        is_behind = self._has_waiting_response and not is_first
        if not is_behind and self._has_room(size, limit):
            self._response_bytes += size
            return True
        self._record_shortage()
        waiter = _Waiter(size, limit, is_first)
        self._waiters.append(waiter)
        # Stable: responses that are arriving go first, otherwise in order of arrival.
        self._waiters.sort(key=lambda each: not each.is_first)
        try:
            await self._wait(waiter, wait_until)
        except BaseException:
            if waiter.is_granted:
                self._response_bytes -= size
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return waiter.is_granted

    async def _wait(self, waiter, wait_until):
        remaining = wait_until - self._clock.now()
        if remaining <= 0:
            return
        try:
            await timeout_after(remaining, waiter.signal.wait)
        except TaskTimeout:
            return

    @property
    def _has_waiting_response(self):
        """Return whether a response that is arriving waits for memory."""
        return bool(self._waiters) and self._waiters[0].is_first

    def _limit_for(self, size):
        """Return the total up to which a reservation of ``size`` bytes is granted."""
        if size <= SMALL_BYTES:
            return self._limit
        return self._limit * (MEDIUM_SHARE if size <= MEDIUM_BYTES else LARGE_SHARE)

    def _has_room(self, size, limit):
        return self.reserved + size <= limit

    def _record_shortage(self):
        if not self._is_short:
            self._is_short = True
            self._write(Event.MEMORY_SHORT, waiting=len(self._waiters))

    def _record_sufficiency(self):
        if self.reserved <= self._limit * SUFFICIENT_SHARE:
            self._is_short = False
            self._write(Event.MEMORY_SUFFICIENT)

    def _write(self, event, **fields):
        self._journal.write(
            event,
            requests=int(self._request_bytes),
            responses=int(self._response_bytes),
            limit=int(self._limit),
            **fields,
        )


class _Waiter:
    """A response that waits for memory.

    :param is_first: whether it is arriving, so that its request has run.
    """

    __slots__ = ("size", "limit", "is_first", "signal", "is_granted")

    def __init__(self, size, limit, is_first):
        self.size = size
        self.limit = limit
        self.is_first = is_first
        self.signal = Signal()
        self.is_granted = False
