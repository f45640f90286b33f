"""HTTP/1.1 over a curio socket, framed by h11 on both sides."""

import socket
from dataclasses import dataclass, field

import h11
from curio import timeout_after
from curio.errors import TaskTimeout
from curio.io import Socket

MAX_HEADER_BYTES = 16 * 1024
RECEIVE_BYTES = 64 * 1024
CONNECTION_ERRORS = (OSError, h11.ProtocolError, EOFError)


class HttpStream:
    """One HTTP connection.

    :param sock: a connected curio socket.
    :param role: ``h11.SERVER`` or ``h11.CLIENT``.
    :param header_bytes: the largest head that is read.
    """

    def __init__(self, sock, role, header_bytes=MAX_HEADER_BYTES):
        self._sock = sock
        self._role = role
        self._header_bytes = header_bytes
        self._conn = self._new_connection()
        self._bytes_sent = 0
        self._body_started = False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def socket(self):
        """Return the curio socket."""
        return self._sock

    @property
    def bytes_sent(self):
        """Return the number of bytes handed to the kernel on this connection."""
        return self._bytes_sent

    @property
    def has_body_started(self):
        """Return whether a part of the current message's body was read."""
        return self._body_started

    @property
    def has_partial_head(self):
        """Return whether a part of the next message's head was read."""
        return bool(self._conn.trailing_data[0])

    @property
    def can_respond(self):
        """Return whether a response may still be sent."""
        states = (h11.IDLE, h11.SEND_RESPONSE)
        return self._conn.our_state in states

    @property
    def is_request_complete(self):
        """Return whether the other side has sent its whole message."""
        return self._conn.their_state in (h11.DONE, h11.MUST_CLOSE)

    async def next_event(self):
        """Return the next h11 event.

        :raises EOFError: when the other side closed in the middle of a message.
        :raises h11.RemoteProtocolError: when the other side broke the protocol.
        """
        while True:
            event = self._conn.next_event()
            if event is h11.PAUSED:
                raise EOFError("no further message on this connection")
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.Data | h11.EndOfMessage):
                    self._body_started = True
                return event
            if self._conn.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            self._conn.receive_data(await self._sock.recv(RECEIVE_BYTES))

    async def send(self, *events):
        """Send h11 events in one write, waiting while the kernel's buffer is full."""
        data = b"".join([self._conn.send(event) for event in events])
        if data:
            self._bytes_sent += len(data)
            await self._sock.sendall(data)

    async def wait_closed(self):
        """Wait until the other side closes or sends bytes ahead of its turn.

        Bytes that arrive are kept for the next message. Return whether it closed.
        """
        try:
            data = await self._sock.recv(RECEIVE_BYTES)
        except OSError:
            return True
        self._conn.receive_data(data)
        return not data

    def reset_for_response(self, request):
        """Read one more answer to a request whose answer was not meant for it.

        :param request: the h11 events of the request, which are not sent again.
        """
        rest, _ = self._conn.trailing_data
        self._conn = self._new_connection()
        for event in request:
            self._conn.send(event)
        if rest:
            self._conn.receive_data(rest)

    def next_message_stream(self):
        """Return the stream of the next message on this connection, or ``None``.

        The message on this one may still be answered. ``None`` where either side closes
        the connection after it.
        """
        if self._conn.their_state is not h11.DONE:
            return None
        if self._conn.our_state not in (h11.SEND_RESPONSE, h11.DONE):
            return None
        stream = HttpStream(self._sock, self._role, self._header_bytes)
        rest, closed = self._conn.trailing_data
        if rest:
            stream._conn.receive_data(rest)
        if closed:
            stream._conn.receive_data(b"")
        return stream

    def shutdown_write(self):
        """Send no more, so that the other side sees the end after what was sent."""
        try:
            self._sock._socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def _new_connection(self):
        return h11.Connection(self._role, max_incomplete_event_size=self._header_bytes)

    def next_cycle(self):
        """Make the connection ready for another message; return whether it can be."""
        if self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE:
            self._conn.start_next_cycle()
            self._body_started = False
            return True
        return False

    def is_clean(self):
        """Return whether an idle connection is open with nothing unread on it."""
        return not self._conn.trailing_data[0] and self._peek() is None

    def is_closed(self):
        """Return whether the other side has closed, as far as the kernel knows."""
        return self._peek() == b""

    def _peek(self):
        """Return a byte that waits, none after a close, or ``None`` when idle."""
        try:
            return self._sock._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def abort(self):
        """Shut the connection down at once, also for a task that waits on it."""
        try:
            self._sock._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    async def close(self):
        """Close the connection."""
        await self._sock.close()

    async def linger(self, limit):
        """Send no more, and read and drop up to ``limit`` bytes.

        A close with unread bytes would reset the connection, and the other side could
        lose the answer that it has not read yet.
        """
        self.shutdown_write()
        try:
            while limit > 0 and (data := await self._sock.recv(RECEIVE_BYTES)):
                limit -= len(data)
        except OSError:
            pass


