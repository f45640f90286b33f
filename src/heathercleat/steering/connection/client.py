"""Connections of clients."""

import h11
from curio import CancelledError, ignore_after

from heathercleat.codes import ResultCode
from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    HttpStream,
    before,
    read_body,
)
from heathercleat.connection.server import head_error
from heathercleat.errors import CallerDisconnectedError, RequestError
from heathercleat.platform.headers import retry_after_headers
from heathercleat.request.headers import find
from heathercleat.steering.connection.call_reader import CallReader
from heathercleat.steering.connection.pipeline import Pipeline, PipelinedRequest

#: Seconds and bytes for which what a client still sends is read after the last answer.
LINGER_SECONDS = 0.5
LINGER_BYTES = 8 << 20
#: Requests of one connection that are served at the same time: an estimate. Each may
#: take a slot of a target, so that one client could take all of a small service.
MAX_PIPELINED_REQUESTS = 8
#: Methods whose requests change nothing: RFC 9112, section 9.3.2, lets a server run
#: several at the same time.
_SAFE_METHODS = (b"GET", b"HEAD")


class ClientConnection:
    """One connection of a client.

    :param sock: the accepted curio socket.
    :param node: the process: routing table, steering, leavers, bodies and journal.
    """

    def __init__(self, sock, node):
        self._stream = HttpStream(sock, h11.SERVER, node.limits.header_bytes)
        self._node = node
        self._clock = node.clock
        self._reader = CallReader(node)
        self._pipeline = Pipeline(MAX_PIPELINED_REQUESTS, self._abort)
        self._reading = False
        self._closed = False

    @property
    def is_busy(self):
        """Return whether a request is under way or has begun to arrive."""
        return self._reading or self._pipeline.is_busy

    def close_idle(self):
        """End the connection if no request is under way."""
        if not self.is_busy:
            self._closed = True
            self._abort()

    async def cancel_blocking_requests(self):
        """Give up the requests that keep ready answers from being sent."""
        await self._pipeline.cancel_blocking_requests()

    async def serve(self):
        """Read requests and have them served until either side closes."""
        try:
            while await self._read_next():
                self._reading = False
            self._reading = False
            await self._pipeline.drain()
            if self._closed:
                await self._linger()
        except CancelledError:
            await self._pipeline.cancel()
            raise
        except (CallerDisconnectedError, *CONNECTION_ERRORS):
            self._reading = False
            await self._pipeline.drain()
        finally:
            self._reading = False
        self._pipeline.check()

    async def _read_next(self):
        """Read a request and begin to serve it; return whether another may come."""
        await self._pipeline.make_room()
        head = await self._read_head()
        if head is None:
            return False
        turn = PipelinedRequest(self._stream, head, self._clock.now())
        if not _may_overlap(head):
            async with self._pipeline.alone(turn):
                await self._serve(turn)
            return await self._follow()
        turn.body = await read_body(self._stream, 0)
        goes_on = await self._follow()
        await self._pipeline.start(turn, self._serve)
        return goes_on

    async def _follow(self):
        """Go on to the next request; return whether the connection can take one."""
        if not self._stream.is_request_complete:
            await self._linger()
            return False
        next_message_stream = self._stream.next_message_stream()
        if next_message_stream is None:
            return False
        self._stream = next_message_stream
        return True

    async def _linger(self):
        """Read and drop what the client sends before it sees the end."""
        async with ignore_after(LINGER_SECONDS):
            await self._stream.linger(LINGER_BYTES)

    async def _serve(self, turn):
        """Serve a request to its end."""
        call = None
        try:
            call = await self._reader.read(turn)
            answer = await self._steer(turn, call)
            await self._send(turn, answer.status, answer.headers, answer.body)
            self._node.request_log.record_response(call, answer, self._clock.now())
        except RequestError as error:
            self._node.request_log.record_refusal(call, error, self._clock.now())
            await self._refuse(turn, error)
        except CallerDisconnectedError:
            self._node.request_log.record_disconnect(call, self._clock.now())
            self._abort()
            raise
        finally:
            self._node.body_memory.release(turn.held)

    async def _steer(self, turn, call):
        """Return the :class:`Answer` to a call.

        :raises RequestError: also when it is given up for the answers behind it.
        """
        with self._node.active_requests.watch(call):
            try:
                return await self._node.steer(call)
            except CancelledError:
                if not turn.given_up:
                    raise
                message = "the VM stops while the answers behind this one are ready"
                raise RequestError(ResultCode.ANSWER_LOST, message) from None

    async def _read_head(self):
        """Return the head of the next request, or ``None`` to close."""
        if not self._stream.has_partial_head and not await self._wait_for_bytes():
            return None
        if self._clock.now() >= self._node.shutdown.keep_alive_until:
            # The last of the answers that are due closes the connection.
            await self._pipeline.drain()
        if self._closed:
            # Bytes that came before the close are still read after it.
            return None
        self._reading = True
        head_until = self._clock.now() + self._node.limits.header_timeout
        try:
            event = await before(head_until, self._clock, self._stream.next_event())
        except TimeoutError:
            message = "the request head took too long"
            await self._refuse_head(RequestError(ResultCode.SLOW_SENDER, message))
            return None
        except h11.RemoteProtocolError as error:
            await self._refuse_head(head_error(error))
            return None
        is_request = isinstance(event, h11.Request) and not self._closed
        return event if is_request else None

    async def _wait_for_bytes(self):
        """Wait for the next request; return whether a part of it arrived."""
        while True:
            idle_until = self._clock.now() + self._node.limits.idle_timeout
            try:
                waiting = self._stream.wait_closed()
                return not await before(idle_until, self._clock, waiting)
            except TimeoutError:
                if not self._pipeline.is_busy:
                    return False

    async def _refuse_head(self, error):
        """Send the final answer to a request whose head could not be read."""
        await self._pipeline.drain()
        self._node.request_log.record_refusal(None, error, self._clock.now())
        await self._refuse(
            PipelinedRequest(self._stream, None, self._clock.now()), error
        )

    async def _refuse(self, turn, error):
        """Send the final answer for an error."""
        if not turn.stream.can_respond:
            self._abort()
            return
        headers = [(b"content-type", b"text/plain")]
        if error.retry_at is not None:
            wait = max(0.0, error.retry_at - self._clock.now())
            headers.extend(retry_after_headers(wait))
        if not turn.stream.is_request_complete:
            headers.append((b"connection", b"close"))
        body = f"{error.code.number} {error.code.name.lower()}\n".encode()
        await self._send(turn, error.code.status, headers, body)

    async def _send(self, turn, status, headers, body):
        """Send an answer when its turn has come."""
        await turn.come()
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        closes = self._node.is_leaving and self._pipeline.is_last(turn)
        if closes and (b"connection", b"close") not in headers:
            headers.append((b"connection", b"close"))
        # Requests that were not read before the close were not taken: the client may
        # send them again.
        self._closed = self._closed or closes
        events = [h11.Response(status_code=status, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        await turn.stream.send(*events, h11.EndOfMessage())
        turn.sent = True
        if closes and turn.task is not None:
            turn.stream.shutdown_write()

    def _abort(self):
        self._stream.abort()


def _may_overlap(head):
    """Return whether a request may be served beside others of its connection."""
    if head.method not in _SAFE_METHODS:
        return False
    headers = list(head.headers)
    length = find(headers, "content-length")
    return length in (None, "0") and find(headers, "transfer-encoding") is None
