"""Requests that a VM still accepts during a planned stop, and those it refuses."""

import h11
import pytest
from curio import run, sleep, spawn

from heathercleat import ResultCode
from heathercleat.errors import RequestError
from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.response_times import ResponseTimes
from heathercleat.steering.process.capacity.run_times import (
    MAX_SAMPLES,
    MIN_RUNS,
    RunTimes,
)
from heathercleat.steering.process.quarantine.suspects import Suspects
from heathercleat.steering.process.shutdown import (
    FLUSH_SECONDS,
    KEEP_ALIVE_SECONDS,
    KILL_MARGIN_SECONDS,
    LEAVING_REASON,
    MARGIN_SHARE,
    NO_DEADLINE,
    RESTART_SECONDS,
    Shutdown,
)
from heathercleat.steering.request.attempt_result import AttemptOutcome
from heathercleat.steering.request.forward import ForwardOrder, call_from_order
from heathercleat.steering.request.local import LocalDispatcher
from tests.fakes import ManualClock
from tests.steering_parts import Parts, ReachableTargets, call, entry, route
from tests.test_steer import SteeringSetup, answered, ended, no_slot

GRACE_SECONDS = 6.0
#: Seconds after the stop signal at which the last responses are sent.
LAST_RESPONSE_SECONDS = GRACE_SECONDS - KILL_MARGIN_SECONDS - FLUSH_SECONDS
#: Seconds from now to a deadline after the end of the process.
DISTANT_SECONDS = 20.0


def grace_for(seconds):
    """Return the grace period in which requests have the given number of seconds."""
    return seconds / (1 - 2 * MARGIN_SHARE)


def long_call(clock, route=None, service="s1"):
    """Return a request whose deadline is after the end of the process."""
    request = call(clock, route)
    request.service = service
    request.deadline = clock.now() + DISTANT_SECONDS
    return request


def record_run(runs, clock, request, seconds, status=200):
    """Record a run with a response."""
    with runs.track(request) as active_run:
        clock.time += seconds
        active_run.record(answered(status))
        active_run.seconds = seconds


def make_run_times(clock, *seconds):
    """Return :class:`RunTimes` with enough runs of a route to compute its bound."""
    runs = RunTimes(clock)
    for number in range(MIN_RUNS):
        record_run(runs, clock, call(clock), seconds[number % len(seconds)])
    return runs


class PlannedStop:
    """A planned stop that began now.

    :param seconds: durations of the recorded runs; none for a route without runs.
    """

    def __init__(self, *seconds):
        self.clock = ManualClock()
        self.runs = make_run_times(self.clock, *seconds) if seconds else None
        self.shutdown = Shutdown(self.runs or RunTimes(self.clock), lambda: True)
        self.shutdown.begin(self.clock.now(), GRACE_SECONDS)

    def is_too_late(self, after, service="s1", deadline=None):
        """Return whether a request ``after`` seconds after the signal is too late.

        :param deadline: seconds from the signal to the deadline of the request.
        """
        began_at = self.clock.now()
        self.clock.time += after
        request = long_call(self.clock, service=service)
        if deadline is not None:
            request.deadline = began_at + deadline
        return self.shutdown.is_too_late(request, self.clock.now())


def test_running_vm_accepts_requests_at_any_time():
    clock = ManualClock()
    shutdown = Shutdown(RunTimes(clock), lambda: True)
    assert not shutdown.is_too_late(long_call(clock), clock.now())


@pytest.mark.parametrize(
    ("work_seconds", "after", "too_late"),
    [(0.3, 2.4, False), (2.3, 2.4, False), (2.5, 2.4, True), (4.2, 0.2, True)],
)
def test_request_is_accepted_while_it_can_be_finished(work_seconds, after, too_late):
    assert PlannedStop(work_seconds).is_too_late(after) is too_late


@pytest.mark.parametrize(
    "after", [KEEP_ALIVE_SECONDS, 3.2, LAST_RESPONSE_SECONDS - 0.1]
)
def test_late_request_in_a_stop_is_not_accepted_by_estimate(after):
    assert PlannedStop(0.02).is_too_late(after)


@pytest.mark.parametrize("runs", [0, 1, MIN_RUNS - 1])
def test_request_of_a_route_with_few_runs_is_not_accepted_by_estimate(runs):
    stop = PlannedStop()
    for _ in range(runs):
        record_run(stop.shutdown.run_times, stop.clock, call(stop.clock), 0.001)
    assert stop.is_too_late(0.0, deadline=LAST_RESPONSE_SECONDS + 0.1)


