"""Forwards requests to the VM that owns the target, and encodes the result."""

import h11
import msgpack

from heathercleat.connection.http import CONNECTION_ERRORS, with_deadline
from heathercleat.platform.headers import workspace_name
from heathercleat.request.headers import find
from heathercleat.steering.request.attempt_result import (
    CLIENT_LEFT_REASON,
    AttemptOutcome,
    AttemptResult,
    TargetResponse,
)
from heathercleat.steering.request.call import Call, StreamInterrupter
from heathercleat.steering.request.exchange import MAX_RESPONSE_BYTES
from heathercleat.steering.request.response_body import read_response_body
from heathercleat.steering.request.sending import send_request
from heathercleat.steering.version.routing import RequestKind

#: Headers with the metadata and the result of a forwarded request, in hexadecimal.
ORDER_HEADER = b"heathercleat-order"
RESULT_HEADER = b"heathercleat-result"
#: Seconds to connect to a VM of the same region.
CONNECT_TIMEOUT_SECONDS = 0.4
#: Seconds to wait for the owner's result after the deadline.
RESULT_MARGIN_SECONDS = 0.05


class ForwardOrder:
    """Metadata that a forwarded request carries to the owner; durations in seconds.

    The fields are sent in the sequence of ``__slots__``.

    :param id: request id.
    :param fingerprint: see :attr:`Call.fingerprint`.
    :param service: name of the service that runs the request.
    :param route: name of the route.
    :param kind: value of the route's :class:`RequestKind`.
    :param priority: see :attr:`Route.priority`.
    :param regions: see :attr:`Route.regions`.
    :param affinity: affinity key of the requested object, or ``None``.
    :param returned: whether the request is a client's retry.
    :param preferred: ids of the affinity targets, best first.
    :param avoid: ids of targets to exclude.
    :param remaining: seconds until the deadline.
    :param aim_in: seconds until the soft deadline.
    :param wait_for: seconds for which this attempt may wait for a slot.
    :param patience: seconds until ``give_up_at``.
    :param home_for: seconds for which only the affinity targets may run the request.
    :param send_for: seconds until ``send_deadline``.
    """

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
    def from_call(cls, call, preferred, avoid, wait_until, round_trip, now):
        """Return the metadata of a request that is forwarded now.

        :param wait_until: when this attempt stops waiting for a slot.
        :param round_trip: the round-trip time to the owner in seconds, which is
            subtracted from the times until the soft deadline and the send deadline.
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
            call.is_client_retry,
            list(preferred),
            list(avoid),
            call.deadline - now,
            call.soft_deadline - now - round_trip,
            wait_until - now,
            call.give_up_at - now,
            call.affinity_until - now,
            call.send_deadline - now - round_trip,
        )

    def pack(self):
        """Return the header value."""
        fields = [getattr(self, name) for name in self.__slots__]
        return msgpack.packb(fields).hex().encode()

    @classmethod
    def unpack(cls, value):
        """Parse a header value.

        :raises ValueError: if it cannot be decoded.
        """
        return cls(*msgpack.unpackb(bytes.fromhex(value.decode())))


class ForwardedRoute:
    """The fields of a :class:`Route` that the owner of a target needs."""

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
    """Return the :class:`Call` of a forwarded request.

    :param now: when its head was read.
    """
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
    call.is_client_retry = order.returned
    call.affinity = order.affinity
    call.fingerprint = order.fingerprint
    call.workspace = workspace_name(headers)
    return call


def result_header(result):
    """Return the header with the :class:`AttemptResult` for the forwarding VM."""
    fields = [
        result.outcome.value,
        result.target,
        result.response_time,
        result.wait,
        result.reason,
        result.crashed_incarnation,
    ]
    return RESULT_HEADER, msgpack.packb(fields).hex().encode()


class ForwardDispatcher:
    """Sends requests to targets of other VMs.

    :param pool: the connection pool for other VMs.
    :param port: the port on which VMs accept forwarded requests.
    """

    def __init__(self, pool, port, clock):
        self._pool = pool
        self._port = port
        self._clock = clock

    async def run(self, call, ip, preferred, avoid, wait_until, round_trip):
        """Return the :class:`AttemptResult` of an attempt through the VM at ``ip``.

        :param preferred: ids of the affinity targets, best first.
        :param avoid: ids of targets to exclude.
        :param wait_until: when this attempt stops waiting for a slot.
        :param round_trip: the mean round-trip time to the VM in seconds.
        """
        now = self._clock.now()
        connect_by = min(call.deadline, now + CONNECT_TIMEOUT_SECONDS + 2 * round_trip)
        try:
            checkout = self._pool.checkout(ip, self._port)
            stream = await with_deadline(connect_by, self._clock, checkout)
        except (OSError, TimeoutError) as error:
            return AttemptResult(AttemptOutcome.NOT_SENT, reason=f"VM {ip}: {error!r}")
        if call.is_disconnected:
            await self._pool.checkin(ip, self._port, stream)
            return AttemptResult(AttemptOutcome.NOT_SENT, reason=CLIENT_LEFT_REASON)
        # Also set for requests that must not run twice, since the owner has to cancel
        # a queued request, which has not run, when the client disconnects. Otherwise
        # it sends the request up to a second later.
        call.on_disconnect = StreamInterrupter(stream)
        try:
            now = self._clock.now()
            order = ForwardOrder.from_call(
                call, preferred, avoid, wait_until, round_trip, now
            )
            return await self._exchange(call, ip, stream, order)
        finally:
            call.on_disconnect = None

    async def _exchange(self, call, ip, stream, order):
        is_complete = False
        deadline = call.deadline + RESULT_MARGIN_SECONDS
        try:
            sending = self._send(stream, call, order)
            result = await with_deadline(deadline, self._clock, sending)
            is_complete = True
            return result
        except TimeoutError:
            return AttemptResult(AttemptOutcome.TIMED_OUT, reason=f"VM {ip}: deadline")
        except (ValueError, *CONNECTION_ERRORS) as error:
            return AttemptResult(AttemptOutcome.UNKNOWN, reason=f"VM {ip}: {error!r}")
        finally:
            if is_complete:
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
        events.append(h11.EndOfMessage())
        await send_request(stream, call, events)
        head = await stream.next_event()
        if not isinstance(head, h11.Response):
            raise EOFError("connection closed before the response")
        is_learned = _is_answered(head)
        body = await read_response_body(
            stream, call, head.headers, MAX_RESPONSE_BYTES, is_learned
        )
        return _read_result(head, body)


def _result_fields(head):
    """Return the fields of the result header of an owner's response."""
    packed = find(head.headers, RESULT_HEADER.decode())
    if packed is None:
        raise ValueError(f"status {head.status_code} without the result header")
    return msgpack.unpackb(bytes.fromhex(packed))


def _is_answered(head):
    """Return whether an owner's response carries the response of a target."""
    return AttemptOutcome(_result_fields(head)[0]) is AttemptOutcome.ANSWERED


def _read_result(head, body):
    """Parse the :class:`AttemptResult` from an owner's response."""
    headers = [each for each in head.headers if each[0] != b"content-length"]
    fields = _result_fields(head)
    outcome, target, response_time, wait, reason, crashed_incarnation = fields
    response_headers = [each for each in headers if each[0] != RESULT_HEADER]
    response = None
    if AttemptOutcome(outcome) is AttemptOutcome.ANSWERED:
        response = TargetResponse(head.status_code, response_headers, body)
    result = AttemptResult(
        AttemptOutcome(outcome), response, target, response_time, wait, reason
    )
    result.crashed_incarnation = crashed_incarnation
    return result
