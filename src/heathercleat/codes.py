"""Numbered result codes of requests and commands.

A test compares ``docs/reference/result-codes.md`` with this module.
"""

from enum import Enum


class Run(Enum):
    """Whether a target has executed the request."""

    NOT_RUN = "not-run"
    RUN = "run"
    UNKNOWN = "unknown"


class ResultCode(Enum):
    """Outcome of a request or command.

    Each member holds a number, the HTTP status, a :class:`Run`, the exit status of the
    command line and advice for the receiver.
    """

    OK = (0, 200, Run.RUN, 0, "Nothing to do.")
    BAD_REQUEST = (1001, 400, Run.NOT_RUN, 2, "Mend the request; do not repeat it.")
    HEADERS_TOO_LARGE = (1002, 431, Run.NOT_RUN, 2, "Send smaller headers.")
    BODY_TOO_LARGE = (1003, 413, Run.NOT_RUN, 2, "Send a smaller body.")
    UNKNOWN_SERVICE = (1004, 404, Run.NOT_RUN, 2, "Name a service of the text.")
    UNKNOWN_KIND = (1005, 404, Run.NOT_RUN, 2, "Use a method and path of the text.")
    SLOW_SENDER = (1006, 408, Run.NOT_RUN, 2, "Send the request faster.")
    BAD_DEADLINE = (1007, 400, Run.NOT_RUN, 2, "Send epoch seconds as the deadline.")
    NO_ROUTE = (1008, 404, Run.NOT_RUN, 2, "Use a host and path of the routes.")
    UNKNOWN_KEY = (1009, 401, Run.NOT_RUN, 2, "Send one key of a workspace.")
    NO_ROOM = (2001, 503, Run.NOT_RUN, 3, "Repeat after Retry-After.")
    DEADLINE_BEFORE_RUN = (2002, 504, Run.NOT_RUN, 3, "Repeat with a later deadline.")
    NO_CONFIGURATION = (2003, 503, Run.NOT_RUN, 3, "Ask another entry VM.")
    TARGETS_UNREACHABLE = (2005, 503, Run.NOT_RUN, 3, "Repeat after Retry-After.")
    TARGET_REFUSED = (2006, 503, Run.NOT_RUN, 3, "Repeat after Retry-After.")
    NOT_HOME = (2007, 503, Run.NOT_RUN, 3, "Between VMs: ask the home of the target.")
    QUARANTINED = (2008, 503, Run.NOT_RUN, 3, "Do not repeat it: targets end under it.")
    GROUP_LIMITED = (2009, 503, Run.NOT_RUN, 3, "Send none like it: targets end.")
    CONFIGURATION_STALE = (2010, 503, Run.NOT_RUN, 3, "Ask another entry VM.")
    QUOTA_EXCEEDED = (2011, 429, Run.NOT_RUN, 3, "Repeat after Retry-After.")
    NO_REGION = (2012, 503, Run.NOT_RUN, 3, "Use a route that the workspace may use.")
    DEADLINE_IN_RUN = (3001, 504, Run.UNKNOWN, 4, "Repeat only if idempotent.")
    ANSWER_LOST = (3002, 502, Run.UNKNOWN, 4, "Repeat only if idempotent.")
    BAD_ANSWER = (3003, 502, Run.UNKNOWN, 4, "Repeat only if idempotent.")
    OUTCOME_UNKNOWN = (
        3004,
        502,
        Run.UNKNOWN,
        4,
        "Repeat with this ticket and key.",
    )
    STILL_RUNNING = (3005, 409, Run.UNKNOWN, 4, "Repeat with this ticket and key.")
    ANSWER_NOT_KEPT = (3006, 410, Run.RUN, 0, "Do not repeat: the request has run.")
    TICKET_CLOSED = (4001, 409, Run.NOT_RUN, 3, "Look up again for a new ticket.")
    TICKET_EXPIRED = (4002, 409, Run.NOT_RUN, 3, "Look up again for a new ticket.")
    TICKET_INVALID = (4003, 400, Run.NOT_RUN, 2, "Send the ticket as it was given.")
    KEY_REUSED = (4004, 422, Run.NOT_RUN, 2, "Use a new key for a new request.")
    CLAIM_FAILED = (4005, 503, Run.NOT_RUN, 3, "Look up again for a new ticket.")
    KEY_MISSING = (4006, 400, Run.NOT_RUN, 2, "Send an Idempotency-Key.")
    TEXT_INVALID = (5001, 400, Run.NOT_RUN, 2, "Mend every finding and repeat.")
    EDIT_CONFLICT = (5002, 409, Run.NOT_RUN, 5, "Read the version in force and merge.")
    EDIT_UNKNOWN = (5003, 503, Run.UNKNOWN, 4, "Repeat with the same edit id.")
    PLATFORM_DOWN = (5004, 503, Run.NOT_RUN, 3, "Repeat when the platform answers.")
    HEADROOM_REFUSED = (5005, 409, Run.NOT_RUN, 5, "Plan a smaller drain or add room.")
    UNKNOWN_NAME = (5006, 404, Run.NOT_RUN, 2, "Use a name that the text lists.")
    SETTINGS_INVALID = (5007, 400, Run.NOT_RUN, 2, "Mend the settings file.")
    VM_UNREACHABLE = (5008, 503, Run.NOT_RUN, 3, "Check the operators' address.")

    def __init__(self, number, status, run, exit_status, advice):
        self._number = number
        self._status = status
        self._run = run
        self._exit_status = exit_status
        self._advice = advice

    @property
    def number(self):
        """Return the number shown in logs, responses and documentation."""
        return self._number

    @property
    def status(self):
        """Return the HTTP status code of responses with this result."""
        return self._status

    @property
    def run(self):
        """Return the :class:`Run` of this result."""
        return self._run

    @property
    def exit_status(self):
        """Return the exit status of the command line for this result."""
        return self._exit_status

    @property
    def advice(self):
        """Return a sentence on what the receiver should do next."""
        return self._advice

    @classmethod
    def from_number(cls, number):
        """Return the member with ``number``.

        :raises KeyError: for an unknown number.
        """
        return _BY_NUMBER[number]


_BY_NUMBER = {code.number: code for code in ResultCode}
