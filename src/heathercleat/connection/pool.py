"""Kept connections to targets and to other VMs."""

from collections import deque

import h11

from heathercleat.connection.http import HttpStream, open_socket

#: Seconds for which an idle connection is kept.
IDLE_SECONDS = 15.0


class ConnectionLimitError(OSError):
    """A target already has as many connections as it takes."""


class Pool:
    """Connections by address; one is only kept when nothing on it is uncertain.

    :param source_ip: the local IP number to connect from.
    :param fence: returns the :class:`Fence` in force.
    """

    def __init__(self, clock, source_ip, fence):
        self._clock = clock
        self._source_ip = source_ip
        self._fence = fence
        self._idle = {}
        self._open = {}

    def open_count(self, host, port):
        """Return the number of connections to an address, idle ones included."""
        return self._open.get((host, port), 0)

    async def checkout(self, host, port, limit=None, fresh=False):
        """Return a clean connection.

        :param limit: the most connections to this address.
        :param fresh: open a new one, for a request that must not meet a connection
            that the other side is just closing.
        :raises OSError: when no connection can be made.
        """
        await self._fence().pass_through(host)
        address = (host, port)
        idle = self._idle.setdefault(address, deque())
        await self._drop_old(address, idle)
        while idle and not fresh:
            stream, _ = idle.pop()
            if stream.is_clean():
                return stream
            await self.discard(host, port, stream)
        if limit is not None and self.open_count(host, port) >= limit:
            if not idle:
                raise ConnectionLimitError(f"{host}:{port} has {limit} connections")
            await self.discard(host, port, idle.popleft()[0])
        self._open[address] = self.open_count(host, port) + 1
        try:
            sock = await open_socket(host, port, self._source_ip)
            return HttpStream(sock, h11.CLIENT)
        except BaseException:
            self._open[address] -= 1
            raise

    async def give_back(self, host, port, stream):
        """Keep a connection for later if its last exchange was whole."""
        if not stream.next_cycle() or not stream.is_clean():
            await self.discard(host, port, stream)
            return
        expires_at = self._clock.now() + IDLE_SECONDS
        self._idle.setdefault((host, port), deque()).append((stream, expires_at))

    async def discard(self, host, port, stream):
        """Close a connection for good."""
        self._open[host, port] -= 1
        await stream.close()

    async def close(self):
        """Close every idle connection."""
        for (host, port), idle in self._idle.items():
            while idle:
                await self.discard(host, port, idle.pop()[0])

    async def _drop_old(self, address, idle):
        now = self._clock.now()
        while idle and idle[0][1] <= now:
            await self.discard(*address, idle.popleft()[0])
