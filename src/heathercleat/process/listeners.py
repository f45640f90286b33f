"""The listening sockets of an entry VM and the open connections of callers."""

from socket import SHUT_RDWR

from curio import TaskGroup, tcp_server_socket
from curio.errors import CancelledError

from heathercleat.connection.caller import CallerConnection
from heathercleat.connection.operator import OperatorService
from heathercleat.events import Event
from heathercleat.process.membership.peer_service import PeerService

BACKLOG = 1024
MAX_CALLER_CONNECTIONS = 4096


class Listeners:
    """Accepts connections on the four ports of a VM; each connection has a task.

    :param vm: the process.
    """

    def __init__(self, vm):
        self._vm = vm
        self._connections = set()
        self._handlers = {}
        self._is_closed = False

    @property
    def connections(self):
        """Return the number of open connections of callers and forwarding VMs."""
        return len(self._connections)

    @property
    def is_busy(self):
        """Return whether any request is in progress."""
        return any(connection.is_busy for connection in self._connections)

    def listen(self):
        """Open the listening sockets.

        :raises OSError: if a port is in use.
        """
        ports = self._vm.settings.ports
        self._handlers = {
            self._open(ports.caller): self._serve_caller,
            self._open(ports.forward): self._serve_forwarded,
            self._open(ports.peer): PeerService(self._vm).serve,
            self._open(ports.operator): OperatorService(self._vm).serve,
        }

    async def run(self):
        """Accept connections on all ports, forever."""
        async with TaskGroup() as group:
            for sock, handle in self._handlers.items():
                await group.spawn(self._accept, sock, handle)

    async def close_to_callers(self):
        """Stop accepting callers and forwarding VMs and close idle connections.

        Requests in progress continue until their deadline at the latest.
        """
        self._is_closed = True
        for sock, handle in self._handlers.items():
            if handle in (self._serve_caller, self._serve_forwarded):
                await sock.shutdown(SHUT_RDWR)
        for connection in self._connections:
            connection.close_if_idle()

    def _open(self, port):
        return tcp_server_socket(self._vm.settings.address, port, backlog=BACKLOG)

    async def _accept(self, sock, handle):
        async with TaskGroup() as group:
            async with sock:
                await self._spawn_accepted(sock, handle, group)

    async def _spawn_accepted(self, sock, handle, group):
        while True:
            try:
                client, address = await sock.accept()
            except OSError:
                if not self._is_closed:
                    raise
                return
            await group.spawn(self._run, handle, client, address)

    async def _run(self, handle, client, address):
        """Handle one connection and log an unexpected error in it."""
        async with client:
            try:
                await handle(client, address)
            except CancelledError:
                raise
            except Exception as error:  # noqa: BLE001
                self._vm.journal.write(
                    Event.TASK_FAILED, task="connection", reason=repr(error)
                )

    async def _serve_caller(self, sock, address):
        if self.connections >= MAX_CALLER_CONNECTIONS:
            return
        await self._track(CallerConnection(self._vm, sock, address))

    async def _serve_forwarded(self, sock, address):
        await self._track(CallerConnection(self._vm, sock, address, forwarded=True))

    async def _track(self, connection):
        self._connections.add(connection)
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)
