"""Pool of HTTP connections to targets and other VMs."""

from collections import deque

import h11

from heathercleat.connection.http import HttpStream, open_socket

#: Default for the longest time that a connection stays idle in the pool.
IDLE_TIMEOUT_SECONDS = 15.0


class ConnectionLimitError(OSError):
    """The connection limit of an address is reached."""


class ConnectionPool:
    """Pool of open connections; reuses those whose last exchange was complete.

    :param source_ip: the local IP address to connect from.
    :param get_fence: function that returns the current :class:`Fence`, the networks to
        which connections are blocked.
    :param on_open: function that is called with each new socket, or ``None``.
    :param idle_seconds: the longest time that a connection stays idle.
    """

    def __init__(
        self,
        clock,
        source_ip,
        get_fence,
        on_open=None,
        idle_seconds=IDLE_TIMEOUT_SECONDS,
    ):
        self._clock = clock
        self._source_ip = source_ip
        self._get_fence = get_fence
        self._on_open = on_open
        self._idle_seconds = idle_seconds
        self._idle = {}
        self._open_counts = {}

    def open_count(self, host, port):
        """Return the number of connections to an address, including idle ones."""
        return self._open_counts.get((host, port), 0)

    async def checkout(self, host, port, limit=None, fresh=False, max_age=None):
        """Return an idle or new connection as an :class:`HttpStream`.

        :param limit: the maximum number of connections to this address, or ``None``.
        :param fresh: open a new connection, to avoid one that the peer is closing.
        :param max_age: the longest idle time of a reused connection, in seconds, or
            ``None`` for any time.
        :raises OSError: when the connection fails or the limit is reached.
        """
        await self._get_fence().wait_if_fenced(host)
        address = (host, port)
        idle = self._idle.setdefault(address, deque())
        await self._close_expired(address, idle)
        while idle and not fresh and _is_recent(idle[-1], max_age, self._clock.now()):
            idle_connection = idle.pop()
            if idle_connection.stream.is_clean():
                return idle_connection.stream
            await self.discard(host, port, idle_connection.stream)
        if limit is not None and self.open_count(host, port) >= limit:
            if not idle:
                raise ConnectionLimitError(f"{host}:{port} has {limit} connections")
            await self.discard(host, port, idle.popleft().stream)
        self._open_counts[address] = self.open_count(host, port) + 1
        try:
            sock = await open_socket(host, port, self._source_ip)
            if self._on_open is not None:
                self._on_open(sock)
            return HttpStream(sock, h11.CLIENT)
        except BaseException:
            self._open_counts[address] -= 1
            raise

    async def checkin(self, host, port, stream, peer_idle_seconds=None):
        """Return a connection to the pool, or close it if it is not reusable.

        :param peer_idle_seconds: the idle timeout of the peer, or ``None``.
        """
        if not stream.next_cycle() or not stream.is_clean():
            await self.discard(host, port, stream)
            return
        now = self._clock.now()
        idle_seconds = (
            self._idle_seconds if peer_idle_seconds is None else peer_idle_seconds
        )
        expires_at = now + min(self._idle_seconds, idle_seconds)
        idle_connection = _IdleConnection(stream, now, expires_at)
        self._idle.setdefault((host, port), deque()).append(idle_connection)

    async def add_unused(self, host, port, stream):
        """Add a connection to the pool on which nothing was sent yet."""
        now = self._clock.now()
        idle_connection = _IdleConnection(stream, now, now + self._idle_seconds)
        self._idle.setdefault((host, port), deque()).append(idle_connection)

    def idle_count(self, host, port):
        """Return the number of idle connections to an address."""
        return len(self._idle.get((host, port), ()))

    async def discard(self, host, port, stream):
        """Close a connection.

        A request without a response is dropped: behind a partition it would otherwise
        arrive when the partition ends, after it was given up.
        """
        self._open_counts[host, port] -= 1
        if stream.awaits_response:
            await stream.reset()
        else:
            await stream.close()

    async def close(self):
        """Close every idle connection."""
        for (host, port), idle in self._idle.items():
            while idle:
                await self.discard(host, port, idle.pop().stream)

    async def sweep(self):
        """Close the idle connections that have expired."""
        for address, idle in list(self._idle.items()):
            await self._close_expired(address, idle)

    async def _close_expired(self, address, idle):
        now = self._clock.now()
        while idle and idle[0].expires_at <= now:
            await self.discard(*address, idle.popleft().stream)


class _IdleConnection:
    """An idle connection; ``idle_since`` and ``expires_at`` are monotonic instants."""

    __slots__ = ("stream", "idle_since", "expires_at")

    def __init__(self, stream, idle_since, expires_at):
        self.stream = stream
        self.idle_since = idle_since
        self.expires_at = expires_at


def _is_recent(idle_connection, max_age, now):
    return max_age is None or now - idle_connection.idle_since <= max_age
