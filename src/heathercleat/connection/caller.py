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
    read_body,
    send_response,
    with_deadline,
)
from heathercleat.connection.server import ServerConnection, head_error
from heathercleat.errors import CallerDisconnectedError, RequestError
from heathercleat.events import Event
from heathercleat.process.clock import from_wall, to_wall
from heathercleat.request.at_most_once import run_at_most_once
from heathercleat.request.call import Call
from heathercleat.request.headers import (
    CODE_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    LEASE_HEADER,
    PEER_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AT_HEADER,
    RUN_HEADER,
    SERVICE_PREFIX,
    TICKET_HEADER,
    check_framing,
    find,
)
from heathercleat.request.lookup import answer_lookup
from heathercleat.request.proxying import proxy_request
from heathercleat.request.ticket import read_ticket
from heathercleat.version.text import DeliverySemantics

LOOKUP_PATH = "/lookup"
#: Longest time between two requests on a connection.
IDLE_TIMEOUT_SECONDS = 30.0
LINGER_SECONDS = 1.0
LINGER_BYTES = 16 * 1024 * 1024
MAX_KEY_LENGTH = 256
FIRST_SERVER_ERROR_STATUS = 500
REQUEST_ID_BYTES = 8


class CallerConnection(ServerConnection):
    """One connection of a caller, or of a VM that forwards requests.

    :param vm: the :class:`EntryVM`.
    :param forwarded: whether the requests are forwarded by other VMs under leases.
    """

    def __init__(self, vm, sock, address, forwarded=False):
        super().__init__(HttpStream(sock, h11.SERVER), LINGER_SECONDS, LINGER_BYTES)
        self._vm = vm
        self._caller = address[0]
        self._is_forwarded = forwarded

    async def _serve_next(self):
        """Serve one request; return whether the connection can be reused."""
        head = await self._read_head()
        if head is None:
            return False
        self._is_busy = True
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
        return await self._can_reuse_connection()

    async def _read_head(self):
        """Return the head of the next request, or ``None`` to close the connection."""
        deadline = self._vm.clock.now() + IDLE_TIMEOUT_SECONDS
        try:
            event = await with_deadline(
                deadline, self._vm.clock, self._stream.next_event()
            )
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
        # Iterating over a list is faster than over h11's header sequence.
        headers = list(head.headers)
        self._check_size(head, headers)
        check_framing(headers, ResultCode.BAD_REQUEST)
        if head.http_version != b"1.1":
            raise RequestError(ResultCode.BAD_REQUEST, "HTTP/1.1 is needed")
        path = head.target.decode("latin-1")
        if not self._is_forwarded and urlsplit(path).path == LOOKUP_PATH:
            await self._serve_lookup(path)
            return
        call = self._build_call(head, path, headers)
        await self._serve_call(call)

    def _check_size(self, head, headers):
        # h11 enforces its limit only on heads that arrive in more than one piece.
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
            await self._vm.readiness.wait_for_first_poll()
        response = answer_lookup(self._vm, query, self._caller)
        self._vm.metrics.count_lookup(response["service"])
        max_age = max(0, int(response["expires_at"] - self._vm.clock.wall()))
        headers = {
            "content-type": "application/json",
            "cache-control": f"max-age={max_age}",
            **self._close_header(),
        }
        body = dumps(response).encode()
        await send_response(self._stream, Message(headers=headers, body=body))

    def _build_call(self, head, path, headers):
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
        deadline = self._read_deadline(headers, kind)
        return Call(
            id=find(headers, REQUEST_ID_HEADER)
            if self._is_forwarded
            else token_hex(REQUEST_ID_BYTES),
            service=service,
            kind=kind,
            method=method,
            path=f"/{rest}",
            headers=headers,
            deadline=deadline,
            wall_deadline=to_wall(vm.clock, deadline),
            stream=self._stream,
            received_at=vm.clock.now(),
            key=self._read_key(headers),
            ticket=self._read_ticket(headers),
            lease_id=self._read_lease_id(headers),
            caller=self._caller,
        )

    def _read_deadline(self, headers, kind):
        deadline = self._vm.clock.now() + kind.timeout
        text = find(headers, DEADLINE_HEADER)
        if text is None:
            return deadline
        try:
            return min(deadline, from_wall(self._vm.clock, float(text)))
        except ValueError:
            message = f'the deadline "{text[:40]}" is not in epoch seconds'
            raise RequestError(ResultCode.BAD_DEADLINE, message) from None

    def _read_key(self, headers):
        key = find(headers, IDEMPOTENCY_KEY_HEADER)
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            message = f"an Idempotency-Key has 1 to {MAX_KEY_LENGTH} characters"
            raise RequestError(ResultCode.BAD_REQUEST, message)
        return key

    def _read_ticket(self, headers):
        text = find(headers, TICKET_HEADER)
        if text is None or self._is_forwarded:
            return None
        return read_ticket(self._vm.settings.keys, text)

    def _read_lease_id(self, headers):
        if not self._is_forwarded:
            return None
        token, lease = find(headers, PEER_HEADER), find(headers, LEASE_HEADER)
        if token is None or lease is None or not self._vm.tokens.accepts(token):
            message = "this address is for entry VMs"
            raise RequestError(ResultCode.BAD_REQUEST, message)
        return int(lease)

    async def _serve_call(self, call):
        with self._vm.observer.track(call) as record:
            if call.kind.semantics is not DeliverySemantics.UPLOAD:
                call.body = await self._read_body(call)
            else:
                self._check_length(call)
            if (
                call.kind.semantics is DeliverySemantics.AT_MOST_ONCE
                and call.lease_id is None
            ):
                await self._send_outcome(call, await run_at_most_once(self._vm, call))
            else:
                await proxy_request(self._vm, call, self._close_header())
            record.set_succeeded()

    def _check_length(self, call):
        length = find(call.headers, "content-length")
        if length is not None and int(length) > call.kind.body_limit:
            message = f"a body of {length} bytes is larger than {call.kind.body_limit}"
            raise RequestError(ResultCode.BODY_TOO_LARGE, message)

    async def _read_body(self, call):
        self._check_length(call)
        try:
            reading = read_body(self._stream, call.kind.body_limit)
            return await with_deadline(call.deadline, self._vm.clock, reading)
        except ValueError as error:
            raise RequestError(ResultCode.BODY_TOO_LARGE, str(error)) from None
        except TimeoutError:
            message = "the request body took too long"
            raise RequestError(ResultCode.SLOW_SENDER, message) from None
        except h11.RemoteProtocolError as error:
            raise RequestError(ResultCode.BAD_REQUEST, str(error)) from None

    async def _send_outcome(self, call, outcome):
        # After a server error it is unknown whether the target ran the request.
        is_error = outcome.status >= FIRST_SERVER_ERROR_STATUS
        run = Run.UNKNOWN if is_error else Run.RUN
        headers = [
            *outcome.headers,
            (CODE_HEADER, str(ResultCode.OK.number)),
            (RUN_HEADER, run.value),
            (REQUEST_ID_HEADER, call.id),
            ("content-length", str(len(outcome.body))),
            *self._close_header().items(),
        ]
        await self._stream.send(
            h11.Response(status_code=outcome.status, headers=headers),
            h11.Data(data=outcome.body),
            h11.EndOfMessage(),
        )

    async def _refuse(self, error):
        """Send an error response, or abort a response that has already begun."""
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
            CODE_HEADER: str(code.number),
            RUN_HEADER: code.run.value,
            **self._close_header(),
        }
        if error.retry_at is not None:
            wait = max(0.0, error.retry_at - self._vm.clock.wall())
            headers["retry-after"] = str(ceil(wait))
            headers[RETRY_AT_HEADER] = f"{error.retry_at:.3f}"
        if not self._stream.is_request_complete:
            headers["connection"] = "close"
        message = Message(
            status=code.status, headers=headers, body=dumps(body).encode()
        )
        await send_response(self._stream, message)

    def _close_header(self):
        return {"connection": "close"} if self._vm.is_leaving else {}
