"""Connections of callers, and of VMs that forward requests under a lease."""

from json import dumps
from math import ceil
from secrets import token_hex
from urllib.parse import parse_qs, urlsplit

import h11

from heathercleat.codes import ResultCode, Run
from heathercleat.connection.http import (
    MAX_HEADER_BYTES,
    HttpStream,
    Message,
    before,
    read_body,
    send_message,
)
from heathercleat.connection.server import ServerConnection, head_error
from heathercleat.errors import CallerDisconnectedError, RequestError
from heathercleat.events import Event
from heathercleat.process.clock import from_wall, to_wall
from heathercleat.request.at_most_once import run_once
from heathercleat.request.call import Call
from heathercleat.request.headers import (
    CODE,
    DEADLINE,
    IDEMPOTENCY_KEY,
    LEASE,
    PEER,
    REQUEST_ID,
    RETRY_AT,
    RUN,
    SERVICE_PREFIX,
    TICKET,
    check_framing,
    find,
)
from heathercleat.request.lookup import answer_lookup
from heathercleat.request.proxying import carry
from heathercleat.request.ticket import read as read_ticket
from heathercleat.version.text import Semantics

LOOKUP_PATH = "/lookup"
#: Seconds for which a connection may be idle between requests.
IDLE_SECONDS = 30.0
LINGER_SECONDS = 1.0
LINGER_BYTES = 16 * 1024 * 1024
MAX_KEY_LENGTH = 256
FIRST_SERVER_ERROR = 500
ID_BYTES = 8


