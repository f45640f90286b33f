"""Tests of the choice of a destination, of retries and of waits for a slot."""

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
    NO_SLOT_IN_TIME_REASON,
    AttemptOutcome,
    AttemptResult,
    TargetResponse,
)
from heathercleat.steering.request.crash_limits import CrashLimits
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
#: Index of the instant until which an attempt may wait, in a dispatcher's arguments.
LOCAL_UNTIL_INDEX, FORWARD_UNTIL_INDEX = 2, 3


class ScriptedDispatcher:
    """Returns scripted results of attempts and records the attempts' arguments."""

    def __init__(self, clock, results):
        self.clock = clock
        self.results = list(results)
        self.tried = []

    async def run(self, call, *args):
        self.tried.append(args)
        self.clock.time += 0.01
        result = self.results.pop(0)
        if callable(result):
            return result(call)
        if result.reason == NO_SLOT:
            until = args[LOCAL_UNTIL_INDEX if len(args) == 3 else FORWARD_UNTIL_INDEX]
            self.clock.time = max(self.clock.time, until)
        return result


def answered(status=200, target="t1"):
    return AttemptResult(
        AttemptOutcome.ANSWERED, TargetResponse(status, [], b""), target, 0.01
    )


def ended(outcome, target="t1", reason="why"):
    return AttemptResult(outcome, target=target, reason=reason)


def no_slot():
    return AttemptResult(AttemptOutcome.NOT_SENT, reason=NO_SLOT, wait=0.01)


class SteeringSetup:
    """Steering with scripted attempts at targets of this VM and of other VMs."""

    def __init__(self, results, entries=None, forwarded=(), slack=60.0):
        entries = entries or [entry(f"t{number}") for number in range(1, 4)]
        self.parts = Parts(entries)
        clock, members = self.parts.clock, self.parts.members
        self.local = ScriptedDispatcher(clock, results)
        self.forward = ScriptedDispatcher(clock, forwarded)
        self.reports = CapacityReports(clock)
        self.shift = RegionShiftLimit(0.15, clock)
        self.response_times = ResponseTimes()
        self.budget = RetryBudget(0.0, slack, 10.0, lambda: 1)
        self.own_loss_rates = own_loss_rates = LossRates()
        self.shutdown = Shutdown(RunTimes(clock), lambda: True)
        parts = self.parts
        self.view = view = TargetView(
            members, parts.registry, parts.owners, parts.ledger, self.reports
        )
        estimates = Estimates(
            members,
            Admission(parts.ledger, members.region_of, clock),
            self.reports,
            lambda vm: 0.11,
            self.response_times,
            clock,
        )
        region_loss_rates = RegionLossRates(
            members, self.reports, own_loss_rates, clock
        )
        self.destinations = destinations = DestinationSelector(
            view,
            members,
            estimates,
            region_loss_rates,
            self.shift,
            parts.notices,
            clock,
        )
        self.suspects = Suspects(parts.journal, clock)
        self.crash_limits = CrashLimits(self.suspects, clock)
        dispatcher = Dispatcher(
            self.local,
            self.forward,
            members,
            self.reports,
            lambda vm: 0.11,
            self.crash_limits,
        )
        self.steering = Steering(
            destinations,
            dispatcher,
            self.shift,
            lambda service: self.budget,
            self.response_times,
            own_loss_rates,
            self.shutdown,
            self.crash_limits,
            self.parts.journal,
            clock,
        )

    def run(self, request):
        return run(self.steering.run, request)

    def call(self, kind=RequestKind.SAFE, **fields):
        return call(self.parts.clock, route(kind, **fields))


def test_response_of_a_target_is_final():
    setup = SteeringSetup([answered(404)])
    assert setup.run(setup.call()).status == 404


@pytest.mark.parametrize("kind", [RequestKind.UNSAFE, RequestKind.UPLOAD])
@pytest.mark.parametrize("outcome", [AttemptOutcome.UNKNOWN, AttemptOutcome.TIMED_OUT])
def test_request_that_may_have_run_is_not_retried(kind, outcome):
    setup = SteeringSetup([ended(outcome), answered()])
    with pytest.raises(RequestError) as caught:
        setup.run(setup.call(kind))
    assert len(setup.local.tried) == 1
    assert caught.value.code.status in (502, 504)
    assert caught.value.retry_at is None


@pytest.mark.parametrize("kind", list(RequestKind))
def test_request_refused_by_a_target_is_retried_at_another(kind):
    setup = SteeringSetup([ended(AttemptOutcome.REFUSED, "t1"), answered(target="t2")])
    assert setup.run(setup.call(kind)).status == 200
    assert "t1" in setup.local.tried[1][1]


def test_safe_request_without_a_response_is_retried():
    setup = SteeringSetup([ended(AttemptOutcome.UNKNOWN), answered(target="t2")])
    assert setup.run(setup.call()).status == 200