@pytest.mark.parametrize(
    ("deadline", "too_late"),
    [(LAST_RESPONSE_SECONDS, False), (LAST_RESPONSE_SECONDS + 0.01, True)],
)
@pytest.mark.parametrize("after", [0.0, 3.0, LAST_RESPONSE_SECONDS - 0.1])
def test_request_that_ends_by_its_deadline_is_accepted(deadline, too_late, after):
    assert PlannedStop().is_too_late(after, deadline=deadline) is too_late


def test_bound_is_the_longest_run_and_not_the_mean():
    assert PlannedStop(*[0.3] * 9, 3.3).is_too_late(1.4)


def test_runs_in_progress_count_before_they_end():
    stop = PlannedStop(0.3)
    with stop.shutdown.run_times.track(call(stop.clock)):
        stop.clock.time += 3.3
        stop.shutdown.begin(stop.clock.now(), GRACE_SECONDS)
        assert stop.is_too_late(1.4)


@pytest.mark.parametrize(
    ("outcome", "too_late"),
    [
        (AttemptOutcome.UNKNOWN, True),
        (AttemptOutcome.TIMED_OUT, True),
        (AttemptOutcome.NOT_SENT, False),
        (AttemptOutcome.REFUSED, False),
    ],
)
def test_long_runs_without_a_response_count_and_waits_do_not(outcome, too_late):
    stop = PlannedStop(0.3)
    with stop.shutdown.run_times.track(call(stop.clock)) as active_run:
        stop.clock.time += 5.0
        active_run.record(ended(outcome))
    stop.shutdown.begin(stop.clock.now(), GRACE_SECONDS)
    assert stop.is_too_late(0.0) is too_late


def test_quick_failures_do_not_displace_long_runs():
    stop = PlannedStop(4.2)
    for _ in range(MAX_SAMPLES):
        record_run(stop.shutdown.run_times, stop.clock, call(stop.clock), 0.005, 500)
    stop.shutdown.begin(stop.clock.now(), GRACE_SECONDS)
    assert stop.is_too_late(0.5)


def test_runs_of_a_route_do_not_count_for_another_service():
    stop = PlannedStop(0.02)
    assert stop.is_too_late(0.0, service="s2")


@pytest.mark.parametrize(
    ("others_serve", "min_seconds", "max_seconds"),
    [(True, 0.0, 0.0), (False, 0.5 * RESTART_SECONDS, 1.5 * RESTART_SECONDS)],
)
def test_refused_request_may_be_retried_at_once_if_another_vm_serves(
    others_serve, min_seconds, max_seconds
):
    clock = ManualClock()
    shutdown = Shutdown(RunTimes(clock), lambda: others_serve)
    shutdown.begin(clock.now(), GRACE_SECONDS)
    with pytest.raises(RequestError) as caught:
        shutdown.check(long_call(clock), clock.now())
    assert caught.value.code is ResultCode.NO_ROOM
    assert min_seconds <= caught.value.retry_at - clock.now() <= max_seconds


@pytest.mark.parametrize("grace", [0.6, 1.5, 3.0, 6.0, 60.0])
def test_responses_are_flushed_in_the_last_sixth_of_a_stop_only(grace):
    stop = PlannedStop()
    stop.shutdown.begin(stop.clock.now(), grace)
    last_sixth_at = stop.clock.now() + grace * 5 / 6
    assert stop.shutdown.flush_at >= last_sixth_at - 1e-9


@pytest.mark.parametrize(
    ("work_seconds", "after", "expected"),
    [(0.1, 4.0, False), (0.1, 5.4, True), (5.0, 0.1, False)],
)
def test_time_is_short_only_for_routes_whose_requests_could_finish_at_first(
    work_seconds, after, expected
):
    stop = PlannedStop(work_seconds)
    long_route = route(timeout=DISTANT_SECONDS)
    assert stop.shutdown.is_time_short(long_route, stop.clock.now() + after) is expected


def test_waiting_request_is_refused_when_it_can_no_longer_be_finished():
    setup = SteeringSetup([no_slot(), answered()])
    for _ in range(MIN_RUNS):
        record_run(setup.shutdown.run_times, setup.parts.clock, setup.call(), 0.2)
    request = setup.call()
    now = setup.parts.clock.now()
    request.deadline = now + DISTANT_SECONDS
    request.is_client_retry = True
    needed = setup.shutdown.run_times.bound(request)
    setup.shutdown.begin(now, grace_for(needed + 0.02))
    with pytest.raises(RequestError) as caught:
        setup.run(request)
    assert LEAVING_REASON in str(caught.value)
    assert len(setup.local.tried) == 1


