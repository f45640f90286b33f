"""Tests of a VM's view of the targets of a service, their capacity and affinity."""

import pytest

from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.loss_rates import LossRates
from heathercleat.steering.process.capacity.region_loss_rates import (
    CACHE_TTL_SECONDS,
    RegionLossRates,
)
from heathercleat.steering.process.capacity.view import (
    MAX_CACHED_AFFINITY_KEYS,
    MAX_RANKED_TARGETS,
    SUMMARY_TTL_SECONDS,
    RegionTargets,
    TargetView,
)
from tests.steering_parts import Parts, entry, make_heartbeat

ANY = lambda candidate: True  # noqa: E731


class ViewSetup:
    """A VM's view of its own targets and of one target in the south."""

    def __init__(self, own=3):
        entries = [entry(f"t{number}", slots=4) for number in range(own)]
        self.parts = Parts([*entries, entry("far", domain="south-a", slots=4)])
        self.parts.members.record_heartbeat(
            make_heartbeat("vm-3", domain="south-a", region="south")
        )
        self.reports = CapacityReports(self.parts.clock)
        self.view = TargetView(
            self.parts.members,
            self.parts.registry,
            self.parts.owners,
            self.parts.ledger,
            self.reports,
        )

    @property
    def now(self):
        return self.parts.clock.now()

    def region(self, name) -> RegionTargets:
        return self.view.regions("s1")[name]

    def report(self, free):
        self.reports.record_report("vm-3", [["far", free, 4, 0]], [], [])

    def claim_all(self):
        for target in self.parts.ledger.all():
            while target.free(self.now):
                target.claim(self.now)


def ids(candidates):
    return [each.entry.id for each in candidates]


def test_targets_are_grouped_by_region():
    setup = ViewSetup()
    regions = setup.view.regions("s1")
    assert {name: len(each.candidates) for name, each in regions.items()} == {
        "north": 3,
        "south": 1,
    }
    assert regions["south"].owners == ["vm-3"]


def test_service_without_targets_has_no_regions():
    assert ViewSetup().view.regions("other") == {}


def test_capacity_of_another_owner_follows_its_reports():
    setup = ViewSetup()
    (remote_target,) = setup.region("south").candidates
    assert remote_target.capacity.free(setup.now) == 0
    setup.report(3)
    assert remote_target.capacity.free(setup.now) == 3
    setup.parts.clock.time += 10.0
    assert remote_target.capacity.free(setup.now) == 0


def test_reservations_count_until_the_next_report():
    setup = ViewSetup()
    (remote_target,) = setup.region("south").candidates
    setup.report(1)
    remote_target.capacity.reserve()
    assert remote_target.capacity.free(setup.now) == 0
    remote_target.capacity.release()
    assert remote_target.capacity.free(setup.now) == 1


def test_full_owner_has_no_free_slots():
    setup = ViewSetup()
    (remote_target,) = setup.region("south").candidates
    setup.report(2)
    setup.reports.record_no_free_slot("far", "vm-3", "s1", 0.4)
    assert remote_target.capacity.free(setup.now) == 0
    assert setup.reports.wait_estimate("vm-3", "s1").on_time == 0.4


def test_reports_of_removed_vms_are_dropped():
    setup = ViewSetup()
    setup.reports.record_report("vm-3", [], [["s1", 0.2, 0.3]], [["s1", 0.5]])
    setup.reports.retain({"vm-3"})
    assert setup.reports.wait_estimate("vm-3", "s1").on_time == 0.2
    setup.reports.retain({"vm-4"})
    assert setup.reports.wait_estimate("vm-3", "s1") is None
    assert setup.reports.loss_rate("vm-3", "s1") is None


def test_targets_of_owners_without_reports_add_no_slots():
    setup = ViewSetup()
    summary = setup.region("south").summary(setup.now)
    assert (summary.targets, summary.healthy, summary.slots) == (1, 0, 0)
    setup.report(3)
    setup.parts.clock.time += SUMMARY_TTL_SECONDS
    summary = setup.region("south").summary(setup.now)
    assert (summary.targets, summary.healthy, summary.slots) == (1, 1, 4)


