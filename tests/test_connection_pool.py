"""Tests of how the pool closes connections to targets and other VMs."""

import h11
import pytest
from curio import run, socket, spawn

from heathercleat.connection.http import (
    HttpStream,
    Message,
    exchange,
    read_request,
    send_response,
)
from heathercleat.connection.pool import ConnectionPool
from heathercleat.process.clock import SystemClock
from heathercleat.process.fence import Fence

HOST = "127.0.0.1"
MAX_BODY_BYTES = 1 << 20


class Peer:
    """A peer that accepts one connection and responds to its first request or not."""

    def __init__(self, responds):
        self._responds = responds
        self._listener = socket.socket()
        self._listener.bind((HOST, 0))
        self._listener.listen()
        self.port = self._listener.getsockname()[1]

    async def serve(self):
        """Return how the connection ended: closed or reset."""
        sock, _ = await self._listener.accept()
        stream = HttpStream(sock, h11.SERVER)
        if self._responds:
            await read_request(stream, MAX_BODY_BYTES)
            await send_response(stream, Message())
        try:
            while await sock.recv(MAX_BODY_BYTES):
                pass
        except ConnectionResetError:
            return "reset"
        finally:
            await sock.close()
            await self._listener.close()
        return "closed"


def make_pool():
    fence = Fence()
    return ConnectionPool(SystemClock(), HOST, lambda: fence)


async def send_request(stream):
    request = h11.Request(method="GET", target="/", headers=[("host", "a")])
    await stream.send(request, h11.EndOfMessage())


async def discard_without_response(pool, port):
    stream = await pool.checkout(HOST, port)
    await send_request(stream)
    await pool.discard(HOST, port, stream)


async def discard_after_response(pool, port):
    stream = await pool.checkout(HOST, port)
    await exchange(stream, Message(), MAX_BODY_BYTES)
    await pool.discard(HOST, port, stream)


async def discard_unused(pool, port):
    await pool.discard(HOST, port, await pool.checkout(HOST, port))


@pytest.mark.parametrize(
    "use, responds, expected",
    [
        (discard_without_response, False, "reset"),
        (discard_after_response, True, "closed"),
        (discard_unused, False, "closed"),
    ],
)
def test_only_a_request_without_response_is_dropped(use, responds, expected):
    async def main():
        peer = Peer(responds)
        serving = await spawn(peer.serve)
        await use(make_pool(), peer.port)
        return await serving.join()

    assert run(main) == expected
