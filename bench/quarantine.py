"""Benchmark of what the quarantine costs a request that ends no target."""

import time

import h11

from bench.report import Row
from heathercleat.process.logs import Journal
from heathercleat.steering.process.quarantine.suspects import Suspects
from heathercleat.steering.request.fingerprint import fingerprint
from tests.fakes import ManualClock

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


def bench_quarantine(report):
    """Processor time of fingerprint, looks and the note of a whole answer."""
    report.add(
        Row(
            "quarantine, for a request that ends no target",
            _seconds(_guard()) * 1e6,
            _seconds(_read_head) * 1e6,
            "us",
            "reading its head",
            MOST_SHARE,
        )
    )


def _guard():
    """Return what is done for one request at the VM that reads and runs it."""
    suspects = Suspects(Journal("vm-1", "north-a"), ManualClock())

    def guard():
        made = fingerprint(b"GET", b"/one/two/x", HEADERS, b"")
        suspects.quarantined_until(made)
        suspects.quarantined_until(made)
        suspects.answered(made)

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
