"""Sends a request to a target and reads the complete response."""

import h11

from heathercleat.codes import ResultCode
from heathercleat.connection.http import CONNECTION_ERRORS, with_deadline
from heathercleat.connection.socket_options import allow_slow_reader
from heathercleat.errors import RequestError
from heathercleat.platform.headers import parse_response_head, target_request_headers
from heathercleat.request.headers import check_framing, end_to_end
from heathercleat.steering.request.attempt_result import (
    DEADLINE_REASON,
    AttemptOutcome,
    AttemptResult,
    TargetResponse,
)
from heathercleat.steering.request.response_body import read_response_body
from heathercleat.steering.request.sending import send_request

#: Responses are buffered whole, so that truncated ones are not passed on.
MAX_RESPONSE_BYTES = 64 << 20
#: A target has received smaller bodies, in bytes, whether it reads them or not.
SLOWLY_READ_BYTES = 32 << 10
#: Maximum number of responses to read; those to earlier requests are skipped.
MAX_STALE_RESPONSES = 4
#: Maximum number of interim responses before a response.
MAX_INTERIM_RESPONSES = 16
_FIRST_ERROR_STATUS = 400


class TargetExchange:
    """One request and response with a target over one connection.

    :param stream: an open :class:`HttpStream`.
    :param call: the :class:`Call`.
    :param entry: the :class:`TargetEntry`.
    :param buffers: the :class:`ResponseBuffers`, or ``None``; see
        :func:`read_response_body`.
    """

    def __init__(self, stream, call, entry, clock, buffers=None):
        self._stream = stream
        self._call = call
        self._entry = entry
        self._clock = clock
        self._buffers = buffers
        self._request_events = []
        self._head = None
        self._is_sent = False
        self._connection_lost = False

    @property
    def connection_lost(self):
        """Return whether the connection failed after the request was sent."""
        return self._connection_lost

    @property
    def head(self):
        """Return the :class:`TargetResponseHead`; ``None`` before a response."""
        return self._head

    async def run(self):
        """Return the :class:`AttemptResult`, also for connection errors."""
        target = self._entry.id
        try:
            await with_deadline(self._call.deadline, self._clock, self._exchange())
            return self._evaluate()
        except TimeoutError:
            outcome = (
                AttemptOutcome.TIMED_OUT if self._is_sent else AttemptOutcome.NOT_SENT
            )
            return AttemptResult(outcome, target=target, reason=DEADLINE_REASON)
        except (RequestError, ValueError, *CONNECTION_ERRORS) as error:
            outcome = (
                AttemptOutcome.UNKNOWN if self._is_sent else AttemptOutcome.NOT_SENT
            )
            self._connection_lost = self._is_sent and isinstance(
                error, CONNECTION_ERRORS
            )
            return AttemptResult(outcome, target=target, reason=repr(error))

    async def _exchange(self):
        self._request_events = list(self._build_request())
        self._is_sent = True
        self._allow_slow_reader()
        await send_request(self._stream, self._call, self._request_events)
        for _ in range(MAX_STALE_RESPONSES):
            if await self._read_response():
                return
        raise EOFError("only answers to other requests")

    def _allow_slow_reader(self):
        """Give a target until the deadline to read a body that may fill its buffer.

        Where memory is divided among callers, targets may read slowly, too.
        """
        if self._call.reservation is None:
            return
        is_large = len(self._call.body) >= SLOWLY_READ_BYTES
        seconds = self._call.deadline - self._clock.now() if is_large else 0.0
        allow_slow_reader(self._stream.socket, seconds)

    def _build_request(self):
        call = self._call
        remaining = call.deadline - self._clock.now()
        headers = list(target_request_headers(call.headers, remaining, self._entry.id))
        if call.body or call.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", str(len(call.body)).encode()))
        yield h11.Request(method=call.method, target=call.path, headers=headers)
        if call.body:
            yield h11.Data(data=call.body)
        yield h11.EndOfMessage()

    async def _read_response(self):
        """Read the next response; return whether it belongs to this request."""
        event = await self._read_response_head()
        headers = list(event.headers)
        check_framing(headers, ResultCode.BAD_ANSWER)
        head = parse_response_head(event.status_code, headers)
        body = await read_response_body(
            self._stream,
            self._call,
            headers,
            MAX_RESPONSE_BYTES,
            event.status_code < _FIRST_ERROR_STATUS,
            self._buffers,
        )
        if head.request_id is not None and head.request_id != self._call.id:
            self._stream.reset_for_response(self._request_events)
            return False
        self._head = head
        response_headers = [
            each for each in end_to_end(headers) if each[0] != b"content-length"
        ]
        self._response = TargetResponse(event.status_code, response_headers, body)
        return True

    async def _read_response_head(self):
        """Return the next final :class:`h11.Response`.

        :raises ValueError: after too many interim ones.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._stream.next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise EOFError("closed before the answer")
        raise ValueError(f"more than {MAX_INTERIM_RESPONSES} interim responses")

    def _evaluate(self):
        """Return the result for a complete response."""
        head, response, target = self._head, self._response, self._entry.id
        if head.reports_not_run:
            reason = "replaced" if head.is_other_incarnation else "shed"
            return AttemptResult(AttemptOutcome.REFUSED, target=target, reason=reason)
        if response.status < _FIRST_ERROR_STATUS and (
            not head.is_signed or head.is_encoded
        ):
            reason = f"{response.status} without the target's own body"
            return AttemptResult(AttemptOutcome.UNKNOWN, target=target, reason=reason)
        if head.status_implies_not_run:
            # A client would conclude from the status that the request has not run.
            reason = f"{response.status} without saying that it has not run"
            return AttemptResult(AttemptOutcome.UNKNOWN, target=target, reason=reason)
        return AttemptResult(AttemptOutcome.ANSWERED, response, target)
