"""A client's HTTP connection, with support for pipelining."""

from collections import deque

import h11
from curio import sleep

from heathercleat.connection.http import CONNECTION_ERRORS, open_socket, with_deadline
from standins.steering_fleet import FRONT_PORT
from standins.stops.records import ConnectionRecord

RECEIVE_BYTES = 1 << 16
CONNECT_TIMEOUT_SECONDS = 1.0
PART_BYTES = 2000
#: Seconds between two parts of a request body.
PART_GAP_SECONDS = 0.03
#: Seconds after its deadline at which a client abandons a request.
RESPONSE_GRACE_SECONDS = 0.5
#: Timeout of a read from an idle connection.
IDLE_READ_SECONDS = 1.0


class PendingRequest:
    """An outstanding request.

    :param protocol: the h11 connection that parses its response.
    """

    __slots__ = ("attempt", "protocol")

    def __init__(self, attempt, protocol):
        self.attempt = attempt
        self.protocol = protocol


class ClientConnection:
    """One connection to a VM.

    :param record: the :class:`ConnectionRecord`, which gets the time of the close.
    """

    def __init__(self, sock, record, clock):
        self._sock = sock
        self._record = record
        self._clock = clock
        self._pending = deque()
        self._buffer = b""
        self._is_closing = False

    @property
    def outstanding(self):
        """Return the number of outstanding requests."""
        return len(self._pending)

    @property
    def vm(self):
        """Return the name of the VM."""
        return self._record.vm

    @property
    def is_open(self):
        """Return whether another request may be sent."""
        return self._record.closed_at is None and not self._is_closing

    async def send(self, attempt, path, object_key):
        """Send a request; its response is read by :meth:`read_response`."""
        protocol = h11.Connection(h11.CLIENT)
        wait = attempt.deadline - self._clock.now()
        headers = [
            ("Host", "a.example"),
            ("Request-Id", attempt.id),
            ("Deadline-Ms", str(max(1, int(1000 * wait)))),
            ("Cookie", f"Affinity-Key={object_key}"),
        ]
        if attempt.kind.parts:
            headers.append(("Transfer-Encoding", "chunked"))
        head = h11.Request(method=attempt.kind.method, target=path, headers=headers)
        self._pending.append(PendingRequest(attempt, protocol))
        await self._send(protocol.send(head))
        for _ in range(attempt.kind.parts):
            await self._send(protocol.send(h11.Data(data=b"x" * PART_BYTES)))
            await sleep(PART_GAP_SECONDS)
        await self._send(protocol.send(h11.EndOfMessage()))
        attempt.sent_at = self._clock.now()

    async def read_response(self):
        """Read the next response and return its :class:`Attempt`.

        :raises EOFError: when the connection closed before the response was complete.
        """
        pending = self._pending[0]
        head = await self._next_event(pending.protocol)
        while not isinstance(head, h11.Response):
            if isinstance(head, h11.ConnectionClosed):
                raise EOFError("connection closed before the response")
            head = await self._next_event(pending.protocol)
        while not isinstance(
            await self._next_event(pending.protocol), h11.EndOfMessage
        ):
            pass
        self._buffer = bytes(pending.protocol.trailing_data[0])
        self._pending.popleft()
        self._record_response(pending.attempt, head)
        return pending.attempt

    async def read_next(self):
        """Read the next response, or wait on an idle connection.

        Return the :class:`Attempt` of the response; ``None`` if the connection is idle.

        :raises EOFError: when the connection closed.
        :raises TimeoutError: when a request had no response long after its deadline.
        """
        if self._pending:
            until = self._pending[0].attempt.deadline + RESPONSE_GRACE_SECONDS
            return await with_deadline(until, self._clock, self.read_response())
        until = self._clock.now() + IDLE_READ_SECONDS
        try:
            data = await with_deadline(
                until, self._clock, self._sock.recv(RECEIVE_BYTES)
            )
        except TimeoutError:
            return None
        if not data:
            raise EOFError("connection closed while idle")
        self._buffer += data
        return None

    def abandon(self, client_timed_out=False):
        """Mark the connection closed and return the attempts without a response.

        :param client_timed_out: whether the client closed it.
        """
        now = self._clock.now()
        if self._record.closed_at is None:
            self._record.closed_at = now
        lost = [pending.attempt for pending in self._pending]
        self._pending.clear()
        for attempt in lost:
            attempt.ended_at = now
            attempt.after_close = self._is_closing
            attempt.client_timed_out = client_timed_out
        return lost

    async def close(self):
        """Close the connection."""
        self.abandon()
        await self._sock.close()

    def _record_response(self, attempt, head):
        headers = dict(head.headers)
        attempt.ended_at = self._clock.now()
        attempt.status = head.status_code
        attempt.signed = b"response-signature" in headers
        attempt.response_id = headers.get(b"request-id", b"").decode()
        if b"retry-after" in headers:
            attempt.retry_after = float(headers[b"retry-after"])
        if headers.get(b"connection", b"").lower() == b"close":
            self._is_closing = True

    async def _next_event(self, protocol):
        while (event := protocol.next_event()) is h11.NEED_DATA:
            data, self._buffer = self._buffer, b""
            protocol.receive_data(data or await self._sock.recv(RECEIVE_BYTES))
        return event

    async def _send(self, data):
        if data:
            await self._sock.sendall(data)


async def open_connection(vm, connection_records, clock):
    """Return a :class:`ClientConnection` to a VM; ``None`` if connecting fails.

    :param connection_records: the list that gets its :class:`ConnectionRecord`.
    """
    deadline = clock.now() + CONNECT_TIMEOUT_SECONDS
    connecting = open_socket(vm.host, FRONT_PORT)
    try:
        sock = await with_deadline(deadline, clock, connecting)
    except (TimeoutError, *CONNECTION_ERRORS):
        return None
    record = ConnectionRecord(vm.name, clock.now())
    connection_records.append(record)
    return ClientConnection(sock, record, clock)
