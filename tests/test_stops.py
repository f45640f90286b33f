"""Classification of requests by the load generator for planned stops."""

import socket

import pytest
from curio import run
from curio.io import Socket

from heathercleat.process.clock import SystemClock
from standins.stops.clients import may_retry
from standins.stops.connection import ClientConnection
from standins.stops.records import ONCE, SAFE, UPLOAD, Attempt, ConnectionRecord, Stop
from standins.stops.report import count_refusals
from standins.stops.tally import Outcome, Tally, collect_runs, seconds_to_last_close

GRACE_SECONDS = 6.0


def stop(vm="vm-1", signalled_at=100.0, ended_at=105.5, ready_at=107.0):
    result = Stop(vm, signalled_at)
    result.ended_at, result.ready_at = ended_at, ready_at
    return result


def attempt(sent_at, ended_at, status=None, vm="vm-1", kind=SAFE, **fields):
    result = Attempt("a1", vm, kind, sent_at + 8.0, sent_at + 4.0, sent_at)
    result.ended_at = ended_at
    result.status = status
    for name, value in fields.items():
        setattr(result, name, value)
    return result


def tally(each, span=None, kills=(), stops=None):
    spans = [["a1", *span]] if span else []
    return Tally([each], collect_runs(spans), stops or [stop()], kills, GRACE_SECONDS)


@pytest.mark.parametrize(
    ("each", "span", "outcome"),
    [
        (attempt(101, 102, 200, signed=True), (101, 102), Outcome.SERVED),
        (attempt(101, 105.5, 200, signed=True), (101, 105), Outcome.LATE),
        (attempt(101, 102, 500, signed=True), (101, 102), Outcome.FAILED_AT_TARGET),
        (attempt(101, 101.1, 503), None, Outcome.REFUSED),
        (attempt(101, 101.1, 503), (101, 102), Outcome.REFUSED_BUT_RAN),
        (attempt(101, 103, 502), (101, 103.3), Outcome.ABANDONED),
        (attempt(101, 103), (101, 103.3), Outcome.ABANDONED),
        (attempt(101, 103, 502), None, Outcome.FAILED),
        (attempt(101, 103), None, Outcome.UNANSWERED),
        (attempt(101, 101.1), None, Outcome.CLOSE_RACE),
        (attempt(101, 103, after_close=True), None, Outcome.CLOSE_RACE),
        (attempt(101, 103, after_close=True), (101, 104), Outcome.ABANDONED),
        (attempt(98, 105.95, 504), (98, 107), Outcome.TIMED_OUT),
        (attempt(101, 103, client_timed_out=True), (101, 104), Outcome.TIMED_OUT),
        (attempt(101, 101, connected=False), None, Outcome.NOT_CONNECTED),
    ],
)
def test_outcome_of_an_attempt(each, span, outcome):
    assert tally(each, span).outcome(each) is outcome


@pytest.mark.parametrize(
    ("sent_at", "ended_at", "run_until", "outcome"),
    [
        # A run is over when its connection ends or the target finishes.
        (102.9, 105.1, 105.9, Outcome.ABANDONED_LATE),
        (102.9, 104.9, 105.9, Outcome.ABANDONED),
        (102.9, 105.1, 104.9, Outcome.ABANDONED),
        (103.1, 105.1, 105.9, Outcome.ABANDONED),
    ],
)
def test_only_early_requests_are_excused_at_the_end_of_the_grace_period(
    sent_at, ended_at, run_until, outcome
):
    each = attempt(sent_at, ended_at, 502)
    assert tally(each, (sent_at, run_until)).outcome(each) is outcome


@pytest.mark.parametrize(
    ("kill", "outcome"),
    [
        (96.0, Outcome.ABANDONED),
        (98.0, Outcome.ABANDONED_NEAR_KILL),
        (102.0, Outcome.ABANDONED_NEAR_KILL),
        (104.0, Outcome.ABANDONED),
    ],
)
def test_a_kill_excuses_requests_near_it(kill, outcome):
    each = attempt(101, 103, 502)
    assert tally(each, (101, 103.3), [kill]).outcome(each) is outcome


def test_a_kill_excuses_requests_without_a_response():
    each = attempt(101, 103)
    assert tally(each, kills=[102.0]).outcome(each) is Outcome.UNANSWERED_NEAR_KILL


