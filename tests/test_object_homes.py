"""Tests that affinity targets of objects are spread over all regions by capacity."""

from collections import Counter

import pytest

from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.loss_rates import LossRates
from heathercleat.steering.process.capacity.region_loss_rates import RegionLossRates
from heathercleat.steering.process.capacity.region_shift import RegionShiftLimit
from heathercleat.steering.process.capacity.response_times import (
    MAX_SAMPLES,
    ResponseTimes,
)
from heathercleat.steering.process.capacity.view import TargetView
from heathercleat.steering.request.attempt_result import TargetResponseHead
from heathercleat.steering.request.destinations import (
    LARGE_BODY_BYTES,
    DestinationSelector,
)
from heathercleat.steering.request.estimates import Estimates
from tests.steering_parts import Parts, call, entry, make_heartbeat, route

NEAR_TARGETS, FAR_TARGETS = 2, 10
OBJECTS = 240
SLOTS = 4


class DestinationScene:
    """A region with few targets and one with many; all slots are free."""

    def __init__(self, round_trip=0.07, run_seconds=0.1, samples=MAX_SAMPLES):
        entries = [entry(f"n{number}", slots=SLOTS) for number in range(NEAR_TARGETS)]
        entries += [
            entry(f"s{number}", domain="south-a", slots=SLOTS)
            for number in range(FAR_TARGETS)
        ]
        self.parts = parts = Parts(entries)
        clock, members = parts.clock, parts.members
        members.record_heartbeat(
            make_heartbeat("vm-3", domain="south-a", region="south")
        )
        self.capacity_reports = reports = CapacityReports(clock)
        self.report(SLOTS)
        times = ResponseTimes()
        for _ in range(samples):
            times.record("r1", run_seconds, True)
        loss_rates = LossRates()
        view = TargetView(members, parts.registry, parts.owners, parts.ledger, reports)
        admission = Admission(parts.ledger, members.region_of, clock)
        estimates = Estimates(
            members, admission, reports, lambda vm: round_trip, times, clock
        )
        region_loss_rates = RegionLossRates(members, reports, loss_rates, clock)
        shift = RegionShiftLimit(0.15, clock)
        self.selector = DestinationSelector(
            view, members, estimates, region_loss_rates, shift, parts.notices, clock
        )

    def report(self, free):
        reports = [[f"s{number}", free, SLOTS, 0] for number in range(FAR_TARGETS)]
        self.capacity_reports.record_report("vm-3", reports, [["s1", 0.0, 0.0]], [])

    def call(self, number=0, **fields):
        request = call(
            self.parts.clock, route(sticky=True, **fields), affinity=f"o{number}"
        )
        request.give_up_at = request.deadline
        request.affinity_until = request.soft_deadline
        return request

    def select(self, request):
        return self.selector.select_free(request, frozenset(), frozenset())

    def region_counts(self, **fields):
        """Return the number of objects whose affinity target is in each region."""
        requests = [self.call(number, **fields) for number in range(OBJECTS)]
        return Counter(self.select(each).target[0] for each in requests)


def test_region_with_few_targets_gets_its_share_of_the_objects():
    """Affinity targets must not be limited to the region of the request."""
    assert DestinationScene().region_counts()["n"] == pytest.approx(
        OBJECTS * NEAR_TARGETS / (NEAR_TARGETS + FAR_TARGETS), rel=0.4
    )


def test_every_target_gets_its_share_of_the_objects():
    scene = DestinationScene()
    targets = Counter(scene.select(scene.call(each)).target for each in range(OBJECTS))
    assert len(targets) == NEAR_TARGETS + FAR_TARGETS
    assert max(targets.values()) <= 2 * OBJECTS / (NEAR_TARGETS + FAR_TARGETS)


@pytest.mark.parametrize(
    ("round_trip", "run_seconds", "uses_far_region"),
    [(0.07, 0.1, True), (0.25, 0.1, False), (0.07, 0.25, False)],
)
def test_object_stays_near_where_a_far_response_would_be_late(
    round_trip, run_seconds, uses_far_region
):
    assert (
        DestinationScene(round_trip, run_seconds).region_counts()["s"] > 0
    ) is uses_far_region


