import pytest
from curio import run

from heathercleat import ResultCode
from heathercleat.errors import CallerDisconnectedError, RequestError
from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.loss_rates import LossRates
from heathercleat.steering.process.capacity.region_loss_rates import RegionLossRates
from heathercleat.steering.process.capacity.region_shift import RegionShiftLimit
from heathercleat.steering.process.capacity.response_times import ResponseTimes
from heathercleat.steering.process.capacity.retry_budget import RetryBudget
from heathercleat.steering.process.capacity.run_times import RunTimes
from heathercleat.steering.process.capacity.view import SUMMARY_TTL_SECONDS, TargetView
from heathercleat.steering.process.quarantine.suspects import Suspects
from heathercleat.steering.process.shutdown import Shutdown
from heathercleat.steering.request.attempt_result import (
    NO_SLOT_IN_TIME,
    AttemptOutcome,
    AttemptResult,
    TargetResponse,
)
from heathercleat.steering.request.containment import Containment
from heathercleat.steering.request.destinations import (
    LARGE_BODY_BYTES,
    DestinationSelector,
)
from heathercleat.steering.request.dispatch import Dispatcher
from heathercleat.steering.request.estimates import Estimates
from heathercleat.steering.request.steer import (
    FORWARDED_RECHECK_SECONDS,
    STALE_REPORT_WAIT_SECONDS,
    Steering,
)
from heathercleat.steering.version.routing import RequestKind
from tests.steering_parts import Parts, call, entry, make_heartbeat, route

NO_SLOT = "no free slot"
#: Where the instant to wait until stands among the arguments of a try.
UNTIL_HERE, UNTIL_THERE = 2, 3


class ScriptedTry:
    """Answers tries with the next results of a list; records where they went."""

    def __init__(self, clock, results):
        self.clock = clock
        self.results = list(results)
        self.tried = []

    async def run(self, call, *where):
        self.tried.append(where)
        self.clock.time += 0.01
        result = self.results.pop(0)
        if callable(result):
            return result(call)
        if result.reason == NO_SLOT:
            until = where[UNTIL_HERE if len(where) == 3 else UNTIL_THERE]
            self.clock.time = max(self.clock.time, until)
        return result


def answered(status=200, target="t1"):
    return AttemptResult(
        AttemptOutcome.ANSWERED, TargetResponse(status, [], b""), target, 0.01
    )


def ended(end, target="t1", reason="why"):
    return AttemptResult(end, target=target, reason=reason)


def no_slot():
    return AttemptResult(AttemptOutcome.NOT_SENT, reason=NO_SLOT, wait=0.01)


class Scene:
    """Steering with scripted tries at own and at other VMs' targets."""

    def __init__(self, results, entries=None, forwarded=(), slack=60.0):
        entries = entries or [entry(f"t{number}") for number in range(1, 4)]
        self.parts = Parts(entries)
        clock, members = self.parts.clock, self.parts.members
        self.local = ScriptedTry(clock, results)
        self.forward = ScriptedTry(clock, forwarded)
        self.rooms = CapacityReports(clock)
        self.shift = RegionShiftLimit(0.15, clock)
        self.response_times = ResponseTimes()
        self.budget = RetryBudget(0.0, slack, 10.0, lambda: 1)
        self.pressure = pressure = LossRates()
        self.shutdown = Shutdown(RunTimes(clock), lambda: True)
        parts = self.parts
        self.view = view = TargetView(
            members, parts.registry, parts.owners, parts.ledger, self.rooms
        )
        estimates = Estimates(
            members,
            Admission(parts.ledger, members.region_of, clock),
            self.rooms,
            lambda vm: 0.11,
            self.response_times,
            clock,
        )
        losses = RegionLossRates(members, self.rooms, pressure, clock)
        self.places = places = DestinationSelector(
            view, members, estimates, losses, self.shift, clock
        )
        self.suspects = Suspects(parts.journal, clock)
        self.containment = Containment(self.suspects, clock)
        tries = Dispatcher(
            self.local,
            self.forward,
            members,
            self.rooms,
            lambda vm: 0.11,
            self.containment,
        )
        self.steering = Steering(
            places,
            tries,
            self.shift,
            lambda service: self.budget,
            self.response_times,
            pressure,
            self.shutdown,
            self.containment,
            self.parts.journal,
            clock,
        )

    def run(self, made):
        return run(self.steering.run, made)

    def call(self, kind=RequestKind.SAFE, **fields):
        return call(self.parts.clock, route(kind, **fields))


def test_answer_of_a_target_is_final():
    scene = Scene([answered(404)])
    assert scene.run(scene.call()).status == 404


@pytest.mark.parametrize("kind", [RequestKind.UNSAFE, RequestKind.UPLOAD])
@pytest.mark.parametrize("end", [AttemptOutcome.UNKNOWN, AttemptOutcome.TIMED_OUT])
def test_request_that_may_have_run_is_not_sent_again(kind, end):
    scene = Scene([ended(end), answered()])
    with pytest.raises(RequestError) as caught:
        scene.run(scene.call(kind))
    assert len(scene.local.tried) == 1
    assert caught.value.code.status in (502, 504)
    assert caught.value.retry_at is None


