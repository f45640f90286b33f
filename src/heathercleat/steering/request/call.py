"""A client's request on its way to a target."""

from typing import Protocol

from heathercleat.steering.process.shutdown import NO_DEADLINE


class Interruptible(Protocol):
    """What a request waits for, and what is to be told when its client leaves."""

    async def interrupt(self):
        """End the wait."""


class StreamCut:
    """A wait for an answer, which ends with its connection.

    :param stream: the :class:`HttpStream`.
    """

    __slots__ = ("_stream",)

    def __init__(self, stream):
        self._stream = stream

    async def interrupt(self):
        """Cut the connection."""
        self._stream.abort()


class ClientHead:
    """What the headers of a request tell.

    :param wait: seconds for which the client waits for the answer.
    :param affinity: names the object that the request is about, or ``None``.
    """

    __slots__ = ("request_id", "wait", "affinity")

    def __init__(self, request_id, wait, affinity):
        self.request_id = request_id
        self.wait = wait
        self.affinity = affinity


class Call:
    """One request; instants are those of ``Clock.now()``.

    :param path: the request target as bytes, unchanged.
    :param headers: the end-to-end headers, pairs of bytes.
    :param route: what the caller's VM matched; on the owner's VM a part of it.
    :param service: name of the service that runs it.
    :param arrived_at: when its head was read.
    :param deadline: when the final answer is due.
    :param soft_deadline: when the answer should be there.
    :param give_up_at: when it is given up without a slot.
    :param send_deadline: until when it may be sent to a target: the VM that took it may
        end
        before a later one ends.
    :param affinity_until: until when only targets that know its object may run it.
    :param returned: whether it came back after a refusal.
    :param affinity: key of the object that it is about, or ``None``.
    :param client_wait: seconds for which its client waits, as the client says.
    :param fingerprint: the same for each attempt of a request; see
        :mod:`heathercleat.steering.request.fingerprint`.
    :param sender: what tells its sender from others, ``None`` where nothing does or it
        did not matter; see :mod:`heathercleat.steering.request.fingerprint`.
    :param groups: keys of the groups that ends under it are laid to, or ``None`` where
        that is not known yet; see :class:`Containment`.
    :param confined: whether targets ended under it, or it is the trial of a group: it
        runs where an end costs least.
    :param tries: a line of text for each try so far, for the log.
    :param trying: the :class:`Destination` of the try under way, or ``None``.
    :param trying_since: when that try began.
    :param stop_estimate: the :class:`StopEstimate` with which a leaving VM took it, or
        ``None``.
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
        "returned",
        "affinity",
        "client_wait",
        "fingerprint",
        "sender",
        "groups",
        "confined",
        "left",
        "on_leave",
        "stream",
        "tries",
        "trying",
        "trying_since",
        "stop_estimate",
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
        self.returned = False
        self.affinity = None
        self.client_wait = None
        self.fingerprint = ""
        self.sender = None
        self.groups = None
        self.confined = False
        self.tries = []
        self.trying = None
        self.trying_since = 0.0
        self.stop_estimate = None
        self.left = False
        #: The :class:`Interruptible` to tell when the client leaves, or ``None``.
        self.on_leave = None
