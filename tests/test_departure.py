"""What a leaving VM still takes, and what it gives back at once."""

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
from tests.steering_parts import Parts, call, entry, route
from tests.test_steer import Scene, answered, ended, no_slot

GRACE = 6.0
#: Seconds after the signal at which the last answers go.
LAST = GRACE - KILL_MARGIN_SECONDS - FLUSH_SECONDS
#: A deadline beyond any end.
FAR = 20.0


def short_grace(seconds):
    """Return the seconds until a kill that leave so many for requests."""
    return seconds / (1 - 2 * MARGIN_SHARE)


def long_call(clock, route=None, service="s1"):
    """Return a request whose deadline ends no run in time."""
    made = call(clock, route)
    made.service = service
    made.deadline = clock.now() + FAR
    return made


def observe(runs, clock, request, seconds, status=200):
    """Let a request run and be answered."""
    with runs.watch(request) as each:
        clock.time += seconds
        each.take(answered(status))
        each.seconds = seconds


def known_runs(clock, *seconds):
    """Return the :class:`RunTimes` of a route with enough runs."""
    runs = RunTimes(clock)
    for number in range(MIN_RUNS):
        observe(runs, clock, call(clock), seconds[number % len(seconds)])
    return runs


class Stop:
    """A stop that began now.

    :param seconds: what the runs took so far; none for a route that is not known.
    """

    def __init__(self, *seconds):
        self.clock = ManualClock()
        self.runs = known_runs(self.clock, *seconds) if seconds else None
        self.shutdown = Shutdown(self.runs or RunTimes(self.clock), lambda: True)
        self.shutdown.begin(self.clock.now(), GRACE)

    def is_too_late(self, after, service="s1", deadline=None):
        """Return whether a request that comes some seconds after the signal is late.

        :param deadline: seconds from the signal to its deadline.
        """
        began_at = self.clock.now()
        self.clock.time += after
        made = long_call(self.clock, service=service)
        if deadline is not None:
            made.deadline = began_at + deadline
        return self.shutdown.is_too_late(made, self.clock.now())


def test_vm_that_stays_takes_requests_at_any_time():
    clock = ManualClock()
    made = Shutdown(RunTimes(clock), lambda: True)
    assert not made.is_too_late(long_call(clock), clock.now())


@pytest.mark.parametrize(
    ("work", "after", "too_late"),
    [(0.3, 2.4, False), (2.3, 2.4, False), (2.5, 2.4, True), (4.2, 0.2, True)],
)
def test_request_is_taken_while_it_can_be_finished(work, after, too_late):
    assert Stop(work).is_too_late(after) is too_late


@pytest.mark.parametrize("after", [KEEP_ALIVE_SECONDS, 3.2, LAST - 0.1])
def test_request_that_comes_late_in_a_stop_rests_on_no_estimate(after):
    assert Stop(0.02).is_too_late(after)


@pytest.mark.parametrize("runs", [0, 1, MIN_RUNS - 1])
def test_request_of_a_route_of_which_little_is_known_is_cut_by_no_end(runs):
    stop = Stop()
    for _ in range(runs):
        observe(stop.shutdown.runs, stop.clock, call(stop.clock), 0.001)
    assert stop.is_too_late(0.0, deadline=LAST + 0.1)


@pytest.mark.parametrize(("deadline", "too_late"), [(LAST, False), (LAST + 0.01, True)])
@pytest.mark.parametrize("after", [0.0, 3.0, LAST - 0.1])
def test_request_that_ends_by_its_deadline_is_taken(deadline, too_late, after):
    assert Stop().is_too_late(after, deadline=deadline) is too_late


def test_longest_run_counts_not_the_mean_of_short_and_long_ones():
    assert Stop(*[0.3] * 9, 3.3).is_too_late(1.4)


def test_runs_under_way_count_before_they_end():
    stop = Stop(0.3)
    with stop.shutdown.runs.watch(call(stop.clock)):
        stop.clock.time += 3.3
        stop.shutdown.begin(stop.clock.now(), GRACE)
        assert stop.is_too_late(1.4)


@pytest.mark.parametrize(
    ("end", "too_late"),
    [
        (AttemptOutcome.UNKNOWN, True),
        (AttemptOutcome.TIMED_OUT, True),
        (AttemptOutcome.NOT_SENT, False),
        (AttemptOutcome.REFUSED, False),
    ],
)
def test_long_runs_without_an_answer_count_and_waits_do_not(end, too_late):
    stop = Stop(0.3)
    with stop.shutdown.runs.watch(call(stop.clock)) as each:
        stop.clock.time += 5.0
        each.take(ended(end))
    stop.shutdown.begin(stop.clock.now(), GRACE)
    assert stop.is_too_late(0.0) is too_late


def test_quick_failures_do_not_hide_long_runs():
    stop = Stop(4.2)
    for _ in range(MAX_SAMPLES):
        observe(stop.shutdown.runs, stop.clock, call(stop.clock), 0.005, 500)
    stop.shutdown.begin(stop.clock.now(), GRACE)
    assert stop.is_too_late(0.5)


def test_route_that_moved_to_another_service_is_not_known_there():
    stop = Stop(0.02)
    assert stop.is_too_late(0.0, service="s2")


