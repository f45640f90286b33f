"""Baseline load balancer for the benchmarks."""

import msgpack
from curio import sleep, spawn

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    Message,
    connect,
    exchange,
    with_deadline,
)
from standins.load import MAX_RESPONSE_BYTES, Load

POLL_SECONDS = 0.2
BALANCER_COUNT = 12


class PowerOfTwoChoices(Load):
    """Power of two choices (Mitzenmacher, 2001) over stale load reports.

    Several balancers without shared state poll the targets and send directly to the
    less loaded of two random ones.

    :param targets: ``{name: (host, port, slots)}``.
    """

    def __init__(self, targets, rate, seed=1, timeout=10.0):
        super().__init__([], "", rate, seed=seed, timeout=timeout)
        self._targets = targets
        self._views = [dict.fromkeys(targets, 0) for _ in range(BALANCER_COUNT)]
        self._polling = False

    async def _send_to_any(self, method, path, body, headers):
        if not self._polling:
            self._polling = True
            for view in self._views:
                await spawn(self._poll, view, daemon=True)
        view = self._random.choice(self._views)
        names = self._random.sample(sorted(self._targets), 2)
        name = min(names, key=view.__getitem__)
        view[name] += 1
        host, port, _ = self._targets[name]
        return await self._send(
            {"address": host, "port": port}, method, path, body, headers
        )

    async def _poll(self, view):
        while not self._stopping:
            for name, (host, port, _) in self._targets.items():
                view[name] = await self._load_of(host, port, view[name])
            await sleep(POLL_SECONDS)

    async def _load_of(self, host, port, previous):
        deadline = self._clock.now() + 1.0
        try:
            stream = await connect(host, port, deadline, self._clock)
            try:
                request = exchange(stream, Message(path="/load"), MAX_RESPONSE_BYTES)
                response = await with_deadline(deadline, self._clock, request)
            finally:
                await stream.close()
        except (TimeoutError, *CONNECTION_ERRORS):
            return previous
        return msgpack.unpackb(response.body)["in_flight"]
