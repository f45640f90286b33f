"""Streams of msgpack messages between VMs, and message signatures."""

import hmac
import socket

from curio.errors import CancelledError
from msgpack import Unpacker
from msgpack.exceptions import UnpackException

from heathercleat.connection.messages import decode, encode

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024
NONCE_BYTES = 16


class MessageStream:
    """Sends and receives messages over a connected curio socket."""

    def __init__(self, sock):
        self._sock = sock
        self._unpacker = Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
        self._bytes_sent = 0
        self._bytes_received = 0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def bytes_sent(self):
        """Return the number of bytes sent."""
        return self._bytes_sent

    @property
    def bytes_received(self):
        """Return the number of bytes received."""
        return self._bytes_received

    async def send(self, message):
        """Send a message."""
        data = encode(message)
        self._bytes_sent += len(data)
        await self._sock.sendall(data)

    async def receive(self):
        """Return the next message, or ``None`` when the peer closed the connection.

        :raises ValueError: for malformed data.
        """
        while True:
            try:
                for fields in self._unpacker:
                    return decode(fields)
            except UnpackException as error:
                raise ValueError(f"not msgpack: {error}") from None
            data = await self._sock.recv(RECEIVE_BYTES)
            if not data:
                return None
            self._bytes_received += len(data)
            self._unpacker.feed(data)

    async def call(self, message):
        """Send a message and return the response.

        A cancelled call closes the stream, so that its late response is not attributed
        to a later call.

        :raises EOFError: when the peer closes the connection first.
        """
        try:
            await self.send(message)
            response = await self.receive()
        except CancelledError:
            await self.close()
            raise
        if response is None:
            raise EOFError("the peer closed the connection")
        return response

    async def close(self):
        """Close the connection."""
        await self._sock.close()


def sign(key, *parts):
    """Return the HMAC-SHA256 of ``parts`` (bytes or str) under ``key`` (str)."""
    mac = hmac.new(key.encode(), digestmod="sha256")
    for part in parts:
        data = part if isinstance(part, bytes) else str(part).encode()
        mac.update(len(data).to_bytes(4, "big"))
        mac.update(data)
    return mac.digest()


def verify(keys, signature, *parts):
    """Return whether ``signature`` is valid for ``parts`` under any of ``keys``."""
    return any(hmac.compare_digest(sign(key, *parts), signature) for key in keys)
