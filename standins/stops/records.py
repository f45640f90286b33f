"""What the load notes of requests, connections and stops.

Instants are seconds of the steady clock, which all processes of a machine share.
"""

#: Statuses that promise that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Request:
    """What a client wants, over all its attempts.

    :param client: how its client uses connections: ahead, kept or single.
    :param kind: a :class:`Kind`.
    :param item: the object that it is about.
    :param first_at: when the first attempt was sent.
    :param aim_at: when the answer is late.
    :param deadline: when its client waits no longer.
    """

    __slots__ = (
        "client",
        "kind",
        "item",
        "first_at",
        "aim_at",
        "deadline",
        "attempts",
    )

    def __init__(self, client, kind, item, first_at, aim_at, deadline):
        self.client = client
        self.kind = kind
        self.item = item
        self.first_at = first_at
        self.aim_at = aim_at
        self.deadline = deadline
        self.attempts = []


class Attempt:
    """One attempt of a request, with an id of its own.

    :param vm: name of the VM that it was sent to.
    :param kind: a :class:`Kind`.
    :param sent_at: when its last byte was sent.
    :param status: of the whole answer, ``None`` for none.
    :param signed: whether a target signed the answer.
    :param answer_to: id of the attempt that the answer names.
    :param behind_close: whether an answer before it told that its VM reads no further.
    :param left: whether its client ended the connection, long past a deadline.
    :param connected: whether there was a connection to send it on.
    """

    __slots__ = (
        "id",
        "vm",
        "kind",
        "deadline",
        "aim_at",
        "sent_at",
        "ended_at",
        "status",
        "signed",
        "answer_to",
        "retry_after",
        "behind_close",
        "left",
        "connected",
    )

    def __init__(self, id, vm, kind, deadline, aim_at, sent_at):
        self.id = id
        self.vm = vm
        self.kind = kind
        self.deadline = deadline
        self.aim_at = aim_at
        self.sent_at = sent_at
        self.ended_at = None
        self.status = None
        self.signed = False
        self.answer_to = None
        self.retry_after = None
        self.behind_close = False
        self.left = False
        self.connected = True


class Opened:
    """One connection of a client.

    :param closed_at: when either side ended it; ``None`` while it is open.
    """

    __slots__ = ("vm", "opened_at", "closed_at")

    def __init__(self, vm, opened_at):
        self.vm = vm
        self.opened_at = opened_at
        self.closed_at = None


class Stop:
    """One planned stop of a VM.

    :param told_at: when it got SIGTERM.
    :param ended_at: when its process was gone.
    :param ready_at: when the process started in its place took clients.
    """

    __slots__ = ("vm", "told_at", "ended_at", "ready_at")

    def __init__(self, vm, told_at):
        self.vm = vm
        self.told_at = told_at
        self.ended_at = None
        self.ready_at = None


class Kind:
    """A kind of request.

    :param once: whether it may run once at most.
    :param parts: number of parts in which its body is sent; 0 for no body.
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
