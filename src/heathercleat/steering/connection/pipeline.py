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
        "reserved_bytes",
        "reservation",
        "id",
        "workspace",
        "charge",
        "previous",
        "is_ready",
        "is_cancelled",
        "is_sent",
        "finished",
        "task",
    )

    def __init__(self, stream, head, arrived_at, body=None):
        self.stream = stream
        self.head = head
        self.arrived_at = arrived_at
        self.body = body
        #: Bytes of memory reserved for the body.
        self.reserved_bytes = 0
        #: The :class:`ResponseReservation`, or ``None``.
        self.reservation = None
        #: Id and name of the workspace, for the log; ``None`` until known.
        self.id = None
        self.workspace = None
        #: The :class:`Charge` to the quota of its workspace, or ``None``.
        self.charge = None
        #: The preceding request while its response is pending, or ``None``.
        self.previous = None
        #: Whether the response is ready, and whether the request was cancelled to
        #: unblock later responses.
        self.is_ready = False
        self.is_cancelled = False
        #: Whether the response was sent, and the event set once it was sent or failed.
        self.is_sent = False
        self.finished = Signal()
        self.task = None

    async def wait_for_turn(self):
        """Mark the response as ready; wait until all preceding ones were sent.

        :raises EOFError: if one of them failed, since the client would take this
            response for the missing one.
        """
        self.is_ready = True
        if self.previous is None:
            return
        await self.previous.finished.wait()
        if not self.previous.is_sent:
            raise EOFError("the response to an earlier request was not sent")
        self.previous = None


class Pipeline:
    """The pending requests of a connection.

    :param limit: maximum number of pending requests; further ones are not read yet.
    :param abort: function that aborts the connection after a failed request.
    """

    def __init__(self, limit, abort):
        self._limit = limit
        self._abort = abort
        self._pending = deque()
        self._exclusive = None
        self._failure = None

    @property
    def is_busy(self):
        """Return whether a response is pending."""
        return bool(self._pending)

    def is_last(self, request):
        """Return whether no later request was read."""
        if self._exclusive is not None:
            return self._exclusive is request
        return not self._pending or self._pending[-1] is request

    def raise_failure(self):
        """Raise the unexpected error of a request task, if there was one."""
        if self._failure is not None:
            raise self._failure

    async def start(self, request, serve):
        """Serve a request concurrently with the pending ones.

        :param serve: coroutine function that serves a :class:`PipelinedRequest`.
        """
        request.previous = self._pending[-1] if self._pending else None
        self._pending.append(request)
        request.task = await spawn(self._run, request, serve, daemon=True)

    async def wait_for_capacity(self):
        """Wait until the number of pending requests is below the limit."""
        while len(self._pending) >= self._limit:
            await self._pending[0].finished.wait()

    @asynccontextmanager
    async def exclusive(self, request):
        """Wait for the pending requests; the block then serves this one alone."""
        self._exclusive = request
        try:
            await self.drain()
            yield
        finally:
            self._exclusive = None

    async def drain(self):
        """Wait until no request is pending."""
        while self._pending:
            await self._pending[0].finished.wait()

    async def cancel_requests_before_ready_responses(self):
        """Cancel the requests that block ready responses.

        Otherwise the ready responses would be lost when the process exits.
        """
        requests = list(self._pending)
        while requests and not requests[-1].is_ready:
            requests.pop()
        for request in requests:
            if not request.is_ready:
                request.is_cancelled = True
                await request.task.cancel(blocking=False)

    async def cancel(self):
        """Cancel all pending requests."""
        for request in list(self._pending):
            await request.task.cancel()

    async def _run(self, request, serve):
        try:
            await serve(request)
        except (CallerDisconnectedError, *CONNECTION_ERRORS):
            self._abort()
        except CancelledError:
            self._abort()
            raise
        except Exception as error:  # noqa: BLE001
            # Raised by raise_failure() in the task of the connection, for the log.
            self._failure = error
            self._abort()
        finally:
            self._pending.remove(request)
            await request.finished.set()
