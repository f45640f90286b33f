"""The clients of a load test, with and without persistent connections."""

from random import Random

from curio import TaskGroup, run, sleep

from heathercleat.connection.http import CONNECTION_ERRORS, with_deadline
from heathercleat.process.clock import SystemClock
from standins.stops.connection import RESPONSE_GRACE_SECONDS, open_connection
from standins.stops.deployment import DEADLINE_SECONDS, LATENCY_OBJECTIVE_SECONDS
from standins.stops.directory import Directory
from standins.stops.pipelining import DEFAULT_RETRY_SECONDS, PipeliningClient
from standins.stops.records import (
    NOT_RUN_STATUSES,
    ONCE,
    SAFE,
    UPLOAD,
    Attempt,
    Request,
)

#: Connection use of clients: persistent, or one connection per request.
PERSISTENT, SINGLE = "kept", "single"
#: Seconds between a response and the next request on a persistent connection.
PERSISTENT_GAP_SECONDS = (0.0, 0.1)
#: Seconds after SIGTERM at which some clients stop sending on open connections.
LATE_IN_STOP_SECONDS = 3.2
#: Share of requests for an object that no target has cached.
UNCACHED_SHARE = 0.2
#: Weights of the kinds of requests, except for pipelining clients.
KIND_WEIGHTS = {SAFE: 60, ONCE: 25, UPLOAD: 15}
MAX_ATTEMPTS = 4
#: Maximum share of the remaining time for which a client honours Retry-After.
MAX_RETRY_AFTER_SHARE = 1 / 3
#: Statuses that are not retried.
FINAL_STATUSES = (400, 401, 404, 413, 431)