@pytest.mark.parametrize("samples", [0, 5, 50])
def test_affinity_targets_do_not_move_with_the_first_response_times(samples):
    """Slow first responses must not move affinity targets."""
    scene = DestinationScene(run_seconds=0.1)
    before = scene.region_counts()
    assert DestinationScene(run_seconds=0.3, samples=samples).region_counts() == before


def test_object_stays_in_the_regions_of_its_route():
    assert DestinationScene().region_counts(regions=["north"]) == {"n": OBJECTS}


def test_request_with_a_large_body_stays_near():
    scene = DestinationScene()
    requests = [scene.call(number) for number in range(OBJECTS)]
    for each in requests:
        each.body = b"x" * LARGE_BODY_BYTES
    assert {scene.select(each).target[0] for each in requests} == {"n"}


def far_call(scene):
    """Return a call whose affinity target is in the other region."""
    calls = (scene.call(number) for number in range(OBJECTS))
    return next(each for each in calls if scene.select(each).is_remote)


def test_request_waits_at_its_far_affinity_target():
    scene = DestinationScene()
    request = far_call(scene)
    scene.report(0)
    assert scene.select(request) is None
    destination = scene.selector.select_queue(request, frozenset(), frozenset())
    assert (destination.vm, destination.target, destination.is_remote) == (
        "vm-3",
        None,
        True,
    )


def test_late_request_uses_a_free_target_near():
    scene = DestinationScene()
    request = far_call(scene)
    scene.report(0)
    scene.parts.clock.time = request.affinity_until + 0.01
    assert not scene.select(request).is_remote


def test_object_of_an_unreachable_vm_gets_another_target():
    scene = DestinationScene()
    request = far_call(scene)
    destination = scene.selector.select_free(request, frozenset(), {"vm-3"})
    assert not destination.is_remote


def half_open_home(setup):
    """Return a target of this VM after its ejection, and a request for its object."""
    request = setup.call()
    target = setup.parts.ledger.get(setup.select(request).target)
    target.health.eject(setup.parts.clock.now())
    setup.parts.clock.time = target.health.ejected_until + 0.01
    setup.report(SLOTS)
    return target, setup.call()


def test_target_is_probed_by_a_request_for_its_objects_after_an_ejection():
    """Otherwise a service without other requests never uses the target again."""
    setup = DestinationScene(round_trip=1.0)
    target, request = half_open_home(setup)
    assert setup.select(request).target == target.entry.id


def test_requests_do_not_wait_for_a_target_that_is_being_probed():
    setup = DestinationScene(round_trip=1.0)
    target, request = half_open_home(setup)
    target.claim(setup.parts.clock.now())
    other = setup.select(request).target
    assert other not in (None, target.entry.id)


def test_other_vms_may_probe_a_target_after_an_ejection():
    setup = DestinationScene(round_trip=1.0)
    target, _ = half_open_home(setup)
    now = setup.parts.clock.now()
    assert target.announced_limit(now) == target.entry.slots
    target.claim(now)
    assert target.announced_limit(now) == 0


def count_objects_of_first_target(setup):
    """Return how many objects have ``n0`` as their target."""
    requests = (setup.call(number) for number in range(OBJECTS))
    return sum(setup.select(each).target == "n0" for each in requests)


def test_limited_target_serves_the_same_part_of_its_objects():
    """Objects that change targets with each free token are cached by several."""
    setup = DestinationScene(round_trip=1.0)
    whole = count_objects_of_first_target(setup)
    target = setup.parts.ledger.get("n0")
    head = TargetResponseHead()
    head.rate_limit = 5.0
    target.record_response(head, setup.parts.clock.now())
    assert target.announced_limit(setup.parts.clock.now()) == 1
    part = count_objects_of_first_target(setup)
    assert part == pytest.approx(whole / SLOTS, abs=0.5 * whole / SLOTS)
    head.rate_limit = None
    target.record_response(head, setup.parts.clock.now())
    assert count_objects_of_first_target(setup) == whole
