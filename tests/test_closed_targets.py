"""Requests whose targets ask for no more requests."""

import pytest
from curio import run

from heathercleat.errors import RequestError
from heathercleat.platform.headers import parse_response_head
from heathercleat.platform.wire_names import RETRY_AFTER
from heathercleat.steering.process.capacity.notices import MAX_REST_SECONDS
from heathercleat.steering.request.attempt_result import CLOSED_REASON, AttemptOutcome
from tests.steering_parts import Parts, call, entry
from tests.test_notices import make_head
from tests.test_pacing import make_admission
from tests.test_queueing import acquire
from tests.test_steer import SteeringSetup
from tests.test_suspended_vm import make_dispatcher


class OpeningPool:
    """A pool with one connection, which a response overtakes.

    :param on_checkout: called before the connection is returned.
    """

    def __init__(self, on_checkout):
        self._on_checkout = on_checkout
        self.returned = []

    async def checkout(self, host, port, max_age=None):
        self._on_checkout()
        return "stream"

    async def checkin(self, host, port, stream):
        self.returned.append(stream)


@pytest.mark.parametrize("head", [make_head(leaving=True), make_head(rest=1.0)])
def test_request_that_connects_while_its_target_closes_is_not_sent(head):
    parts = Parts([entry("t1")])
    (target,) = parts.ledger.all()

    def close():
        target.record_response(head, parts.clock.now())

    pool = OpeningPool(close)
    request = call(parts.clock)
    attempt = make_dispatcher(parts, pool).run(request, (), (), request.deadline)
    result = run(lambda: attempt)
    assert (result.outcome, result.reason) == (AttemptOutcome.NOT_SENT, CLOSED_REASON)
    assert result.target == "t1", "the request must take another target"
    assert pool.returned == ["stream"]
    assert not target.uses


def ask_for_rest(parts, seconds, ids):
    for each in ids:
        head, now = make_head(rest=seconds), parts.clock.now()
        target = parts.ledger.get(each)
        target.record_response(head, now)
        target.record_rejection(head, now, 0.0, True, now)


@pytest.mark.parametrize(
    ("status", "value", "seconds"),
    [
        (503, b"3", 3.0),
        (503, b"0.25", 0.25),
        (503, b"-1", None),
        (503, b"nan", None),
        (503, b"Thu, 03 Dec 2026 16:00:00 GMT", None),
        (429, b"3", None),
        (200, b"3", None),
    ],
)
def test_rest_is_read_from_refusals_for_overload(status, value, seconds):
    assert parse_response_head(status, [(RETRY_AFTER, value)]).rest_seconds == seconds


def test_rest_is_never_shortened():
    parts = Parts([entry("t1")])
    ask_for_rest(parts, 3.0, ["t1"])
    ends_at = parts.clock.now() + 3.0
    ask_for_rest(parts, 1.0, ["t1"])
    assert parts.ledger.get("t1").closed_until == ends_at


def test_rest_of_implausible_length_ends():
    parts = Parts([entry("t1")])
    ask_for_rest(parts, 1e12, ["t1"])
    assert parts.ledger.get("t1").closed_until <= parts.clock.now() + MAX_REST_SECONDS


def test_rested_target_is_probed_and_then_used_whole():
    parts = Parts([entry("t1", slots=4)])
    ask_for_rest(parts, 3.0, ["t1"])
    target = parts.ledger.get("t1")
    assert target.free(parts.clock.now() + 2.9) == 0
    parts.clock.time += 3.0
    assert target.free(parts.clock.now()) == 1
    target.health.record_success(0.1)
    assert target.free(parts.clock.now()) == 4


def test_request_is_served_by_another_target_while_its_own_rests():
    parts = Parts([entry("t1", slots=4), entry("t2", slots=4)])
    ask_for_rest(parts, 3.0, ["t1"])
    request = call(parts.clock)
    request.affinity_until = parts.clock.now() + 0.5
    use = acquire(make_admission(parts), request, preferred=("t1",))
    assert use.target.entry.id == "t2"


@pytest.mark.parametrize(("rest", "is_refused"), [(0.1, False), (3.0, True)])
def test_request_waits_only_for_a_rest_that_ends_in_time(rest, is_refused):
    parts = Parts([entry("t1"), entry("t2")])
    ask_for_rest(parts, rest, ["t1", "t2"])
    request = call(parts.clock)
    request.give_up_at = request.deadline
    admission = make_admission(parts)
    assert admission.is_wait_too_long(request) is is_refused
    assert admission.wait_estimate("s1").on_time >= rest


def test_refused_client_is_told_when_the_first_target_reopens():
    setup = SteeringSetup([], [entry("t1"), entry("t2")])
    ask_for_rest(setup.parts, 3.0, ["t1"])
    ask_for_rest(setup.parts, 4.0, ["t2"])
    reopens_at = setup.parts.clock.now() + 3.0
    with pytest.raises(RequestError) as caught:
        setup.run(call(setup.parts.clock))
    assert caught.value.retry_at == pytest.approx(reopens_at)
