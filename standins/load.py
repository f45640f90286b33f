"""Open-loop load generator: Poisson arrivals, independent of response times."""

import json
import threading
import time
from collections import Counter
from dataclasses import dataclass
from random import Random

from curio import TaskGroup, run, sleep

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    Message,
    connect,
    exchange,
    with_deadline,
)
from heathercleat.process.clock import SystemClock
from standins.fleet import PORTS

MAX_RESPONSE_BYTES = 1 << 20
LOOKUP_SECONDS = 1.0
MAX_IDLE_CONNECTIONS = 64
#: Seconds for which an entry VM is a last choice after a failure.
FAILED_VM_SECONDS = 2.0


@dataclass(slots=True)
class Result:
    """The result of one request.

    ``sent_at`` is in epoch seconds; ``status`` is ``None`` after a connection error;
    ``run`` and ``code`` are the values of the ``heathercleat-run`` and
    ``heathercleat-code`` headers; ``key`` is the idempotency key.
    """

    sent_at: float
    seconds: float
    status: int | None
    run: str | None
    target: str | None
    key: str | None = None
    code: int = 0


class Load:
    """Sends requests to one service at a mean rate, from its own thread.

    :param hosts: IP addresses of entry VMs for look-ups.
    :param rate: requests per second.
    :param make: returns ``(method, path, body, headers)`` for a sequence number.
    :param client: client address to pass to look-ups.
    """

    def __init__(
        self, hosts, service, rate, make=None, seed=1, timeout=10.0, client=None
    ):
        self._hosts = list(hosts)
        self._service = service
        self._client = client
        self.rate = rate
        self._make_request = make or (lambda number: ("GET", f"/{number}", b"", {}))
        self._random = Random(seed)
        self._timeout = timeout
        self._clock = SystemClock()
        self._lookup = None
        self._idle = {}
        self._avoid_until = {}
        self._stopping = False
        self._thread = threading.Thread(target=run, args=(self._run,), daemon=True)
        self.results = []

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self.stop()

    def stop(self):
        """Stop sending and wait for requests in flight."""
        self._stopping = True
        self._thread.join()

    def count(self, since=0.0):
        """Return the number of results by status, for requests sent after ``since``."""
        return Counter(
            result.status for result in self.results if result.sent_at >= since
        )

    def latency(self, quantile, since=0.0, until=float("inf")):
        """Return a quantile of the latency of successful requests, in seconds."""
        served = sorted(
            result.seconds
            for result in self.results
            if result.status == 200 and since <= result.sent_at < until
        )
        if not served:
            return float("nan")
        return served[min(len(served) - 1, int(quantile * len(served)))]

    async def _run(self):
        number = 0
        async with TaskGroup() as group:
            next_at = self._clock.now()
            while not self._stopping:
                next_at += self._random.expovariate(self.rate)
                await sleep(max(0.0, next_at - self._clock.now()))
                await group.spawn(self._request, number, daemon=False)
                number += 1
        for streams in self._idle.values():
            for stream in streams:
                await stream.close()

    async def _request(self, number):
        method, path, body, headers = self._make_request(number)
        started, sent_at = self._clock.now(), time.time()
        status, run_status, target, code = None, None, None, 0
        try:
            response = await self._send_to_any(method, path, body, headers)
            status = response.status
            run_status = response.headers.get("heathercleat-run")
            target = response.headers.get("heathercleat-target")
            code = int(response.headers.get("heathercleat-code", 0))
        except (TimeoutError, *CONNECTION_ERRORS):
            self._lookup = None
        self.results.append(
            Result(
                sent_at,
                self._clock.now() - started,
                status,
                run_status,
                target,
                headers.get("idempotency-key"),
                code,
            )
        )

    async def _send_to_any(self, method, path, body, headers):
        """Send to the preferred entry VM; retry a failed GET at the others."""
        last_error = None
        for vm in await self._rank_vms():
            try:
                return await self._send(vm, method, path, body, headers)
            except (TimeoutError, *CONNECTION_ERRORS) as error:
                last_error = error
                self._avoid_until[vm["vm"]] = self._clock.now() + FAILED_VM_SECONDS
                if method != "GET":
                    break
        raise last_error

    async def _rank_vms(self):
        """Return the entry VMs in order of preference.

        Recently failed ones are last; VMs of the preferred failure domain precede
        others, each in random order by weight.
        """
        lookup = self._lookup
        if lookup is None or lookup["expires_at"] < time.time():
            self._lookup = lookup = await self._look_up()
        preferred_domain = lookup["vms"][0]["failure_domain"]
        now = self._clock.now()

        def rank(vm):
            is_avoided = self._avoid_until.get(vm["vm"], 0.0) > now
            random_rank = self._random.random() ** (1 / (vm["weight"] or 0.01))
            return is_avoided, vm["failure_domain"] != preferred_domain, -random_rank

        return sorted(lookup["vms"], key=rank)

    async def _look_up(self):
        query = f"/lookup?service={self._service}"
        if self._client:
            query += f"&client={self._client}"
        for host in self._hosts:
            try:
                deadline = self._clock.now() + LOOKUP_SECONDS
                port = PORTS["caller"]
                stream = await connect(host, port, deadline, self._clock)
                try:
                    exchanging = exchange(
                        stream, Message(path=query), MAX_RESPONSE_BYTES
                    )
                    response = await with_deadline(deadline, self._clock, exchanging)
                finally:
                    await stream.close()
                if response.status == 200:
                    return json.loads(response.body)
            except (TimeoutError, *CONNECTION_ERRORS):
                continue
        raise EOFError("no entry VM responded to a look-up")

    async def _send(self, vm, method, path, body, headers):
        deadline = self._clock.now() + self._timeout
        address = vm["address"], vm["port"]
        idle = self._idle.setdefault(address, [])
        stream = None
        while idle and stream is None:
            stream = idle.pop()
            if not stream.is_clean():
                await stream.close()
                stream = None
        if stream is None:
            stream = await connect(*address, deadline, self._clock)
        message = Message(
            method=method,
            path=f"/s/{self._service}{path}",
            headers=headers,
            body=body,
        )
        reusable = False
        try:
            exchanging = exchange(stream, message, MAX_RESPONSE_BYTES)
            response = await with_deadline(deadline, self._clock, exchanging)
            reusable = stream.next_cycle() and len(idle) < MAX_IDLE_CONNECTIONS
            return response
        finally:
            if reusable:
                idle.append(stream)
            else:
                await stream.close()