def test_safe_request_runs_on_no_more_targets_than_its_route_allows():
    setup = SteeringSetup(
        [
            ended(AttemptOutcome.UNKNOWN, "t1"),
            ended(AttemptOutcome.UNKNOWN, "t2"),
            answered(),
        ]
    )
    with pytest.raises(RequestError) as caught:
        setup.run(setup.call(attempts=2))
    assert caught.value.code is ResultCode.ANSWER_LOST
    assert len(setup.local.tried) == 2


def test_server_error_is_returned_when_all_attempts_fail():
    setup = SteeringSetup([answered(500, "t1"), answered(500, "t2")])
    assert setup.run(setup.call(attempts=2)).status == 500


def test_without_budget_a_refused_request_is_reported_as_not_run():
    setup = SteeringSetup([ended(AttemptOutcome.REFUSED), answered()], slack=0.0)
    with pytest.raises(RequestError) as caught:
        setup.run(setup.call(RequestKind.UNSAFE))
    assert caught.value.code is ResultCode.NO_ROOM
    assert caught.value.retry_at > setup.parts.clock.now()
    assert len(setup.local.tried) == 1


def test_without_budget_a_safe_request_that_may_have_run_is_not_reported_as_not_run():
    setup = SteeringSetup([ended(AttemptOutcome.UNKNOWN), answered()], slack=0.0)
    with pytest.raises(RequestError) as caught:
        setup.run(setup.call())
    assert caught.value.code is ResultCode.ANSWER_LOST


def test_attempt_that_sent_nothing_costs_no_budget():
    refused = ended(AttemptOutcome.NOT_SENT, reason="connect")
    setup = SteeringSetup([refused, refused, answered(target="t3")], slack=0.0)
    assert setup.run(setup.call()).status == 200


def full_targets_setup(results):
    setup = SteeringSetup(results)
    for target in setup.parts.ledger.all():
        while target.free(setup.parts.clock.now()):
            target.claim(setup.parts.clock.now())
    return setup


def test_request_without_a_slot_in_time_is_refused_at_once():
    no_slot_in_time = AttemptResult(
        AttemptOutcome.NOT_SENT, reason=NO_SLOT_IN_TIME_REASON, wait=9.0
    )
    setup = full_targets_setup([no_slot_in_time] * 50)
    request = setup.call()
    with pytest.raises(RequestError) as caught:
        setup.run(request)
    assert caught.value.code is ResultCode.NO_ROOM
    assert caught.value.retry_at > setup.parts.clock.now()
    assert (
        setup.parts.clock.now() - request.arrived_at
        <= request.route.latency_objective / 4
    )


@pytest.mark.parametrize("returned", [True, False])
def test_request_waits_for_a_slot_past_its_soft_deadline(returned):
    setup = full_targets_setup([no_slot()] * 500)
    request = setup.call()
    request.is_client_retry = returned
    with pytest.raises(RequestError):
        setup.run(request)
    assert request.soft_deadline < setup.parts.clock.now() <= request.deadline + 0.1


def test_request_of_a_disconnected_client_is_not_retried():
    def disconnect(request):
        request.is_disconnected = True
        return ended(AttemptOutcome.REFUSED)

    setup = SteeringSetup([disconnect, answered()])
    with pytest.raises(CallerDisconnectedError):
        setup.run(setup.call())
    assert len(setup.local.tried) == 1


def remote_region_setup(free, forwarded):
    """Return a northern VM whose own target is full, beside a southern target."""
    remote_target = entry("t9", domain="south-a", slots=10)
    setup = SteeringSetup(
        [no_slot()] * 50, [entry("t1", slots=1), remote_target], forwarded
    )
    setup.parts.members.record_heartbeat(
        make_heartbeat("vm-3", domain="south-a", region="south")
    )
    (own,) = setup.parts.ledger.all()
    own.claim(setup.parts.clock.now())
    setup.reports.record_report("vm-3", [["t9", free, 10, 0]], [["s1", 0.0, 0.0]], [])
    return setup


@pytest.mark.parametrize("sticky", [True, False])
def test_owner_without_a_report_is_tried(sticky):
    """A VM without traffic gets no reports, but must serve the requests it receives."""
    setup = SteeringSetup([], [entry("t1", domain="north-b")], [answered()])
    setup.parts.members.record_heartbeat(make_heartbeat("vm-2", domain="north-b"))
    request = call(setup.parts.clock, route(sticky=sticky), affinity="/a")
    assert setup.run(request).status == 200
    assert len(setup.forward.tried) == 1


def test_request_moves_to_a_region_with_free_slots():
    setup = remote_region_setup(10, [answered(target="t9")])
    assert setup.run(setup.call()).status == 200
    assert len(setup.forward.tried) == 1


def test_last_slots_of_a_region_are_left_to_its_own_clients():
    setup = remote_region_setup(1, [answered(target="t9")])
    with pytest.raises(RequestError):
        setup.run(setup.call())
    assert setup.forward.tried == []


