"""Tests of the decisions for targets whose machines are slow at times."""

import pytest
from curio import run, sleep, spawn

from heathercleat.events import Event
from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.machine_speed import (
    SLOW_PERIOD_SECONDS,
    MachineSpeed,
)
from heathercleat.steering.process.capacity.speed_log import (
    LINE_INTERVAL_SECONDS,
    SpeedLog,
)
from standins.speed_simulation import SlowMachineLoad
from tests.steering_parts import Parts, call, entry
from tests.test_object_homes import OBJECTS, SLOTS, DestinationScene


@pytest.mark.parametrize(("factor", "slow_share"), [(4.0, 0.25), (2.5, 0.15)])
def test_fewer_requests_start_at_slow_machines(factor, slow_share):
    """With the field ignored, a request goes to the target with most free slots."""
    ignored_share, ignored = SlowMachineLoad(
        False, factor, slow_share, 110, 0.1, 0
    ).run()
    share, latencies = SlowMachineLoad(True, factor, slow_share, 110, 0.1, 0).run()
    assert len(latencies) == len(ignored) > 3000
    assert share <= 0.6 * ignored_share
    assert sum(latencies) <= sum(ignored)
    for quantile in (0.5, 0.95, 0.99):
        number = int(quantile * len(ignored))
        assert latencies[number] <= ignored[number]


def test_requests_with_a_cached_object_are_no_slower():
    """Another target takes 3.3 times as long, often longer than the slow one."""
    _, ignored = SlowMachineLoad(False, 2.5, 0.15, 40, 0.3, 120).run()
    _, latencies = SlowMachineLoad(True, 2.5, 0.15, 40, 0.3, 120).run()
    assert sum(latencies) <= 1.01 * sum(ignored)


def recorded(*reports):
    """Return a :class:`MachineSpeed` with ``(slowdown, instant)`` reports."""
    speed = MachineSpeed()
    for slowdown, at in reports:
        speed.record(slowdown, at)
    return speed


@pytest.mark.parametrize(
    ("reports", "ends_at"),
    [
        ([(2.5, 100.0)], 100.3),
        ([(1.0, 99.9), (2.5, 100.0)], 100.55),
        ([(2.5, 99.0), (2.5, 100.0)], 100.3),
        ([(1.0, 99.3), (2.5, 99.4), (2.5, 100.0)], 100.1),
        ([(2.5, 99.9), (1.0, 100.0)], 100.0),
    ],
)
def test_slow_period_ends_about_600_ms_after_its_start(reports, ends_at):
    speed = recorded(*reports)
    assert speed.remaining_seconds(100.0) == pytest.approx(ends_at - 100.0)
    assert speed.slowdown(ends_at) == 1.0


def test_old_value_has_no_effect():
    """A suspended VM, or one without newer responses, must not avoid a target."""
    speed = recorded((20.0, 100.0))
    falling = [speed.slowdown(100.0 + each / 10) for each in range(7)]
    assert falling == sorted(falling, reverse=True)
    now = 100.0 + SLOW_PERIOD_SECONDS
    assert (speed.slowdown(now), speed.run_seconds(0.3, now)) == (1.0, 0.3)


@pytest.mark.parametrize(("usual", "expected"), [(0.1, 0.25), (0.3, 0.3 + 0.55 * 0.6)])
def test_only_the_work_in_the_slow_period_takes_longer(usual, expected):
    speed = recorded((1.0, 99.9), (2.5, 100.0))
    assert speed.run_seconds(usual, 100.0) == pytest.approx(expected)


def slow_down(capacity, now, slowdown=2.5):
    capacity.speed.record(1.0, now - 0.05)
    capacity.speed.record(slowdown, now)


