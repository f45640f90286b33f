"""Benchmark of the cost of quarantine checks for a request that crashes no target."""

import time
from itertools import count, repeat

import h11

from bench.report import Row
from heathercleat.process.logs import Journal
from heathercleat.steering.process.quarantine.suspects import Suspects
from heathercleat.steering.request.attempt_result import (
    AttemptOutcome,
    AttemptResult,
    TargetResponse,
)
from heathercleat.steering.request.crash_limits import CrashLimits
from heathercleat.steering.request.fingerprint import fingerprint
from tests.fakes import ManualClock
from tests.steering_parts import call

CALLS = 20_000
HEADERS = [
    (b"host", b"a.example"),
    (b"request-id", b"9c41d07be2a35f68"),
    (b"cookie", b"Affinity-Key=17"),
    (b"deadline-ms", b"2000"),
]
HEAD = b"GET /one/two/x HTTP/1.1\r\n" + b"".join(
    name + b": " + value + b"\r\n" for name, value in HEADERS
)
#: Maximum time of the quarantine checks relative to parsing a request head.
MAX_SHARE = 0.25
#: The same for a request without an earlier response, whose sender is checked as well.
MAX_SHARE_NEW = 1.0


def bench_quarantine(report):
    """CPU time of fingerprinting, quarantine checks and recording the response."""
    parse_time = _seconds(_read_head) * 1e6
    for what, paths, bound in (
        ("that was answered before", repeat(b"/one/two/x"), MAX_SHARE),
        ("that is new", map(b"/one/two/%d".__mod__, count()), MAX_SHARE_NEW),
    ):
        report.add(
            Row(
                f"quarantine, for a request {what}",
                _seconds(_quarantine_checks(paths)) * 1e6,
                parse_time,
                "us",
                "reading its head",
                bound,
            )
        )


def _quarantine_checks(paths):
    """Return a function that runs the quarantine checks of a VM for one request."""
    clock = ManualClock()
    suspects = Suspects(Journal("vm-1", "north-a"), clock)
    crash_limits = CrashLimits(suspects, clock)
    answered = AttemptResult(AttemptOutcome.ANSWERED, TargetResponse(200, [], b""))

    checked_call = call(clock)
    checked_call.headers = HEADERS

    def check():
        checked_call.groups = checked_call.sender = None
        checked_call.fingerprint = fingerprint(b"GET", next(paths), HEADERS, b"")
        crash_limits.check_or_start_trial(checked_call)
        suspects.refused_until(checked_call.fingerprint)
        suspects.record_response(checked_call.fingerprint)
        crash_limits.record_result(checked_call, answered, True)

    return check


def _read_head():
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(HEAD + b"\r\n")
    connection.next_event()


def _seconds(run):
    """Return the mean CPU time of a call."""
    began = time.process_time()
    for _ in range(CALLS):
        run()
    return (time.process_time() - began) / CALLS
