"""HTTP/1.1 over curio sockets, with h11 as the protocol implementation."""

import socket
import struct
from dataclasses import dataclass, field

import h11
from curio import sleep, timeout_after
from curio.errors import TaskTimeout
from curio.io import Socket

MAX_HEADER_BYTES = 16 * 1024
RECEIVE_BYTES = 64 * 1024
#: Number of events of one message after which other tasks run. A peer that sends small
#: chunks fast would stop them otherwise, since receiving does not wait then.
EVENTS_PER_TURN = 32
#: Smaller messages are sent in one write, for which their parts are copied.
MAX_JOINED_BYTES = 32 * 1024
CONNECTION_ERRORS = (OSError, h11.ProtocolError, EOFError)
#: Value of ``SO_LINGER``: enabled, with a timeout of 0.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class HttpStream:
    """One HTTP connection.

    :param sock: a connected curio socket.
    :param role: ``h11.SERVER`` or ``h11.CLIENT``.
    :param max_header_bytes: the maximum size of a message head.
    """

    def __init__(self, sock, role, max_header_bytes=MAX_HEADER_BYTES):
        self._sock = sock
        self._role = role
        self._max_header_bytes = max_header_bytes
        self._conn = self._new_connection()
        self._bytes_sent = 0
        self._has_body_started = False
        self._event_count = 0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def socket(self):
        """Return the curio socket."""
        return self._sock

    @property
    def bytes_sent(self):
        """Return the number of bytes sent on this connection."""
        return self._bytes_sent

    @property
    def has_body_started(self):
        """Return whether reading the body of the current message has begun."""
        return self._has_body_started

    @property
    def has_partial_head(self):
        """Return whether unparsed bytes of the next message were received."""
        return bool(self._conn.trailing_data[0])

    @property
    def can_respond(self):
        """Return whether a response can still be started."""
        states = (h11.IDLE, h11.SEND_RESPONSE)
        return self._conn.our_state in states

    @property
    def awaits_response(self):
        """Return whether a request was sent and its response is not complete."""
        states = (h11.SEND_RESPONSE, h11.SEND_BODY, h11.ERROR)
        return self._conn.their_state in states or self._conn.our_state in states

    @property
    def is_request_complete(self):
        """Return whether the peer has sent its whole message."""
        return self._conn.their_state in (h11.DONE, h11.MUST_CLOSE)

    async def next_event(self):
        """Return the next h11 event.

        :raises EOFError: when no further message is possible on this connection.
        :raises h11.RemoteProtocolError: when the peer violated the protocol.
        """
        while True:
            self._event_count += 1
            if self._event_count % EVENTS_PER_TURN == 0:
                await sleep(0)
            event = self._conn.next_event()
            if event is h11.PAUSED:
                raise EOFError("no further message on this connection")
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.Data | h11.EndOfMessage):
                    self._has_body_started = True
                elif isinstance(event, h11.Request) and _offers_protocol(event):
                    self._ignore_offer(event)
                return event
            if self._conn.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            self._conn.receive_data(await self._sock.recv(RECEIVE_BYTES))

    async def send(self, *events):
        """Send h11 events in one write."""
        data = b"".join([self._conn.send(event) for event in events])
        if data:
            self._bytes_sent += len(data)
            await self._sock.sendall(data)

    async def send_counted(self, record_written, *events):
        """Send h11 events without joining them to large bodies.

        :param record_written: function that is called with the number of bytes after
            each write to the socket.
        """
        parts = [
            part
            for event in events
            for part in self._conn.send_with_data_passthrough(event) or ()
        ]
        if sum(map(len, parts)) <= MAX_JOINED_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            await self._write(part, record_written)

    async def _write(self, data, record_written):
        with memoryview(data) as view:
            offset = 0
            while offset < len(view):
                count = await self._sock.send(view[offset:])
                offset += count
                self._bytes_sent += count
                record_written(count)

    async def wait_closed(self):
        """Wait until the peer closes the connection or sends the next message.

        Received bytes are kept for the next message. Return whether the peer closed.
        """
        try:
            data = await self._sock.recv(RECEIVE_BYTES)
        except OSError:
            return True
        self._conn.receive_data(data)
        return not data

    def reset_for_response(self, request_events):
        """Prepare to receive another response, after one to a different request.

        :param request_events: the events of the request; they are not sent again.
        """
        unread, _ = self._conn.trailing_data
        self._conn = self._new_connection()
        for event in request_events:
            self._conn.send(event)
        if unread:
            self._conn.receive_data(unread)

    def next_message_stream(self):
        """Return a stream for the next pipelined message, or ``None``.

        The response to the current message can still be sent on this stream. ``None``
        when either side closes the connection after the current message.
        """
        if self._conn.their_state is not h11.DONE:
            return None
        if self._conn.our_state not in (h11.SEND_RESPONSE, h11.DONE):
            return None
        stream = HttpStream(self._sock, self._role, self._max_header_bytes)
        unread, closed = self._conn.trailing_data
        if unread:
            stream._conn.receive_data(unread)
        if closed:
            stream._conn.receive_data(b"")
        return stream

    def shutdown_write(self):
        """Shut down the sending side; data already sent is still delivered."""
        try:
            self._sock._socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def _new_connection(self):
        return h11.Connection(
            self._role, max_incomplete_event_size=self._max_header_bytes
        )

    def _ignore_offer(self, request):
        """Continue as if a request offered no other protocol.

        :mod:`h11` would not report its end until the offer is declined by a response,
        and later requests of the connection would wait for that.
        """
        unread, closed = self._conn.trailing_data
        headers = [each for each in request.headers if each[0] != b"upgrade"]
        if request.http_version == b"1.0":
            headers.append((b"connection", b"close"))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        self._conn = self._new_connection()
        self._conn.receive_data(h11.Connection(h11.CLIENT).send(head) + unread)
        self._conn.next_event()
        if closed:
            self._conn.receive_data(b"")

    def next_cycle(self):
        """Prepare for the next message; return whether the connection is reusable."""
        if self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE:
            self._conn.start_next_cycle()
            self._has_body_started = False
            return True
        return False

    def is_clean(self):
        """Return whether an idle connection is open and has no unread data."""
        return not self._conn.trailing_data[0] and self._peek() is None

    def is_closed(self):
        """Return whether the peer has closed the connection."""
        return self._peek() == b""

    def _peek(self):
        """Return an unread byte, ``b""`` at end of file, or ``None`` without data."""
        try:
            return self._sock._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def abort(self):
        """Shut the connection down at once, which wakes tasks that wait on it."""
        try:
            self._sock._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    async def close(self):
        """Close the connection; data already sent is still delivered."""
        await self._sock.close()

    async def reset(self):
        """Close the connection; data that the peer has not received yet is dropped."""
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self._sock.close()

    async def linger(self, limit):
        """Shut down the sending side and discard up to ``limit`` received bytes.

        Closing a socket with unread data resets the connection, and the peer could lose
        a response that it has not read yet.
        """
        self.shutdown_write()
        try:
            while limit > 0 and (data := await self._sock.recv(RECEIVE_BYTES)):
                limit -= len(data)
        except OSError:
            pass


