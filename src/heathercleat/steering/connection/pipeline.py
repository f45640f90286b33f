"""Requests of one connection that are served at the same time and answered in order."""

from collections import deque
from contextlib import asynccontextmanager

from curio import CancelledError, spawn
from curio import Event as Signal

from heathercleat.connection.http import CONNECTION_ERRORS
from heathercleat.errors import CallerDisconnectedError


class PipelinedRequest:
    """One request's place in the order of answers.

    :param stream: the :class:`HttpStream` that its answer is sent on.
    :param head: the :class:`h11.Request`.
    :param arrived_at: when its head was read.
    :param body: its whole body, or ``None`` while it is not read.
    """

    __slots__ = (
        "stream",
        "head",
        "arrived_at",
        "body",
        "held",
        "before",
        "ready",
        "given_up",
        "sent",
        "over",
        "task",
    )

    def __init__(self, stream, head, arrived_at, body=None):
        self.stream = stream
        self.head = head
        self.arrived_at = arrived_at
        self.body = body
        #: Bytes of memory held for its body.
        self.held = 0
        #: The turn whose answer goes first, or ``None``.
        self.before = None
        #: Whether there is an answer, and whether it was given up for those behind it.
        self.ready = False
        self.given_up = False
        #: Whether its answer was sent, and what tells that it was or will not be.
        self.sent = False
        self.over = Signal()
        self.task = None

    async def come(self):
        """Wait until every answer before this one was sent.

        :raises EOFError: when one will not be sent: the client would take this answer
            for that one.
        """
        self.ready = True
        if self.before is None:
            return
        await self.before.over.wait()
        if not self.before.sent:
            raise EOFError("an answer that goes first was not sent")
        self.before = None


class Pipeline:
    """The requests of a connection that were read and are not answered yet.

    A client may send safe requests without waiting for the answers. Served one after
    the other, the second of two that take 1 s each is answered after 2 s.

    :param most: requests at most; the next ones stay unread.
    :param abort: ends the connection, after a request that could not be answered.
    """

    def __init__(self, most, abort):
        self._most = most
        self._abort = abort
        self._turns = deque()
        self._alone = None
        self._failure = None

    @property
    def is_busy(self):
        """Return whether a request waits for its answer."""
        return bool(self._turns)

    def is_last(self, turn):
        """Return whether no request was read after that of a turn."""
        if self._alone is not None:
            return self._alone is turn
        return not self._turns or self._turns[-1] is turn

    def check(self):
        """Raise the unexpected error of a request, if there was one."""
        if self._failure is not None:
            raise self._failure

    async def start(self, turn, serve):
        """Serve a request beside those before it.

        :param serve: a coroutine that serves the :class:`PipelinedRequest` to its end.
        """
        turn.before = self._turns[-1] if self._turns else None
        self._turns.append(turn)
        turn.task = await spawn(self._run, turn, serve, daemon=True)

    async def make_room(self):
        """Wait until another request may be read."""
        while len(self._turns) >= self._most:
            await self._turns[0].over.wait()

    @asynccontextmanager
    async def alone(self, turn):
        """Wait for the others, and serve a request that was read in the block."""
        self._alone = turn
        try:
            await self.drain()
            yield
        finally:
            self._alone = None

    async def drain(self):
        """Wait until every request was answered or failed."""
        while self._turns:
            await self._turns[0].over.wait()

    async def cancel_blocking_requests(self):
        """Give up the requests whose answers are waited for by others that are ready.

        A process that ends would lose the ready ones with them.
        """
        turns = list(self._turns)
        while turns and not turns[-1].ready:
            turns.pop()
        for turn in turns:
            if not turn.ready:
                turn.given_up = True
                await turn.task.cancel(blocking=False)

    async def cancel(self):
        """End every request under way."""
        for turn in list(self._turns):
            await turn.task.cancel()

    async def _run(self, turn, serve):
        try:
            await serve(turn)
        except (CallerDisconnectedError, *CONNECTION_ERRORS):
            self._abort()
        except CancelledError:
            self._abort()
            raise
        except Exception as error:  # noqa: BLE001
            # The connection's own task raises it, for the log.
            self._failure = error
            self._abort()
        finally:
            self._turns.remove(turn)
            await turn.over.set()
