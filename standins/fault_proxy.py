"""TCP proxy on loopback that injects network faults between processes under test.

It forwards each named link, ``NAME=HOST:PORT>HOST:PORT``. A JSON object
``{NAME: {...}}`` sent to ``POST /switch`` sets the faults of a link:

- ``delay_s``: seconds by which each chunk of data is delayed;
- ``cut``: ``up`` (towards the server), ``down`` or ``both``: stalls data in that
  direction on existing and new connections until it is unset;
- ``refuse``: whether new connections are reset;
- ``reset``: resets the open connections;
- ``silence``: stalls the open connections permanently; new ones are not affected.

``GET /counts`` returns the number of connections that each link has forwarded.
"""

import json
import socket
import struct
from argparse import ArgumentParser

import h11
from curio import TaskGroup, open_connection, run, sleep, tcp_server

from heathercleat.connection.http import HttpStream, Message, serve_requests

CHUNK_BYTES = 1 << 16
#: Seconds between checks whether a stalled direction may send again.
POLL_SECONDS = 0.02
#: ``SO_LINGER`` with zero seconds: closing sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_BODY_BYTES = 1 << 20
UP, DOWN, BOTH = "up", "down", "both"


class Link:
    """A listening address, the server behind it, and the injected faults.

    :param listen: ``(host, port)`` for clients.
    :param server: ``(host, port)`` to which connections are forwarded.
    """

    def __init__(self, name, listen, server):
        self.name = name
        self.listen = listen
        self.count = 0
        self._server = server
        self._delay = 0.0
        self._cut = None
        self._refuse = False
        self._connections = set()

    async def set_faults(
        self, delay_s=None, cut="", refuse=None, reset=False, silence=False
    ):
        """Set faults; an argument left out changes nothing.

        :param cut: ``None`` ends a stall.
        """
        if delay_s is not None:
            self._delay = delay_s
        if cut != "":
            self._cut = cut
        if refuse is not None:
            self._refuse = refuse
        for proxied in list(self._connections):
            proxied.is_stalled = proxied.is_stalled or silence
            if reset:
                await proxied.reset()

    async def forward(self, sock, address):
        """Forward one connection until either side closes it."""
        if self._refuse:
            await _reset(sock)
            return
        try:
            # The source address identifies the link to the server.
            server = await open_connection(
                *self._server, source_addr=(self.listen[0], 0)
            )
        except OSError:
            await _reset(sock)
            return
        self.count += 1
        proxied = ProxiedConnection(sock, server)
        self._connections.add(proxied)
        try:
            async with server, TaskGroup(wait=any) as group:
                await group.spawn(self._forward_data, proxied, sock, server, UP)
                await group.spawn(self._forward_data, proxied, server, sock, DOWN)
        finally:
            self._connections.discard(proxied)

    async def _forward_data(self, proxied, source, destination, direction):
        """Forward data in one direction until end of file."""
        try:
            while data := await source.recv(CHUNK_BYTES):
                await sleep(self._delay)
                while proxied.is_stalled or self._cut in (direction, BOTH):
                    await sleep(POLL_SECONDS)
                await destination.sendall(data)
        except OSError:
            # Propagate the failure of one side to the other.
            await proxied.reset()


class ProxiedConnection:
    """The client and server sockets of one forwarded connection."""

    __slots__ = ("_sockets", "is_stalled")

    def __init__(self, *sockets):
        self._sockets = sockets
        self.is_stalled = False

    async def reset(self):
        """Reset both sockets."""
        for sock in self._sockets:
            await _reset(sock)


async def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        # Wakes the task in recv(), which then closes the socket.
        await sock.shutdown(socket.SHUT_RD)
    except OSError:
        # The peer has already closed it.
        return


class Control:
    """The HTTP control interface of the proxy.

    :param links: the :class:`Link` of each name.
    """

    def __init__(self, links):
        self._links = links

    async def serve(self, sock, address):
        """Serve control requests on one connection."""
        stream = HttpStream(sock, h11.SERVER)
        await serve_requests(stream, self._handle, MAX_BODY_BYTES)

    async def _handle(self, message):
        if message.path == "/switch":
            for name, faults in json.loads(message.body).items():
                await self._links[name].set_faults(**faults)
        counts = {name: link.count for name, link in self._links.items()}
        return Message(body=json.dumps(counts).encode())


def parse_link(spec):
    """Return the :class:`Link` of ``NAME=HOST:PORT>HOST:PORT``."""
    name, _, addresses = spec.partition("=")
    listen, _, server = addresses.partition(">")
    return Link(name, parse_address(listen), parse_address(server))


def parse_address(text):
    """Return ``(host, port)`` of ``HOST:PORT``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def serve_all(control, links):
    """Serve the control interface and every link."""
    links_by_name = {link.name: link for link in links}
    async with TaskGroup() as group:
        await group.spawn(tcp_server, *control, Control(links_by_name).serve)
        for link in links:
            await group.spawn(tcp_server, *link.listen, link.forward)


def main():
    """Run the proxy until killed."""
    parser = ArgumentParser(description=main.__doc__)
    parser.add_argument("control", type=parse_address, metavar="HOST:PORT")
    parser.add_argument("links", nargs="+", type=parse_link, metavar="LINK")
    args = parser.parse_args()
    run(serve_all, args.control, args.links)


if __name__ == "__main__":
    main()
