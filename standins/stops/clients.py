"""Clients: all of a run, those that keep a connection and those that do not."""

from random import Random

from curio import TaskGroup, run, sleep

from heathercleat.connection.http import CONNECTION_ERRORS, with_deadline
from heathercleat.process.clock import SystemClock
from standins.stops.ahead import USUAL_RETURN, AheadClient
from standins.stops.connection import PATIENCE, open_connection
from standins.stops.deployment import AIM_SECONDS, WAIT_SECONDS
from standins.stops.directory import Directory
from standins.stops.records import (
    NOT_RUN_STATUSES,
    ONCE,
    SAFE,
    UPLOAD,
    Attempt,
    Request,
)

#: How clients use connections.
KEPT, SINGLE = "kept", "single"
#: Seconds between an answer and the next request on a kept connection.
KEPT_GAP = (0.0, 0.1)
#: Seconds after SIGTERM from which some clients send no more on a connection.
SILENT_AFTER = 3.2
#: Share of requests for an object that no target knows.
UNKNOWN_SHARE = 0.2
#: Kinds of requests of clients that wait for each answer, with their weights.
MIXTURE = {SAFE: 60, ONCE: 25, UPLOAD: 15}
MOST_ATTEMPTS = 4
#: Part of the time left for which a client heeds an advice to wait.
LONGEST_ADVICE = 1 / 3
#: Answers after which nobody comes back.
FINAL = (400, 401, 404, 413, 431)


class Clients:
    """All clients of a run.

    :param size: the :class:`Size`.
    :param stopper: the :class:`Stopper`, which knows which VMs stop, and the next one.
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
        self.opened = []

    @property
    def clock(self):
        """Return the clock of every instant noted."""
        return self._clock

    @property
    def stopping(self):
        """Return whether no new requests are sent."""
        return self._stopping

    def run(self):
        """Send until :meth:`stop` is called, and wait for the last answers."""
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
            for number in range(self._size.ahead):
                client = AheadClient(self, number, self._rng(f"ahead {number}"))
                await group.spawn(client.run)
            for number in range(self._size.kept):
                rng = self._rng(f"kept {number}")
                await group.spawn(self._keep, group, rng, number)
            if self._size.single:
                await group.spawn(self._arrivals, group)

    async def _keep(self, group, rng, number):
        """Send one request after another, on one connection while it lasts."""
        directory = self.directory(number)
        connection, failed = None, set()
        while not self._stopping:
            if connection is None or not connection.is_open:
                connection = await self.open(directory, failed)
            if connection is None:
                await sleep(USUAL_RETURN)
                continue
            request = self.draw(rng, KEPT, _draw_kind(rng))
            attempt = await self.try_on(connection, request)
            failed = set() if attempt.status else {attempt.vm}
            await group.spawn(self.come_back, request, directory)
            await sleep(rng.uniform(*KEPT_GAP))
        if connection is not None:
            await connection.close()

    async def _arrivals(self, group):
        """Send requests at random instants, whatever their answers take."""
        rng = self._rng("single")
        number = 0
        while not self._stopping:
            await sleep(rng.expovariate(self._size.single))
            number += 1
            request = self.draw(rng, SINGLE, _draw_kind(rng))
            await group.spawn(self.ask, request, self.directory(number), set())

    async def ask(self, request, directory, failed):
        """Make an attempt on a connection of its own, and others after it."""
        await self._ask_once(request, directory, failed)
        await self.come_back(request, directory)

    async def come_back(self, request, directory):
        """Repeat a request as its client may, each time elsewhere."""
        while (wait := self._wait_before_return(request)) is not None:
            await sleep(wait)
            failed = {attempt.vm for attempt in request.attempts}
            await self._ask_once(request, directory, failed)

    async def _ask_once(self, request, directory, failed):
        connection = await self.open(directory, failed, request)
        if connection is None:
            return
        try:
            await self.try_on(connection, request)
        finally:
            await connection.close()

    async def open(self, directory, failed, request=None):
        """Return a connection to one of the VMs that a look-up names, or ``None``.

        :param request: notes the attempt where the VM takes no connection.
        """
        vm = await directory.choose(failed)
        connection = await open_connection(vm, self.opened, self._clock)
        if connection is None:
            failed.add(vm.name)
            if request is not None:
                attempt = self.new_attempt(request, vm.name)
                attempt.connected = False
                attempt.ended_at = self._clock.now()
        return connection

    async def try_on(self, connection, request):
        """Make an attempt on a connection and return it, ended."""
        attempt = self.new_attempt(request, connection.vm)
        path = f"{request.kind.prefix}{request.item}"
        until = request.deadline + PATIENCE
        try:
            sending = connection.send(attempt, path, request.item)
            await with_deadline(until, self._clock, sending)
        except (TimeoutError, *CONNECTION_ERRORS):
            # An answer may have come before the whole request was sent.
            pass
        try:
            await with_deadline(until, self._clock, connection.read_answer())
        except TimeoutError:
            connection.give_up(left=True)
        except CONNECTION_ERRORS:
            connection.give_up()
        if not connection.is_open:
            await connection.close()
        return attempt

    async def open_ahead(self, directory, failed):
        """Return a connection of a client that sends ahead, or ``None``.

        Such clients crowd at the VM that is told to stop next, where one is: the more
        of them it has, the longer it has requests under way.
        """
        vm = self._stopper.next_vm
        if vm is None or vm.name in failed:
            return await self.open(directory, failed)
        return await open_connection(vm, self.opened, self._clock)

    def draw(self, rng, client, kind):
        """Return a new request."""
        now = self._clock.now()
        item = f"k{rng.randrange(self._size.objects)}"
        if rng.random() < UNKNOWN_SHARE:
            item = f"u{len(self.requests)}"
        aim_at, deadline = now + AIM_SECONDS, now + WAIT_SECONDS
        request = Request(client, kind, item, now, aim_at, deadline)
        self.requests.append(request)
        return request

    def new_attempt(self, request, vm):
        """Return an attempt of a request, noted."""
        attempt = Attempt(
            f"{self._seed}-{len(self.attempts)}",
            vm,
            request.kind,
            request.deadline,
            request.aim_at,
            self._clock.now(),
        )
        self.attempts.append(attempt)
        request.attempts.append(attempt)
        return attempt

    def directory(self, number):
        """Return the :class:`Directory` of a client."""
        return self._directories[number % len(self._directories)]

    def is_silent(self, vm):
        """Return whether clients that heed the time send no more to a VM."""
        told_at = self._stopper.told_at(vm)
        return told_at is not None and self._clock.now() >= told_at + SILENT_AFTER

    def _rng(self, name):
        return Random(f"{self._seed} {name}")

    def _wait_before_return(self, request):
        """Return the seconds until the next attempt; ``None`` when there is none."""
        now = self._clock.now()
        left = request.deadline - now
        last = request.attempts[-1] if request.attempts else None
        if last is None or left <= 0 or len(request.attempts) >= MOST_ATTEMPTS:
            return None
        if not may_repeat(request.kind, last):
            return None
        advice = last.retry_after
        return min(USUAL_RETURN if advice is None else advice, left * LONGEST_ADVICE)


def may_repeat(kind, attempt):
    """Return whether a client may make another attempt after one."""
    if not attempt.connected or attempt.behind_close:
        return True
    if attempt.status is None:
        return not kind.once
    if attempt.status in FINAL or attempt.status < 300:
        return False
    return not kind.once or attempt.status in NOT_RUN_STATUSES


def _draw_kind(rng):
    return rng.choices(list(MIXTURE), weights=list(MIXTURE.values()))[0]
