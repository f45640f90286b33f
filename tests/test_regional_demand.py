"""Tests of reports on demand, and of the scope and order of affinity targets."""

import msgpack
import pytest

from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.demand_meter import Demand, DemandMeter
from heathercleat.steering.process.capacity.demand_reports import (
    ServiceReport,
    pack_report,
    unpack_report,
)
from heathercleat.steering.process.capacity.regional_demand import RegionalDemand
from heathercleat.steering.process.capacity.response_times import (
    MAX_SAMPLES,
    ResponseTimes,
)
from heathercleat.steering.process.capacity.view import TargetView
from heathercleat.steering.process.membership.extensions import MAX_REPORT_BYTES
from heathercleat.steering.request.affinity import AffinityTargets
from heathercleat.steering.request.destinations import LARGE_BODY_BYTES
from heathercleat.steering.request.eligibility import EligibleTargets
from heathercleat.steering.request.estimates import Estimates
from heathercleat.steering.request.object_overflow import ObjectOverflow
from tests.fakes import ManualClock
from tests.steering_parts import Parts, call, entry, make_heartbeat, route

OBJECTS = 200
#: The latency objective of :func:`route` is 0.3 s, the round trip 0.07 s.
ROUND_TRIP, SHORT_RUN, LONG_RUN = 0.07, 0.08, 0.11


class Scene:
    """A VM of a region with few targets; another region has ten."""

    def __init__(self, run_seconds=SHORT_RUN, samples=MAX_SAMPLES, near_targets=2):
        entries = [entry(f"n{number}") for number in range(near_targets)]
        entries += [entry(f"s{number}", domain="south-a") for number in range(10)]
        self.parts = parts = Parts(entries)
        self.clock, members = parts.clock, parts.members
        members.record_heartbeat(
            make_heartbeat("vm-3", domain="south-a", region="south")
        )
        times = ResponseTimes()
        for _ in range(samples):
            times.record("r1", run_seconds, True)
        reports = CapacityReports(self.clock)
        self.view = TargetView(
            members, parts.registry, parts.owners, parts.ledger, reports
        )
        estimates = Estimates(
            members, None, reports, lambda vm: ROUND_TRIP, times, self.clock
        )
        self.demand = RegionalDemand(
            members, self.view, parts.settings, parts.journal, self.clock
        )
        self.overflow = ObjectOverflow(self.demand, members, estimates)
        self.affinity_targets = AffinityTargets(estimates, self.overflow)
        self.plain_affinity_targets = AffinityTargets(estimates)

    def run(self, seconds, requests=0, far_demand=1.0):
        """Let requests arrive for some seconds; a far VM reports its demand."""
        far = ServiceReport(Demand(far_demand, far_demand), {}, 0.0)
        for _ in range(round(seconds / 0.1)):
            self.clock.time += 0.1
            self.demand.merge("vm-3", pack_report({"s1": far}))
            for _ in range(requests):
                self.overflow.record_request(self.call())
                self.demand.record_run("s1", "r1", 0.1, True)
            self.demand.report()

    def call(self, number=0, **fields):
        return call(self.clock, route(sticky=True, **fields), affinity=f"o{number}")

    def ranked(self, request, affinity_targets=None):
        regions = self.view.regions("s1")
        eligible = EligibleTargets(
            request, regions, "north", frozenset(), frozenset(), self.clock.now()
        )
        is_large = len(request.body) >= LARGE_BODY_BYTES
        found = (affinity_targets or self.affinity_targets).ranked(eligible, is_large)
        return [each.candidate.entry.id for each in found]

    def near_share(self, **fields):
        """Return the share of the objects whose first target is in the region."""
        calls = [self.call(number, **fields) for number in range(OBJECTS)]
        return sum(self.ranked(each)[0][0] == "n" for each in calls) / OBJECTS


@pytest.fixture
def overflowing():
    """Demand of 10 slots where 4 x 0.85 are planned."""
    scene = Scene()
    scene.demand.record_speed_report("s1")
    scene.run(5.0, requests=10)
    return scene


def test_without_reports_of_speed_the_order_is_as_before():
    scene = Scene()
    scene.run(5.0, requests=10)
    for number in range(OBJECTS):
        request = scene.call(number)
        plain = scene.ranked(request, scene.plain_affinity_targets)
        assert scene.ranked(request) == plain
    assert scene.demand.report() is None


def test_objects_stay_in_a_region_with_its_share_of_slots():
    scene = Scene(near_targets=10)
    scene.demand.record_speed_report("s1")
    scene.run(5.0, requests=1)
    assert scene.near_share() == 1.0
    assert {each[0] for each in scene.ranked(scene.call())[1:]} == {"s"}


