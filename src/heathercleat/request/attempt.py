"""A single attempt: sends a request to one upstream and reads the response."""

from dataclasses import dataclass

import h11

from heathercleat.codes import ResultCode, Run
from heathercleat.connection.http import CONNECTION_ERRORS
from heathercleat.errors import CallerDisconnectedError, RequestError
from heathercleat.request.headers import (
    CODE_HEADER,
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    SERVICE_PREFIX,
    check_framing,
    end_to_end,
    find,
)

#: Response statuses that mean that the target did not run the request.
REFUSAL_STATUSES = (503,)


@dataclass(slots=True, frozen=True)
class Upstream:
    """The destination of an attempt: a target, or a VM that granted a lease.

    :param headers: additional request headers, for a VM.
    :param limit: maximum number of connections to the address, or ``None``.
    :param is_vm: whether this is a VM, whose result codes are trusted.
    """

    name: str
    host: str
    port: int
    headers: tuple
    limit: int | None
    is_vm: bool


class AttemptFailedError(RequestError):
    """An attempt without a usable response.

    :param health_failure: the kind of failure that counts against the health of the
        target: ``connect``, ``lost``, ``bad answer`` or ``deadline``; ``None`` if the
        target is not at fault.
    """

    def __init__(self, code, message, health_failure=None, retry_at=None):
        super().__init__(code, message, retry_at)
        self._health_failure = health_failure

    @property
    def health_failure(self):
        """Return the kind of failure that counts against the target, or ``None``."""
        return self._health_failure

    @property
    def not_run(self):
        """Return whether the target certainly did not run the request."""
        return self.code.run is Run.NOT_RUN


