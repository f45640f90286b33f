"""One try at a request through the VM that owns its target, and its answer there."""

import h11
import msgpack

from heathercleat.connection.http import CONNECTION_ERRORS, before, read_body
from heathercleat.steering.request.attempt_result import (
    CLIENT_LEFT,
    Answer,
    AttemptOutcome,
    AttemptResult,
)
from heathercleat.steering.request.call import Call, StreamCut
from heathercleat.steering.request.exchange import MAX_ANSWER_BYTES
from heathercleat.steering.version.routing import RequestKind

#: The order of a forwarded request and the result of a try, each packed in a header of
#: hexadecimal digits.
ORDER_HEADER = b"heathercleat-order"
RESULT = b"heathercleat-result"
#: Seconds in which another VM of the same region has to accept a connection.
CONNECT_TIMEOUT_SECONDS = 0.4
#: Seconds after a request's deadline until its owner is taken to have lost it.
ANSWER_MARGIN = 0.05


class ForwardOrder:
    """What the owner needs beside the request; lengths of time in seconds."""

    __slots__ = (
        "id",
        "fingerprint",
        "service",
        "route",
        "kind",
        "priority",
        "regions",
        "affinity",
        "returned",
        "preferred",
        "avoid",
        "remaining",
        "aim_in",
        "wait_for",
        "patience",
        "home_for",
        "send_for",
    )

    def __init__(self, *fields):
        for name, value in zip(self.__slots__, fields, strict=True):
            setattr(self, name, value)

    @classmethod
    def of(cls, call, preferred, avoid, until, trip, now):
        """Return the order for a call that may wait for a slot until ``until``.

        :param trip: the round trip to the owner; it shortens what is left there.
        """
        return cls(
            call.id,
            call.fingerprint,
            call.service,
            call.route.name,
            call.route.kind.value,
            call.route.priority,
            list(call.route.regions),
            call.affinity,
            call.returned,
            list(preferred),
            list(avoid),
            call.deadline - now,
            call.soft_deadline - now - trip,
            until - now,
            call.give_up_at - now,
            call.affinity_until - now,
            call.send_deadline - now - trip,
        )

    def pack(self):
        """Return the value of the header."""
        fields = [getattr(self, name) for name in self.__slots__]
        return msgpack.packb(fields).hex().encode()

    @classmethod
    def unpack(cls, value):
        """Return the order of a header's value.

        :raises ValueError: when it does not decode.
        """
        return cls(*msgpack.unpackb(bytes.fromhex(value.decode())))


class ForwardedRoute:
    """The part of a :class:`Route` that matters to the owner of a target."""

    __slots__ = ("name", "kind", "priority", "regions")

    def __init__(self, name, kind, priority, regions):
        self.name = name
        self.kind = kind
        self.priority = priority
        self.regions = regions

    def allows(self, region):
        """Return whether requests may be served in ``region``."""
        return not self.regions or region in self.regions


def call_from_order(order, head, headers, body, stream, now):
    """Return the :class:`Call` of a forwarded request."""
    kind, regions = RequestKind(order.kind), frozenset(order.regions)
    route = ForwardedRoute(order.route, kind, order.priority, regions)
    call = Call(
        order.id, head.method, head.target, headers, body, route, order.service, stream
    )
    call.arrived_at = now
    call.deadline = now + order.remaining
    call.soft_deadline = now + order.aim_in
    call.give_up_at = now + order.patience
    call.affinity_until = now + order.home_for
    call.send_deadline = now + order.send_for
    call.returned = order.returned
    call.affinity = order.affinity
    call.fingerprint = order.fingerprint
    return call


def result_header(result):
    """Return the header that tells the result of a try to the forwarding VM."""
    fields = [
        result.end.value,
        result.target,
        result.work,
        result.wait,
        result.reason,
        result.ended,
    ]
    return RESULT, msgpack.packb(fields).hex().encode()


class ForwardDispatcher:
    """Tries requests at targets of other VMs.

    :param pool: connections to other VMs.
    :param port: the port on which VMs take forwarded requests.
    """

    def __init__(self, pool, port, clock):
        self._pool = pool
        self._port = port
        self._clock = clock

    async def run(self, call, ip, preferred, avoid, until, trip):
        """Return the :class:`AttemptResult` of a try through the VM at ``ip``.

        :param trip: the usual round trip to it in seconds.
        """
        now = self._clock.now()
        connect_by = min(call.deadline, now + CONNECT_TIMEOUT_SECONDS + 2 * trip)
        try:
            checkout = self._pool.checkout(ip, self._port)
            stream = await before(connect_by, self._clock, checkout)
        except (OSError, TimeoutError) as error:
            return AttemptResult(AttemptOutcome.NOT_SENT, reason=f"VM {ip}: {error!r}")
        if call.left:
            await self._pool.checkin(ip, self._port, stream)
            return AttemptResult(AttemptOutcome.NOT_SENT, reason=CLIENT_LEFT)
        # The owner decides what to do with a request that may run once only: while it
        # waits there nothing has run. Not told of it, the owner sent such a request up
        # to 0.95 s after its client had left (seen on a day under load).
        call.on_leave = StreamCut(stream)
        try:
            now = self._clock.now()
            order = ForwardOrder.of(call, preferred, avoid, until, trip, now)
            return await self._exchange(call, ip, stream, order)
        finally:
            call.on_leave = None

    async def _exchange(self, call, ip, stream, order):
        whole = False
        deadline = call.deadline + ANSWER_MARGIN
        try:
            sending = self._send(stream, call, order)
            result = await before(deadline, self._clock, sending)
            whole = True
            return result
        except TimeoutError:
            return AttemptResult(AttemptOutcome.TIMED_OUT, reason=f"VM {ip}: deadline")
        except (ValueError, *CONNECTION_ERRORS) as error:
            return AttemptResult(AttemptOutcome.UNKNOWN, reason=f"VM {ip}: {error!r}")
        finally:
            if whole:
                await self._pool.checkin(ip, self._port, stream)
            else:
                await self._pool.discard(ip, self._port, stream)

    async def _send(self, stream, call, order):
        headers = [
            *call.headers,
            (ORDER_HEADER, order.pack()),
            (b"content-length", str(len(call.body)).encode()),
        ]
        events = [h11.Request(method=call.method, target=call.path, headers=headers)]
        if call.body:
            events.append(h11.Data(data=call.body))
        await stream.send(*events, h11.EndOfMessage())
        head = await stream.next_event()
        if not isinstance(head, h11.Response):
            raise EOFError("closed before the answer")
        body = await read_body(stream, MAX_ANSWER_BYTES)
        return _read_result(head, body)


def _read_result(head, body):
    """Return the :class:`AttemptResult` in an owner's answer."""
    headers = [each for each in head.headers if each[0] != b"content-length"]
    packed = next((value for name, value in headers if name == RESULT), None)
    if packed is None:
        raise ValueError(f"status {head.status_code} without a result")
    fields = msgpack.unpackb(bytes.fromhex(packed.decode()))
    end, target, work, wait, reason, ended = fields
    kept = [each for each in headers if each[0] != RESULT]
    answer = None
    if AttemptOutcome(end) is AttemptOutcome.ANSWERED:
        answer = Answer(head.status_code, kept, body)
    result = AttemptResult(AttemptOutcome(end), answer, target, work, wait, reason)
    result.ended = ended
    return result