@pytest.mark.parametrize("first", [ended(AttemptOutcome.UNKNOWN), answered(500)])
def test_request_is_not_retried_when_it_can_no_longer_be_finished(first):
    setup = SteeringSetup([first, answered()])
    for _ in range(MIN_RUNS):
        record_run(setup.shutdown.run_times, setup.parts.clock, setup.call(), 0.2)
    request = setup.call()
    now = setup.parts.clock.now()
    request.deadline = now + DISTANT_SECONDS
    needed = setup.shutdown.run_times.bound(request)
    setup.shutdown.begin(now, grace_for(needed + 0.005))
    if first.response:
        assert setup.run(request).status == 500
    else:
        with pytest.raises(RequestError) as caught:
            setup.run(request)
        assert caught.value.code is ResultCode.ANSWER_LOST
    assert len(setup.local.tried) == 1


class SlowPool:
    """A connection pool that needs half a second to connect."""

    def __init__(self, clock):
        self._clock = clock
        self.checkins = 0

    async def checkout(self, host, port, max_age):
        self._clock.time += 0.5

    async def checkin(self, host, port, stream):
        self.checkins += 1


class Owner:
    """The owner of one target that has one slot."""

    def __init__(self):
        self.parts = parts = Parts([entry("t1", slots=1)])
        self.runs = RunTimes(parts.clock)
        self.shutdown = Shutdown(self.runs, lambda: True)
        self.admission = Admission(parts.ledger, parts.members.region_of, parts.clock)
        self.pool = SlowPool(parts.clock)
        self.local = LocalDispatcher(
            self.admission,
            parts.ledger,
            parts.registry,
            self.pool,
            ResponseTimes(),
            self.shutdown,
            None,
            Suspects(parts.journal, parts.clock),
            ReachableTargets(),
            parts.journal,
            parts.clock,
        )
        (self.target,) = parts.ledger.all()

    def call(self):
        """Return a request that may wait for a long time."""
        request = call(self.parts.clock)
        request.give_up_at = self.parts.clock.now() + DISTANT_SECONDS
        request.deadline = self.parts.clock.now() + DISTANT_SECONDS
        return request

    def run(self, request, seconds, meanwhile=None):
        """Return the result of a request that waits ``seconds`` for the slot.

        :param meanwhile: called while the request waits.
        """
        clock = self.parts.clock

        async def main():
            use = self.target.claim(clock.now())
            task = await spawn(
                self.local.run, request, (), (), clock.now() + DISTANT_SECONDS
            )
            await sleep(0)
            if meanwhile is not None:
                meanwhile()
            clock.time += seconds
            await self.admission.release(use, True)
            return await task.join()

        return run(main)


def test_request_that_gets_its_slot_too_late_is_not_sent():
    owner = Owner()
    for _ in range(MIN_RUNS):
        record_run(owner.runs, owner.parts.clock, call(owner.parts.clock), 3.9)
    now = owner.parts.clock.now()
    result = owner.run(
        owner.call(), 1.0, lambda: owner.shutdown.begin(now, GRACE_SECONDS)
    )
    assert (result.outcome, result.reason) == (AttemptOutcome.NOT_SENT, LEAVING_REASON)
    assert owner.target.free(owner.parts.clock.now()) == 1


def test_owner_does_not_send_a_request_that_outlasts_the_forwarding_vm():
    owner = Owner()
    request = owner.call()
    request.send_deadline = owner.parts.clock.now() + 0.5
    result = owner.run(request, 1.0)
    assert (result.outcome, result.reason) == (AttemptOutcome.NOT_SENT, LEAVING_REASON)


def test_request_whose_target_is_slow_to_connect_is_not_sent_too_late():
    owner = Owner()
    request = owner.call()
    request.send_deadline = owner.parts.clock.now() + 0.4
    until = owner.parts.clock.now() + DISTANT_SECONDS
    result = run(owner.local.run, request, (), (), until)
    assert (result.outcome, result.reason) == (AttemptOutcome.NOT_SENT, LEAVING_REASON)
    assert owner.pool.checkins == 1


@pytest.mark.parametrize(
    ("send_in", "expected"), [(2.0, 1.9), (NO_DEADLINE, NO_DEADLINE)]
)
def test_owner_receives_the_send_deadline(send_in, expected):
    parts = Parts([entry("t1")])
    now = parts.clock.now()
    request = call(parts.clock)
    request.send_deadline = now + send_in
    packed = ForwardOrder.from_call(request, (), (), now, 0.1, now).pack()
    head = h11.Request(method="GET", target="/x", headers=[("host", "a.example")])
    forwarded = call_from_order(ForwardOrder.unpack(packed), head, [], b"", None, now)
    assert forwarded.send_deadline == pytest.approx(now + expected)
