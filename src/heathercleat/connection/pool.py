"""Kept connections to targets and to other VMs."""

from collections import deque

import h11

from heathercleat.connection.http import HttpStream, open_socket

#: Seconds for which an idle connection is kept.
IDLE_SECONDS = 15.0


class ConnectionLimitError(OSError):
    """A target already has as many connections as it takes."""


class ConnectionPool:
    """Connections by address; one is only kept when nothing on it is uncertain.

    :param source_ip: the local IP number to connect from.
    :param fence: returns the :class:`Fence` in force.
    :param on_open: called with each new socket, or ``None``.
    :param idle_seconds: for how long an idle connection is kept.
    """

    def __init__(
        self, clock, source_ip, fence, on_open=None, idle_seconds=IDLE_SECONDS
    ):
        self._clock = clock
        self._source_ip = source_ip
        self._fence = fence
        self._on_open = on_open
        self._idle_seconds = idle_seconds
        self._idle = {}
        self._open = {}

    def open_count(self, host, port):
        """Return the number of connections to an address, idle ones included."""
        return self._open.get((host, port), 0)

    async def checkout(self, host, port, limit=None, fresh=False, max_age=None):
        """Return a clean connection.

        :param limit: the most connections to this address.
        :param fresh: open a new one, for a request that must not meet a connection
            that the other side is just closing.
        :param max_age: seconds for which a kept connection may have been idle, or
            ``None`` for any time.
        :raises OSError: when no connection can be made.
        """
        await self._fence().wait_if_fenced(host)
        address = (host, port)
        idle = self._idle.setdefault(address, deque())
        await self._drop_old(address, idle)
        while idle and not fresh and _is_recent(idle[-1], max_age, self._clock.now()):
            kept = idle.pop()
            if kept.stream.is_clean():
                return kept.stream
            await self.discard(host, port, kept.stream)
        if limit is not None and self.open_count(host, port) >= limit:
            if not idle:
                raise ConnectionLimitError(f"{host}:{port} has {limit} connections")
            await self.discard(host, port, idle.popleft().stream)
        self._open[address] = self.open_count(host, port) + 1
        try:
            sock = await open_socket(host, port, self._source_ip)
            if self._on_open is not None:
                self._on_open(sock)
            return HttpStream(sock, h11.CLIENT)
        except BaseException:
            self._open[address] -= 1
            raise

    async def checkin(self, host, port, stream, keep_for=None):
        """Keep a connection for later if its last exchange was whole.

        :param keep_for: seconds for which the other side keeps it, if that is known.
        """
        if not stream.next_cycle() or not stream.is_clean():
            await self.discard(host, port, stream)
            return
        now = self._clock.now()
        lasts = self._idle_seconds if keep_for is None else keep_for
        expires_at = now + min(self._idle_seconds, lasts)
        kept = _Kept(stream, now, expires_at)
        self._idle.setdefault((host, port), deque()).append(kept)

    async def add_unused(self, host, port, stream):
        """Keep a connection on which nothing was sent yet."""
        now = self._clock.now()
        kept = _Kept(stream, now, now + self._idle_seconds)
        self._idle.setdefault((host, port), deque()).append(kept)

    def idle_count(self, host, port):
        """Return the number of idle connections to an address."""
        return len(self._idle.get((host, port), ()))

    async def discard(self, host, port, stream):
        """Close a connection for good."""
        self._open[host, port] -= 1
        await stream.close()

    async def close(self):
        """Close every idle connection."""
        for (host, port), idle in self._idle.items():
            while idle:
                await self.discard(host, port, idle.pop().stream)

    async def sweep(self):
        """Close the idle connections whose time is over."""
        for address, idle in list(self._idle.items()):
            await self._drop_old(address, idle)

    async def _drop_old(self, address, idle):
        now = self._clock.now()
        while idle and idle[0].expires_at <= now:
            await self.discard(*address, idle.popleft().stream)


class _Kept:
    """An idle connection, since when and until when it is kept."""

    __slots__ = ("stream", "since", "expires_at")

    def __init__(self, stream, since, expires_at):
        self.stream = stream
        self.since = since
        self.expires_at = expires_at


def _is_recent(kept, max_age, now):
    return max_age is None or now - kept.since <= max_age
