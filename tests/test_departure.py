"""What a leaving VM still takes, and what it gives back at once."""

import pytest
from curio import run, sleep, spawn

from heathercleat import ResultCode
from heathercleat.errors import RequestError
from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.work import WorkTimes
from heathercleat.steering.process.departure import LEAVING, Departure
from heathercleat.steering.process.quarantine.suspects import Suspects
from heathercleat.steering.request.answer import End
from heathercleat.steering.request.local import LocalTry
from tests.steering_parts import Parts, call, entry
from tests.test_steer import Scene, answered, no_slot

GRACE = 6.0


def departure(*seconds, home=True):
    """Return a :class:`Departure` that began at 0, with the work times of a route."""
    times = WorkTimes()
    for each in seconds:
        times.observe("r1", each, home)
    made = Departure(times)
    made.begin(0.0, GRACE)
    return made


def test_vm_that_stays_takes_requests_at_any_time():
    made = Departure(WorkTimes())
    assert not made.is_too_late("r1", 1e9)


@pytest.mark.parametrize(
    ("work", "now", "too_late"),
    [(0.3, 3.6, False), (1.0, 3.6, False), (1.2, 3.6, True), (3.5, 0.2, True)],
)
def test_request_is_taken_while_it_can_be_finished(work, now, too_late):
    assert departure(work).is_too_late("r1", now) is too_late


def test_longest_work_time_counts():
    """A target that does not know the object takes longer than the mean."""
    times = WorkTimes()
    times.observe("r1", 0.3, True)
    times.observe("r1", 3.0, False)
    made = Departure(times)
    made.begin(0.0, GRACE)
    assert made.is_too_late("r1", 1.0)


def test_no_request_is_taken_just_before_the_end():
    assert departure().is_too_late("r1", GRACE - 1.0)


def test_request_that_cannot_be_finished_may_come_back_at_once():
    with pytest.raises(RequestError) as caught:
        departure(3.5).check("r1", 2.0)
    assert caught.value.code is ResultCode.NO_ROOM
    assert caught.value.retry_at == 2.0


def test_waiting_request_is_given_back_when_it_can_no_longer_be_finished():
    scene = Scene([no_slot(), answered()])
    scene.work_times.observe("r1", 0.2, True)
    made = scene.call()
    made.returned = True
    now = scene.parts.clock.now()
    scene.departure.begin(now, 1.5 + 0.7 + 0.02)
    with pytest.raises(RequestError) as caught:
        scene.run(made)
    assert LEAVING in str(caught.value)
    assert len(scene.local.tried) == 1


def test_request_that_gets_its_slot_too_late_is_not_sent():
    parts = Parts([entry("t1", slots=1)])
    times = WorkTimes()
    times.observe("r1", 3.5, False)
    made = Departure(times)
    admission = Admission(parts.ledger, parts.members.region_of, parts.clock)
    local = LocalTry(
        admission,
        parts.ledger,
        parts.registry,
        None,
        times,
        made,
        None,
        Suspects(parts.journal, parts.clock),
        parts.journal,
        parts.clock,
    )
    (target,) = parts.ledger.all()
    request = call(parts.clock)
    request.patient_until = parts.clock.now() + 5.0

    async def main():
        use = target.take(parts.clock.now())
        until = parts.clock.now() + 5.0
        task = await spawn(local.run, request, (), (), until)
        await sleep(0)
        made.begin(parts.clock.now(), GRACE)
        parts.clock.time += 1.0
        await admission.release(use, True)
        return await task.join()

    result = run(main)
    assert (result.end, result.reason) == (End.NOT_SENT, LEAVING)
    assert target.free(parts.clock.now()) == 1