@pytest.mark.parametrize("kind", list(RequestKind))
def test_request_that_a_target_refused_is_sent_to_another(kind):
    scene = Scene([ended(AttemptOutcome.REFUSED, "t1"), answered(target="t2")])
    assert scene.run(scene.call(kind)).status == 200
    assert "t1" in scene.local.tried[1][1]


def test_safe_request_without_an_answer_is_sent_again():
    scene = Scene([ended(AttemptOutcome.UNKNOWN), answered(target="t2")])
    assert scene.run(scene.call()).status == 200


def test_safe_request_runs_on_no_more_targets_than_its_route_allows():
    scene = Scene(
        [
            ended(AttemptOutcome.UNKNOWN, "t1"),
            ended(AttemptOutcome.UNKNOWN, "t2"),
            answered(),
        ]
    )
    with pytest.raises(RequestError) as caught:
        scene.run(scene.call(attempts=2))
    assert caught.value.code is ResultCode.ANSWER_LOST
    assert len(scene.local.tried) == 2


def test_server_error_is_the_answer_when_nothing_better_comes():
    scene = Scene([answered(500, "t1"), answered(500, "t2")])
    assert scene.run(scene.call(attempts=2)).status == 500


def test_without_budget_a_refused_request_is_given_back_as_not_run():
    scene = Scene([ended(AttemptOutcome.REFUSED), answered()], slack=0.0)
    with pytest.raises(RequestError) as caught:
        scene.run(scene.call(RequestKind.UNSAFE))
    assert caught.value.code is ResultCode.NO_ROOM
    assert caught.value.retry_at > scene.parts.clock.now()
    assert len(scene.local.tried) == 1


def test_without_budget_a_safe_request_that_may_have_run_is_not_called_not_run():
    scene = Scene([ended(AttemptOutcome.UNKNOWN), answered()], slack=0.0)
    with pytest.raises(RequestError) as caught:
        scene.run(scene.call())
    assert caught.value.code is ResultCode.ANSWER_LOST


def test_try_that_sent_nothing_costs_no_budget():
    refused = ended(AttemptOutcome.NOT_SENT, reason="connect")
    scene = Scene([refused, refused, answered(target="t3")], slack=0.0)
    assert scene.run(scene.call()).status == 200


def full_scene(results):
    scene = Scene(results)
    for target in scene.parts.ledger.all():
        while target.free(scene.parts.clock.now()):
            target.claim(scene.parts.clock.now())
    return scene


def test_request_without_hope_of_a_slot_is_refused_at_once():
    hopeless = AttemptResult(AttemptOutcome.NOT_SENT, reason=NO_SLOT_IN_TIME, wait=9.0)
    scene = full_scene([hopeless] * 50)
    made = scene.call()
    with pytest.raises(RequestError) as caught:
        scene.run(made)
    assert caught.value.code is ResultCode.NO_ROOM
    assert caught.value.retry_at > scene.parts.clock.now()
    assert scene.parts.clock.now() - made.arrived_at <= made.route.latency_objective / 4


@pytest.mark.parametrize("returned", [True, False])
def test_request_with_hope_waits_for_a_slot_past_its_aim(returned):
    scene = full_scene([no_slot()] * 500)
    made = scene.call()
    made.is_client_retry = returned
    with pytest.raises(RequestError):
        scene.run(made)
    assert made.soft_deadline < scene.parts.clock.now() <= made.deadline + 0.1


def test_request_of_a_client_that_left_is_not_sent_again():
    def leave(made):
        made.is_disconnected = True
        return ended(AttemptOutcome.REFUSED)

    scene = Scene([leave, answered()])
    with pytest.raises(CallerDisconnectedError):
        scene.run(scene.call())
    assert len(scene.local.tried) == 1


def far_scene(free, forwarded):
    """A VM of the north whose own target is full, and a target in the south."""
    far = entry("t9", domain="south-a", slots=10)
    scene = Scene([no_slot()] * 50, [entry("t1", slots=1), far], forwarded)
    scene.parts.members.record_heartbeat(
        make_heartbeat("vm-3", domain="south-a", region="south")
    )
    (own,) = scene.parts.ledger.all()
    own.claim(scene.parts.clock.now())
    scene.rooms.record_report("vm-3", [["t9", free, 10, 0]], [["s1", 0.0, 0.0]], [])
    return scene


@pytest.mark.parametrize("sticky", [True, False])
def test_owner_that_does_not_report_here_is_tried(sticky):
    """VMs that carry no requests get no reports, and still serve who comes to them."""
    scene = Scene([], [entry("t1", domain="north-b")], [answered()])
    scene.parts.members.record_heartbeat(make_heartbeat("vm-2", domain="north-b"))
    made = call(scene.parts.clock, route(sticky=sticky), affinity="/a")
    assert scene.run(made).status == 200
    assert len(scene.forward.tried) == 1


def test_request_moves_to_a_region_with_room():
    scene = far_scene(10, [answered(target="t9")])
    assert scene.run(scene.call()).status == 200
    assert len(scene.forward.tried) == 1


