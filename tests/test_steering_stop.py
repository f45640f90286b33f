"""A steering process that stops must close its connections and start no request."""

import socket

from curio import run, sleep, spawn
from curio.io import Socket

from heathercleat.platform.settings import decode_node_settings
from heathercleat.process.logs import Journal
from heathercleat.steering.connection.client import ClientConnection
from heathercleat.steering.process.body_memory import BodyMemory
from heathercleat.steering.process.capacity.run_times import RunTimes
from heathercleat.steering.process.listeners import Listeners
from heathercleat.steering.process.shutdown import Shutdown
from heathercleat.steering.version.routing import Limits
from tests.fakes import ManualClock
from tests.platform_samples import SETTINGS

REQUEST = b"GET / HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\n\r\n"


class FakeNode:
    """Counts the requests that connections start to route."""

    def __init__(self):
        self.clock = ManualClock()
        self.limits = Limits(16 << 10, 1 << 20, 3.0, 15.0)
        self.shutdown = Shutdown(RunTimes(self.clock), lambda: True)
        self.body_memory = BodyMemory(1 << 30)
        self.requests = 0

    @property
    def is_started(self):
        self.requests += 1
        raise EOFError("the request was started")


def make_socket_pair():
    """Return the server's curio socket and the client's blocking socket."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
    client.settimeout(5.0)
    return Socket(server), client


def make_listeners(node):
    settings = decode_node_settings(SETTINGS)
    journal = Journal("vm-1", "north-a")
    return Listeners(node, settings, None, None, None, None, None, journal, node.clock)


async def _close_with_request(node, has_request):
    """Close a connection, optionally with an unread request; return the client."""
    sock, client = make_socket_pair()
    connection = ClientConnection(sock, node)
    task = await spawn(connection.serve)
    await sleep(0)
    if has_request:
        client.sendall(REQUEST)
    connection.close_if_idle()
    await task.join()
    return client


def test_request_that_arrives_during_the_close_is_not_started():
    node = FakeNode()
    client = run(_close_with_request, node, True)
    assert node.requests == 0
    assert client.recv(100) == b""


def test_idle_connection_is_closed():
    node = FakeNode()
    client = run(_close_with_request, node, False)
    assert client.recv(100) == b""


def test_connection_accepted_after_the_close_is_not_served():
    node = FakeNode()
    listeners = make_listeners(node)
    listeners.close()

    async def main():
        sock, client = make_socket_pair()
        client.sendall(REQUEST)
        await listeners._serve_client(sock, None)

    run(main)
    assert node.requests == 0


def test_open_connections_are_closed_with_the_listeners():
    node = FakeNode()
    listeners = make_listeners(node)

    async def main():
        sock, client = make_socket_pair()
        task = await spawn(listeners._serve_client, sock, None)
        await sleep(0)
        listeners.close()
        await task.join()
        return client

    client = run(main)
    assert client.recv(100) == b""
    assert not listeners.is_busy