class Attempt:
    """An exchange with one upstream.

    :param call: the :class:`Call` to send.
    :param upstream: the :class:`Upstream` to send it to.
    :param pool: the connection pool.
    :param on_complete: a coroutine function, called when the response has been read
        completely, before the caller receives its end.
    """

    def __init__(self, call, upstream, pool, clock, on_complete):
        self._call = call
        self._upstream = upstream
        self._pool = pool
        self._clock = clock
        self._on_complete = on_complete
        self._stream = None
        self._bytes_sent_before = 0
        self._is_finished = False
        self._is_reading_body = False
        self._response = None
        self._headers = []

    @property
    def response(self):
        """Return the head of the response, an ``h11.Response``, or ``None``."""
        return self._response

    @property
    def headers(self):
        """Return the headers of the response as a list of pairs."""
        return self._headers

    async def send(self, fresh=False):
        """Send the request, including its body.

        :param fresh: whether to open a new connection.
        :raises AttemptFailedError: if the request can't be sent.
        :raises CallerDisconnectedError: if the caller disconnects before it has sent
            its whole body.
        """
        await self._connect(fresh)
        try:
            await self._send()
        except (OSError, EOFError) as error:
            raise self._make_error(ResultCode.ANSWER_LOST, "lost", error) from None

    async def read_head(self):
        """Read the head of the response.

        :raises AttemptFailedError: if there is no usable response.
        """
        try:
            self._response = await self._read_response()
            self._headers = list(self._response.headers)
        except h11.ProtocolError as error:
            raise self._make_error(ResultCode.BAD_ANSWER, "bad answer", error) from None
        except (OSError, EOFError) as error:
            raise self._make_error(ResultCode.ANSWER_LOST, "lost", error) from None
        self._check_head()

    async def next_event(self):
        """Return the next event of the response body.

        :raises AttemptFailedError: if the response is truncated.
        """
        try:
            event = await self._stream.next_event()
        except CONNECTION_ERRORS as error:
            raise self._make_error(ResultCode.ANSWER_LOST, "lost", error) from None
        if isinstance(event, h11.EndOfMessage):
            await self._on_complete()
            return event
        if isinstance(event, h11.Data):
            return event
        raise self._make_error(ResultCode.ANSWER_LOST, "lost")

    def timeout_error(self):
        """Return the :class:`AttemptFailedError` for a deadline that has passed."""
        if self._is_reading_body:
            # The caller sent its body too slowly, so the target is not at fault.
            code = ResultCode.DEADLINE_IN_RUN
            return AttemptFailedError(code, "the upload was too slow")
        if self._stream is None and not self._is_finished:
            code = ResultCode.DEADLINE_BEFORE_RUN
            return AttemptFailedError(code, "no connection in time", "connect")
        return self._make_error(ResultCode.DEADLINE_IN_RUN, "deadline")

    def abort(self):
        """Cancel the request by shutting down the connection to the upstream."""
        if self._stream is not None:
            self._stream.abort()

    async def finish(self, is_complete):
        """Return the connection to the pool if ``is_complete``, or close it."""
        stream, self._stream = self._stream, None
        if stream is None:
            return
        self._is_finished = True
        address = self._upstream.host, self._upstream.port
        if is_complete:
            await self._pool.checkin(*address, stream)
        else:
            await self._pool.discard(*address, stream)

    async def _connect(self, fresh):
        upstream = self._upstream
        try:
            self._stream = await self._pool.checkout(
                upstream.host, upstream.port, upstream.limit, fresh
            )
        except OSError as error:
            code = ResultCode.TARGETS_UNREACHABLE
            message = f"{upstream.name}: {error}"
            raise AttemptFailedError(code, message, "connect") from None
        self._bytes_sent_before = self._stream.bytes_sent

    async def _send(self):
        # This process may have been paused since the slot was granted, and the deadline
        # may have passed.
        if self._clock.now() >= self._call.deadline:
            code = ResultCode.DEADLINE_BEFORE_RUN
            raise AttemptFailedError(code, "the deadline passed before the run")
        head = self._make_request_head()
        if self._call.body is not None:
            events = [head]
            if self._call.body:
                events.append(h11.Data(data=self._call.body))
            await self._stream.send(*events, h11.EndOfMessage())
            return
        await self._stream.send(head)
        await self._send_body()

    def _make_request_head(self):
        call = self._call
        headers = [
            (name, value)
            for name, value in end_to_end(call.headers)
            if name != b"content-length"
        ]
        headers.extend(self._upstream.headers)
        headers.append((DEADLINE_HEADER, f"{call.wall_deadline:.3f}"))
        headers.append((REQUEST_ID_HEADER, call.id))
        length = find(call.headers, "content-length")
        if call.body is not None:
            if call.body or length is not None:
                headers.append(("content-length", str(len(call.body))))
        elif length is not None:
            headers.append(("content-length", length))
        else:
            headers.append(("transfer-encoding", "chunked"))
        path = call.path
        if self._upstream.is_vm:
            path = f"{SERVICE_PREFIX}{call.service.name}{path}"
        return h11.Request(method=call.method, target=path, headers=headers)

    async def _send_body(self):
        """Stream the body from the caller to the upstream."""
        limit, size = self._call.kind.body_limit, 0
        while True:
            event = await self._read_from_caller()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limit:
                    code = ResultCode.BODY_TOO_LARGE
                    message = f"the body is larger than {limit} bytes"
                    self.abort()
                    raise AttemptFailedError(code, message)
            elif not isinstance(event, h11.EndOfMessage):
                raise CallerDisconnectedError
            if not await self._send_part(event):
                return
            if isinstance(event, h11.EndOfMessage):
                return

    async def _read_from_caller(self):
        self._is_reading_body = True
        try:
            event = await self._call.stream.next_event()
        except CONNECTION_ERRORS:
            raise CallerDisconnectedError from None
        self._is_reading_body = False
        return event

    async def _send_part(self, event):
        """Send a part of the body and return whether the connection is still open."""
        try:
            await self._stream.send(event)
        except OSError:
            # The upstream may have sent an early response, which is read next.
            return False
        return True

    async def _read_response(self):
        event = await self._stream.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._stream.next_event()
        if not isinstance(event, h11.Response):
            raise EOFError("closed before the answer")
        return event

    def _check_head(self):
        headers = self._headers
        if self._upstream.is_vm:
            self._check_vm_code(headers)
        try:
            check_framing(headers, ResultCode.BAD_ANSWER)
        except RequestError as error:
            raise self._make_error(ResultCode.BAD_ANSWER, "bad answer", error) from None
        if self._is_close_delimited(headers):
            error = "an answer without a length cannot be told from a cut one"
            raise self._make_error(ResultCode.BAD_ANSWER, "bad answer", error)

    def _check_vm_code(self, headers):
        number = find(headers, CODE_HEADER)
        if number is None:
            return
        code = ResultCode.from_number(int(number))
        if code is not ResultCode.OK:
            raise AttemptFailedError(code, f"{self._upstream.name} answered {number}")

    def _is_close_delimited(self, headers):
        status = self._response.status_code
        if self._call.method == "HEAD" or status in (204, 304):
            return False
        return (
            find(headers, "content-length") is None
            and find(headers, "transfer-encoding") is None
        )

    def _has_sent_nothing(self):
        # The stream has been closed, so the request may have been sent and have run.
        if self._is_finished:
            return False
        return (
            self._stream is None or self._stream.bytes_sent == self._bytes_sent_before
        )

    def _make_error(self, code, failure, error=""):
        if self._has_sent_nothing():
            code = ResultCode.TARGETS_UNREACHABLE
        message = f"{self._upstream.name}: {failure} {error}".rstrip()
        return AttemptFailedError(code, message, failure)
