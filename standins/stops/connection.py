"""A client's connection, on which requests may be sent ahead of answers."""

from collections import deque

import h11
from curio import sleep

from heathercleat.connection.http import CONNECTION_ERRORS, open_socket, with_deadline
from standins.steering_fleet import FRONT_PORT
from standins.stops.records import Opened

RECEIVE_BYTES = 1 << 16
#: Seconds within which a connection is there.
CONNECT_SECONDS = 1.0
PART_BYTES = 2000
#: Seconds between two parts of a body.
PART_GAP = 0.03
#: Seconds past its deadline for which an answer is waited for.
PATIENCE = 0.5
#: Seconds for which an idle connection is looked at before requests are.
IDLE_SECONDS = 1.0


class Sent:
    """A request on a connection whose answer has not come.

    :param protocol: the h11 connection that reads its answer.
    """

    __slots__ = ("attempt", "protocol")

    def __init__(self, attempt, protocol):
        self.attempt = attempt
        self.protocol = protocol


class ClientConnection:
    """One connection to a VM.

    :param opened: the :class:`Opened` that notes its end.
    """

    def __init__(self, sock, opened, clock):
        self._sock = sock
        self._opened = opened
        self._clock = clock
        self._sent = deque()
        self._rest = b""
        self._closes = False

    @property
    def unanswered(self):
        """Return the number of requests without an answer."""
        return len(self._sent)

    @property
    def vm(self):
        """Return the name of the VM."""
        return self._opened.vm

    @property
    def is_open(self):
        """Return whether another request may be sent."""
        return self._opened.closed_at is None and not self._closes

    async def send(self, attempt, path, item):
        """Send a request; its answer is read later."""
        protocol = h11.Connection(h11.CLIENT)
        wait = attempt.deadline - self._clock.now()
        headers = [
            ("Host", "a.example"),
            ("Request-Id", attempt.id),
            ("Deadline-Ms", str(max(1, int(1000 * wait)))),
            ("Cookie", f"Affinity-Key={item}"),
        ]
        if attempt.kind.parts:
            headers.append(("Transfer-Encoding", "chunked"))
        head = h11.Request(method=attempt.kind.method, target=path, headers=headers)
        self._sent.append(Sent(attempt, protocol))
        await self._send(protocol.send(head))
        for _ in range(attempt.kind.parts):
            await self._send(protocol.send(h11.Data(data=b"x" * PART_BYTES)))
            await sleep(PART_GAP)
        await self._send(protocol.send(h11.EndOfMessage()))
        attempt.sent_at = self._clock.now()

    async def read_answer(self):
        """Read the next answer and return its :class:`Attempt`.

        :raises EOFError: when the connection ended before the answer did.
        """
        sent = self._sent[0]
        head = await self._next_event(sent.protocol)
        while not isinstance(head, h11.Response):
            if isinstance(head, h11.ConnectionClosed):
                raise EOFError("closed before the answer")
            head = await self._next_event(sent.protocol)
        while not isinstance(await self._next_event(sent.protocol), h11.EndOfMessage):
            pass
        self._rest = bytes(sent.protocol.trailing_data[0])
        self._sent.popleft()
        self._note(sent.attempt, head)
        return sent.attempt

    async def read_next(self):
        """Read an answer, or note the end of an idle connection.

        Return the :class:`Attempt` of the answer; ``None`` where none came in a while.

        :raises EOFError: when the connection ended.
        :raises TimeoutError: when a request had no answer long past its deadline.
        """
        if self._sent:
            until = self._sent[0].attempt.deadline + PATIENCE
            return await with_deadline(until, self._clock, self.read_answer())
        until = self._clock.now() + IDLE_SECONDS
        try:
            data = await with_deadline(
                until, self._clock, self._sock.recv(RECEIVE_BYTES)
            )
        except TimeoutError:
            return None
        if not data:
            raise EOFError("closed while idle")
        self._rest += data
        return None

    def give_up(self, left=False):
        """End the connection and return the attempts that got no answer.

        :param left: whether that is the client's doing.
        """
        now = self._clock.now()
        if self._opened.closed_at is None:
            self._opened.closed_at = now
        lost = [sent.attempt for sent in self._sent]
        self._sent.clear()
        for attempt in lost:
            attempt.ended_at = now
            attempt.behind_close = self._closes
            attempt.left = left
        return lost

    async def close(self):
        """Close the connection."""
        self.give_up()
        await self._sock.close()

    def _note(self, attempt, head):
        headers = dict(head.headers)
        attempt.ended_at = self._clock.now()
        attempt.status = head.status_code
        attempt.signed = b"response-signature" in headers
        attempt.answer_to = headers.get(b"request-id", b"").decode()
        if b"retry-after" in headers:
            attempt.retry_after = float(headers[b"retry-after"])
        if headers.get(b"connection", b"").lower() == b"close":
            self._closes = True

    async def _next_event(self, protocol):
        while (event := protocol.next_event()) is h11.NEED_DATA:
            data, self._rest = self._rest, b""
            protocol.receive_data(data or await self._sock.recv(RECEIVE_BYTES))
        return event

    async def _send(self, data):
        if data:
            await self._sock.sendall(data)


async def open_connection(vm, opened, clock):
    """Return a :class:`ClientConnection` to a VM, or ``None``.

    :param opened: the list that takes its :class:`Opened`.
    """
    deadline = clock.now() + CONNECT_SECONDS
    connecting = open_socket(vm.host, FRONT_PORT)
    try:
        sock = await with_deadline(deadline, clock, connecting)
    except (TimeoutError, *CONNECTION_ERRORS):
        return None
    note = Opened(vm.name, clock.now())
    opened.append(note)
    return ClientConnection(sock, note, clock)