def _offers_protocol(request):
    """Return whether a request offers to switch to another protocol."""
    return any(name == b"upgrade" for name, _ in request.headers)


@dataclass(slots=True)
class Message:
    """A complete HTTP message in memory, for small internal exchanges."""

    method: str = "GET"
    path: str = "/"
    status: int = 200
    headers: dict = field(default_factory=dict)
    body: bytes = b""


async def connect(host, port, deadline, clock, source_ip=None):
    """Open a client :class:`HttpStream` before ``deadline``.

    :raises TimeoutError: at the deadline.
    :raises OSError: when the connection fails.
    """
    sock = await with_deadline(deadline, clock, open_socket(host, port, source_ip))
    return HttpStream(sock, h11.CLIENT)


async def open_socket(host, port, source_ip=None):
    """Return a connected curio socket; ``host`` is an IP address, not a name."""
    sock = Socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    try:
        if source_ip:
            sock.bind((source_ip, 0))
        await sock.connect((host, port))
    except BaseException:
        await sock.close()
        raise
    return sock


async def with_deadline(deadline, clock, coroutine):
    """Await ``coroutine`` until ``deadline``.

    :param deadline: an instant of ``clock.now()``.
    :raises TimeoutError: at the deadline.
    """
    remaining = deadline - clock.now()
    if remaining <= 0:
        coroutine.close()
        raise TimeoutError("the deadline has passed")
    try:
        return await timeout_after(remaining, coroutine)
    except TaskTimeout:
        raise TimeoutError("the deadline has passed") from None


async def read_request(stream, limit):
    """Return the next request as a :class:`Message`, or ``None`` at end of file.

    :param limit: the maximum size of the body, in bytes.
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
    """Return the rest of a body of at most ``limit`` bytes.

    :raises ValueError: when the body is larger.
    """
    chunks, size = [], 0
    while True:
        event = await stream.next_event()
        if isinstance(event, h11.EndOfMessage):
            return b"".join(chunks)
        if isinstance(event, h11.Data):
            size += len(event.data)
            if size > limit:
                raise ValueError(f"the body is larger than {limit} bytes")
            chunks.append(bytes(event.data))
        else:
            raise EOFError("the body was cut short")


async def exchange(stream, message, limit):
    """Send a request and return the complete response as a :class:`Message`."""
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
        raise EOFError("connection closed before the response")
    body = await read_body(stream, limit)
    return Message(
        status=event.status_code, headers=_decode_headers(event.headers), body=body
    )


async def send_response(stream, message):
    """Send a complete response."""
    headers = {**message.headers, "content-length": str(len(message.body))}
    await stream.send(
        h11.Response(status_code=message.status, headers=list(headers.items())),
        h11.Data(data=message.body),
        h11.EndOfMessage(),
    )


async def serve_requests(stream, handle, limit):
    """Serve requests on one connection until it closes.

    :param handle: a coroutine function from request to response :class:`Message`.
    :param limit: the maximum size of a request body, in bytes.
    """
    try:
        while (message := await read_request(stream, limit)) is not None:
            await send_response(stream, await handle(message))
            if not stream.next_cycle():
                return
    except ValueError as error:
        if stream.can_respond:
            await send_response(stream, Message(status=413, body=str(error).encode()))
    except CONNECTION_ERRORS:
        return


def _decode_headers(headers):
    return {name.decode(): value.decode("latin-1") for name, value in headers}
