"""Serves pipelined requests concurrently and sends the responses in order."""

from collections import deque
from contextlib import asynccontextmanager

from curio import CancelledError, spawn
from curio import Event as Signal

from heathercleat.connection.http import CONNECTION_ERRORS
from heathercleat.errors import CallerDisconnectedError


class PipelinedRequest:
    """One request of a connection, and its position in the order of responses.

    :param stream: the :class:`HttpStream` for the response.
    :param head: the :class:`h11.Request`.
    :param arrived_at: when the head was read.
    :param body: the complete body, or ``None`` before it was read.
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
        #: Bytes of memory reserved for the body.
        self.held = 0
        #: The preceding request while its response is pending, or ``None``.
        self.before = None
        #: Whether the response is ready, and whether the request was cancelled to
        #: unblock later responses.
        self.ready = False
        self.given_up = False
        #: Whether the response was sent, and the event set once it was sent or failed.
        self.sent = False
        self.over = Signal()
        self.task = None

    async def come(self):
        """Wait until the responses to all preceding requests were sent.

        :raises EOFError: if one of them failed, since the client would take this
            response for the missing one.
        """
        self.ready = True
        if self.before is None:
            return
        await self.before.over.wait()
        if not self.before.sent:
            raise EOFError("an answer that goes first was not sent")
        self.before = None


class Pipeline:
    """The pending requests of a connection.

    :param most: limit of pending requests; later ones are not read.
    :param abort: function that aborts the connection after a failed request.
    """

    def __init__(self, most, abort):
        self._most = most
        self._abort = abort
        self._turns = deque()
        self._alone = None
        self._failure = None

    @property
    def is_busy(self):
        """Return whether a response is pending."""
        return bool(self._turns)

    def is_last(self, turn):
        """Return whether no later request was read."""
        if self._alone is not None:
            return self._alone is turn
        return not self._turns or self._turns[-1] is turn

    def check(self):
        """Raise the unexpected error of a request task, if there was one."""
        if self._failure is not None:
            raise self._failure

    async def start(self, turn, serve):
        """Serve a request concurrently with the pending ones.

        :param serve: coroutine function that serves a :class:`PipelinedRequest`.
        """
        turn.before = self._turns[-1] if self._turns else None
        self._turns.append(turn)
        turn.task = await spawn(self._run, turn, serve, daemon=True)

    async def make_room(self):
        """Wait until the number of pending requests is below the limit."""
        while len(self._turns) >= self._most:
            await self._turns[0].over.wait()

    @asynccontextmanager
    async def alone(self, turn):
        """Wait for the pending requests; the block then serves this one alone."""
        self._alone = turn
        try:
            await self.drain()
            yield
        finally:
            self._alone = None

    async def drain(self):
        """Wait until no request is pending."""
        while self._turns:
            await self._turns[0].over.wait()

    async def cancel_blocking_requests(self):
        """Cancel the requests that block ready responses.

        Otherwise the ready responses would be lost when the process exits.
        """
        turns = list(self._turns)
        while turns and not turns[-1].ready:
            turns.pop()
        for turn in turns:
            if not turn.ready:
                turn.given_up = True
                await turn.task.cancel(blocking=False)

    async def cancel(self):
        """Cancel all pending requests."""
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
            # Raised by check() in the task of the connection, for the log.
            self._failure = error
            self._abort()
        finally:
            self._turns.remove(turn)
            await turn.over.set()
