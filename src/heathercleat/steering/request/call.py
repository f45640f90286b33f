"""State of one client request."""

from typing import Protocol

from heathercleat.steering.process.shutdown import NO_DEADLINE


class Interruptible(Protocol):
    """A wait that can be interrupted when the client disconnects."""

    async def interrupt(self):
        """End the wait."""


class StreamInterrupter:
    """A wait for a response, interrupted by closing the upstream connection.

    :param stream: the :class:`HttpStream` to the target or the owner.
    """

    __slots__ = ("_stream",)

    def __init__(self, stream):
        self._stream = stream

    async def interrupt(self):
        """Abort the connection."""
        self._stream.abort()


class ClientHead:
    """Parsed headers of a client request.

    :param timeout: seconds for which the client waits for the response.
    :param affinity: affinity key of the object that is requested, or ``None``.
    :param keys: every workspace key that was sent, as bytes.
    """

    __slots__ = ("request_id", "timeout", "affinity", "keys")

    def __init__(self, request_id, timeout, affinity, keys=()):
        self.request_id = request_id
        self.timeout = timeout
        self.affinity = affinity
        self.keys = keys


class Call:
    """One request; instants are those of ``Clock.now()``.

    :param path: the path with the query, as received, as bytes.
    :param headers: the end-to-end headers, pairs of bytes.
    :param route: the matched :class:`Route`; a :class:`ForwardedRoute` at the owner.
    :param service: name of the service that runs the request.
    :param arrived_at: when the head was read.
    :param deadline: when the final response is due.
    :param soft_deadline: the latency objective as an instant.
    :param give_up_at: when the request stops waiting for a slot.
    :param send_deadline: last instant at which the request may be sent to a target; set
        while the VM shuts down.
    :param affinity_until: instant until which only the affinity targets may run the
        request.
    :param is_client_retry: whether the client retries a refused request.
    :param affinity: affinity key of the requested object, or ``None``.
    :param client_wait: timeout of the client in seconds; ``None`` at the owner.
    :param fingerprint: equal for all retries of a request; see
        :mod:`heathercleat.steering.request.fingerprint`.
    :param workspace: name of the workspace that the request counts against, ``None`` on
        public routes. At the owner it only divides slots; quotas and metrics of
        requests count at the VM of the client.
    :param charge: the :class:`Charge` to the quota of the workspace, or ``None``.
    :param sender: digest of the sender's credentials, or ``None`` if there are none or
        they were not needed; see :mod:`heathercleat.steering.request.fingerprint`.
    :param groups: keys of the groups against which a crash on the request counts, or
        ``None`` before they are determined; see :class:`CrashLimits`.
    :param needs_isolation: whether the request may crash its target and should run on
        a target without other requests.
    :param attempt_log: one line of text for each attempt, for the log.
    :param destination: the :class:`Destination` of the current attempt, or ``None``.
    :param attempt_started_at: when the current attempt began.
    :param stop_estimate: the :class:`CompletionEstimate` made when a leaving VM
        accepted the request, or ``None``.
    :param reservation: the :class:`ResponseReservation`, or ``None`` where memory is
        not divided among callers.
    :param was_queued: whether the request has waited for a slot of this VM.
    :param share_wait: seconds until the share of its workspace allows one more request,
        if it was refused a slot of this VM for that; otherwise ``None``.
    """

    __slots__ = (
        "id",
        "method",
        "path",
        "headers",
        "body",
        "route",
        "service",
        "arrived_at",
        "deadline",
        "soft_deadline",
        "give_up_at",
        "affinity_until",
        "send_deadline",
        "is_client_retry",
        "affinity",
        "client_wait",
        "fingerprint",
        "workspace",
        "charge",
        "sender",
        "groups",
        "needs_isolation",
        "is_disconnected",
        "on_disconnect",
        "stream",
        "attempt_log",
        "destination",
        "attempt_started_at",
        "stop_estimate",
        "reservation",
        "was_queued",
        "share_wait",
    )

    def __init__(self, id, method, path, headers, body, route, service, stream):
        self.id = id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.route = route
        self.service = service
        self.stream = stream
        self.arrived_at = 0.0
        self.deadline = 0.0
        self.soft_deadline = 0.0
        self.give_up_at = 0.0
        self.affinity_until = 0.0
        self.send_deadline = NO_DEADLINE
        self.is_client_retry = False
        self.affinity = None
        self.client_wait = None
        self.fingerprint = ""
        self.workspace = None
        self.charge = None
        self.sender = None
        self.groups = None
        self.needs_isolation = False
        self.attempt_log = []
        self.destination = None
        self.attempt_started_at = 0.0
        self.stop_estimate = None
        self.reservation = None
        self.was_queued = False
        self.share_wait = None
        self.is_disconnected = False
        #: The :class:`Interruptible` to interrupt when the client disconnects, or
        #: ``None``.
        self.on_disconnect = None
