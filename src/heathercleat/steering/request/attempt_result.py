"""Answers, and how a try at a request ended."""

from enum import Enum


class TargetResponseHead:
    """What the headers of a target's answer tell.

    :param signed: whether the target vouches for the answer.
    :param not_run: whether the target says that it has not run the request.
    :param replaced: whether another incarnation answered in the target's place.
    :param promises: whether the status tells a client that its request has not run.
    :param encoded: whether the body is not as the target made it.
    :param running: requests under way at the target, or ``None``.
    :param waiting: requests that wait at the target, or ``None``.
    :param keep_for: seconds for which the target keeps the connection, or ``None``.
    """

    __slots__ = (
        "request_id",
        "signed",
        "not_run",
        "replaced",
        "promises",
        "encoded",
        "running",
        "waiting",
        "keep_for",
    )

    def __init__(self):
        self.request_id = None
        self.signed = False
        self.not_run = False
        self.replaced = False
        self.promises = False
        self.encoded = False
        self.running = None
        self.waiting = None
        self.keep_for = None


class Answer:
    """A whole answer; ``headers`` are pairs of bytes, without hop-by-hop ones."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


#: Why a try sent nothing, where the request would be late for its deadline.
NO_SLOT_IN_TIME = "no slot in time"
#: The same where the client left before.
CLIENT_LEFT = "client left"
#: The same where its deadline passed before.
DEADLINE = "deadline"
#: The same where targets end under the request; see :class:`Suspects`.
QUARANTINED = "quarantined"


_SERVER_ERROR = 500


class AttemptOutcome(Enum):
    """How a try ended."""

    #: A target's whole answer.
    ANSWERED = "answered"
    #: Nothing was sent: there was no slot, or no connection.
    NOT_SENT = "not-sent"
    #: A target refused the request: it has not run.
    REFUSED = "refused"
    #: The request may have run and there is no usable answer.
    UNKNOWN = "unknown"
    #: As ``UNKNOWN``, since the time was up.
    TIMED_OUT = "timed-out"

    @property
    def not_run(self):
        """Return whether the request certainly has not run."""
        return self in (AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED)


class AttemptResult:
    """The result of one try.

    :param end: an :class:`AttemptOutcome`.
    :param answer: the :class:`Answer` when there is one.
    :param target: id of the target that was tried, or ``None``.
    :param work: seconds that the target took, or ``None``.
    :param wait: seconds that another request would wait for a slot, or ``None``.
    :param reason: what went wrong, for the log.
    :param ended: the life of the target that ended under the request, or ``None``; see
        :attr:`TargetEntry.life`.
    """

    __slots__ = ("end", "answer", "target", "work", "wait", "reason", "ended")

    def __init__(
        self, end, answer=None, target=None, work=None, wait=None, reason=None
    ):
        self.end = end
        self.answer = answer
        self.target = target
        self.work = work
        self.wait = wait
        self.reason = reason
        self.ended = None

    @property
    def succeeded(self):
        """Return whether a target answered, and not with a failure of its own."""
        return (
            self.end is AttemptOutcome.ANSWERED and self.answer.status < _SERVER_ERROR
        )