def test_request_forwarded_to_a_stopping_vm_is_counted():
    each = attempt(102.9, 105.1, 502, vm="vm-2")
    counted = tally(each, (102.9, 105.9))
    assert counted.stop_of(each) is None
    assert counted.outcome(each) is Outcome.ABANDONED_LATE


@pytest.mark.parametrize(("kind", "doubled"), [(ONCE, 1), (UPLOAD, 1), (SAFE, 0)])
def test_second_run_of_an_at_most_once_request_is_found(kind, doubled):
    each = attempt(101, 103, 200, kind=kind, signed=True)
    runs = collect_runs([["a1", 101, 102], ["a1", 101, 102]])
    assert len(Tally([each], runs, [stop()], [], GRACE_SECONDS).run_twice()) == doubled


def test_response_to_another_request_is_found():
    mixed = attempt(101, 103, 200, signed=True, response_id="a2")
    own = attempt(101, 103, 200, signed=True, response_id="a1")
    assert tally(mixed).misdelivered() == [mixed]
    assert tally(own).misdelivered() == []


@pytest.mark.parametrize(("sent_at", "count"), [(102.9, 0), (103.1, 1)])
def test_requests_accepted_late_are_counted(sent_at, count):
    each = attempt(sent_at, 104.5, 200, signed=True)
    assert len(tally(each, (sent_at, 104.4)).accepted_late()) == count


def test_worst_window_is_not_averaged_with_quiet_ones():
    refused = [attempt(101 + n / 20, 102 + n / 20, 503) for n in range(20)]
    served = [attempt(104 + n / 20, 105 + n / 20, 200, signed=True) for n in range(20)]
    counted = Tally([*refused, *served], {}, [stop()], [], GRACE_SECONDS)
    assert counted.refused_share() == 0.5
    assert counted.max_refused_share() == 1.0


def test_connections_of_the_next_process_are_not_counted():
    old, new = ConnectionRecord("vm-1", 90.0), ConnectionRecord("vm-1", 107.5)
    old.closed_at, new.closed_at = 105.3, 120.0
    assert seconds_to_last_close([old, new], [stop()]) == pytest.approx(5.3)


@pytest.mark.parametrize(
    ("kind", "last", "repeats"),
    [
        (SAFE, attempt(1, 2), True),
        (ONCE, attempt(1, 2), False),
        (ONCE, attempt(1, 2, after_close=True), True),
        (ONCE, attempt(1, 2, connected=False), True),
        (ONCE, attempt(1, 2, 503), True),
        (ONCE, attempt(1, 2, 502), False),
        (SAFE, attempt(1, 2, 502), True),
        (SAFE, attempt(1, 2, 404), False),
        (SAFE, attempt(1, 2, 200), False),
    ],
)
def test_clients_retry_only_what_is_safe_or_did_not_run(kind, last, repeats):
    assert may_retry(kind, last) is repeats


def test_refusals_are_counted_by_reason_without_details():
    lines = [
        {"name": "request_refused", "reason": "no room (here 2 targets)"},
        {"name": "request_refused", "reason": "no room (here 0 targets)"},
        {"name": "request_refused", "reason": 'no route for "a" and "/b"'},
        {"name": "lines_left_out", "lines": 7},
        {"name": "vm_started"},
    ]
    assert count_refusals(lines) == {
        "lines left out": 7,
        "no room": 2,
        "no route": 1,
    }


def test_pipelined_responses_are_matched_in_order():
    responses = (
        b"HTTP/1.1 503 X\r\nretry-after: 0.2\r\ncontent-length: 1\r\n\r\nx"
        b"HTTP/1.1 200 X\r\nresponse-signature: s\r\nconnection: close\r\n"
        b"content-length: 0\r\n\r\n"
    )

    async def main():
        client_socket, vm = socket.socketpair()
        clock = SystemClock()
        connection = ClientConnection(
            Socket(client_socket), ConnectionRecord("vm-1", 0.0), clock
        )
        now = clock.now()
        sent = [Attempt(n, "vm-1", SAFE, now + 8, now + 4, now) for n in "abc"]
        for each in sent:
            await connection.send(each, "/safe/k1", "k1")
        vm.sendall(responses)
        for _ in range(2):
            await connection.read_response()
        connection.abandon()
        return sent

    first, second, third = run(main)
    assert (first.status, first.retry_after, first.signed) == (503, 0.2, False)
    assert (second.status, second.signed) == (200, True)
    assert (third.status, third.after_close) == (None, True)