@pytest.mark.parametrize(
    ("others_serve", "least", "most"),
    [(True, 0.0, 0.0), (False, 0.5 * RESTART_SECONDS, 1.5 * RESTART_SECONDS)],
)
def test_request_that_cannot_be_finished_may_come_back_where_one_serves(
    others_serve, least, most
):
    clock = ManualClock()
    made = Shutdown(RunTimes(clock), lambda: others_serve)
    made.begin(clock.now(), GRACE)
    with pytest.raises(RequestError) as caught:
        made.check(long_call(clock), clock.now())
    assert caught.value.code is ResultCode.NO_ROOM
    assert least <= caught.value.retry_at - clock.now() <= most


@pytest.mark.parametrize("grace", [0.6, 1.5, 3.0, 6.0, 60.0])
def test_answers_are_given_up_in_the_last_sixth_of_a_stop_only(grace):
    stop = Stop()
    stop.shutdown.begin(stop.clock.now(), grace)
    last_sixth_at = stop.clock.now() + grace * 5 / 6
    assert stop.shutdown.flush_at >= last_sixth_at - 1e-9


@pytest.mark.parametrize(
    ("work", "after", "short"), [(0.1, 4.0, False), (0.1, 5.4, True), (5.0, 0.1, False)]
)
def test_little_time_is_left_for_what_could_be_finished_at_first(work, after, short):
    stop = Stop(work)
    patient = route(timeout=FAR)
    assert stop.shutdown.is_time_short(patient, stop.clock.now() + after) is short


def test_waiting_request_is_given_back_when_it_can_no_longer_be_finished():
    scene = Scene([no_slot(), answered()])
    for _ in range(MIN_RUNS):
        observe(scene.shutdown.runs, scene.parts.clock, scene.call(), 0.2)
    made = scene.call()
    now = scene.parts.clock.now()
    made.deadline = now + FAR
    made.returned = True
    needed = scene.shutdown.runs.bound(made)
    scene.shutdown.begin(now, short_grace(needed + 0.02))
    with pytest.raises(RequestError) as caught:
        scene.run(made)
    assert LEAVING_REASON in str(caught.value)
    assert len(scene.local.tried) == 1


@pytest.mark.parametrize("first", [ended(AttemptOutcome.UNKNOWN), answered(500)])
def test_request_is_not_repeated_when_it_can_no_longer_be_finished(first):
    scene = Scene([first, answered()])
    for _ in range(MIN_RUNS):
        observe(scene.shutdown.runs, scene.parts.clock, scene.call(), 0.2)
    made = scene.call()
    now = scene.parts.clock.now()
    made.deadline = now + FAR
    needed = scene.shutdown.runs.bound(made)
    scene.shutdown.begin(now, short_grace(needed + 0.005))
    if first.answer:
        assert scene.run(made).status == 500
    else:
        with pytest.raises(RequestError) as caught:
            scene.run(made)
        assert caught.value.code is ResultCode.ANSWER_LOST
    assert len(scene.local.tried) == 1


class SlowPool:
    """Connects after half a second."""

    def __init__(self, clock):
        self._clock = clock
        self.given_back = 0

    async def checkout(self, host, port, max_age):
        self._clock.time += 0.5

    async def checkin(self, host, port, stream):
        self.given_back += 1


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
            parts.journal,
            parts.clock,
        )
        (self.target,) = parts.ledger.all()

    def call(self):
        """Return a request that may wait for long."""
        made = call(self.parts.clock)
        made.give_up_at = self.parts.clock.now() + FAR
        made.deadline = self.parts.clock.now() + FAR
        return made

    def run(self, request, seconds, meanwhile=None):
        """Return the result of a request that waits some seconds for the slot."""
        clock = self.parts.clock

        async def main():
            use = self.target.take(clock.now())
            task = await spawn(self.local.run, request, (), (), clock.now() + FAR)
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
        observe(owner.runs, owner.parts.clock, call(owner.parts.clock), 3.9)
    now = owner.parts.clock.now()
    result = owner.run(owner.call(), 1.0, lambda: owner.shutdown.begin(now, GRACE))
    assert (result.end, result.reason) == (AttemptOutcome.NOT_SENT, LEAVING_REASON)
    assert owner.target.free(owner.parts.clock.now()) == 1


def test_owner_does_not_send_what_outlasts_the_vm_that_asked():
    owner = Owner()
    request = owner.call()
    request.send_deadline = owner.parts.clock.now() + 0.5
    result = owner.run(request, 1.0)
    assert (result.end, result.reason) == (AttemptOutcome.NOT_SENT, LEAVING_REASON)


def test_request_whose_target_is_slow_to_connect_is_not_sent_too_late():
    owner = Owner()
    request = owner.call()
    request.send_deadline = owner.parts.clock.now() + 0.4
    until = owner.parts.clock.now() + FAR
    result = run(owner.local.run, request, (), (), until)
    assert (result.end, result.reason) == (AttemptOutcome.NOT_SENT, LEAVING_REASON)
    assert owner.pool.given_back == 1


@pytest.mark.parametrize(
    ("send_in", "expected"), [(2.0, 1.9), (NO_DEADLINE, NO_DEADLINE)]
)
def test_owner_is_told_until_when_it_may_send(send_in, expected):
    parts = Parts([entry("t1")])
    now = parts.clock.now()
    request = call(parts.clock)
    request.send_deadline = now + send_in
    packed = ForwardOrder.of(request, (), (), now, 0.1, now).pack()
    head = h11.Request(method="GET", target="/x", headers=[("host", "a.example")])
    made = call_from_order(ForwardOrder.unpack(packed), head, [], b"", None, now)
    assert made.send_deadline == pytest.approx(now + expected)