def test_objects_beyond_the_share_of_slots_overflow_at_first():
    """Before demand shows it, few targets would have to cache too many objects."""
    scene = Scene()
    scene.demand.record_speed_report("s1")
    scene.run(5.0, requests=1)
    (fraction,) = scene.demand.overflow("s1", "north").values()
    assert fraction == pytest.approx(1 - 2 / 6, abs=0.02)
    assert scene.near_share() == pytest.approx(1 - fraction, abs=0.1)


def test_objects_overflow_as_far_as_slots_are_missing(overflowing):
    (fraction,) = overflowing.demand.overflow("s1", "north").values()
    assert fraction == pytest.approx(1 - 0.85 * 4 / 10, abs=0.05)
    assert overflowing.near_share() == pytest.approx(1 - fraction, abs=0.1)


def test_objects_return_when_the_reports_end(overflowing):
    """The far VM is live, but its demand is unknown from 1.5 s on."""
    before = overflowing.near_share()
    for _ in range(200):
        overflowing.clock.time += 0.1
        overflowing.demand.record_speed_report("s1")
        overflowing.demand.report()
    assert before < 0.5 and overflowing.near_share() == 1.0


def test_restricted_and_large_requests_stay(overflowing):
    assert overflowing.near_share(regions=["north"]) == 1.0
    request = overflowing.call()
    request.body = b"x" * LARGE_BODY_BYTES
    assert [each[0] for each in overflowing.ranked(request)] == ["n"]
    request = overflowing.call()
    request.affinity = None
    assert overflowing.ranked(request) == []


@pytest.mark.parametrize(("run_seconds", "samples"), [(LONG_RUN, 100), (SHORT_RUN, 9)])
def test_route_that_may_not_bear_the_round_trip_stays(run_seconds, samples):
    scene = Scene(run_seconds, samples)
    scene.demand.record_speed_report("s1")
    scene.run(5.0, requests=10)
    assert scene.near_share() == 1.0


def test_retries_of_refused_requests_do_not_raise_the_demand():
    scene = Scene()
    scene.demand.record_speed_report("s1")
    scene.run(3.0, requests=1)
    before = scene.demand._meter.demand("s1").total
    for _ in range(100):
        request = scene.call()
        request.is_client_retry = True
        scene.overflow.record_request(request)
    scene.run(0.3)
    assert scene.demand._meter.demand("s1").total <= before


def test_affinity_by_region_ends_after_the_last_report_of_speed():
    """VMs that pass reports of speed on must not keep them alive for each other."""
    first, second = Scene(), Scene()
    first.demand.record_speed_report("s1")
    for _ in range(35):
        for sender, receiver in ((first, second), (second, first)):
            report = sender.demand.report()
            receiver.clock.time += 0.3
            if report is not None:
                receiver.demand.merge("vm-3", report)
    assert not first.demand.is_in_effect("s1")
    assert not second.demand.is_in_effect("s1")


def test_report_of_many_services_fits():
    """A longer report would not be sent at all."""
    services = {
        f"service-{number}": ServiceReport(Demand(number, number), {"south": 0.5}, 9.0)
        for number in range(100)
    }
    packed = pack_report(services)
    assert len(msgpack.packb(packed)) <= MAX_REPORT_BYTES
    assert "service-99" in unpack_report(packed)


@pytest.mark.parametrize(
    "report",
    [
        5,
        [5],
        [["s1"]],
        [["s1", 1, 2, 0, 0, {}]],
        [["s1", float("nan"), 0, 0, 0, {}]],
        [["s1", 1, 0, -1, 0, {}]],
        [["s1", 1, 0, 0, -1, {}]],
        [["s1", 1, 0, 0, 0, {"south": 10_001}]],
        [["s1", 1, 0, 0, 0, []]],
        [["s1", 1, 0, 0, 0, {7: 10}]],
        [[["s1"], 1, 0, 0, 0, {}]],
    ],
)
def test_malformed_report_is_rejected(report):
    with pytest.raises((ValueError, TypeError)):
        Scene().demand.merge("vm-3", report)


def test_time_while_suspended_does_not_lower_the_demand():
    clock = ManualClock()
    meter = DemandMeter(clock)

    def run(seconds):
        for _ in range(round(seconds / 0.1)):
            clock.time += 0.1
            meter.record_request("s1", "r1", True)
            meter.record_run("s1", "r1", 0.2, True)

    run(5.0)
    before = meter.demand("s1").total
    assert before == pytest.approx(2.0, rel=0.1)
    clock.time += 30.0
    run(0.5)
    assert meter.demand("s1").total == pytest.approx(before, rel=0.1)
