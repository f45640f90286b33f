"""Serves connections of other VMs, for forwarded requests and store tables."""

import zlib

import h11
import msgpack

from heathercleat.connection.http import CONNECTION_ERRORS, HttpStream, read_body
from heathercleat.request.headers import end_to_end
from heathercleat.steering.process.store.protocol import Snapshot, StoreRow
from heathercleat.steering.request.attempt_result import AttemptOutcome
from heathercleat.steering.request.forward import (
    ORDER_HEADER,
    ForwardOrder,
    call_from_order,
    result_header,
)

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
    """

    def __init__(self, sock, local, active_requests, snapshot, clock):
        self._stream = HttpStream(sock, h11.SERVER)
        self._local = local
        self._active_requests = active_requests
        self._snapshot = snapshot
        self._clock = clock

    async def serve(self):
        """Serve requests one at a time until either side closes."""
        try:
            while await self._serve_next():
                pass
        except CONNECTION_ERRORS:
            return

    async def _serve_next(self):
        """Serve one request; return whether the connection can be reused."""
        head = await self._stream.next_event()
        if not isinstance(head, h11.Request):
            return False
        # Durations in a ForwardOrder start at the arrival of the head, not of the body.
        arrived_at = self._clock.now()
        body = await read_body(self._stream, MAX_BODY_BYTES)
        if head.target.startswith(STATE_PATH_PREFIX):
            await self._send_state(*parse_state_path(head.target))
        else:
            await self._serve_request(head, body, arrived_at)
        return self._stream.next_cycle()

    async def _send_state(self, table, after):
        await self._send(
            _NO_RESPONSE_STATUS, [], pack_state(self._snapshot(table, after))
        )

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
            result = await self._local.run(call, order.preferred, avoid, wait_until)
            if call.is_disconnected:
                raise EOFError("the forwarding VM closed the connection")
            await self._send_result(result)

    async def _send_result(self, result):
        if result.outcome is AttemptOutcome.ANSWERED:
            response = result.response
            headers = [*response.headers, result_header(result)]
            await self._send(response.status, headers, response.body)
        else:
            await self._send(_NO_RESPONSE_STATUS, [result_header(result)], b"")

    async def _send(self, status, headers, body):
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        events = [h11.Response(status_code=status, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        await self._stream.send(*events, h11.EndOfMessage())


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
