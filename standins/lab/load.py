"""Open-loop load on steering VMs; each client retries once."""

import json
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
from standins.steering_fleet import FRONT_PORT, READY_PORT

MAX_RESPONSE_BYTES = 1 << 20
#: TTL of a cached look-up, and the timeout of a look-up.
LOOKUP_SECONDS = 1.0
#: Delay of a retry without a Retry-After header.
DEFAULT_RETRY_SECONDS = 0.1
#: Seconds before its deadline from which a failed attempt counts as timed out.
TIMED_OUT_MARGIN_SECONDS = 0.1
#: The first attempt and one retry.
MAX_ATTEMPTS = 2


class Result:
    """The result of one request.

    :param sent_at: seconds from the start of the load.
    :param domain: failure domain of the client, or the use of a persistent connection.
    :param status: of the last response; ``None`` without one.
    :param attempts: number of attempts.
    :param failed: ids of attempts that failed before the deadline and were not refused.
    """

    __slots__ = (
        "sent_at",
        "domain",
        "seconds",
        "status",
        "attempts",
        "failed",
        "is_abandoned",
    )

    def __init__(self, sent_at, domain, seconds, status, attempts, failed=()):
        self.sent_at = sent_at
        self.domain = domain
        self.seconds = seconds
        self.status = status
        self.attempts = attempts
        self.failed = failed
        #: Whether a failed attempt ran at a target.
        self.is_abandoned = False


def mark_abandoned(results, runs):
    """Mark the results with failed attempts that ran.

    :param runs: the targets' run records.
    """
    ran = {run[0] for run in runs}
    for result in results:
        result.is_abandoned = not ran.isdisjoint(result.failed)


class Load:
    """Sends the requests of a scenario.

    :param fleet: the :class:`SteeringFleet`.
    """

    def __init__(self, fleet, scenario):
        self._fleet = fleet
        self._scenario = scenario
        self._clock = SystemClock()
        self._began_at = 0.0
        self._lookups = {}
        self.results = []

    def run(self):
        """Send until the end of the scenario, and wait for the last responses."""
        run(self._run)

    async def _run(self):
        self._began_at = self._clock.now()
        async with TaskGroup() as group:
            for domain, rate in self._scenario.clients.items():
                await group.spawn(self._arrivals, group, domain, rate)

    async def _arrivals(self, group, domain, rate):
        rng = Random(f"{self._scenario.seed} {domain}")
        at = self._began_at
        number = 0
        while True:
            at += rng.expovariate(rate)
            if at >= self._began_at + self._scenario.length:
                return
            await sleep(max(0.0, at - self._clock.now()))
            number += 1
            request_id = f"{domain}-{number}"
            object_key = rng.randrange(self._scenario.objects)
            await group.spawn(self._request, domain, request_id, object_key, rng)

    async def _request(self, domain, request_id, object_key, rng):
        began_at = self._clock.now()
        deadline = began_at + self._scenario.deadline
        status, failed = None, []
        for attempt in range(1, MAX_ATTEMPTS + 1):
            attempt_id = f"{request_id}-{attempt}"
            status, wait = await self._attempt(
                domain, attempt_id, object_key, deadline, rng
            )
            if (
                status not in (200, 503)
                and self._clock.now() < deadline - TIMED_OUT_MARGIN_SECONDS
            ):
                failed.append(attempt_id)
            if status is not None and status != 503:
                break
            if self._clock.now() + wait >= deadline or attempt == MAX_ATTEMPTS:
                break
            await sleep(wait)
        seconds = self._clock.now() - began_at
        sent_at = began_at - self._began_at
        result = Result(sent_at, domain, seconds, status, attempt, failed)
        self.results.append(result)

    async def _attempt(self, domain, attempt_id, object_key, deadline, rng):
        """Return the status, and the delay of a retry in seconds."""
        remaining = int(1000 * (deadline - self._clock.now()))
        headers = {
            "host": "a.example",
            "request-id": attempt_id,
            "deadline-ms": str(max(1, remaining)),
            "cookie": f"Affinity-Key={object_key}",
        }
        message = Message(path=f"/one/two/{object_key}", headers=headers)
        try:
            host = rng.choice(await self._look_up(domain))
            response = await self._exchange(host, FRONT_PORT, message, deadline)
        except (TimeoutError, *CONNECTION_ERRORS):
            self._lookups.pop(domain, None)
            return None, DEFAULT_RETRY_SECONDS
        wait = float(response.headers.get("retry-after", DEFAULT_RETRY_SECONDS))
        return response.status, wait

    async def _exchange(self, host, port, message, deadline):
        """Send a message on a new connection and return the response."""
        stream = await connect(host, port, deadline, self._clock)
        try:
            exchanging = exchange(stream, message, MAX_RESPONSE_BYTES)
            return await with_deadline(deadline, self._clock, exchanging)
        finally:
            await stream.close()

    async def _look_up(self, domain):
        """Return the hosts from a look-up, cached for :data:`LOOKUP_SECONDS`."""
        cached_hosts, expires_at = self._lookups.get(domain, (None, 0.0))
        if self._clock.now() < expires_at:
            return cached_hosts
        region = self._scenario.failure_domains[domain]
        path = f"/v1/resolve?name=a.example&region={region}&zone={domain}"
        for vm in self._fleet.vms.values():
            deadline = self._clock.now() + LOOKUP_SECONDS
            try:
                message = Message(path=path)
                response = await self._exchange(vm.host, READY_PORT, message, deadline)
            except (TimeoutError, *CONNECTION_ERRORS):
                continue
            if response.status == 200:
                addresses = json.loads(response.body)["addresses"]
                hosts = [address.rpartition(":")[0] for address in addresses]
                self._lookups[domain] = hosts, self._clock.now() + LOOKUP_SECONDS
                return hosts
        raise EOFError("no VM responded to a look-up")