class CallerConnection(ServerConnection):
    """One connection of a caller, or of a VM that forwards requests.

    :param vm: the process that serves it.
    :param forwarded: whether requests come from other VMs, under leases.
    """

    def __init__(self, vm, sock, address, forwarded=False):
        super().__init__(HttpStream(sock, h11.SERVER), LINGER_SECONDS, LINGER_BYTES)
        self._vm = vm
        self._caller = address[0]
        self._forwarded = forwarded

    async def _serve_next(self):
        """Serve one request; return whether the connection can take another."""
        head = await self._read_head()
        if head is None:
            return False
        self._busy = True
        try:
            await self._serve(head)
        except RequestError as error:
            await self._refuse(error)
        except CallerDisconnectedError:
            self._vm.journal.write(Event.CALLER_LEFT, caller=self._caller)
            self._stream.abort()
            return False
        except BaseException:
            self._stream.abort()
            raise
        return await self._can_go_on()

    async def _read_head(self):
        """Return the head of the next request, or ``None`` to close."""
        deadline = self._vm.clock.now() + IDLE_SECONDS
        try:
            event = await before(deadline, self._vm.clock, self._stream.next_event())
        except TimeoutError:
            if self._stream.has_partial_head:
                message = "the request head took too long"
                await self._refuse(RequestError(ResultCode.SLOW_SENDER, message))
            return None
        except h11.RemoteProtocolError as error:
            await self._refuse(head_error(error))
            return None
        return event if isinstance(event, h11.Request) else None

    async def _serve(self, head):
        # A list is iterated much faster than the library's header sequence.
        headers = list(head.headers)
        self._check_size(head, headers)
        check_framing(headers, ResultCode.BAD_REQUEST)
        if head.http_version != b"1.1":
            raise RequestError(ResultCode.BAD_REQUEST, "HTTP/1.1 is needed")
        path = head.target.decode("latin-1")
        if not self._forwarded and urlsplit(path).path == LOOKUP_PATH:
            await self._serve_lookup(path)
            return
        call = self._to_call(head, path, headers)
        await self._serve_call(call)

    def _check_size(self, head, headers):
        # h11 limits only heads that arrive in more than one piece.
        fields = sum(len(name) + len(value) for name, value in headers)
        if len(head.target) + fields > MAX_HEADER_BYTES:
            message = f"the request head is larger than {MAX_HEADER_BYTES} bytes"
            raise RequestError(ResultCode.HEADERS_TOO_LARGE, message)

    async def _serve_lookup(self, path):
        await read_body(self._stream, 0)
        query = {
            name: values[0] for name, values in parse_qs(urlsplit(path).query).items()
        }
        if self._vm.text is not None:
            await self._vm.readiness.wait_first_round()
        answer = answer_lookup(self._vm, query, self._caller)
        self._vm.metrics.count_lookup(answer["service"])
        max_age = max(0, int(answer["expires_at"] - self._vm.clock.wall()))
        headers = {
            "content-type": "application/json",
            "cache-control": f"max-age={max_age}",
            **self._close_header(),
        }
        body = dumps(answer).encode()
        await send_message(self._stream, Message(headers=headers, body=body))

    def _to_call(self, head, path, headers):
        vm = self._vm
        if vm.text is None:
            message = "no configuration is known here yet"
            raise RequestError(ResultCode.NO_CONFIGURATION, message)
        name, _, rest = path.removeprefix(SERVICE_PREFIX).partition("/")
        service = vm.text.services.get(name)
        if not path.startswith(SERVICE_PREFIX) or service is None:
            message = f'unknown service in "{path[:80]}"; write {SERVICE_PREFIX}NAME/'
            raise RequestError(ResultCode.UNKNOWN_SERVICE, message)
        method = head.method.decode()
        kind = service.find_kind(method, f"/{rest}")
        if kind is None:
            message = f'"{name}" takes no {method} /{rest[:80]}'
            raise RequestError(ResultCode.UNKNOWN_KIND, message)
        deadline = self._deadline(headers, kind)
        return Call(
            id=find(headers, REQUEST_ID) if self._forwarded else token_hex(ID_BYTES),
            service=service,
            kind=kind,
            method=method,
            path=f"/{rest}",
            headers=headers,
            deadline=deadline,
            wall_deadline=to_wall(vm.clock, deadline),
            stream=self._stream,
            received_at=vm.clock.now(),
            key=self._key(headers),
            ticket=self._ticket(headers),
            lease=self._lease(headers),
            caller=self._caller,
        )

    def _deadline(self, headers, kind):
        deadline = self._vm.clock.now() + kind.timeout
        given = find(headers, DEADLINE)
        if given is None:
            return deadline
        try:
            return min(deadline, from_wall(self._vm.clock, float(given)))
        except ValueError:
            message = f'the deadline "{given[:40]}" is not in epoch seconds'
            raise RequestError(ResultCode.BAD_DEADLINE, message) from None

    def _key(self, headers):
        key = find(headers, IDEMPOTENCY_KEY)
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            message = f"an Idempotency-Key has 1 to {MAX_KEY_LENGTH} characters"
            raise RequestError(ResultCode.BAD_REQUEST, message)
        return key

    def _ticket(self, headers):
        text = find(headers, TICKET)
        if text is None or self._forwarded:
            return None
        return read_ticket(self._vm.settings.keys, text)

    def _lease(self, headers):
        if not self._forwarded:
            return None
        token, lease = find(headers, PEER), find(headers, LEASE)
        if token is None or lease is None or not self._vm.tokens.accepts(token):
            message = "this address is for entry VMs"
            raise RequestError(ResultCode.BAD_REQUEST, message)
        return int(lease)

    async def _serve_call(self, call):
        with self._vm.observer.observing(call) as observed:
            if call.kind.semantics is not Semantics.UPLOAD:
                call.body = await self._read_body(call)
            else:
                self._check_length(call)
            if call.kind.semantics is Semantics.AT_MOST_ONCE and call.lease is None:
                await self._send_outcome(call, await run_once(self._vm, call))
            else:
                await carry(self._vm, call, self._close_header())
            observed.done()

    def _check_length(self, call):
        length = find(call.headers, "content-length")
        if length is not None and int(length) > call.kind.body_limit:
            message = f"a body of {length} bytes is larger than {call.kind.body_limit}"
            raise RequestError(ResultCode.BODY_TOO_LARGE, message)

    async def _read_body(self, call):
        self._check_length(call)
        try:
            reading = read_body(self._stream, call.kind.body_limit)
            return await before(call.deadline, self._vm.clock, reading)
        except ValueError as error:
            raise RequestError(ResultCode.BODY_TOO_LARGE, str(error)) from None
        except TimeoutError:
            message = "the request body took too long"
            raise RequestError(ResultCode.SLOW_SENDER, message) from None
        except h11.RemoteProtocolError as error:
            raise RequestError(ResultCode.BAD_REQUEST, str(error)) from None

    async def _send_outcome(self, call, outcome):
        # A server error does not say how far the target got.
        failed = outcome.status >= FIRST_SERVER_ERROR
        run = Run.UNKNOWN if failed else Run.RUN
        headers = [
            *outcome.headers,
            (CODE, str(ResultCode.OK.number)),
            (RUN, run.value),
            (REQUEST_ID, call.id),
            ("content-length", str(len(outcome.body))),
            *self._close_header().items(),
        ]
        await self._stream.send(
            h11.Response(status_code=outcome.status, headers=headers),
            h11.Data(data=outcome.body),
            h11.EndOfMessage(),
        )

    async def _refuse(self, error):
        """Send the final answer for an error, or cut an answer that has begun."""
        if not self._stream.can_respond:
            self._stream.abort()
            return
        code = error.code
        body = {
            "code": code.number,
            "name": code.name.lower(),
            "run": code.run.value,
            "message": str(error),
            "next": code.advice,
        }
        headers = {
            "content-type": "application/json",
            CODE: str(code.number),
            RUN: code.run.value,
            **self._close_header(),
        }
        if error.retry_at is not None:
            wait = max(0.0, error.retry_at - self._vm.clock.wall())
            headers["retry-after"] = str(ceil(wait))
            headers[RETRY_AT] = f"{error.retry_at:.3f}"
        if not self._stream.is_request_complete:
            headers["connection"] = "close"
        message = Message(
            status=code.status, headers=headers, body=dumps(body).encode()
        )
        await send_message(self._stream, message)

    def _close_header(self):
        return {"connection": "close"} if self._vm.leaving else {}
