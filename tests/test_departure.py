"""What a leaving VM still takes, and what it gives back at once."""

import h11
import pytest
from curio import run, sleep, spawn

from heathercleat import ResultCode
from heathercleat.errors import RequestError
from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.work import LEAST_ANSWERS, WorkTimes
from heathercleat.steering.process.departure import (
    LAST_ANSWERS,
    LEAVING,
    NO_END,
    STOP_MARGIN,
    Departure,
)
from heathercleat.steering.process.quarantine.suspects import Suspects
from heathercleat.steering.request.answer import End
from heathercleat.steering.request.forward import ForwardOrder, call_of
from heathercleat.steering.request.local import LocalTry
from tests.steering_parts import Parts, call, entry
from tests.test_steer import Scene, answered, ended, no_slot

GRACE = 6.0
#: Seconds after the signal at which the last answers go.
LAST = GRACE - STOP_MARGIN - LAST_ANSWERS
#: A deadline beyond any end.
FAR = 20.0


def work_times(*seconds, home=True):
    """Return the :class:`WorkTimes` of a route that had enough answers."""
    times = WorkTimes()
    for number in range(LEAST_ANSWERS):
        times.observe("r1", seconds[number % len(seconds)], home)
    return times


def departure(times):
    """Return a :class:`Departure` that began at 0."""
    made = Departure(times)
    made.begin(0.0, GRACE)
    return made


def test_vm_that_stays_takes_requests_at_any_time():
    made = Departure(WorkTimes())
    assert not made.is_too_late("r1", 1e9 + FAR, 1e9)


@pytest.mark.parametrize(
    ("work", "now", "too_late"),
    [(0.3, 3.6, False), (1.0, 3.6, False), (1.5, 3.6, True), (4.2, 0.2, True)],
)
def test_request_is_taken_while_it_can_be_finished(work, now, too_late):
    made = departure(work_times(work))
    assert made.is_too_late("r1", FAR, now) is too_late


@pytest.mark.parametrize("answers", [0, 1, LEAST_ANSWERS - 1])
def test_request_of_a_route_of_which_little_is_known_is_cut_by_no_end(answers):
    times = WorkTimes()
    for _ in range(answers):
        times.observe("r1", 0.1, True)
    assert departure(times).is_too_late("r1", LAST + 0.1, 0.0)


@pytest.mark.parametrize(("deadline", "too_late"), [(LAST, False), (LAST + 0.01, True)])
def test_request_that_ends_by_its_deadline_is_taken(deadline, too_late):
    made = departure(WorkTimes())
    assert made.is_too_late("r1", deadline, 3.0) is too_late


def test_longest_run_counts_not_the_mean_of_short_and_long_ones():
    times = work_times(*[0.3] * 9, 3.3)
    assert departure(times).is_too_late("r1", FAR, 1.4)


def test_runs_under_way_count_before_they_end():
    times = work_times(0.3)
    with times.running("r1", -3.0):
        assert departure(times).is_too_late("r1", FAR, 1.4)
    assert not departure(times).is_too_late("r1", FAR, 1.4)


def test_request_that_cannot_be_finished_may_come_back_at_once():
    with pytest.raises(RequestError) as caught:
        departure(work_times(3.5)).check("r1", FAR, 2.0)
    assert caught.value.code is ResultCode.NO_ROOM
    assert caught.value.retry_at == 2.0


def test_waiting_request_is_given_back_when_it_can_no_longer_be_finished():
    scene = Scene([no_slot(), answered()])
    for _ in range(LEAST_ANSWERS):
        scene.work_times.observe("r1", 0.2, True)
    made = scene.call()
    made.deadline = scene.parts.clock.now() + FAR
    made.returned = True
    now = scene.parts.clock.now()
    needed = scene.work_times.bound("r1", now)
    scene.departure.begin(now, needed + LAST_ANSWERS + STOP_MARGIN + 0.02)
    with pytest.raises(RequestError) as caught:
        scene.run(made)
    assert LEAVING in str(caught.value)
    assert len(scene.local.tried) == 1


@pytest.mark.parametrize("first", [ended(End.UNKNOWN), answered(500)])
def test_request_is_not_repeated_when_it_can_no_longer_be_finished(first):
    scene = Scene([first, answered()])
    made = scene.call()
    now = scene.parts.clock.now()
    made.deadline = now + FAR
    for _ in range(LEAST_ANSWERS):
        scene.work_times.observe("r1", 0.2, True)
    needed = scene.work_times.bound("r1", now)
    scene.departure.begin(now, needed + LAST_ANSWERS + STOP_MARGIN + 0.005)
    if first.answer:
        assert scene.run(made).status == 500
    else:
        with pytest.raises(RequestError) as caught:
            scene.run(made)
        assert caught.value.code is ResultCode.ANSWER_LOST
    assert len(scene.local.tried) == 1


class Owner:
    """The owner of one target that has one slot."""

    def __init__(self, times):
        self.parts = parts = Parts([entry("t1", slots=1)])
        self.departure = Departure(times)
        self.admission = Admission(parts.ledger, parts.members.region_of, parts.clock)
        self.local = LocalTry(
            self.admission,
            parts.ledger,
            parts.registry,
            None,
            times,
            self.departure,
            None,
            Suspects(parts.journal, parts.clock),
            parts.journal,
            parts.clock,
        )
        (self.target,) = parts.ledger.all()

    def call(self):
        """Return a request that may wait for long."""
        made = call(self.parts.clock)
        made.patient_until = self.parts.clock.now() + FAR
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
    owner = Owner(work_times(3.9, home=False))
    now = owner.parts.clock.now()
    result = owner.run(owner.call(), 1.0, lambda: owner.departure.begin(now, GRACE))
    assert (result.end, result.reason) == (End.NOT_SENT, LEAVING)
    assert owner.target.free(owner.parts.clock.now()) == 1


def test_owner_does_not_send_what_outlasts_the_vm_that_asked():
    owner = Owner(WorkTimes())
    request = owner.call()
    request.send_by = owner.parts.clock.now() + 0.5
    result = owner.run(request, 1.0)
    assert (result.end, result.reason) == (End.NOT_SENT, LEAVING)


@pytest.mark.parametrize(("send_in", "expected"), [(2.0, 1.9), (NO_END, NO_END)])
def test_owner_is_told_until_when_it_may_send(send_in, expected):
    parts = Parts([entry("t1")])
    now = parts.clock.now()
    request = call(parts.clock)
    request.send_by = now + send_in
    packed = ForwardOrder.of(request, (), (), now, 0.1, now).pack()
    head = h11.Request(method="GET", target="/x", headers=[("host", "a.example")])
    made = call_of(ForwardOrder.unpack(packed), head, [], b"", None, now)
    assert made.send_by == pytest.approx(now + expected)
