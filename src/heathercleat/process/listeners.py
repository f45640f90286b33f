"""The listeners of an entry VM, and the connections of callers under way."""

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

    @property
    def connections(self):
        """Return the number of connections of callers and of VMs that forward."""
        return len(self._connections)

    @property
    def busy(self):
        """Return whether any request is under way."""
        return any(connection.busy for connection in self._connections)

    async def start(self, group):
        """Listen on every port, with the accepting tasks in ``group``."""
        ports = self._vm.settings.ports
        for port, handle in (
            (ports.caller, self._serve_caller),
            (ports.forward, self._serve_forwarded),
            (ports.peer, PeerService(self._vm).serve),
            (ports.operator, OperatorService(self._vm).serve),
        ):
            host = self._vm.settings.address
            sock = tcp_server_socket(host, port, backlog=BACKLOG)
            await group.spawn(self._accept, sock, handle)

    async def _accept(self, sock, handle):
        async with sock:
            async with TaskGroup() as group:
                while True:
                    client, address = await sock.accept()
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
