"""Clients with HTTP pipelining."""

from curio import TaskGroup, sleep, spawn

from heathercleat.connection.http import CONNECTION_ERRORS
from standins.stops.records import NOT_RUN_STATUSES, SAFE

PIPELINED = "ahead"
#: Maximum number of outstanding requests on one connection.
MAX_OUTSTANDING = 4
#: Minimum number of outstanding requests of a client that always pipelines.
MIN_OUTSTANDING = 3
#: Seconds between requests on one connection.
PIPELINE_GAP_SECONDS = (0.1, 0.5)
POLL_SECONDS = 0.02
#: Delay of a retry without a Retry-After header.
DEFAULT_RETRY_SECONDS = 0.1


class PipeliningClient:
    """Pipelines safe requests on one connection.

    Every second client always has outstanding requests; the others stop sending late
    in the shutdown of their VM.

    :param clients: the :class:`Clients`.
    """

    def __init__(self, clients, number, rng):
        self._clients = clients
        self._directory = clients.directory(number)
        self._always_pipelines = number % 2 == 0
        self._rng = rng
        self._requests = {}
        self._next_at = 0.0
        #: Whether the last response was a refusal; if so, the client waits between
        #: requests even if it always pipelines.
        self._refused = False

    async def run(self):
        """Use one connection at a time until the load ends."""
        async with TaskGroup() as group:
            failed = set()
            while not self._clients.stopping:
                connection = await self._clients.open_pipelined(self._directory, failed)
                if connection is None:
                    await sleep(DEFAULT_RETRY_SECONDS)
                    continue
                failed = set()
                await self._use(connection, group)

    async def _use(self, connection, group):
        """Send on a connection until it closes."""
        reader = await spawn(self._read, connection, group)
        try:
            while connection.is_open and not self._clients.stopping:
                if self._may_send(connection):
                    await self._send(connection)
                await sleep(POLL_SECONDS)
        except CONNECTION_ERRORS:
            # The reader handles the closed connection.
            pass
        await reader.join()
        await connection.close()

    def _may_send(self, connection):
        outstanding = connection.outstanding
        if (
            self._always_pipelines
            and not self._refused
            and outstanding < MIN_OUTSTANDING
        ):
            return True
        if outstanding >= MAX_OUTSTANDING or self._clients.clock.now() < self._next_at:
            return False
        return self._always_pipelines or not self._clients.is_late_in_stop(
            connection.vm
        )

    async def _send(self, connection):
        request = self._clients.new_request(self._rng, PIPELINED, SAFE)
        attempt = self._clients.new_attempt(request, connection.vm)
        self._requests[attempt] = request
        self._next_at = self._clients.clock.now() + self._rng.uniform(
            *PIPELINE_GAP_SECONDS
        )
        await connection.send(
            attempt, f"{SAFE.prefix}{request.object_key}", request.object_key
        )

    async def _read(self, connection, group):
        """Read responses until the connection closes, and start retries."""
        client_timed_out = False
        while connection.is_open or connection.outstanding:
            if not connection.outstanding and self._clients.stopping:
                break
            try:
                attempt = await connection.read_next()
            except TimeoutError:
                client_timed_out = True
                break
            except CONNECTION_ERRORS:
                break
            if attempt is None:
                continue
            self._refused = attempt.status in NOT_RUN_STATUSES
            await self._retry(attempt, group)
            if not connection.is_open:
                break
        for attempt in connection.abandon(client_timed_out):
            await self._retry(attempt, group)

    async def _retry(self, attempt, group):
        request = self._requests.pop(attempt)
        await group.spawn(self._clients.retry, request, self._directory)
