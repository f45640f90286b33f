"""One attempt at a request: send it to one place and read the head of the answer."""

from dataclasses import dataclass

import h11

from heathercleat.codes import ResultCode, Run
from heathercleat.connection.http import CONNECTION_ERRORS
from heathercleat.errors import CallerDisconnectedError, RequestError
from heathercleat.request.headers import (
    CODE,
    DEADLINE,
    REQUEST_ID,
    SERVICE_PREFIX,
    check_framing,
    end_to_end,
    find,
)

#: Statuses with which a target says that it did not run a request.
REFUSAL_STATUSES = (503,)


@dataclass(slots=True, frozen=True)
class Upstream:
    """Where an attempt goes.

    :param headers: extra headers, for the VM that granted a lease.
    :param limit: the most connections to this address, or ``None``.
    :param is_vm: whether another VM answers, whose result codes can be believed.
    """

    name: str
    host: str
    port: int
    headers: tuple
    limit: int | None
    is_vm: bool


class AttemptFailedError(RequestError):
    """An attempt without a usable answer.

    :param blame: what failed, for the health of the target: ``connect``, ``lost``,
        ``bad answer`` or ``deadline``; ``None`` for a refusal, or when the caller left.
    """

    def __init__(self, code, message, blame=None, retry_at=None):
        super().__init__(code, message, retry_at)
        self._blame = blame

    @property
    def blame(self):
        """Return what failed, or ``None``."""
        return self._blame

    @property
    def not_run(self):
        """Return whether the request certainly did not run."""
        return self.code.run is Run.NOT_RUN


class Attempt:
    """An exchange with one upstream.

    :param call: the request.
    :param upstream: where to send it.
    :param pool: connections to use.
    :param on_end: a coroutine function, called when the whole answer has been read and
        before its end is passed on.
    """

    def __init__(self, call, upstream, pool, clock, on_end):
        self._call = call
        self._upstream = upstream
        self._pool = pool
        self._clock = clock
        self._on_end = on_end
        self._stream = None
        self._sent_before = 0
        self._ended = False
        self._reading_caller = False
        self._response = None
        self._headers = []

    @property
    def response(self):
        """Return the head of the answer, an ``h11.Response``."""
        return self._response

    @property
    def headers(self):
        """Return the headers of the answer, as a list of pairs."""
        return self._headers

    async def send(self, fresh=False):
        """Send the whole request.

        :param fresh: use a new connection.
        :raises AttemptFailedError: when it could not be sent.
        :raises CallerDisconnectedError: when the caller left while its body was sent
            on.
        """
        await self._connect(fresh)
        try:
            await self._send()
        except (OSError, EOFError) as error:
            raise self._failed(ResultCode.ANSWER_LOST, "lost", error) from None

    async def read_head(self):
        """Read the head of the answer.

        :raises AttemptFailedError: when there is no usable answer.
        """
        try:
            self._response = await self._read_response()
            self._headers = list(self._response.headers)
        except h11.ProtocolError as error:
            raise self._failed(ResultCode.BAD_ANSWER, "bad answer", error) from None
        except (OSError, EOFError) as error:
            raise self._failed(ResultCode.ANSWER_LOST, "lost", error) from None
        self._check_head()

    async def next_event(self):
        """Return the next event of the answer's body.

        :raises AttemptFailedError: when the answer is cut short.
        """
        try:
            event = await self._stream.next_event()
        except CONNECTION_ERRORS as error:
            raise self._failed(ResultCode.ANSWER_LOST, "lost", error) from None
        if isinstance(event, h11.EndOfMessage):
            await self._on_end()
            return event
        if isinstance(event, h11.Data):
            return event
        raise self._failed(ResultCode.ANSWER_LOST, "lost")

    def timed_out(self):
        """Return the error for a deadline that passed during the attempt."""
        if self._reading_caller:
            # The caller's own sending ran out of time: no fault of the target.
            code = ResultCode.DEADLINE_IN_RUN
            return AttemptFailedError(code, "the upload was too slow")
        if self._stream is None and not self._ended:
            code = ResultCode.DEADLINE_BEFORE_RUN
            return AttemptFailedError(code, "no connection in time", "connect")
        return self._failed(ResultCode.DEADLINE_IN_RUN, "deadline")

    def abort(self):
        """Cancel the request at the upstream."""
        if self._stream is not None:
            self._stream.abort()

    async def finish(self, whole):
        """Keep the connection if the exchange was whole, else close it."""
        stream, self._stream = self._stream, None
        if stream is None:
            return
        self._ended = True
        place = self._upstream.host, self._upstream.port
        if whole:
            await self._pool.checkin(*place, stream)
        else:
            await self._pool.discard(*place, stream)

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
        self._sent_before = self._stream.bytes_sent

    async def _send(self):
        # A VM that was paused since the permit must not start lapsed work.
        if self._clock.now() >= self._call.deadline:
            code = ResultCode.DEADLINE_BEFORE_RUN
            raise AttemptFailedError(code, "the deadline passed before the run")
        head = self._head()
        if self._call.body is not None:
            events = [head]
            if self._call.body:
                events.append(h11.Data(data=self._call.body))
            await self._stream.send(*events, h11.EndOfMessage())
            return
        await self._stream.send(head)
        await self._send_body()

    def _head(self):
        call = self._call
        headers = [
            (name, value)
            for name, value in end_to_end(call.headers)
            if name != b"content-length"
        ]
        headers.extend(self._upstream.headers)
        headers.append((DEADLINE, f"{call.wall_deadline:.3f}"))
        headers.append((REQUEST_ID, call.id))
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
        """Send the caller's body on as it arrives."""
        limit, size = self._call.kind.body_limit, 0
        while True:
            event = await self._next_from_caller()
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

    async def _next_from_caller(self):
        self._reading_caller = True
        try:
            event = await self._call.stream.next_event()
        except CONNECTION_ERRORS:
            raise CallerDisconnectedError from None
        self._reading_caller = False
        return event

    async def _send_part(self, event):
        """Send a part of the body; return whether the upstream still takes it."""
        try:
            await self._stream.send(event)
        except OSError:
            # It may have answered early and closed: the answer is read next.
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
            self._raise_code_of_vm(headers)
        try:
            check_framing(headers, ResultCode.BAD_ANSWER)
        except RequestError as error:
            raise self._failed(ResultCode.BAD_ANSWER, "bad answer", error) from None
        if self._is_close_delimited(headers):
            error = "an answer without a length cannot be told from a cut one"
            raise self._failed(ResultCode.BAD_ANSWER, "bad answer", error)

    def _raise_code_of_vm(self, headers):
        number = find(headers, CODE)
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

    def _sent_nothing(self):
        # An attempt that has ended gave its connection up: the request may have run.
        if self._ended:
            return False
        return self._stream is None or self._stream.bytes_sent == self._sent_before

    def _failed(self, code, blame, error=""):
        if self._sent_nothing():
            code = ResultCode.TARGETS_UNREACHABLE
        message = f"{self._upstream.name}: {blame} {error}".rstrip()
        return AttemptFailedError(code, message, blame)
