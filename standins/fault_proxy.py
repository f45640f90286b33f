"""Loopback proxy that harms the TCP connections between processes under test.

It listens for named links, ``NAME=HOST:PORT>HOST:PORT``, and passes bytes on. A JSON
map ``{NAME: {...}}`` sent to ``POST /switch`` sets the faults of a link:

- ``delay_s``: seconds by which each piece of data is held up;
- ``cut``: ``up`` (towards the server), ``down`` or ``both``: bytes in that direction
  are held back for as long as it is set, on connections of before and after;
- ``refuse``: whether new connections are reset;
- ``reset``: reset the connections that are open now;
- ``silence``: the connections that are open now never carry another byte, while new
  ones work.

``GET /counts`` tells how many connections each link has carried.
"""

import json
import socket
import struct
from argparse import ArgumentParser

import h11
from curio import TaskGroup, open_connection, run, sleep, tcp_server

from heathercleat.connection.http import HttpStream, Message, serve_requests

CHUNK_BYTES = 1 << 16
#: Seconds between two looks at a direction that is cut.
POLL_SECONDS = 0.02
#: ``SO_LINGER`` with zero seconds: closing sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_SWITCH_BYTES = 1 << 20
UP, DOWN, BOTH = "up", "down", "both"


class Link:
    """A listening address, the address that it leads to, and the faults between.

    :param listen: ``(host, port)`` for clients.
    :param server: ``(host, port)`` that connections lead to.
    """

    def __init__(self, name, listen, server):
        self.name = name
        self.listen = listen
        self.count = 0
        self._server = server
        self._delay = 0.0
        self._cut = None
        self._refuse = False
        self._carriers = set()

    async def switch(
        self, delay_s=None, cut="", refuse=None, reset=False, silence=False
    ):
        """Set faults; what is left out stays as it is.

        :param cut: ``None`` ends a cut.
        """
        if delay_s is not None:
            self._delay = delay_s
        if cut != "":
            self._cut = cut
        if refuse is not None:
            self._refuse = refuse
        for carrier in list(self._carriers):
            carrier.silent = carrier.silent or silence
            if reset:
                await carrier.reset()

    async def carry(self, sock, address):
        """Carry one connection until either side ends it."""
        if self._refuse:
            await _reset(sock)
            return
        try:
            # The server sees the link's own address, so that it can tell links apart.
            server = await open_connection(
                *self._server, source_addr=(self.listen[0], 0)
            )
        except OSError:
            await _reset(sock)
            return
        self.count += 1
        carrier = Carrier(sock, server)
        self._carriers.add(carrier)
        try:
            async with server, TaskGroup(wait=any) as group:
                await group.spawn(self._pump, carrier, sock, server, UP)
                await group.spawn(self._pump, carrier, server, sock, DOWN)
        finally:
            self._carriers.discard(carrier)

    async def _pump(self, carrier, source, sink, direction):
        """Pass bytes on in one direction until it ends."""
        try:
            while data := await source.recv(CHUNK_BYTES):
                await sleep(self._delay)
                while carrier.silent or self._cut in (direction, BOTH):
                    await sleep(POLL_SECONDS)
                await sink.sendall(data)
        except OSError:
            # A connection that broke on one side is reset on the other.
            await carrier.reset()


class Carrier:
    """The two sockets of one connection."""

    __slots__ = ("_sockets", "silent")

    def __init__(self, *sockets):
        self._sockets = sockets
        self.silent = False

    async def reset(self):
        """Make both sides see a reset."""
        for sock in self._sockets:
            await _reset(sock)


async def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        # Wakes up the task that waits for data, which then closes the socket.
        await sock.shutdown(socket.SHUT_RD)
    except OSError:
        # The other side has closed it already.
        return


class Control:
    """The HTTP interface of the proxy.

    :param links: the :class:`Link` of each name.
    """

    def __init__(self, links):
        self._links = links

    async def serve(self, sock, address):
        """Answer requests on one connection."""
        stream = HttpStream(sock, h11.SERVER)
        await serve_requests(stream, self._answer, MAX_SWITCH_BYTES)

    async def _answer(self, message):
        if message.path == "/switch":
            for name, faults in json.loads(message.body).items():
                await self._links[name].switch(**faults)
        counts = {name: link.count for name, link in self._links.items()}
        return Message(body=json.dumps(counts).encode())


def parse_link(spec):
    """Return the :class:`Link` of ``NAME=HOST:PORT>HOST:PORT``."""
    name, _, places = spec.partition("=")
    listen, _, server = places.partition(">")
    return Link(name, parse_place(listen), parse_place(server))


def parse_place(text):
    """Return ``(host, port)`` of ``HOST:PORT``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def serve_all(control, links):
    """Serve the control address and every link."""
    named = {link.name: link for link in links}
    async with TaskGroup() as group:
        await group.spawn(tcp_server, *control, Control(named).serve)
        for link in links:
            await group.spawn(tcp_server, *link.listen, link.carry)


def main():
    """Run the proxy until killed."""
    parser = ArgumentParser(description=main.__doc__)
    parser.add_argument("control", type=parse_place, metavar="HOST:PORT")
    parser.add_argument("links", nargs="+", type=parse_link, metavar="LINK")
    args = parser.parse_args()
    run(serve_all, args.control, args.links)


if __name__ == "__main__":
    main()
