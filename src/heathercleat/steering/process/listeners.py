"""The listeners of a VM and the client connections that they accepted."""

import h11
from curio import tcp_server

from heathercleat.connection.http import HttpStream, Message, serve_requests
from heathercleat.connection.socket_options import limit_buffers
from heathercleat.events import Event
from heathercleat.platform.endpoints import handle_platform_request
from heathercleat.steering.connection.client import ClientConnection
from heathercleat.steering.connection.forwarded import ForwardedConnection

#: Listen backlog, large enough for all clients of a failed VM reconnecting at once.
BACKLOG = 1024
#: Maximum size of readiness checks, lookups and metrics scrapes.
MAX_PLATFORM_REQUEST_BYTES = 1 << 16


class Listeners:
    """Accepts clients, other VMs, readiness checks, lookups and metrics scrapes.

    :param node: the :class:`SteeringNode` that client connections use.
    :param local_dispatcher: the :class:`LocalDispatcher` for requests that other VMs
        forward.
    :param snapshot: returns the :class:`Snapshot` of a followed table.
    :param directory: the :class:`Directory` for lookups.
    :param metrics: the :class:`SteeringMetrics`.
    :param metrics_port: port of the metrics page, or ``None``.
    """

    def __init__(
        self,
        node,
        settings,
        local_dispatcher,
        snapshot,
        directory,
        metrics,
        metrics_port,
        journal,
        clock,
    ):
        self._node = node
        self._settings = settings
        self._local_dispatcher = local_dispatcher
        self._snapshot = snapshot
        self._directory = directory
        self._metrics = metrics
        self._metrics_port = metrics_port
        self._journal = journal
        self._clock = clock
        self._clients = set()
        self._is_closing = False

    @property
    def is_busy(self):
        """Return whether a client request is in progress or partially received."""
        return any(connection.is_busy for connection in self._clients)

    async def cancel_requests_before_ready_responses(self):
        """On each connection, cancel pipelined requests that block ready responses.

        These requests are unfinished while the response to a later one is ready. That
        response can then be sent before the process exits.
        """
        for connection in list(self._clients):
            await connection.cancel_requests_before_ready_responses()

    def close(self):
        """Accept no more client requests; those in progress continue.

        A request accepted just before the process exits could not complete.
        """
        self._is_closing = True
        self.close_idle()

    def close_idle(self):
        """Close the client connections without a request in progress."""
        for connection in list(self._clients):
            connection.close_if_idle()

    async def start(self, group):
        """Start to accept connections, in tasks of ``group``."""
        for address, serve in self._endpoints():
            await group.spawn(_listen, address, serve)

    def _endpoints(self):
        """Yield each listening address and its connection handler."""
        settings = self._settings
        yield settings.front, self._serve_client
        yield settings.ready, self._serve_platform
        if str(settings.directory) != str(settings.ready):
            yield settings.directory, self._serve_platform
        yield settings.internal_address(settings.forward_port), self._serve_forwarded
        if self._metrics_port is not None:
            yield settings.internal_address(self._metrics_port), self._serve_metrics

    async def _serve_client(self, sock, address):
        if self._is_closing:
            return
        self._limit_buffers(sock)
        connection = ClientConnection(sock, self._node, _peer_text(address))
        self._clients.add(connection)
        try:
            await self._serve_logging_errors(connection)
        finally:
            self._clients.discard(connection)

    async def _serve_forwarded(self, sock, address):
        self._limit_buffers(sock)
        is_limited = self._settings.is_contended
        connection = ForwardedConnection(
            sock,
            self._local_dispatcher,
            self._node.active_requests,
            self._snapshot,
            self._clock,
            self._node.body_memory if is_limited else None,
            _peer_text(address),
        )
        await self._serve_logging_errors(connection)

    def _limit_buffers(self, sock):
        if self._settings.is_contended:
            limit_buffers(sock)

    async def _serve_logging_errors(self, connection):
        """Serve a connection; log any error without affecting other connections."""
        try:
            await connection.serve()
        except Exception as error:  # noqa: BLE001
            self._journal.write(
                Event.TASK_FAILED, task=type(connection).__name__, reason=repr(error)
            )

    async def _serve_platform(self, sock, address):
        async def handle(message):
            return handle_platform_request(
                message, lambda: self._node.is_ready, self._directory.lookup
            )

        await serve_requests(
            HttpStream(sock, h11.SERVER), handle, MAX_PLATFORM_REQUEST_BYTES
        )

    async def _serve_metrics(self, sock, address):
        async def handle(message):
            return Message(body=self._metrics.render())

        await serve_requests(
            HttpStream(sock, h11.SERVER), handle, MAX_PLATFORM_REQUEST_BYTES
        )


def _peer_text(address):
    """Return the address of a peer for the log."""
    return address and f"{address[0]}:{address[1]}"


async def _listen(address, serve):
    """Accept connections at an address; serve each one in its own task."""
    await tcp_server(address.host, address.port, serve, backlog=BACKLOG)