@pytest.mark.parametrize("change", ["target", "vm"])
def test_view_follows_changes(change):
    setup = ViewSetup()
    assert len(setup.region("south").candidates) == 1
    if change == "target":
        setup.parts.registry.update([], ["far"])
        assert "south" not in setup.view.regions("s1")
    else:
        leaving = make_heartbeat(
            "vm-3", domain="south-a", region="south", serving=False
        )
        setup.parts.members.record_heartbeat(leaving)
        assert setup.region("south").owners == ["vm-1"]


def test_summary_has_free_and_idle_slots():
    setup = ViewSetup()
    summary = setup.region("north").summary(setup.now)
    assert (summary.targets, summary.healthy, summary.slots, summary.free) == (
        3,
        3,
        12,
        12,
    )
    assert summary.idle
    setup.claim_all()
    assert setup.region("north").summary(setup.now).free == 12
    setup.parts.clock.time += SUMMARY_TTL_SECONDS
    summary = setup.region("north").summary(setup.now)
    assert (summary.free, summary.idle) == (0, False)


def test_affinity_target_of_an_object_is_stable():
    setup = ViewSetup(own=20)
    first = ids(setup.region("north").affinity_targets("/a", 1, ANY, setup.now))
    setup.claim_all()
    assert ids(setup.region("north").affinity_targets("/a", 1, ANY, setup.now)) == first


def test_affinity_targets_of_objects_are_spread():
    region = ViewSetup(own=8).region("north")
    affinity_targets = {
        ids(region.affinity_targets(f"/{each}", 1, ANY, 0.0))[0] for each in range(100)
    }
    assert len(affinity_targets) == 8


def test_next_ranked_target_is_used_while_the_first_are_not_usable():
    region = ViewSetup(own=MAX_RANKED_TARGETS + 3).region("north")
    order = []
    for _ in range(MAX_RANKED_TARGETS + 3):
        (affinity_target,) = region.affinity_targets(
            "/a", 1, lambda each: each not in order, 0.0
        )
        order.append(affinity_target)
    assert len(set(ids(order))) == MAX_RANKED_TARGETS + 3
    assert region.affinity_targets("/a", 1, lambda each: each not in order, 0.0) == []


def test_ejected_target_is_no_affinity_target():
    setup = ViewSetup(own=2)
    region = setup.region("north")
    (affinity_target,) = region.affinity_targets("/a", 1, ANY, setup.now)
    affinity_target.capacity.health.ejected_until = setup.now + 5.0
    (other,) = region.affinity_targets("/a", 1, ANY, setup.now)
    assert other is not affinity_target


def test_number_of_cached_affinity_keys_is_bounded():
    region = ViewSetup().region("north")
    for each in range(MAX_CACHED_AFFINITY_KEYS + 1):
        region.affinity_targets(f"/{each}", 1, ANY, 0.0)
    assert len(region._ranked) == 1


def test_loss_rate_is_the_mean_over_the_vms_of_a_region():
    setup = ViewSetup()
    own_loss_rates = LossRates()
    region_loss_rates = RegionLossRates(
        setup.parts.members, setup.reports, own_loss_rates, setup.parts.clock
    )
    setup.parts.members.record_heartbeat(
        make_heartbeat("vm-4", domain="south-a", region="south")
    )
    setup.reports.record_report("vm-3", [], [], [["s1", 0.2]])
    setup.reports.record_report("vm-4", [], [], [["s1", 0.6]])
    assert region_loss_rates.loss_rate("south", "s1") == pytest.approx(0.4)
    assert region_loss_rates.loss_rate("north", "s1") == 0.0
    setup.parts.members.record_heartbeat(
        make_heartbeat("vm-5", domain="south-a", region="south")
    )
    setup.parts.clock.time += CACHE_TTL_SECONDS
    assert region_loss_rates.loss_rate("south", "s1") == pytest.approx(0.4)
    assert region_loss_rates.loss_rate("nowhere", "s1") == 1.0