def test_request_stays_in_the_regions_of_its_route():
    setup = remote_region_setup(10, [answered(target="t9")])
    with pytest.raises(RequestError):
        setup.run(setup.call(regions=["north"]))
    assert setup.forward.tried == []


def test_unreachable_vm_is_not_tried_again():
    setup = remote_region_setup(
        10, [AttemptResult(AttemptOutcome.NOT_SENT, reason="VM: refused")]
    )
    with pytest.raises(RequestError):
        setup.run(setup.call())
    assert len(setup.forward.tried) == 1


def full_affinity_setup():
    """Return a setup, a sticky call and its full affinity target; another is idle."""
    setup = SteeringSetup([], [entry("t1", slots=2), entry("t2", slots=2)])
    request = call(setup.parts.clock, route(sticky=True), affinity="/a")
    affinity_target = setup.destinations.select_free(request, set(), set()).target
    target = setup.parts.ledger.get(affinity_target)
    while target.free(setup.parts.clock.now()):
        target.claim(setup.parts.clock.now())
    setup.parts.clock.time += SUMMARY_TTL_SECONDS
    return setup, request, affinity_target


def test_request_goes_to_an_idle_target_while_its_affinity_target_is_full():
    setup, request, affinity_target = full_affinity_setup()
    destination = setup.destinations.select_free(request, set(), set())
    assert destination.target not in (None, affinity_target)


def test_request_that_would_be_late_elsewhere_waits_for_its_affinity_target():
    setup, request, affinity_target = full_affinity_setup()
    request.affinity_until = setup.parts.clock.now() + 0.05
    assert setup.destinations.select_free(request, set(), set()) is None
    request.give_up_at = request.affinity_until
    assert setup.destinations.select_queue(request, set(), set()).preferred == (
        affinity_target,
    )
    setup.parts.clock.time = request.affinity_until
    assert setup.destinations.select_free(request, set(), set()).target not in (
        None,
        affinity_target,
    )


@pytest.mark.parametrize(("elsewhere", "waits"), [(0.2, False), (0.5, True)])
def test_request_waits_for_its_affinity_target_when_others_are_slower(elsewhere, waits):
    affinity_waits = []

    def record_wait(request):
        affinity_waits.append(request.affinity_until - request.arrived_at)
        return answered()

    setup = SteeringSetup([record_wait])
    setup.response_times.record("r1", 0.1, True)
    setup.response_times.record("r1", elsewhere, False)
    setup.run(call(setup.parts.clock, route(sticky=True), affinity="/a"))
    assert (affinity_waits[0] > 0.0) is waits


def remote_affinity_setup(forwarded):
    """Return a setup whose only target belongs to a VM that reports a free slot."""
    setup = SteeringSetup([], [entry("t1", domain="north-b")], forwarded)
    setup.parts.members.record_heartbeat(make_heartbeat("vm-2", domain="north-b"))
    setup.reports.record_report("vm-2", [("t1", 1, 2, 1)], [("s1", 0.0, 0.0)], [])
    setup.response_times.record("r1", 0.1, True)
    setup.response_times.record("r1", 0.5, False)
    return setup


def wait_deadlines(setup):
    """Return the instants until which the attempts could wait at the owner."""
    return [args[FORWARD_UNTIL_INDEX] for args in setup.forward.tried]


def test_request_waits_at_an_affinity_target_reported_to_have_a_free_slot():
    setup = remote_affinity_setup([answered()])
    request = call(setup.parts.clock, route(sticky=True), affinity="/a")
    setup.run(request)
    assert wait_deadlines(setup) == [request.affinity_until]
    assert request.affinity_until - request.arrived_at > 2 * STALE_REPORT_WAIT_SECONDS


def test_full_affinity_target_is_tried_once_per_recheck_interval():
    """Each attempt at a full target sends the body again, so attempts are limited."""
    setup = remote_affinity_setup([no_slot() for _ in range(20)])
    setup.response_times.record("r1", 5.0, False)
    request = call(setup.parts.clock, route(sticky=True), affinity="/a")
    request.soft_deadline = request.deadline
    with pytest.raises(RequestError):
        setup.run(request)
    assert len(setup.forward.tried) <= 1.0 / FORWARDED_RECHECK_SECONDS + 1


def test_request_without_affinity_waits_briefly_on_a_stale_report():
    setup = remote_affinity_setup([answered()])
    request = call(setup.parts.clock, route())
    setup.run(request)
    assert wait_deadlines(setup) == [request.arrived_at + STALE_REPORT_WAIT_SECONDS]


@pytest.mark.parametrize(("size", "most"), [(0, 5), (LARGE_BODY_BYTES, 2)])
def test_large_bodies_are_resent_less_often(size, most):
    setup = remote_affinity_setup([no_slot() for _ in range(20)])
    setup.response_times.record("r1", 5.0, False)
    request = call(setup.parts.clock, route(sticky=True), affinity="/a")
    request.body = b"x" * size
    request.soft_deadline = request.deadline
    with pytest.raises(RequestError):
        setup.run(request)
    assert 1 <= len(setup.forward.tried) <= most