@dataclass(slots=True)
class Message:
    """A whole HTTP message held in memory, for small internal exchanges."""

    method: str = "GET"
    path: str = "/"
    status: int = 200
    headers: dict = field(default_factory=dict)
    body: bytes = b""


async def connect(host, port, deadline, clock, source_ip=None):
    """Open a client :class:`HttpStream` before ``deadline``.

    :raises TimeoutError: when the deadline passes first.
    :raises OSError: when the connection is refused.
    """
    sock = await before(deadline, clock, open_socket(host, port, source_ip))
    return HttpStream(sock, h11.CLIENT)


async def open_socket(host, port, source_ip=None):
    """Return a curio socket connected to an IP number, without a name look-up."""
    sock = Socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    try:
        if source_ip:
            sock.bind((source_ip, 0))
        await sock.connect((host, port))
    except BaseException:
        await sock.close()
        raise
    return sock


async def before(deadline, clock, coroutine):
    """Await ``coroutine``, or raise ``TimeoutError`` at ``deadline``.

    :param deadline: an instant of ``clock.now()``.
    """
    remaining = deadline - clock.now()
    if remaining <= 0:
        coroutine.close()
        raise TimeoutError("the deadline has passed")
    try:
        return await timeout_after(remaining, coroutine)
    except TaskTimeout:
        raise TimeoutError("the deadline has passed") from None


async def read_message(stream, limit):
    """Read one whole message as a server; ``None`` when the other side closed.

    :param limit: the largest body in bytes.
    :raises ValueError: when the body is larger.
    """
    event = await stream.next_event()
    if isinstance(event, h11.ConnectionClosed):
        return None
    message = Message(
        method=event.method.decode(),
        path=event.target.decode(),
        headers=_decode_headers(event.headers),
    )
    message.body = await read_body(stream, limit)
    return message


async def read_body(stream, limit):
    """Read the rest of a body of at most ``limit`` bytes.

    :raises ValueError: when the body is larger.
    """
    parts, size = [], 0
    while True:
        event = await stream.next_event()
        if isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        if isinstance(event, h11.Data):
            size += len(event.data)
            if size > limit:
                raise ValueError(f"the body is larger than {limit} bytes")
            parts.append(bytes(event.data))
        else:
            raise EOFError("the body was cut short")


async def exchange(stream, message, limit):
    """Send a whole request and return the whole answer as a :class:`Message`."""
    headers = {
        "host": "vm",
        **message.headers,
        "content-length": str(len(message.body)),
    }
    request = h11.Request(
        method=message.method, target=message.path, headers=list(headers.items())
    )
    await stream.send(request, h11.Data(data=message.body), h11.EndOfMessage())
    event = await stream.next_event()
    while isinstance(event, h11.InformationalResponse):
        event = await stream.next_event()
    if not isinstance(event, h11.Response):
        raise EOFError("closed before the answer")
    body = await read_body(stream, limit)
    return Message(
        status=event.status_code, headers=_decode_headers(event.headers), body=body
    )


async def send_message(stream, message):
    """Send a whole answer."""
    headers = {**message.headers, "content-length": str(len(message.body))}
    await stream.send(
        h11.Response(status_code=message.status, headers=list(headers.items())),
        h11.Data(data=message.body),
        h11.EndOfMessage(),
    )


async def serve_messages(stream, handle, limit):
    """Answer whole messages on one connection until it closes.

    :param handle: a coroutine from request :class:`Message` to answer.
    :param limit: the largest body in bytes.
    """
    try:
        while (message := await read_message(stream, limit)) is not None:
            await send_message(stream, await handle(message))
            if not stream.next_cycle():
                return
    except ValueError as error:
        if stream.can_respond:
            await send_message(stream, Message(status=413, body=str(error).encode()))
    except CONNECTION_ERRORS:
        return


def _decode_headers(headers):
    return {name.decode(): value.decode("latin-1") for name, value in headers}
