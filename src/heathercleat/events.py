"""Numbered log events.

A test compares ``docs/reference/events.md`` with this module.
"""

from enum import Enum
from logging import ERROR, INFO, WARNING


class Event(Enum):
    """Type of a log line, with its number and log level."""

    VM_STARTED = (100, INFO)
    VM_LEAVING = (101, INFO)
    VM_STOPPED = (102, INFO)
    VM_PAUSED = (103, WARNING)
    TASK_FAILED = (104, ERROR)
    SETTINGS_RELOADED = (105, INFO)
    LOOKUP_ANSWERED = (200, INFO)
    ROUTE_LOCAL = (210, INFO)
    ROUTE_LEASED = (211, INFO)
    ROUTE_QUEUED = (212, INFO)
    ROUTE_REFUSED = (213, INFO)
    ROUTE_RETRIED = (214, INFO)
    REQUEST_DONE = (220, INFO)
    REQUEST_REFUSED = (221, INFO)
    REQUEST_CUT = (222, WARNING)
    CALLER_LEFT = (223, INFO)
    REQUEST_ABANDONED = (224, WARNING)
    LEASE_GRANTED = (300, INFO)
    LEASE_DENIED = (301, INFO)
    LEASE_TAKEN = (302, INFO)
    HOME_ADOPTED = (310, INFO)
    HOME_HANDED_OVER = (311, INFO)
    HOMES_DROPPED = (312, WARNING)
    TARGET_EJECTED = (320, WARNING)
    TARGET_RETURNED = (321, INFO)
    TARGET_DRAINING = (322, INFO)
    TARGET_SLOW = (323, WARNING)
    TARGET_FAST = (324, INFO)
    TARGET_REOPENED = (325, WARNING)
    TARGET_ENDED = (326, WARNING)
    REQUEST_QUARANTINED = (327, WARNING)
    QUARANTINE_ENDED = (328, INFO)
    GROUP_LIMITED = (329, WARNING)
    GROUP_RELEASED = (330, INFO)
    TARGET_LIMITED = (331, WARNING)
    TARGET_RESTING = (332, WARNING)
    MEMBER_JOINED = (400, INFO)
    MEMBER_LEAVING = (401, INFO)
    MEMBER_DEAD = (403, WARNING)
    ACCUSED = (404, WARNING)
    VM_LIST_READ = (410, INFO)
    CONFIGURATION_ADOPTED = (500, INFO)
    CONFIGURATION_IGNORED = (501, WARNING)
    CONFIGURATION_REJECTED = (502, ERROR)
    PROOF_LOST = (503, WARNING)
    PROOF_RETURNED = (504, INFO)
    PLATFORM_FAILED = (510, WARNING)
    PLATFORM_RETURNED = (511, INFO)
    TICKET_RUN = (600, INFO)
    TICKET_REPEATED = (601, INFO)
    TICKET_CLOSED_OUT = (602, INFO)
    CLAIM_FAILED = (603, WARNING)
    CLAIMS_SWEPT = (604, INFO)
    PEER_REJECTED = (700, WARNING)
    EVACUATION_CHANGED = (800, INFO)
    TARGET_FOUND = (801, INFO)
    TARGET_GONE = (802, INFO)
    TARGET_LAPSING = (803, INFO)
    TARGET_RESTARTED = (804, INFO)
    ENTRY_OUTDATED = (805, INFO)
    TARGETS_LISTED = (806, INFO)
    STORE_LOST = (810, WARNING)
    STORE_RETURNED = (811, INFO)
    STATE_FROM_PEER = (812, INFO)
    STATE_NOT_FETCHED = (813, WARNING)
    ROW_REJECTED = (814, ERROR)
    STORE_RESTORED = (815, WARNING)
    READ_IGNORED = (816, WARNING)
    REQUESTS_SUMMED = (820, INFO)
    REQUEST_LATE = (821, INFO)
    LINES_LEFT_OUT = (822, WARNING)

    def __init__(self, number, level):
        self._number = number
        self._level = level

    @property
    def number(self):
        """Return the event number shown in logs."""
        return self._number

    @property
    def level(self):
        """Return the log level, a constant of :mod:`logging`."""
        return self._level
