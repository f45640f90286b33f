"""Idle connections to VMs of other regions, opened in advance.

Opening a connection on demand would add a round trip between regions to the request.
"""

from curio import TaskGroup, sleep

from heathercleat.connection.http import with_deadline

#: Seconds between two checks for missing connections.
CHECK_SECONDS = 0.25
#: Maximum idle connections to each VM, and to all VMs together.
MAX_IDLE_PER_VM = 4
MAX_IDLE_TOTAL = 48
CONNECT_TIMEOUT_SECONDS = 1.0


class WarmConnections:
    """Keeps idle connections to the VMs of other regions.

    :param pool: the connection pool for other VMs.
    :param peers: returns the VMs of any region that may get forwarded requests; an
        empty list while this VM has no clients.
    :param region: the region of this VM.
    :param port: the port on which VMs accept forwarded requests.
    """

    def __init__(self, pool, peers, region, port, clock):
        self._pool = pool
        self._peers = peers
        self._region = region
        self._port = port
        self._clock = clock

    async def run(self):
        """Open missing connections until cancelled."""
        while True:
            remote = [each for each in self._peers() if each.region != self._region]
            if remote:
                await self._open_missing(
                    remote, max(1, min(MAX_IDLE_PER_VM, MAX_IDLE_TOTAL // len(remote)))
                )
            await sleep(CHECK_SECONDS)

    async def _open_missing(self, members, idle_per_vm):
        async with TaskGroup() as group:
            for member in members:
                missing = idle_per_vm - self._pool.idle_count(member.ip, self._port)
                for _ in range(missing):
                    await group.spawn(self._open, member.ip)

    async def _open(self, ip):
        deadline = self._clock.now() + CONNECT_TIMEOUT_SECONDS
        try:
            checkout = self._pool.checkout(ip, self._port, fresh=True)
            stream = await with_deadline(deadline, self._clock, checkout)
        except (OSError, TimeoutError):
            # Unreachable VMs are detected by their missing heartbeats.
            return
        await self._pool.add_unused(ip, self._port, stream)
