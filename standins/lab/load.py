"""An open load of requests on steering VMs, with clients that come back once."""

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
#: Seconds for which a client keeps a look-up, and that it waits for one.
LOOKUP_SECONDS = 1.0
#: Seconds after which a client without advice comes back.
USUAL_RETURN = 0.1
#: Seconds before its deadline from which a request has run out of time.
LAST_SECONDS = 0.1
#: Attempts of a client: the first one and one repeat.
MOST_ATTEMPTS = 2


class Result:
    """How one request ended; instants are seconds from the start of the load.

    :param status: of the last answer, ``None`` when there was none.
    :param attempts: how many there were.
    :param failed: ids of those that ended otherwise than with a success or a refusal,
        before the deadline.
    """

    __slots__ = (
        "sent_at",
        "domain",
        "seconds",
        "status",
        "attempts",
        "failed",
        "given_up",
    )

    def __init__(self, sent_at, domain, seconds, status, attempts, failed=()):
        self.sent_at = sent_at
        self.domain = domain
        self.seconds = seconds
        self.status = status
        self.attempts = attempts
        self.failed = failed
        #: Whether a target ran one of the failed attempts.
        self.given_up = False


def note_runs(results, runs):
    """Note which failed attempts ran, of the targets' records."""
    ran = {run[0] for run in runs}
    for result in results:
        result.given_up = not ran.isdisjoint(result.failed)


class Load:
    """Sends the requests of a scenario.

    :param fleet: the :class:`SteeringFleet`.
    """

    def __init__(self, fleet, scenario):
        self._fleet = fleet
        self._scenario = scenario
        self._clock = SystemClock()
        self._began_at = 0.0
        self._known = {}
        self.results = []

    def run(self):
        """Send until the scenario's end, and wait for the last answers."""
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
            request = f"{domain}-{number}"
            item = rng.randrange(self._scenario.objects)
            await group.spawn(self._request, domain, request, item, rng)

    async def _request(self, domain, request, item, rng):
        began_at = self._clock.now()
        deadline = began_at + self._scenario.deadline
        status, failed = None, []
        for attempt in range(1, MOST_ATTEMPTS + 1):
            name = f"{request}-{attempt}"
            status, wait = await self._attempt(domain, name, item, deadline, rng)
            if status not in (200, 503) and self._clock.now() < deadline - LAST_SECONDS:
                failed.append(name)
            if status is not None and status != 503:
                break
            if self._clock.now() + wait >= deadline or attempt == MOST_ATTEMPTS:
                break
            await sleep(wait)
        seconds = self._clock.now() - began_at
        sent_at = began_at - self._began_at
        result = Result(sent_at, domain, seconds, status, attempt, failed)
        self.results.append(result)

    async def _attempt(self, domain, request, item, deadline, rng):
        """Return the status, and after how many seconds to come back."""
        remaining = int(1000 * (deadline - self._clock.now()))
        headers = {
            "host": "a.example",
            "request-id": request,
            "deadline-ms": str(max(1, remaining)),
            "cookie": f"Affinity-Key={item}",
        }
        message = Message(path=f"/one/two/{item}", headers=headers)
        try:
            host = rng.choice(await self._look_up(domain))
            response = await self._ask(host, FRONT_PORT, message, deadline)
        except (TimeoutError, *CONNECTION_ERRORS):
            self._known.pop(domain, None)
            return None, USUAL_RETURN
        wait = float(response.headers.get("retry-after", USUAL_RETURN))
        return response.status, wait

    async def _ask(self, host, port, message, deadline):
        """Return the answer to a message on a connection of its own."""
        stream = await connect(host, port, deadline, self._clock)
        try:
            asking = exchange(stream, message, MAX_RESPONSE_BYTES)
            return await with_deadline(deadline, self._clock, asking)
        finally:
            await stream.close()

    async def _look_up(self, domain):
        """Return the hosts that the directory names for a failure domain."""
        known, until = self._known.get(domain, (None, 0.0))
        if self._clock.now() < until:
            return known
        region = self._scenario.failure_domains[domain]
        path = f"/v1/resolve?name=a.example&region={region}&zone={domain}"
        for vm in self._fleet.vms.values():
            deadline = self._clock.now() + LOOKUP_SECONDS
            try:
                message = Message(path=path)
                response = await self._ask(vm.host, READY_PORT, message, deadline)
            except (TimeoutError, *CONNECTION_ERRORS):
                continue
            if response.status == 200:
                addresses = json.loads(response.body)["addresses"]
                hosts = [address.rpartition(":")[0] for address in addresses]
                self._known[domain] = hosts, self._clock.now() + LOOKUP_SECONDS
                return hosts
        raise EOFError("no VM answered a look-up")
