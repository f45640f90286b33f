"""Serves connections of other VMs, for forwarded requests and store tables."""

import zlib

import h11
import msgpack

from heathercleat.connection.http import CONNECTION_ERRORS, HttpStream, read_body
from heathercleat.request.headers import end_to_end, find
from heathercleat.steering.connection.response_writer import write_response
from heathercleat.steering.process.memory.responses import NO_MEMORY_REASON
from heathercleat.steering.process.store.protocol import Snapshot, StoreRow
from heathercleat.steering.request.attempt_result import AttemptOutcome, AttemptResult
from heathercleat.steering.request.forward import (
    ORDER_HEADER,
    ForwardOrder,
    call_from_order,
    result_header,
)
from heathercleat.steering.request.response_body import discard_body

#: Path prefix of table requests; the table name and a version follow.
STATE_PATH_PREFIX = b"/state/"
MAX_BODY_BYTES = 256 << 20
#: The fastest zlib compression level; entries of targets are alike, so that a table
#: shrinks to an eighth already.
COMPRESSION_LEVEL = 1
#: Status of responses that do not carry the response of a target.
_NO_RESPONSE_STATUS = 200


class ForwardedConnection:
    """One connection of another VM.

    :param sock: the accepted curio socket.
    :param local: the :class:`LocalDispatcher`.
    :param active_requests: the :class:`ActiveRequests`, which detects disconnects.
    :param snapshot: function that returns a :class:`Snapshot` of the changes of a table
        since a version.
    :param budget: the :class:`MemoryBudget` for bodies, or ``None``.
    :param peer: description of the other VM, for the log.
    """

    def __init__(
        self, sock, local, active_requests, snapshot, clock, budget=None, peer=None
    ):
        self._stream = HttpStream(sock, h11.SERVER)
        self._local = local
        self._active_requests = active_requests
        self._snapshot = snapshot
        self._clock = clock
        self._budget = budget
        self._memory = budget and budget.responses
        self._output = self._memory and self._memory.monitor.new_output(sock, peer)

    async def serve(self):
        """Serve requests one at a time until either side closes."""
        try:
            while await self._serve_next():
                pass
        except CONNECTION_ERRORS:
            return
        finally:
            if self._output is not None:
                self._memory.monitor.forget(self._output)

    async def _serve_next(self):
        """Serve one request; return whether the connection can be reused."""
        head = await self._stream.next_event()
        if not isinstance(head, h11.Request):
            return False
        # Durations in a ForwardOrder start at the arrival of the head, not of the body.
        arrived_at = self._clock.now()
        if head.target.startswith(STATE_PATH_PREFIX):
            await read_body(self._stream, MAX_BODY_BYTES)
            await self._send_state(*parse_state_path(head.target))
        elif self._budget is None:
            body = await read_body(self._stream, MAX_BODY_BYTES)
            await self._serve_request(head, body, arrived_at)
        else:
            await self._serve_within_budget(head, arrived_at)
        return self._stream.next_cycle()

    async def _send_state(self, table, after):
        await self._send(
            _NO_RESPONSE_STATUS, [], pack_state(self._snapshot(table, after))
        )

    async def _serve_within_budget(self, head, arrived_at):
        """Serve a request; if there is no memory for it, tell the other VM."""
        size = int(find(head.headers, "content-length") or 0)
        if size and not self._budget.reserve(size):
            await discard_body(self._stream, MAX_BODY_BYTES)
            await self._send_result(_no_memory_result())
            return
        try:
            body = await read_body(self._stream, MAX_BODY_BYTES)
            await self._serve_request(head, body, arrived_at)
        finally:
            self._budget.release(size)

    async def _serve_request(self, head, body, arrived_at):
        headers = list(head.headers)
        packed = next(value for name, value in headers if name == ORDER_HEADER)
        order = ForwardOrder.unpack(packed)
        end_to_end_headers = [
            each for each in end_to_end(headers) if each[0] != b"content-length"
        ]
        call = call_from_order(
            order, head, end_to_end_headers, body, self._stream, arrived_at
        )
        wait_until = arrived_at + order.wait_for
        # Shutdown waits for watched calls, so the result is sent before the VM stops.
        with self._active_requests.watch(call):
            avoid = frozenset(order.avoid)
            try:
                result = await self._run(call, order, avoid, wait_until)
                if call.is_disconnected:
                    raise EOFError("the forwarding VM closed the connection")
                await self._send_result(result, call.reservation)
            finally:
                if call.reservation is not None:
                    call.reservation.release()

    async def _run(self, call, order, avoid, wait_until):
        if self._memory is not None:
            call.reservation = await self._memory.reserve(call)
            if call.reservation is None:
                return _no_memory_result()
        return await self._local.run(call, order.preferred, avoid, wait_until)

    async def _send_result(self, result, reservation=None):
        if result.outcome is AttemptOutcome.ANSWERED:
            response = result.response
            headers = [*response.headers, result_header(result)]
            await self._send(response.status, headers, response.body, reservation)
        else:
            await self._send(_NO_RESPONSE_STATUS, [result_header(result)], b"")

    async def _send(self, status, headers, body, reservation=None):
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        head = h11.Response(status_code=status, headers=headers)
        if self._output is not None:
            self._memory.monitor.watch(self._output)
            await write_response(self._stream, head, body, self._output, reservation)
            return
        events = [h11.Data(data=body)] if body else []
        await self._stream.send(head, *events, h11.EndOfMessage())


def _no_memory_result():
    """Return the :class:`AttemptResult` for a request without memory."""
    return AttemptResult(AttemptOutcome.NOT_SENT, reason=NO_MEMORY_REASON)


def state_path(table, after):
    """Return the path of a request for the changes of a table since a version.

    :param after: the version, a number.
    """
    return f"{STATE_PATH_PREFIX.decode()}{table}/{after}"


def parse_state_path(path):
    """Return the table name and the version in the path of a table request.

    :raises ValueError: if the version is not a number.
    """
    table, _, after = path.removeprefix(STATE_PATH_PREFIX).decode().rpartition("/")
    return table, int(after)


def pack_state(snapshot):
    """Encode a :class:`Snapshot` as compressed msgpack."""
    rows = [[row.key, row.value, row.version] for row in snapshot.rows]
    fields = [
        snapshot.version,
        snapshot.last_significant_version,
        rows,
        snapshot.remaining_use_seconds,
        snapshot.is_whole,
    ]
    return zlib.compress(msgpack.packb(fields), COMPRESSION_LEVEL)


def unpack_state(body):
    """Decode the :class:`Snapshot` in a response body.

    :raises ValueError: if it cannot be decoded.
    """
    try:
        packed = zlib.decompress(body)
    except zlib.error as error:
        raise ValueError(f"not compressed: {error}") from None
    version, last_significant_version, rows, remaining_use_seconds, is_whole = (
        msgpack.unpackb(packed)
    )
    rows = [StoreRow(*fields) for fields in rows]
    return Snapshot(
        version, rows, last_significant_version, remaining_use_seconds, is_whole
    )
