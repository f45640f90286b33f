"""Sending a request to a target and reading its whole answer."""

import h11

from heathercleat.codes import ResultCode
from heathercleat.connection.http import CONNECTION_ERRORS, before, read_body
from heathercleat.errors import RequestError
from heathercleat.platform.headers import parse_response_head, target_request_headers
from heathercleat.request.headers import check_framing, end_to_end
from heathercleat.steering.request.attempt_result import (
    DEADLINE,
    Answer,
    AttemptOutcome,
    AttemptResult,
)

#: Largest answer that is taken, in bytes; answers are held whole so that a cut one is
#: never passed on as if it were complete.
MAX_ANSWER_BYTES = 64 << 20
#: Answers to earlier requests that are skipped on a connection before it is given up.
MOST_STRAY_ANSWERS = 4
_FIRST_FAILURE = 400


class TargetExchange:
    """One exchange with a target over one connection.

    :param stream: an open :class:`HttpStream`.
    :param call: the :class:`Call`.
    :param entry: the :class:`TargetEntry`.
    """

    def __init__(self, stream, call, entry, clock):
        self._stream = stream
        self._call = call
        self._entry = entry
        self._clock = clock
        self._events = []
        self._head = None
        self._sent = False
        self._cut = False

    @property
    def cut(self):
        """Return whether the connection ended or broke after the request was sent."""
        return self._cut

    @property
    def head(self):
        """Return the :class:`TargetResponseHead`, or ``None`` before the answer."""
        return self._head

    async def run(self):
        """Return the :class:`AttemptResult`; errors of the target are results."""
        target = self._entry.id
        try:
            await before(self._call.deadline, self._clock, self._exchange())
            return self._judge()
        except TimeoutError:
            end = AttemptOutcome.TIMED_OUT if self._sent else AttemptOutcome.NOT_SENT
            return AttemptResult(end, target=target, reason=DEADLINE)
        except (RequestError, ValueError, *CONNECTION_ERRORS) as error:
            end = AttemptOutcome.UNKNOWN if self._sent else AttemptOutcome.NOT_SENT
            self._cut = self._sent and isinstance(error, CONNECTION_ERRORS)
            return AttemptResult(end, target=target, reason=repr(error))

    async def _exchange(self):
        self._events = list(self._request())
        self._sent = True
        await self._stream.send(*self._events)
        for _ in range(MOST_STRAY_ANSWERS):
            if await self._read_answer():
                return
        raise EOFError("only answers to other requests")

    def _request(self):
        call = self._call
        remaining = call.deadline - self._clock.now()
        headers = list(target_request_headers(call.headers, remaining, self._entry.id))
        if call.body or call.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", str(len(call.body)).encode()))
        yield h11.Request(method=call.method, target=call.path, headers=headers)
        if call.body:
            yield h11.Data(data=call.body)
        yield h11.EndOfMessage()

    async def _read_answer(self):
        """Read the next answer; return whether it is the one to this request."""
        event = await self._stream.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._stream.next_event()
        if not isinstance(event, h11.Response):
            raise EOFError("closed before the answer")
        headers = list(event.headers)
        check_framing(headers, ResultCode.BAD_ANSWER)
        head = parse_response_head(event.status_code, headers)
        body = await read_body(self._stream, MAX_ANSWER_BYTES)
        if head.request_id is not None and head.request_id != self._call.id:
            self._stream.reset_for_response(self._events)
            return False
        self._head = head
        kept = [each for each in end_to_end(headers) if each[0] != b"content-length"]
        self._answer = Answer(event.status_code, kept, body)
        return True

    def _judge(self):
        """Return the result of a whole answer."""
        head, answer, target = self._head, self._answer, self._entry.id
        if head.not_run:
            reason = "replaced" if head.replaced else "shed"
            return AttemptResult(AttemptOutcome.REFUSED, target=target, reason=reason)
        if answer.status < _FIRST_FAILURE and (not head.signed or head.encoded):
            reason = f"{answer.status} without the target's own body"
            return AttemptResult(AttemptOutcome.UNKNOWN, target=target, reason=reason)
        if head.promises:
            # The status would tell the client that the request has not run.
            reason = f"{answer.status} without saying that it has not run"
            return AttemptResult(AttemptOutcome.UNKNOWN, target=target, reason=reason)
        return AttemptResult(AttemptOutcome.ANSWERED, answer, target)