def test_last_slots_of_a_region_are_left_to_its_own_clients():
    scene = far_scene(1, [answered(target="t9")])
    with pytest.raises(RequestError):
        scene.run(scene.call())
    assert scene.forward.tried == []


def test_request_stays_in_the_regions_of_its_route():
    scene = far_scene(10, [answered(target="t9")])
    with pytest.raises(RequestError):
        scene.run(scene.call(regions=["north"]))
    assert scene.forward.tried == []


def test_vm_that_cannot_be_reached_is_not_asked_again():
    scene = far_scene(
        10, [AttemptResult(AttemptOutcome.NOT_SENT, reason="VM: refused")]
    )
    with pytest.raises(RequestError):
        scene.run(scene.call())
    assert len(scene.forward.tried) == 1


def busy_home_scene():
    """A sticky call whose home is full, beside an idle target."""
    scene = Scene([], [entry("t1", slots=2), entry("t2", slots=2)])
    made = call(scene.parts.clock, route(sticky=True), affinity="/a")
    home = scene.places.select_free(made, set(), set()).target
    target = scene.parts.ledger.get(home)
    while target.free(scene.parts.clock.now()):
        target.claim(scene.parts.clock.now())
    scene.parts.clock.time += SUMMARY_TTL_SECONDS
    return scene, made, home


def test_request_goes_to_an_idle_target_while_its_home_is_busy():
    scene, made, home = busy_home_scene()
    place = scene.places.select_free(made, set(), set())
    assert place.target not in (None, home)


def test_request_that_would_be_late_elsewhere_waits_for_its_home_first():
    scene, made, home = busy_home_scene()
    made.affinity_until = scene.parts.clock.now() + 0.05
    assert scene.places.select_free(made, set(), set()) is None
    made.give_up_at = made.affinity_until
    assert scene.places.select_queue(made, set(), set()).preferred == (home,)
    scene.parts.clock.time = made.affinity_until
    assert scene.places.select_free(made, set(), set()).target not in (None, home)


@pytest.mark.parametrize(("elsewhere", "waits"), [(0.2, False), (0.5, True)])
def test_request_waits_for_its_home_where_others_take_too_long(elsewhere, waits):
    until = []

    def note(made):
        until.append(made.affinity_until - made.arrived_at)
        return answered()

    scene = Scene([note])
    scene.response_times.record("r1", 0.1, True)
    scene.response_times.record("r1", elsewhere, False)
    scene.run(call(scene.parts.clock, route(sticky=True), affinity="/a"))
    assert (until[0] > 0.0) is waits


def home_elsewhere_scene(forwarded):
    """A target of another VM, which reports a free slot."""
    scene = Scene([], [entry("t1", domain="north-b")], forwarded)
    scene.parts.members.record_heartbeat(make_heartbeat("vm-2", domain="north-b"))
    scene.rooms.record_report("vm-2", [("t1", 1, 2, 1)], [("s1", 0.0, 0.0)], [])
    scene.response_times.record("r1", 0.1, True)
    scene.response_times.record("r1", 0.5, False)
    return scene


def waited(scene):
    """Return for how long each try might wait at the owner."""
    return [where[UNTIL_THERE] for where in scene.forward.tried]


def test_request_waits_at_once_at_a_home_that_seemed_to_have_room():
    scene = home_elsewhere_scene([answered()])
    made = call(scene.parts.clock, route(sticky=True), affinity="/a")
    scene.run(made)
    assert waited(scene) == [made.affinity_until]
    assert made.affinity_until - made.arrived_at > 2 * STALE_REPORT_WAIT_SECONDS


def test_home_that_was_full_after_all_is_asked_once_a_slice():
    """A home with no room for 1 s: each send in vain carries the body again."""
    scene = home_elsewhere_scene([no_slot() for _ in range(20)])
    scene.response_times.record("r1", 5.0, False)
    made = call(scene.parts.clock, route(sticky=True), affinity="/a")
    made.soft_deadline = made.deadline
    with pytest.raises(RequestError):
        scene.run(made)
    assert len(scene.forward.tried) <= 1.0 / FORWARDED_RECHECK_SECONDS + 1


def test_request_without_a_home_does_not_wait_at_a_stale_report():
    scene = home_elsewhere_scene([answered()])
    made = call(scene.parts.clock, route())
    scene.run(made)
    assert waited(scene) == [made.arrived_at + STALE_REPORT_WAIT_SECONDS]


@pytest.mark.parametrize(("size", "most"), [(0, 5), (LARGE_BODY_BYTES, 2)])
def test_large_bodies_are_sent_less_often(size, most):
    scene = home_elsewhere_scene([no_slot() for _ in range(20)])
    scene.response_times.record("r1", 5.0, False)
    made = call(scene.parts.clock, route(sticky=True), affinity="/a")
    made.body = b"x" * size
    made.soft_deadline = made.deadline
    with pytest.raises(RequestError):
        scene.run(made)
    assert 1 <= len(scene.forward.tried) <= most
