import pytest

from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.loss_rates import LossRates
from heathercleat.steering.process.capacity.region_loss_rates import (
    CACHE_TTL_SECONDS,
    RegionLossRates,
)
from heathercleat.steering.process.capacity.view import (
    MAX_OBJECTS,
    MAX_RANKED_TARGETS,
    SUMMARY_TTL_SECONDS,
    RegionTargets,
    TargetView,
)
from tests.steering_parts import Parts, entry, make_heartbeat

ANY = lambda candidate: True  # noqa: E731


class Scene:
    """One VM's view of its own targets and of one target in the south."""

    def __init__(self, own=3):
        entries = [entry(f"t{number}", slots=4) for number in range(own)]
        self.parts = Parts([*entries, entry("far", domain="south-a", slots=4)])
        self.parts.members.record_heartbeat(
            make_heartbeat("vm-3", domain="south-a", region="south")
        )
        self.rooms = CapacityReports(self.parts.clock)
        self.view = TargetView(
            self.parts.members,
            self.parts.registry,
            self.parts.owners,
            self.parts.ledger,
            self.rooms,
        )

    @property
    def now(self):
        return self.parts.clock.now()

    def region(self, name) -> RegionTargets:
        return self.view.regions("s1")[name]

    def report(self, free):
        self.rooms.record_report("vm-3", [["far", free, 4, 0]], [], [])

    def take_all(self):
        for target in self.parts.ledger.all():
            while target.free(self.now):
                target.claim(self.now)


def ids(candidates):
    return [each.entry.id for each in candidates]


def test_targets_are_grouped_by_region():
    scene = Scene()
    regions = scene.view.regions("s1")
    assert {name: len(each.candidates) for name, each in regions.items()} == {
        "north": 3,
        "south": 1,
    }
    assert regions["south"].owners == ["vm-3"]


def test_service_without_targets_has_no_regions():
    assert Scene().view.regions("other") == {}


def test_room_of_another_owner_follows_its_reports():
    scene = Scene()
    (far,) = scene.region("south").candidates
    assert far.capacity.free(scene.now) == 0
    scene.report(3)
    assert far.capacity.free(scene.now) == 3
    scene.parts.clock.time += 10.0
    assert far.capacity.free(scene.now) == 0


def test_requests_sent_count_until_the_next_report():
    scene = Scene()
    (far,) = scene.region("south").candidates
    scene.report(1)
    far.capacity.reserve()
    assert far.capacity.free(scene.now) == 0
    far.capacity.release()
    assert far.capacity.free(scene.now) == 1


def test_owner_without_room_counts_as_full():
    scene = Scene()
    (far,) = scene.region("south").candidates
    scene.report(2)
    scene.rooms.record_full("far", "vm-3", "s1", 0.4)
    assert far.capacity.free(scene.now) == 0
    assert scene.rooms.wait_estimate("vm-3", "s1").on_time == 0.4


def test_reports_of_vms_that_are_gone_are_dropped():
    scene = Scene()
    scene.rooms.record_report("vm-3", [], [["s1", 0.2, 0.3]], [["s1", 0.5]])
    scene.rooms.retain({"vm-3"})
    assert scene.rooms.wait_estimate("vm-3", "s1").on_time == 0.2
    scene.rooms.retain({"vm-4"})
    assert scene.rooms.wait_estimate("vm-3", "s1") is None
    assert scene.rooms.loss_rate("vm-3", "s1") is None


def test_targets_of_owners_that_do_not_report_count_in_no_sum():
    scene = Scene()
    summary = scene.region("south").summary(scene.now)
    assert (summary.targets, summary.healthy, summary.slots) == (1, 0, 0)
    scene.report(3)
    scene.parts.clock.time += SUMMARY_TTL_SECONDS
    summary = scene.region("south").summary(scene.now)
    assert (summary.targets, summary.healthy, summary.slots) == (1, 1, 4)


@pytest.mark.parametrize("change", ["target", "vm"])
def test_view_follows_changes(change):
    scene = Scene()
    assert len(scene.region("south").candidates) == 1
    if change == "target":
        scene.parts.registry.update([], ["far"])
        assert "south" not in scene.view.regions("s1")
    else:
        gone = make_heartbeat("vm-3", domain="south-a", region="south", serving=False)
        scene.parts.members.record_heartbeat(gone)
        assert scene.region("south").owners == ["vm-1"]


def test_summary_tells_free_and_idle_slots():
    scene = Scene()
    summary = scene.region("north").summary(scene.now)
    assert (summary.targets, summary.healthy, summary.slots, summary.free) == (
        3,
        3,
        12,
        12,
    )
    assert summary.idle
    scene.take_all()
    assert scene.region("north").summary(scene.now).free == 12
    scene.parts.clock.time += SUMMARY_TTL_SECONDS
    summary = scene.region("north").summary(scene.now)
    assert (summary.free, summary.idle) == (0, False)


def test_home_of_an_object_stays_the_same():
    scene = Scene(own=20)
    first = ids(scene.region("north").affinity_targets("/a", 1, ANY, scene.now))
    scene.take_all()
    assert ids(scene.region("north").affinity_targets("/a", 1, ANY, scene.now)) == first


def test_homes_of_objects_are_spread():
    region = Scene(own=8).region("north")
    affinity_targets = {
        ids(region.affinity_targets(f"/{each}", 1, ANY, 0.0))[0] for each in range(100)
    }
    assert len(affinity_targets) == 8


def test_next_target_is_home_while_the_first_ones_are_not_usable():
    region = Scene(own=MAX_RANKED_TARGETS + 3).region("north")
    order = []
    for _ in range(MAX_RANKED_TARGETS + 3):
        (home,) = region.affinity_targets("/a", 1, lambda each: each not in order, 0.0)
        order.append(home)
    assert len(set(ids(order))) == MAX_RANKED_TARGETS + 3
    assert region.affinity_targets("/a", 1, lambda each: each not in order, 0.0) == []


def test_resting_target_is_no_home():
    scene = Scene(own=2)
    region = scene.region("north")
    (home,) = region.affinity_targets("/a", 1, ANY, scene.now)
    home.capacity.health.ejected_until = scene.now + 5.0
    (other,) = region.affinity_targets("/a", 1, ANY, scene.now)
    assert other is not home


def test_number_of_remembered_objects_is_bounded():
    region = Scene().region("north")
    for each in range(MAX_OBJECTS + 1):
        region.affinity_targets(f"/{each}", 1, ANY, 0.0)
    assert len(region._ranked) == 1


def test_losses_are_means_over_the_vms_of_a_region():
    scene = Scene()
    pressure = LossRates()
    losses = RegionLossRates(
        scene.parts.members, scene.rooms, pressure, scene.parts.clock
    )
    scene.parts.members.record_heartbeat(
        make_heartbeat("vm-4", domain="south-a", region="south")
    )
    scene.rooms.record_report("vm-3", [], [], [["s1", 0.2]])
    scene.rooms.record_report("vm-4", [], [], [["s1", 0.6]])
    assert losses.loss_rate("south", "s1") == pytest.approx(0.4)
    assert losses.loss_rate("north", "s1") == 0.0
    scene.parts.members.record_heartbeat(
        make_heartbeat("vm-5", domain="south-a", region="south")
    )
    scene.parts.clock.time += CACHE_TTL_SECONDS
    assert losses.loss_rate("south", "s1") == pytest.approx(0.4)
    assert losses.loss_rate("nowhere", "s1") == 1.0
