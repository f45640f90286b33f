"""The listeners of an entry VM, and the connections of callers under way."""

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
    """Accepts connections on the four ports of a VM, one task for each.

    :param vm: the process that serves them.
    """

    def __init__(self, vm):
        self._vm = vm
        self._connections = set()
        self._handlers = {}
        self._closed = False

    @property
    def connections(self):
        """Return the number of connections of callers and of VMs that forward."""
        return len(self._connections)

    @property
    def is_busy(self):
        """Return whether any request is under way."""
        return any(connection.is_busy for connection in self._connections)

    def listen(self):
        """Open every port.

        :raises OSError: when one is taken.
        """
        ports = self._vm.settings.ports
        self._handlers = {
            self._open(ports.caller): self._serve_caller,
            self._open(ports.forward): self._serve_forwarded,
            self._open(ports.peer): PeerService(self._vm).serve,
            self._open(ports.operator): OperatorService(self._vm).serve,
        }

    async def run(self):
        """Accept connections on every port."""
        async with TaskGroup() as group:
            for sock, handle in self._handlers.items():
                await group.spawn(self._accept, sock, handle)

    async def close_to_callers(self):
        """Refuse new connections of callers and of VMs that forward; close idle ones.

        Requests under way go on: each ends by its deadline.
        """
        self._closed = True
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
                if not self._closed:
                    raise
                return
            await group.spawn(self._run, handle, client, address)

    async def _run(self, handle, client, address):
        """Run one connection; an error in it costs no other connection anything."""
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
