"""Idle connections to VMs of other regions, opened in advance.

Opening a connection on demand would add a round trip between regions to the request.
"""

from curio import TaskGroup, sleep

from heathercleat.connection.http import before

INTERVAL = 0.25
#: Maximum idle connections to each VM, and to all VMs together.
IDLE_EACH = 4
IDLE_TOTAL = 48
CONNECT_TIMEOUT_SECONDS = 1.0


class WarmConnections:
    """Keeps idle connections to the VMs of other regions.

    :param pool: the connection pool for other VMs.
    :param partners: returns the VMs of any region that may get forwarded requests; an
        empty list while this VM has no clients.
    :param region: the region of this VM.
    :param port: the port on which VMs accept forwarded requests.
    """

    def __init__(self, pool, partners, region, port, clock):
        self._pool = pool
        self._partners = partners
        self._region = region
        self._port = port
        self._clock = clock

    async def run(self):
        """Open missing connections until cancelled."""
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
            stream = await before(deadline, self._clock, checkout)
        except (OSError, TimeoutError):
            # The failure detector reports unreachable VMs.
            return
        await self._pool.add_unused(ip, self._port, stream)
