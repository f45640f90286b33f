"""Responses of targets and results of attempts to send a request."""

from enum import Enum


class TargetResponseHead:
    """Parsed headers of a target's response.

    :param request_id: id of the request that the response is for, or ``None``.
    :param is_signed: whether the target itself has signed the response.
    :param reports_not_run: whether the target reports that it has not run the request.
    :param is_other_incarnation: whether another incarnation responded at the target's
        address.
    :param status_implies_not_run: whether the status implies that the request has not
        run.
    :param is_encoded: whether a content encoding was applied to the body.
    :param running_count: number of requests running at the target, or ``None``.
    :param waiting_count: number of requests queued at the target, or ``None``.
    :param slowdown: factor by which work takes longer than usual on the machine of the
        target, 1.0 for as usual, or ``None``.
    :param rate_limit: requests per second that the target accepts from all VMs
        together, or ``None``.
    :param is_leaving: whether the target shuts down soon and accepts no new requests.
    :param rest_seconds: seconds for which the target asks for no requests after it
        rejected this one for overload, or ``None``.
    :param keep_alive_seconds: keep-alive timeout of the connection, or ``None``.
    """

    __slots__ = (
        "request_id",
        "is_signed",
        "reports_not_run",
        "is_other_incarnation",
        "status_implies_not_run",
        "is_encoded",
        "running_count",
        "waiting_count",
        "slowdown",
        "rate_limit",
        "is_leaving",
        "rest_seconds",
        "keep_alive_seconds",
    )

    def __init__(self):
        self.request_id = None
        self.is_signed = False
        self.reports_not_run = False
        self.is_other_incarnation = False
        self.status_implies_not_run = False
        self.is_encoded = False
        self.running_count = None
        self.waiting_count = None
        self.slowdown = None
        self.rate_limit = None
        self.is_leaving = False
        self.rest_seconds = None
        self.keep_alive_seconds = None

    @property
    def has_notice(self):
        """Return whether the target asks something of its callers."""
        return self.rate_limit is not None or self.is_leaving or bool(self.rest_seconds)


class TargetResponse:
    """A complete response; ``headers`` are pairs of bytes, without hop-by-hop ones."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


#: Reason of an unsent attempt: no slot would be free before ``Call.give_up_at``.
NO_SLOT_IN_TIME_REASON = "no slot in time"
#: Reason of an unsent attempt: the workspace holds its share of the slots and others
#: wait for one; ``wait`` is the time until its share allows one more request.
OVER_SHARE_REASON = "workspace over its share"
#: Reason of an unsent attempt: the client disconnected.
CLIENT_LEFT_REASON = "client left"
#: Reason of an attempt that was not sent or not completed before the deadline.
DEADLINE_REASON = "deadline"
#: Reason of an unsent attempt: the target asked for no more requests meanwhile.
CLOSED_REASON = "target closed"
#: Reason of an unsent attempt: the request crashed targets; see :class:`Suspects`.
QUARANTINED_REASON = "quarantined"

_FIRST_SERVER_ERROR_STATUS = 500


class AttemptOutcome(Enum):
    """Outcome of an attempt."""

    #: A target sent a complete response.
    ANSWERED = "answered"
    #: Nothing was sent, for lack of a slot or a connection.
    NOT_SENT = "not-sent"
    #: A target refused the request without running it.
    REFUSED = "refused"
    #: The request may have run, but there is no usable response.
    UNKNOWN = "unknown"
    #: As ``UNKNOWN``, because the deadline passed.
    TIMED_OUT = "timed-out"

    @property
    def not_run(self):
        """Return whether the request is known not to have run."""
        return self in (AttemptOutcome.NOT_SENT, AttemptOutcome.REFUSED)


class AttemptResult:
    """Result of one attempt.

    :param outcome: an :class:`AttemptOutcome`.
    :param response: the :class:`TargetResponse`, if there is one.
    :param target: id of the target of the attempt, or ``None``.
    :param response_time: response time of the target in seconds, or ``None``.
    :param wait: estimated wait for a slot in seconds, or ``None``.
    :param reason: description of the failure, for the log.
    :param crashed_incarnation: id of the incarnation that crashed on the request, or
        ``None``; see :attr:`TargetEntry.incarnation_id`.
    """

    __slots__ = (
        "outcome",
        "response",
        "target",
        "response_time",
        "wait",
        "reason",
        "crashed_incarnation",
    )

    def __init__(
        self,
        outcome,
        response=None,
        target=None,
        response_time=None,
        wait=None,
        reason=None,
    ):
        self.outcome = outcome
        self.response = response
        self.target = target
        self.response_time = response_time
        self.wait = wait
        self.reason = reason
        self.crashed_incarnation = None

    @property
    def succeeded(self):
        """Return whether a target responded without a server error."""
        return (
            self.outcome is AttemptOutcome.ANSWERED
            and self.response.status < _FIRST_SERVER_ERROR_STATUS
        )
