"""Records of requests, connections and stops.

Instants are seconds of the monotonic clock, which all processes of a machine share.
"""

#: Statuses that guarantee that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Request:
    """A client's request with all its attempts.

    :param client: connection use of its client: ``ahead`` (pipelining), ``kept``
        (persistent) or ``single``.
    :param kind: a :class:`Kind`.
    :param object_key: the object that it requests.
    :param first_at: when the first attempt was sent.
    :param soft_deadline: latency objective, as an instant.
    """

    __slots__ = (
        "client",
        "kind",
        "object_key",
        "first_at",
        "soft_deadline",
        "deadline",
        "attempts",
    )

    def __init__(self, client, kind, object_key, first_at, soft_deadline, deadline):
        self.client = client
        self.kind = kind
        self.object_key = object_key
        self.first_at = first_at
        self.soft_deadline = soft_deadline
        self.deadline = deadline
        self.attempts = []


class Attempt:
    """One attempt of a request, with its own request id.

    :param vm: name of the VM that it was sent to.
    :param kind: a :class:`Kind`.
    :param sent_at: when its last byte was sent.
    :param status: of the complete response; ``None`` without one.
    :param signed: whether a target signed the response.
    :param response_id: request id in the response.
    :param after_close: whether an earlier response on the connection announced its
        close.
    :param client_timed_out: whether its client closed the connection after a deadline.
    :param connected: whether the connection was established.
    """

    __slots__ = (
        "id",
        "vm",
        "kind",
        "deadline",
        "soft_deadline",
        "sent_at",
        "ended_at",
        "status",
        "signed",
        "response_id",
        "retry_after",
        "after_close",
        "client_timed_out",
        "connected",
    )

    def __init__(self, id, vm, kind, deadline, soft_deadline, sent_at):
        self.id = id
        self.vm = vm
        self.kind = kind
        self.deadline = deadline
        self.soft_deadline = soft_deadline
        self.sent_at = sent_at
        self.ended_at = None
        self.status = None
        self.signed = False
        self.response_id = None
        self.retry_after = None
        self.after_close = False
        self.client_timed_out = False
        self.connected = True


class ConnectionRecord:
    """One connection of a client.

    :param closed_at: when either side closed it; ``None`` while it is open.
    """

    __slots__ = ("vm", "opened_at", "closed_at")

    def __init__(self, vm, opened_at):
        self.vm = vm
        self.opened_at = opened_at
        self.closed_at = None


class Stop:
    """One planned stop of a VM.

    :param signalled_at: when it got SIGTERM.
    :param ended_at: when its process had exited.
    :param ready_at: when its next process was ready.
    """

    __slots__ = ("vm", "signalled_at", "ended_at", "ready_at")

    def __init__(self, vm, signalled_at):
        self.vm = vm
        self.signalled_at = signalled_at
        self.ended_at = None
        self.ready_at = None


class Kind:
    """A kind of request.

    :param once: whether it may run at most once.
    :param parts: number of chunks of its body; 0 for no body.
    """

    __slots__ = ("name", "method", "prefix", "once", "parts")

    def __init__(self, name, method, prefix, once, parts):
        self.name = name
        self.method = method
        self.prefix = prefix
        self.once = once
        self.parts = parts


SAFE = Kind("safe", "GET", "/safe/", once=False, parts=0)
ONCE = Kind("once", "POST", "/once/", once=True, parts=1)
UPLOAD = Kind("upload", "POST", "/upload/", once=True, parts=5)
KINDS = (SAFE, ONCE, UPLOAD)
