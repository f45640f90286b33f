"""Connections of clients."""

from secrets import token_hex

import h11
from curio import sleep

from heathercleat.codes import ResultCode
from heathercleat.connection.http import HttpStream, before, read_body
from heathercleat.connection.serving import ServingConnection, head_error
from heathercleat.errors import CallerLeftError, RequestError
from heathercleat.platform.headers import read_client_head, refusal_headers
from heathercleat.request.headers import check_framing, end_to_end, find
from heathercleat.steering.request.call import Call

ID_BYTES = 8
#: Seconds and bytes for which the rest of a refused request is read.
LINGER_SECONDS = 0.5
LINGER_BYTES = 8 << 20
#: Seconds after which a refused client is welcome, where nothing else is known.
UNKNOWN_RETURN = 0.3
#: Seconds for which a request waits at a process that has just started: it knows its
#: configuration and its targets 0.2 to 0.25 s after its start.
START_PATIENCE = 0.25
START_POLL = 0.01


class ClientConnection(ServingConnection):
    """One connection of a client.

    :param sock: the accepted curio socket.
    :param node: the process: routing table, steering, leavers, bodies and journal.
    """

    def __init__(self, sock, node):
        stream = HttpStream(sock, h11.SERVER, node.limits.header_bytes)
        super().__init__(stream, LINGER_SECONDS, LINGER_BYTES)
        self._node = node
        self._clock = node.clock
        self._closed = False
        self._held = 0

    def close_idle(self):
        """End the connection if no request is under way."""
        if not self._busy:
            self._closed = True
            self._stream.abort()

    async def _serve_next(self):
        """Serve one request; return whether the connection can take another."""
        head = await self._read_head()
        if head is None:
            return False
        arrived_at = self._clock.now()
        call = None
        try:
            call = await self._read_call(head, arrived_at)
            with self._node.leavers.watch(call):
                answer = await self._node.steer(call)
            await self._send(answer.status, answer.headers, answer.body)
            self._node.record.answered(call, answer, self._clock.now())
        except RequestError as error:
            self._node.record.refused(call, error, self._clock.now())
            await self._refuse(error)
        except CallerLeftError:
            self._node.record.left(call, self._clock.now())
            self._stream.abort()
            raise
        finally:
            self._node.bodies.give(self._held)
            self._held = 0
        return await self._can_go_on()

    async def _read_head(self):
        """Return the head of the next request, or ``None`` to close."""
        limits = self._node.limits
        if not self._stream.head_begun:
            idle_until = self._clock.now() + limits.idle_timeout
            try:
                waiting = self._stream.wait_closed()
                if await before(idle_until, self._clock, waiting):
                    return None
            except TimeoutError:
                return None
        if self._closed:
            # Bytes that came before the close are still read after it.
            return None
        self._busy = True
        head_until = self._clock.now() + limits.header_timeout
        try:
            event = await before(head_until, self._clock, self._stream.next_event())
        except TimeoutError:
            message = "the request head took too long"
            await self._refuse(RequestError(ResultCode.SLOW_SENDER, message))
            return None
        except h11.RemoteProtocolError as error:
            refusal = head_error(error)
            self._node.record.refused(None, refusal, self._clock.now())
            await self._refuse(refusal)
            return None
        return event if isinstance(event, h11.Request) else None

    async def _read_call(self, head, arrived_at):
        """Read the rest of a request and return its :class:`Call`."""
        headers = list(head.headers)
        check_framing(headers, ResultCode.BAD_REQUEST)
        await self._wait_for_start(arrived_at + START_PATIENCE)
        client = read_client_head(headers)
        route = self._match(head, headers)
        self._node.departure.check(route.name, self._clock.now())
        deadline = arrived_at + min(client.wait, route.timeout)
        body = await self._read_body(headers, deadline)
        passed = [each for each in end_to_end(headers) if each[0] != b"content-length"]
        call = Call(
            client.request_id or token_hex(ID_BYTES),
            head.method,
            head.target,
            passed,
            body,
            route,
            self._node.choose_service(route),
            self._stream,
        )
        call.arrived_at = arrived_at
        call.deadline = deadline
        # The aim counts from the first attempt: what is late already leaves the slots
        # to those that are not.
        elapsed = self._node.repeats.elapsed(route.name, client.wait)
        call.aim_at = arrived_at + route.latency_aim - elapsed
        call.returned = elapsed > 0.0
        call.affinity = client.affinity
        call.client_wait = client.wait
        return call

    async def _wait_for_start(self, until):
        """Wait for the configuration and the targets, an instant at most."""
        while not self._node.started and self._clock.now() < until:
            await sleep(START_POLL)

    def _match(self, head, headers):
        table = self._node.table
        if table is None:
            now = self._clock.now()
            raise RequestError(
                ResultCode.NO_CONFIGURATION,
                "no configuration is known yet",
                retry_at=now + UNKNOWN_RETURN,
            )
        host = next((value for name, value in headers if name == b"host"), b"")
        path = head.target.split(b"?", 1)[0].decode("latin-1")
        route = table.match(host.decode("latin-1").lower(), path)
        if route is None:
            message = f'no route for "{host.decode("latin-1")}" and "{path}"'
            raise RequestError(ResultCode.NO_ROUTE, message)
        return route

    async def _read_body(self, headers, deadline):
        limit = self._node.limits.body_bytes
        self._hold(int(find(headers, "content-length") or 0))
        try:
            reading = read_body(self._stream, limit)
            body = await before(deadline, self._clock, reading)
            # A body in chunks tells its length only now.
            self._hold(len(body) - self._held)
            return body
        except ValueError as error:
            raise RequestError(ResultCode.BODY_TOO_LARGE, str(error)) from None
        except TimeoutError:
            message = "the request body took too long"
            raise RequestError(ResultCode.SLOW_SENDER, message) from None
        except h11.RemoteProtocolError as error:
            raise RequestError(ResultCode.BAD_REQUEST, str(error)) from None

    def _hold(self, size):
        """Hold memory for a body.

        :raises RequestError: when other bodies have taken it.
        """
        if size <= 0:
            return
        if not self._node.bodies.take(size):
            message = f"no memory for a body of {size} bytes beside the others"
            retry_at = self._clock.now() + UNKNOWN_RETURN
            raise RequestError(ResultCode.NO_ROOM, message, retry_at)
        self._held += size

    async def _refuse(self, error):
        """Send the final answer for an error."""
        if not self._stream.can_answer:
            self._stream.abort()
            return
        headers = [(b"content-type", b"text/plain")]
        if error.retry_at is not None:
            wait = max(0.0, error.retry_at - self._clock.now())
            headers.extend(refusal_headers(wait))
        if not self._stream.request_complete:
            headers.append((b"connection", b"close"))
        body = f"{error.code.number} {error.code.name.lower()}\n".encode()
        await self._send(error.code.status, headers, body)

    async def _send(self, status, headers, body):
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        if self._node.leaving and (b"connection", b"close") not in headers:
            headers.append((b"connection", b"close"))
        events = [h11.Response(status_code=status, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        await self._stream.send(*events, h11.EndOfMessage())
