"""Clients that send requests before the answers to earlier ones have come."""

from curio import TaskGroup, sleep, spawn

from heathercleat.connection.http import CONNECTION_ERRORS
from standins.stops.records import NOT_RUN_STATUSES, SAFE

AHEAD = "ahead"
#: Requests without an answer at most, on one connection.
MOST_AHEAD = 4
#: The same at least, of a client that always has one ahead.
ALWAYS_AHEAD = 3
#: Seconds between two requests on one connection.
AHEAD_GAP = (0.1, 0.5)
POLL_SECONDS = 0.02
#: Seconds after which a client without advice comes back.
USUAL_RETURN = 0.1


class AheadClient:
    """Sends safe requests on one connection without waiting for the answers.

    Every second one always has a request ahead; the others are silent late in the stop
    of their VM.

    :param clients: the :class:`Clients`.
    """

    def __init__(self, clients, number, rng):
        self._clients = clients
        self._directory = clients.directory(number)
        self._always = number % 2 == 0
        self._rng = rng
        self._requests = {}
        self._next_at = 0.0
        #: Whether the last answer was a refusal: then even clients that always have a
        #: request ahead keep the usual gap.
        self._refused = False

    async def run(self):
        """Hold connections, one after the other."""
        async with TaskGroup() as group:
            failed = set()
            while not self._clients.stopping:
                connection = await self._clients.open_ahead(self._directory, failed)
                if connection is None:
                    await sleep(USUAL_RETURN)
                    continue
                failed = set()
                await self._use(connection, group)

    async def _use(self, connection, group):
        """Use a connection until it ends."""
        reader = await spawn(self._read, connection, group)
        try:
            while connection.is_open and not self._clients.stopping:
                if self._may_send(connection):
                    await self._send(connection)
                await sleep(POLL_SECONDS)
        except CONNECTION_ERRORS:
            # The reader sees the end as well.
            pass
        await reader.join()
        await connection.close()

    def _may_send(self, connection):
        unanswered = connection.unanswered
        if self._always and not self._refused and unanswered < ALWAYS_AHEAD:
            return True
        if unanswered >= MOST_AHEAD or self._clients.clock.now() < self._next_at:
            return False
        return self._always or not self._clients.is_silent(connection.vm)

    async def _send(self, connection):
        request = self._clients.draw(self._rng, AHEAD, SAFE)
        attempt = self._clients.new_attempt(request, connection.vm)
        self._requests[attempt] = request
        self._next_at = self._clients.clock.now() + self._rng.uniform(*AHEAD_GAP)
        await connection.send(attempt, f"{SAFE.prefix}{request.item}", request.item)

    async def _read(self, connection, group):
        """Read answers until the connection ends."""
        left = False
        while connection.is_open or connection.unanswered:
            if not connection.unanswered and self._clients.stopping:
                break
            try:
                attempt = await connection.read_next()
            except TimeoutError:
                left = True
                break
            except CONNECTION_ERRORS:
                break
            if attempt is None:
                continue
            self._refused = attempt.status in NOT_RUN_STATUSES
            await self._come_back(attempt, group)
            if not connection.is_open:
                break
        for attempt in connection.give_up(left):
            await self._come_back(attempt, group)

    async def _come_back(self, attempt, group):
        request = self._requests.pop(attempt)
        await group.spawn(self._clients.come_back, request, self._directory)
