"""Serves connections of clients."""

import h11
from curio import CancelledError, ignore_after

from heathercleat.codes import ResultCode, Run
from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    HttpStream,
    read_body,
    with_deadline,
)
from heathercleat.connection.server import head_error
from heathercleat.errors import CallerDisconnectedError, RequestError
from heathercleat.platform.headers import retry_after_headers
from heathercleat.request.headers import find
from heathercleat.steering.connection.call_reader import CallReader
from heathercleat.steering.connection.pipeline import Pipeline, PipelinedRequest
from heathercleat.steering.connection.response_writer import write_response

#: Limits on reading and discarding data that a client sends after the last response.
LINGER_SECONDS = 0.5
LINGER_BYTES = 8 << 20
#: Limit per connection, so that one client cannot occupy all slots of a small service.
MAX_PIPELINED_REQUESTS = 8
#: Safe methods, which change nothing. A server may run several of their requests on one
#: connection at the same time; see RFC 9112, section 9.3.2.
_SAFE_METHODS = (b"GET", b"HEAD")


class ClientConnection:
    """One connection of a client.

    :param sock: the accepted curio socket.
    :param node: the :class:`SteeringNode`.
    :param peer: description of the client, for the log.
    """

    def __init__(self, sock, node, peer=None):
        self._stream = HttpStream(sock, h11.SERVER, node.limits.header_bytes)
        self._node = node
        self._clock = node.clock
        self._reader = CallReader(node)
        self._pipeline = Pipeline(MAX_PIPELINED_REQUESTS, self._abort)
        self._is_reading = False
        self._is_closed = False
        self._memory = node.body_memory.responses
        self._output = self._memory and self._memory.monitor.new_output(sock, peer)

    @property
    def is_busy(self):
        """Return whether a request is being read or served."""
        return self._is_reading or self._pipeline.is_busy

    def close_if_idle(self):
        """Close the connection if it is not busy."""
        if not self.is_busy:
            self._is_closed = True
            self._abort()

    async def cancel_requests_before_ready_responses(self):
        """Cancel the requests that block ready responses; used at shutdown."""
        await self._pipeline.cancel_requests_before_ready_responses()

    async def serve(self):
        """Read and serve requests until either side closes."""
        try:
            await self._serve_all()
        finally:
            if self._output is not None:
                self._memory.monitor.forget(self._output)
        self._pipeline.raise_failure()

    async def _serve_all(self):
        try:
            while await self._read_next():
                self._is_reading = False
            self._is_reading = False
            await self._pipeline.drain()
            if self._is_closed:
                await self._linger()
            if self._output is not None:
                # After the close, the kernel would keep the rest without a deadline.
                await self._output.wait_taken()
        except CancelledError:
            await self._pipeline.cancel()
            raise
        except (CallerDisconnectedError, *CONNECTION_ERRORS):
            self._is_reading = False
            await self._pipeline.drain()
        finally:
            self._is_reading = False

    async def _read_next(self):
        """Read a request and start to serve it; return whether to read another."""
        await self._pipeline.wait_for_capacity()
        head = await self._read_head()
        if head is None:
            return False
        request = PipelinedRequest(self._stream, head, self._clock.now())
        if not _can_serve_concurrently(head):
            async with self._pipeline.exclusive(request):
                await self._serve(request)
            return await self._switch_stream()
        request.body = await read_body(self._stream, 0)
        may_read_more = await self._switch_stream()
        await self._pipeline.start(request, self._serve)
        return may_read_more

    async def _switch_stream(self):
        """Prepare to read the next request.

        Return ``False`` if the connection has to be closed.
        """
        if not self._stream.is_request_complete:
            await self._linger()
            return False
        next_message_stream = self._stream.next_message_stream()
        if next_message_stream is None:
            return False
        self._stream = next_message_stream
        return True

    async def _linger(self):
        """Read and discard data, so that closing does not reset the connection."""
        async with ignore_after(LINGER_SECONDS):
            await self._stream.linger(LINGER_BYTES)

    async def _serve(self, request):
        """Steer a request and send the response."""
        call = None
        try:
            call = await self._reader.read(request)
            if self._memory is not None:
                reservation = await self._memory.reserve_or_refuse(call)
                request.reservation = call.reservation = reservation
            response = await self._steer(request, call)
            self._release_body(request, call)
            await self._send(request, response.status, response.headers, response.body)
            self._node.request_log.record_response(call, response, self._clock.now())
        except RequestError as error:
            if request.charge is not None and error.code.run is Run.NOT_RUN:
                request.charge.refund()
            self._node.request_log.record_refusal(
                call, error, self._clock.now(), request.id, request.workspace
            )
            await self._refuse(request, error)
        except CallerDisconnectedError:
            self._node.request_log.record_disconnect(call, self._clock.now())
            self._abort()
            raise
        finally:
            self._release(request)

    def _release_body(self, request, call):
        """Release the body of a request that has its response."""
        if self._memory is not None:
            self._node.body_memory.release(request.reserved_bytes)
            request.reserved_bytes = 0
            request.body = call.body = b""

    def _release(self, request):
        """Release the memory of a request that has ended."""
        self._node.body_memory.release(request.reserved_bytes)
        if request.reservation is not None:
            request.reservation.release()

    async def _steer(self, request, call):
        """Return the :class:`TargetResponse` to a call.

        :raises RequestError: also if the request is cancelled because it blocks others.
        """
        with self._node.active_requests.watch(call):
            try:
                return await self._node.steer(call)
            except CancelledError:
                if not request.is_cancelled:
                    raise
                message = "the VM is stopping and later responses are ready"
                raise RequestError(ResultCode.ANSWER_LOST, message) from None

    async def _read_head(self):
        """Return the next :class:`h11.Request`, or ``None`` to close."""
        if not self._stream.has_partial_head and not await self._wait_for_bytes():
            return None
        if self._clock.now() >= self._node.shutdown.keep_alive_until:
            # The last pending response closes the connection.
            await self._pipeline.drain()
        if self._is_closed:
            # Data received before the close may still be buffered.
            return None
        self._is_reading = True
        head_deadline = self._clock.now() + self._node.limits.header_timeout
        try:
            event = await with_deadline(
                head_deadline, self._clock, self._stream.next_event()
            )
        except TimeoutError:
            message = "the request head took too long"
            await self._refuse_head(RequestError(ResultCode.SLOW_SENDER, message))
            return None
        except h11.RemoteProtocolError as error:
            await self._refuse_head(head_error(error))
            return None
        is_request = isinstance(event, h11.Request) and not self._is_closed
        return event if is_request else None

    async def _wait_for_bytes(self):
        """Wait for data; return whether any arrived before the idle timeout."""
        while True:
            idle_deadline = self._clock.now() + self._node.limits.idle_timeout
            try:
                closed_wait = self._stream.wait_closed()
                return not await with_deadline(idle_deadline, self._clock, closed_wait)
            except TimeoutError:
                if not self._pipeline.is_busy:
                    return False

    async def _refuse_head(self, error):
        """Send the refusal of a request whose head could not be read."""
        await self._pipeline.drain()
        self._node.request_log.record_refusal(None, error, self._clock.now())
        await self._refuse(
            PipelinedRequest(self._stream, None, self._clock.now()), error
        )

    async def _refuse(self, request, error):
        """Send the response for a :class:`RequestError`."""
        if not request.stream.can_respond:
            self._abort()
            return
        headers = [(b"content-type", b"text/plain")]
        if error.retry_at is not None:
            wait = max(0.0, error.retry_at - self._clock.now())
            headers.extend(retry_after_headers(wait))
        if not request.stream.is_request_complete:
            headers.append((b"connection", b"close"))
        body = f"{error.code.number} {error.code.name.lower()}\n".encode()
        await self._send(request, error.code.status, headers, body)

    async def _send(self, request, status, headers, body):
        """Send a response after those to earlier requests."""
        await request.wait_for_turn()
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        is_closing = self._node.is_stopping and self._pipeline.is_last(request)
        if is_closing and (b"connection", b"close") not in headers:
            headers.append((b"connection", b"close"))
        # The client may retry requests that were not read before the close.
        self._is_closed = self._is_closed or is_closing
        await self._write(
            request, h11.Response(status_code=status, headers=headers), body
        )
        request.is_sent = True
        if is_closing and request.task is not None:
            request.stream.shutdown_write()

    async def _write(self, request, head, body):
        if self._output is None:
            events = [h11.Data(data=body)] if body else []
            await request.stream.send(head, *events, h11.EndOfMessage())
            return
        self._memory.monitor.watch(self._output)
        await write_response(
            request.stream, head, body, self._output, request.reservation
        )

    def _abort(self):
        self._stream.abort()


def _can_serve_concurrently(head):
    """Return whether a request may be served concurrently; it must have no body."""
    if head.method not in _SAFE_METHODS:
        return False
    headers = list(head.headers)
    length = find(headers, "content-length")
    return length in (None, "0") and find(headers, "transfer-encoding") is None