class Clients:
    """All clients of a run.

    :param size: the :class:`Size`.
    :param stopper: the :class:`Stopper`, which records the stopped VMs and the next
        one.
    """

    def __init__(self, fleet, size, seed, stopper):
        self._fleet = fleet
        self._size = size
        self._seed = seed
        self._stopper = stopper
        self._clock = SystemClock()
        self._stopping = False
        self._directories = []
        self.requests = []
        self.attempts = []
        self.connection_records = []

    @property
    def clock(self):
        """Return the clock of all recorded instants."""
        return self._clock

    @property
    def stopping(self):
        """Return whether :meth:`stop` was called."""
        return self._stopping

    def run(self):
        """Send until :meth:`stop` is called, and wait for the last responses."""
        run(self._run)

    def stop(self):
        """Send no new requests."""
        self._stopping = True

    async def _run(self):
        vms = list(self._fleet.vms.values())
        self._directories = [
            Directory(
                vms, domain, region, self._clock, Random(f"{self._seed} {domain}")
            )
            for domain, region in self._size.domains.items()
        ]
        async with TaskGroup() as group:
            for number in range(self._size.pipelining):
                client = PipeliningClient(self, number, self._rng(f"ahead {number}"))
                await group.spawn(client.run)
            for number in range(self._size.persistent):
                rng = self._rng(f"kept {number}")
                await group.spawn(self._run_persistent, group, rng, number)
            if self._size.single:
                await group.spawn(self._arrivals, group)

    async def _run_persistent(self, group, rng, number):
        """Send one request at a time, on a persistent connection."""
        directory = self.directory(number)
        connection, failed = None, set()
        while not self._stopping:
            if connection is None or not connection.is_open:
                connection = await self.open(directory, failed)
            if connection is None:
                await sleep(DEFAULT_RETRY_SECONDS)
                continue
            request = self.new_request(rng, PERSISTENT, _random_kind(rng))
            attempt = await self.send_attempt(connection, request)
            failed = set() if attempt.status else {attempt.vm}
            await group.spawn(self.retry, request, directory)
            await sleep(rng.uniform(*PERSISTENT_GAP_SECONDS))
        if connection is not None:
            await connection.close()

    async def _arrivals(self, group):
        """Send requests at random instants, independent of response times."""
        rng = self._rng("single")
        number = 0
        while not self._stopping:
            await sleep(rng.expovariate(self._size.single))
            number += 1
            request = self.new_request(rng, SINGLE, _random_kind(rng))
            await group.spawn(
                self.send_with_retries, request, self.directory(number), set()
            )

    async def send_with_retries(self, request, directory, failed):
        """Send a request on a connection of its own, with retries."""
        await self._send_on_new_connection(request, directory, failed)
        await self.retry(request, directory)

    async def retry(self, request, directory):
        """Retry a request as long as that is allowed, at VMs not tried before."""
        while (wait := self._retry_delay(request)) is not None:
            await sleep(wait)
            failed = {attempt.vm for attempt in request.attempts}
            await self._send_on_new_connection(request, directory, failed)

    async def _send_on_new_connection(self, request, directory, failed):
        connection = await self.open(directory, failed, request)
        if connection is None:
            return
        try:
            await self.send_attempt(connection, request)
        finally:
            await connection.close()

    async def open(self, directory, failed, request=None):
        """Return a connection to a VM from a look-up; ``None`` if it fails.

        :param request: gets a failed attempt if the connection fails.
        """
        vm = await directory.choose(failed)
        connection = await open_connection(vm, self.connection_records, self._clock)
        if connection is None:
            failed.add(vm.name)
            if request is not None:
                attempt = self.new_attempt(request, vm.name)
                attempt.connected = False
                attempt.ended_at = self._clock.now()
        return connection

    async def send_attempt(self, connection, request):
        """Send a request on a connection and return the ended :class:`Attempt`."""
        attempt = self.new_attempt(request, connection.vm)
        path = f"{request.kind.prefix}{request.object_key}"
        until = request.deadline + RESPONSE_GRACE_SECONDS
        try:
            sending = connection.send(attempt, path, request.object_key)
            await with_deadline(until, self._clock, sending)
        except (TimeoutError, *CONNECTION_ERRORS):
            # The response may have arrived before the whole request was sent.
            pass
        try:
            await with_deadline(until, self._clock, connection.read_response())
        except TimeoutError:
            connection.abandon(client_timed_out=True)
        except CONNECTION_ERRORS:
            connection.abandon()
        if not connection.is_open:
            await connection.close()
        return attempt

    async def open_pipelined(self, directory, failed):
        """Return a connection of a pipelining client; ``None`` if it fails.

        The clients prefer the VM that is stopped next, so that it has requests in
        flight during its shutdown.
        """
        vm = self._stopper.next_vm
        if vm is None or vm.name in failed:
            return await self.open(directory, failed)
        return await open_connection(vm, self.connection_records, self._clock)

    def new_request(self, rng, client, kind):
        """Return a new request for a random object."""
        now = self._clock.now()
        object_key = f"k{rng.randrange(self._size.objects)}"
        if rng.random() < UNCACHED_SHARE:
            object_key = f"u{len(self.requests)}"
        soft_deadline, deadline = (
            now + LATENCY_OBJECTIVE_SECONDS,
            now + DEADLINE_SECONDS,
        )
        request = Request(client, kind, object_key, now, soft_deadline, deadline)
        self.requests.append(request)
        return request

    def new_attempt(self, request, vm):
        """Return a new attempt, recorded with its request."""
        attempt = Attempt(
            f"{self._seed}-{len(self.attempts)}",
            vm,
            request.kind,
            request.deadline,
            request.soft_deadline,
            self._clock.now(),
        )
        self.attempts.append(attempt)
        request.attempts.append(attempt)
        return attempt

    def directory(self, number):
        """Return the :class:`Directory` of a client."""
        return self._directories[number % len(self._directories)]

    def is_late_in_stop(self, vm):
        """Return whether a VM is late in its shutdown."""
        signalled_at = self._stopper.signalled_at(vm)
        return (
            signalled_at is not None
            and self._clock.now() >= signalled_at + LATE_IN_STOP_SECONDS
        )

    def _rng(self, name):
        return Random(f"{self._seed} {name}")

    def _retry_delay(self, request):
        """Return the delay of the next attempt; ``None`` if there is none."""
        now = self._clock.now()
        remaining = request.deadline - now
        last = request.attempts[-1] if request.attempts else None
        if last is None or remaining <= 0 or len(request.attempts) >= MAX_ATTEMPTS:
            return None
        if not may_retry(request.kind, last):
            return None
        requested = last.retry_after
        return min(
            DEFAULT_RETRY_SECONDS if requested is None else requested,
            remaining * MAX_RETRY_AFTER_SHARE,
        )


def may_retry(kind, attempt):
    """Return whether a client may retry after an attempt."""
    if not attempt.connected or attempt.after_close:
        return True
    if attempt.status is None:
        return not kind.once
    if attempt.status in FINAL_STATUSES or attempt.status < 300:
        return False
    return not kind.once or attempt.status in NOT_RUN_STATUSES


def _random_kind(rng):
    return rng.choices(list(KIND_WEIGHTS), weights=list(KIND_WEIGHTS.values()))[0]
