"""Connections to VMs of other regions that are open before they are needed.

Opening one costs a round trip: on a link of 55 ms one way it doubles the 110 ms that a
request needs there and back, and makes it late.
"""

from curio import TaskGroup, sleep

from heathercleat.connection.http import with_deadline

INTERVAL = 0.25
#: Idle connections kept to each VM, and to all of them together in a large fleet.
IDLE_EACH = 4
IDLE_TOTAL = 48
CONNECT_TIMEOUT_SECONDS = 1.0


class WarmConnections:
    """Keeps idle connections to the VMs of other regions.

    :param pool: connections to other VMs.
    :param partners: returns the VMs whose room is known here, in any region; none
        where this VM carries no requests. 168 of 195 VMs carry none, and would each
        open twelve connections every eight seconds to those that do.
    :param region: the region of this VM.
    :param port: the port on which VMs take forwarded requests.
    """

    def __init__(self, pool, partners, region, port, clock):
        self._pool = pool
        self._partners = partners
        self._region = region
        self._port = port
        self._clock = clock

    async def run(self):
        """Open what is missing until cancelled."""
        while True:
            far = [each for each in self._partners() if each.region != self._region]
            if far:
                await self._fill(far, max(1, min(IDLE_EACH, IDLE_TOTAL // len(far))))
            await sleep(INTERVAL)

    async def _fill(self, members, wanted):
        async with TaskGroup() as group:
            for member in members:
                missing = wanted - self._pool.idle_count(member.ip, self._port)
                for _ in range(missing):
                    await group.spawn(self._open, member.ip)

    async def _open(self, ip):
        deadline = self._clock.now() + CONNECT_TIMEOUT_SECONDS
        try:
            checkout = self._pool.checkout(ip, self._port, fresh=True)
            stream = await with_deadline(deadline, self._clock, checkout)
        except (OSError, TimeoutError):
            # A VM that cannot be reached falls silent, and that is logged.
            return
        await self._pool.add_unused(ip, self._port, stream)
