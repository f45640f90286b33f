"""Connections of other VMs, which forward requests and ask for tables."""

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

#: Path of a call for a table; its name and the version after which changes are wanted
#: follow.
STATE_PATH = b"/state/"
MAX_BODY_BYTES = 256 << 20
#: Level of compression of tables: entries of targets are alike, and shrink to an eighth
#: at the fastest one.
FAST = 1
#: Status of an answer that carries a result without a target's answer.
_NO_ANSWER = 200


class ForwardedConnection:
    """One connection of another VM.

    :param sock: the accepted curio socket.
    :param local: tries requests at own targets.
    :param leavers: watches for callers that leave.
    :param snapshot: returns the :class:`Snapshot` of what changed in a table since a
        version.
    """

    def __init__(self, sock, local, active_requests, snapshot, clock):
        self._stream = HttpStream(sock, h11.SERVER)
        self._local = local
        self._leavers = active_requests
        self._snapshot = snapshot
        self._clock = clock

    async def serve(self):
        """Serve requests one after the other until either side closes."""
        try:
            while await self._serve_next():
                pass
        except CONNECTION_ERRORS:
            return

    async def _serve_next(self):
        head = await self._stream.next_event()
        if not isinstance(head, h11.Request):
            return False
        # What the order tells counts from its sending, not from the end of its body.
        arrived_at = self._clock.now()
        body = await read_body(self._stream, MAX_BODY_BYTES)
        if head.target.startswith(STATE_PATH):
            await self._send_state(*parse_state_path(head.target))
        else:
            await self._serve_request(head, body, arrived_at)
        return self._stream.next_cycle()

    async def _send_state(self, table, after):
        await self._send(_NO_ANSWER, [], pack_state(self._snapshot(table, after)))

    async def _serve_request(self, head, body, arrived_at):
        headers = list(head.headers)
        packed = next(value for name, value in headers if name == ORDER_HEADER)
        order = ForwardOrder.unpack(packed)
        passed = [each for each in end_to_end(headers) if each[0] != b"content-length"]
        call = call_from_order(order, head, passed, body, self._stream, arrived_at)
        until = arrived_at + order.wait_for
        # The VM does not end before its answer to the other VM is sent.
        with self._leavers.watch(call):
            avoid = frozenset(order.avoid)
            result = await self._local.run(call, order.preferred, avoid, until)
            if call.left:
                raise EOFError("the other VM left")
            await self._send_result(result)

    async def _send_result(self, result):
        if result.end is AttemptOutcome.ANSWERED:
            answer = result.answer
            headers = [*answer.headers, result_header(result)]
            await self._send(answer.status, headers, answer.body)
        else:
            await self._send(_NO_ANSWER, [result_header(result)], b"")

    async def _send(self, status, headers, body):
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        events = [h11.Response(status_code=status, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        await self._stream.send(*events, h11.EndOfMessage())


def state_path(table, after):
    """Return the path of a call for what changed in a table since a version."""
    return f"{STATE_PATH.decode()}{table}/{after}"


def parse_state_path(path):
    """Return the name of the table and the version in the path of a call.

    :raises ValueError: when it names none.
    """
    table, _, after = path.removeprefix(STATE_PATH).decode().rpartition("/")
    return table, int(after)


def pack_state(snapshot):
    """Return the bytes of a :class:`Snapshot` on the wire."""
    rows = [[row.key, row.value, row.version] for row in snapshot.rows]
    fields = [
        snapshot.version,
        snapshot.last_change,
        rows,
        snapshot.lapsing,
        snapshot.is_whole,
    ]
    return zlib.compress(msgpack.packb(fields), FAST)


def unpack_state(body):
    """Return the :class:`Snapshot` in an answer for a table.

    :raises ValueError: when it does not decode.
    """
    try:
        packed = zlib.decompress(body)
    except zlib.error as fault:
        raise ValueError(f"not compressed: {fault}") from None
    version, last_change, rows, lapsing, is_whole = msgpack.unpackb(packed)
    rows = [StoreRow(*fields) for fields in rows]
    return Snapshot(version, rows, last_change, lapsing, is_whole)
