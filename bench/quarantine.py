"""Benchmark of what the quarantine costs a request that ends no target."""

import time
from itertools import count, repeat

import h11

from bench.report import Row
from heathercleat.process.logs import Journal
from heathercleat.steering.process.quarantine.suspects import Suspects
from heathercleat.steering.request.attempt_result import (
    Answer,
    AttemptOutcome,
    AttemptResult,
)
from heathercleat.steering.request.containment import Containment
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
#: Part of the time to read the head of a request that the quarantine may take.
MOST_SHARE = 0.25
#: The same for one that no target has answered yet, whose sender is looked at as well.
MOST_SHARE_NEW = 1.0


def bench_quarantine(report):
    """Processor time of fingerprint, looks and the note of a whole answer."""
    reading = _seconds(_read_head) * 1e6
    for what, paths, most in (
        ("that was answered before", repeat(b"/one/two/x"), MOST_SHARE),
        ("that is new", map(b"/one/two/%d".__mod__, count()), MOST_SHARE_NEW),
    ):
        report.add(
            Row(
                f"quarantine, for a request {what}",
                _seconds(_guard(paths)) * 1e6,
                reading,
                "us",
                "reading its head",
                most,
            )
        )


def _guard(paths):
    """Return what is done for one request at the VM that reads and runs it."""
    clock = ManualClock()
    suspects = Suspects(Journal("vm-1", "north-a"), clock)
    containment = Containment(suspects, clock)
    answered = AttemptResult(AttemptOutcome.ANSWERED, Answer(200, [], b""))

    made = call(clock)
    made.headers = HEADERS

    def guard():
        made.groups = made.sender = None
        made.fingerprint = fingerprint(b"GET", next(paths), HEADERS, b"")
        containment.refusal(made)
        suspects.refused_until(made.fingerprint)
        suspects.answered(made.fingerprint)
        containment.record_result(made, answered, True)

    return guard


def _read_head():
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(HEAD + b"\r\n")
    connection.next_event()


def _seconds(run):
    """Return the mean processor time of a call."""
    began = time.process_time()
    for _ in range(CALLS):
        run()
    return (time.process_time() - began) / CALLS
