"""The listeners of a VM, and the connections that they accepted."""

import h11
from curio import tcp_server

from heathercleat.connection.http import HttpStream, Message, serve_requests
from heathercleat.events import Event
from heathercleat.platform.endpoints import handle_platform_request
from heathercleat.steering.connection.client import ClientConnection
from heathercleat.steering.connection.forwarded import ForwardedConnection

#: Connections that may wait to be accepted: all clients of a VM that failed at once.
BACKLOG = 1024
MAX_ENTRY_BYTES = 1 << 16


class Listeners:
    """Accepts clients, other VMs, the platform's checks and readers of metrics.

    :param node: the process, as clients' connections use it.
    :param local: tries requests at own targets.
    :param snapshot: returns the :class:`Snapshot` of a followed table.
    :param directory: answers look-ups.
    :param metrics: renders the page of metrics.
    :param metrics_port: its port, or ``None``.
    """

    def __init__(
        self,
        node,
        settings,
        local,
        snapshot,
        directory,
        metrics,
        metrics_port,
        journal,
        clock,
    ):
        self._node = node
        self._settings = settings
        self._local = local
        self._snapshot = snapshot
        self._directory = directory
        self._metrics = metrics
        self._metrics_port = metrics_port
        self._journal = journal
        self._clock = clock
        self._clients = set()
        self._closing = False

    @property
    def is_busy(self):
        """Return whether a client's request is under way or begins to arrive."""
        return any(connection.is_busy for connection in self._clients)

    async def cancel_blocking_requests(self):
        """Give up the requests that keep ready answers from being sent."""
        for connection in list(self._clients):
            await connection.cancel_blocking_requests()

    def close(self):
        """Take no more requests; those under way go on.

        A request that comes on an open connection between the last look at what is
        under way and the end of the process would be passed on and cut.
        """
        self._closing = True
        self.close_idle()

    def close_idle(self):
        """End the connections of clients that have no request under way."""
        for connection in list(self._clients):
            connection.close_idle()

    async def start(self, group):
        """Start to accept connections, with tasks in ``group``."""
        for address, serve in self._places():
            await group.spawn(_listen, address, serve)

    def _places(self):
        """Yield each address and what serves a connection there."""
        settings = self._settings
        yield settings.front, self._serve_client
        yield settings.ready, self._serve_entry
        if str(settings.directory) != str(settings.ready):
            yield settings.directory, self._serve_entry
        yield settings.internal_address(settings.forward_port), self._serve_forwarded
        if self._metrics_port is not None:
            yield settings.internal_address(self._metrics_port), self._serve_metrics

    async def _serve_client(self, sock, address):
        if self._closing:
            return
        connection = ClientConnection(sock, self._node)
        self._clients.add(connection)
        try:
            await self._guard(connection)
        finally:
            self._clients.discard(connection)

    async def _serve_forwarded(self, sock, address):
        connection = ForwardedConnection(
            sock, self._local, self._node.active_requests, self._snapshot, self._clock
        )
        await self._guard(connection)

    async def _guard(self, connection):
        """Serve a connection; an error in it is logged and ends it alone."""
        try:
            await connection.serve()
        except Exception as error:  # noqa: BLE001
            self._journal.write(
                Event.TASK_FAILED, task=type(connection).__name__, reason=repr(error)
            )

    async def _serve_entry(self, sock, address):
        async def handle(message):
            return handle_platform_request(
                message, lambda: self._node.ready, self._directory.lookup
            )

        await serve_requests(HttpStream(sock, h11.SERVER), handle, MAX_ENTRY_BYTES)

    async def _serve_metrics(self, sock, address):
        async def handle(message):
            return Message(body=self._metrics.render())

        await serve_requests(HttpStream(sock, h11.SERVER), handle, MAX_ENTRY_BYTES)


async def _listen(address, serve):
    """Accept connections at an address, a task each."""
    await tcp_server(address.host, address.port, serve, backlog=BACKLOG)