def scene_with_affinity(is_remote, **fields):
    """Return a scene, a call and its affinity target in one region, which is slow."""
    scene = DestinationScene(**fields)
    calls = (scene.call(number) for number in range(OBJECTS))
    request = next(each for each in calls if scene.select(each).is_remote is is_remote)
    candidates = [
        each
        for region in scene.selector._view.regions("s1").values()
        for each in region.candidates
    ]
    first = scene.select(request).target
    by_id = {each.entry.id: each for each in candidates}
    slow_down(by_id[first].capacity, scene.parts.clock.now())
    return scene, request, first


def test_slow_affinity_target_is_often_still_the_best():
    scene, request, first = scene_with_affinity(False, round_trip=0.15)
    assert scene.select(request).target == first


def test_request_stays_in_its_region_unless_it_would_be_late():
    """Bytes between regions cost more than a response that is earlier but in time."""
    scene, request, first = scene_with_affinity(False, round_trip=0.01)
    assert scene.select(request).target == first
    request.soft_deadline = scene.parts.clock.now() + 0.2
    assert scene.select(request).is_remote


def test_overflowing_object_stays_at_its_slow_far_affinity_target():
    """The target of the own region has not cached it, and it took 3.3 times as long."""
    scene, request, first = scene_with_affinity(True)
    destination = scene.select(request)
    assert (destination.is_remote, destination.target) == (True, first)


def test_full_slow_affinity_target_is_left_for_a_free_target():
    """Its object is not cached there, but the wait at the slow one is long."""
    scene, request, first = scene_with_affinity(False, round_trip=1.0)
    target = scene.parts.ledger.get(first)
    for _ in range(SLOTS):
        target.claim(scene.parts.clock.now())
    assert scene.select(request) is None
    slow_down(target, scene.parts.clock.now(), 20.0)
    destination = scene.select(request)
    assert destination.target not in (None, first)
    assert destination.preferred == (first,)
    assert request.affinity_until <= scene.parts.clock.now()


def owner():
    """Return the parts and the admission of an owner of two targets, t1 is slow."""
    parts = Parts([entry("t1", slots=2), entry("t2", slots=2)])
    slow_down(parts.ledger.get("t1"), parts.clock.now())
    return parts, Admission(parts.ledger, parts.members.region_of, parts.clock)


def test_owner_takes_the_free_slot_of_a_target_that_is_not_slow():
    parts, admission = owner()
    parts.ledger.get("t2").claim(parts.clock.now())
    request = call(parts.clock)
    use = run(admission.acquire, request, (), frozenset(), request.deadline)
    assert use.target.entry.id == "t2"


def test_owner_gives_a_slow_slot_to_a_request_that_can_still_be_in_time():
    parts, admission = owner()
    now = parts.clock.now()
    targets = [parts.ledger.get(each) for each in ("t1", "t2")]
    uses = [target.claim(now) for target in targets for _ in range(2)]
    urgent, other = call(parts.clock, id="urgent"), call(parts.clock, id="other")
    other.soft_deadline = now + 0.9
    order = []

    async def wait(request):
        request.give_up_at = request.deadline
        await admission.acquire(request, (), frozenset(), request.deadline)
        order.append(request.id)

    async def act():
        tasks = [await spawn(wait, each) for each in (urgent, other)]
        await sleep(0.01)
        for use in (uses[0], uses[2]):
            await admission.release(use, False)
            await sleep(0.01)
        for task in tasks:
            await task.join()

    run(act)
    assert order == ["other", "urgent"]


def test_log_lines_are_limited():
    """The speed of a hundred machines changes 50 times a second."""
    lines = []

    class Recorder:
        def write(self, event, **fields):
            lines.append((event, fields["left_out"]))

    parts, _ = owner()
    log, target = SpeedLog(Recorder()), parts.ledger.get("t1")
    for at in (0.0, 0.1, 0.2, LINE_INTERVAL_SECONDS):
        now = parts.clock.now() + at
        target.speed.record(2.5, now)
        log.record_response(target, False, now)
    assert lines == [(Event.MACHINE_SLOW, 0), (Event.MACHINE_SLOW, 2)]
