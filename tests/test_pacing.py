"""Requests to a target that limits their rate."""

import pytest
from curio import run
from hypothesis import given
from hypothesis import strategies as st

from heathercleat.platform.headers import parse_response_head
from heathercleat.platform.wire_names import RATE_LIMIT
from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.pacer import (
    BURST_SECONDS,
    OVERDRAFT_FACTOR,
    Pacer,
)
from heathercleat.steering.process.capacity.queue import Waiter
from heathercleat.steering.request.attempt_result import TargetResponseHead
from tests.steering_parts import Parts, call, entry
from tests.test_queueing import acquire

WINDOW_SECONDS = 4.0


def name_limit(parts, target_id, rate):
    """Record a response in which a target names a limit; ``None`` for no limit."""
    head = TargetResponseHead()
    head.rate_limit = rate
    parts.ledger.get(target_id).record_response(head, parts.clock.now())


def make_admission(parts):
    return Admission(parts.ledger, parts.members.region_of, parts.clock)


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        (b"8.4", 8.4),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"many", None),
        (b"", None),
    ],
)
def test_malformed_limit_is_none(value, rate):
    assert parse_response_head(200, [(RATE_LIMIT, value)]).rate_limit == rate


@pytest.mark.parametrize("available", [Pacer.available, Pacer.available_to_waiting])
@given(
    rate=st.floats(0.0, 100.0),
    pauses=st.lists(st.floats(0.0, 3.0), min_size=1, max_size=200),
)
def test_pacer_allows_no_more_than_the_rule_in_any_window(available, rate, pauses):
    pacer, now, sent = Pacer(), 0.0, []
    for pause in pauses:
        now += pause
        for _ in range(available(pacer, rate, now)):
            pacer.withdraw(rate, now)
            sent.append(now)
    allowed = 1.5 * rate * WINDOW_SECONDS + 5
    for first in sent:
        assert sum(first <= at <= first + WINDOW_SECONDS for at in sent) <= allowed


def test_limited_target_is_used_at_its_rate():
    parts = Parts([entry("t1", slots=10)])
    name_limit(parts, "t1", 5.0)
    target = parts.ledger.get("t1")
    sent = 0
    for _ in range(200):
        parts.clock.time += 0.05
        while target.free(parts.clock.now()):
            parts.ledger.release(target.claim(parts.clock.now()))
            sent += 1
    assert sent == pytest.approx(5.0 * (10.0 + BURST_SECONDS), abs=2)


def test_target_that_allows_nothing_is_probed():
    parts = Parts([entry("t1", slots=10)])
    name_limit(parts, "t1", 0.0)
    target = parts.ledger.get("t1")
    while target.free(parts.clock.now()):
        parts.ledger.release(target.claim(parts.clock.now()))
    parts.clock.time += 3.0
    assert target.free(parts.clock.now()) == 0
    parts.clock.time += 2.0
    assert target.free(parts.clock.now()) == 1


def test_limit_ends_with_a_response_that_does_not_name_it():
    parts = Parts([entry("t1", slots=4)])
    name_limit(parts, "t1", 0.5)
    name_limit(parts, "t1", None)
    assert parts.ledger.get("t1").free(parts.clock.now()) == 4


def test_response_of_another_incarnation_limits_nothing():
    parts = Parts([entry("t1", slots=4)])
    head = parse_response_head(421, [(RATE_LIMIT, b"0.5")])
    parts.ledger.get("t1").record_response(head, parts.clock.now())
    assert parts.ledger.get("t1").free(parts.clock.now()) == 4


def test_restarted_target_is_not_limited():
    parts = Parts([entry("t1", slots=4, started_ms=1)])
    name_limit(parts, "t1", 0.5)
    parts.registry.update([entry("t1", slots=4, started_ms=2)], ())
    assert parts.ledger.get("t1").free(parts.clock.now()) == 4


def test_request_does_not_wait_for_an_affinity_target_at_its_limit():
    parts = Parts([entry("t1", slots=4), entry("t2", slots=4)])
    name_limit(parts, "t1", 0.5)
    use_up(parts.ledger.get("t1"), parts.clock.now())
    request = call(parts.clock)
    request.affinity_until = parts.clock.now() + 0.5
    use = acquire(make_admission(parts), request, preferred=("t1",))
    assert use.target.entry.id == "t2"


def use_up(target, now):
    """Send all requests that the limit of a target allows at once."""
    while target.free(now):
        target.claim(now)


@pytest.mark.parametrize("rate", [2.0, 0.5])
def test_expected_wait_follows_the_limit(rate):
    parts = Parts([entry("t1", slots=10)])
    name_limit(parts, "t1", rate)
    use_up(parts.ledger.get("t1"), parts.clock.now())
    wait = make_admission(parts).wait_estimate("s1")
    assert wait.on_time == pytest.approx(1 / (OVERDRAFT_FACTOR * rate))


def test_request_that_no_limited_target_can_serve_in_time_is_refused_at_once():
    parts = Parts([entry("t1", slots=10)])
    name_limit(parts, "t1", 0.5)
    use_up(parts.ledger.get("t1"), parts.clock.now())
    admission, request = make_admission(parts), call(parts.clock)
    assert acquire(admission, request, patience=0.3) is None
    assert admission.is_wait_too_long(request)


def drain_queue(parts, rejections=0.0):
    """Return how many of many queued requests a limited target gets in 10 s."""
    target = parts.ledger.get("t1")
    target.health.rejection_rate = rejections
    admission, sent = make_admission(parts), 0
    queue = admission._queue("s1")
    for _ in range(200):
        parts.clock.time += 0.05
        request = call(parts.clock)
        queue.waiters.append(
            Waiter(request, (), (), parts.members.region_of, parts.clock.now() - 1.0)
        )
        before = len(queue.waiters)
        run(admission.admit_queued, "s1")
        sent += before - len(queue.waiters)
        target.uses.clear()
    return sent


def test_requests_that_would_be_refused_exceed_the_limit_by_a_part():
    parts = Parts([entry("t1", slots=10)])
    name_limit(parts, "t1", 5.0)
    assert drain_queue(parts) == pytest.approx(5.0 * 10.0 * OVERDRAFT_FACTOR, abs=4)


def test_target_that_turns_requests_away_gets_no_more_than_its_limit():
    parts = Parts([entry("t1", slots=10)])
    name_limit(parts, "t1", 5.0)
    assert drain_queue(parts, rejections=0.1) == pytest.approx(5.0 * 10.0, abs=4)


def test_request_does_not_exceed_the_limit_before_others_were_tried():
    parts = Parts([entry("t1", slots=10)])
    name_limit(parts, "t1", 4.0)
    target = parts.ledger.get("t1")
    use_up(target, parts.clock.now())
    parts.clock.time += 0.2
    assert not target.free(parts.clock.now())
    assert target.overdraft(parts.clock.now())
    request = call(parts.clock)
    request.give_up_at = request.deadline
    wait_until = parts.clock.now() + 0.01
    acquiring = make_admission(parts).acquire
    assert run(acquiring, request, (), frozenset(), wait_until) is None
