"""Where the requests for an object go, over all regions."""

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
from heathercleat.steering.request.destinations import (
    LARGE_BODY_BYTES,
    DestinationSelector,
)
from heathercleat.steering.request.estimates import Estimates
from tests.steering_parts import Parts, call, entry, make_heartbeat, route

NEAR, FAR = 2, 10
OBJECTS = 240
SLOTS = 4


class Scene:
    """A region with few targets beside one with many; all slots are free."""

    def __init__(self, trip=0.07, work=0.1, answers=MAX_SAMPLES):
        entries = [entry(f"n{number}", slots=SLOTS) for number in range(NEAR)]
        entries += [
            entry(f"s{number}", domain="south-a", slots=SLOTS) for number in range(FAR)
        ]
        self.parts = parts = Parts(entries)
        clock, members = parts.clock, parts.members
        members.record_heartbeat(
            make_heartbeat("vm-3", domain="south-a", region="south")
        )
        self.rooms = rooms = CapacityReports(clock)
        self.report(SLOTS)
        times = ResponseTimes()
        for _ in range(answers):
            times.record("r1", work, True)
        pressure = LossRates()
        view = TargetView(members, parts.registry, parts.owners, parts.ledger, rooms)
        admission = Admission(parts.ledger, members.region_of, clock)
        estimates = Estimates(members, admission, rooms, lambda vm: trip, times, clock)
        losses = RegionLossRates(members, rooms, pressure, clock)
        shift = RegionShiftLimit(0.15, clock)
        self.places = DestinationSelector(
            view, members, estimates, losses, shift, clock
        )

    def report(self, free):
        rooms = [[f"s{number}", free, SLOTS, 0] for number in range(FAR)]
        self.rooms.record_report("vm-3", rooms, [["s1", 0.0, 0.0]], [])

    def call(self, number=0, **fields):
        made = call(
            self.parts.clock, route(sticky=True, **fields), affinity=f"o{number}"
        )
        made.give_up_at = made.deadline
        made.affinity_until = made.soft_deadline
        return made

    def place(self, made):
        return self.places.select_free(made, frozenset(), frozenset())

    def regions(self, **fields):
        """Return how many of the objects have their home in each region."""
        made = [self.call(number, **fields) for number in range(OBJECTS)]
        return Counter(self.place(each).target[0] for each in made)


def test_region_with_few_targets_keeps_its_share_of_the_objects():
    """Homes in each region gave its 2 targets all 240 objects, five times the mean."""
    assert Scene().regions()["n"] == pytest.approx(
        OBJECTS * NEAR / (NEAR + FAR), rel=0.4
    )


def test_every_target_gets_its_share_of_the_objects():
    scene = Scene()
    homes = Counter(scene.place(scene.call(each)).target for each in range(OBJECTS))
    assert len(homes) == NEAR + FAR
    assert max(homes.values()) <= 2 * OBJECTS / (NEAR + FAR)


@pytest.mark.parametrize(
    ("trip", "work", "moves"),
    [(0.07, 0.1, True), (0.25, 0.1, False), (0.07, 0.25, False)],
)
def test_object_stays_where_a_far_answer_would_be_late(trip, work, moves):
    assert (Scene(trip, work).regions()["s"] > 0) is moves


@pytest.mark.parametrize("answers", [0, 5, 50])
def test_homes_stay_while_their_objects_are_learned(answers):
    """The first answers take three times as long; homes moved when they were over."""
    scene = Scene(work=0.1)
    before = scene.regions()
    assert Scene(work=0.3, answers=answers).regions() == before


def test_object_stays_in_the_regions_of_its_route():
    assert Scene().regions(regions=["north"]) == {"n": OBJECTS}


def test_large_body_stays():
    scene = Scene()
    made = [scene.call(number) for number in range(OBJECTS)]
    for each in made:
        each.body = b"x" * LARGE_BODY_BYTES
    assert {scene.place(each).target[0] for each in made} == {"n"}


def far_call(scene):
    """Return a call whose object has its home in the other region."""
    calls = (scene.call(number) for number in range(OBJECTS))
    return next(each for each in calls if scene.place(each).is_remote)


def test_request_waits_at_its_far_home():
    scene = Scene()
    made = far_call(scene)
    scene.report(0)
    assert scene.place(made) is None
    place = scene.places.select_queue(made, frozenset(), frozenset())
    assert (place.vm, place.target, place.is_remote) == ("vm-3", None, True)


def test_late_request_takes_an_idle_target_near():
    scene = Scene()
    made = far_call(scene)
    scene.report(0)
    scene.parts.clock.time = made.affinity_until + 0.01
    assert not scene.place(made).is_remote


def test_object_of_an_unreachable_home_has_another():
    scene = Scene()
    made = far_call(scene)
    place = scene.places.select_free(made, frozenset(), {"vm-3"})
    assert not place.is_remote
