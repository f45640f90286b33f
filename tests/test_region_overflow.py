"""Tests that a region with few targets is served as well as the others.

They simulate the callers and targets of the archive in ``docs/design/hard-load.md``.
"""

import pytest

from standins.region_simulation import (
    REGIONS,
    SERVICE,
    TARGETS,
    Outcome,
    RegionSimulation,
)

#: The region with the fewest targets; it overflows.
SHORT_REGION = "middle"
#: Seconds until objects are cached, and until a wave has passed after that.
WARM_SECONDS, END_SECONDS = 12.0, 60.0
#: Fraction that a VM of the short region has once demand is known.
MIN_FRACTION = 0.3


@pytest.fixture(scope="module")
def simulations():
    found = {}
    for approach in ("global", "overflow"):
        found[approach] = simulation = RegionSimulation(approach)
        simulation.run_until(END_SECONDS)
    return found


@pytest.fixture
def running():
    simulation = RegionSimulation("overflow")
    simulation.run_until(WARM_SECONDS)
    return simulation


def outcome(simulation):
    return Outcome(simulation, WARM_SECONDS, END_SECONDS)


def requests_since(simulation, start, region=SHORT_REGION):
    return [
        each
        for each in simulation.requests
        if each.arrived_at >= start and each.vm.region == region
    ]


def remote_share(requests):
    return sum(each.target.region != each.vm.region for each in requests) / len(
        requests
    )


def test_half_of_the_requests_that_cross_regions_stay(simulations):
    before, after = outcome(simulations["global"]), outcome(simulations["overflow"])
    assert after.crossing <= 0.5 * before.crossing
    assert after.late < before.late


def test_short_region_is_served_as_well_as_the_others(simulations):
    after = outcome(simulations["overflow"])
    others = [after.served(each) for each in REGIONS if each != SHORT_REGION]
    assert after.served(SHORT_REGION) >= max(others) - 0.05
    assert after.answered(SHORT_REGION) >= max(map(after.answered, REGIONS)) - 0.05


def test_waves_of_demand_do_not_swing_requests_between_regions(simulations):
    """Guards against a fraction that follows each wave or each report."""
    after = outcome(simulations["overflow"])
    assert max(map(after.largest_shift, REGIONS)) < 0.15


def test_vms_of_a_region_agree(simulations):
    """Reports reach VMs at different times, and one in forty is lost."""
    spread = simulations["overflow"].largest_spread(WARM_SECONDS, END_SECONDS)
    assert spread <= 0.06


def test_regions_with_enough_slots_keep_their_objects(simulations):
    for region in REGIONS:
        if region != SHORT_REGION:
            assert max(simulations["overflow"].fractions(region)) == 0.0


def test_objects_that_a_region_cannot_keep_cached_go_elsewhere():
    """With few requests, slots suffice for uncached objects, but these are late."""
    simulation = RegionSimulation("overflow", load=0.4)
    simulation.run_until(END_SECONDS)
    assert outcome(simulation).served(SHORT_REGION) > 0.9
    assert max(simulation.fractions("east") + simulation.fractions("west")) == 0.0


def test_cut_link_brings_objects_home_and_back(running):
    running.cut_regions = {SHORT_REGION}
    running.run_until(WARM_SECONDS + 2.0)
    assert remote_share(requests_since(running, WARM_SECONDS)) == 0.0
    running.cut_regions = set()
    running.run_until(WARM_SECONDS + 12.0)
    assert remote_share(requests_since(running, WARM_SECONDS + 10.0)) > MIN_FRACTION


def test_lost_reports_keep_the_fraction_briefly_then_lower_it(running):
    """A VM must not act on demand of regions that it no longer hears of."""
    before = running.fractions(SHORT_REGION)[0]
    running.loss = 1.0
    running.run_until(WARM_SECONDS + 1.2)
    assert running.fractions(SHORT_REGION)[0] == pytest.approx(before, abs=0.04)
    running.run_until(WARM_SECONDS + 8.0)
    after = running.fractions(SHORT_REGION)
    # Half of the allowed shift is 0.0375 in each second.
    assert before - 0.3 < max(after) < before - 0.15


def test_nothing_overflows_until_restarted_vms_have_observed_demand(running):
    for vm in running.vms:
        vm.start()
    running.run_until(WARM_SECONDS + 0.9)
    assert remote_share(requests_since(running, WARM_SECONDS + 0.1)) == 0.0
    running.run_until(WARM_SECONDS + 8.0)
    assert min(running.fractions(SHORT_REGION)) > MIN_FRACTION


@pytest.mark.parametrize("restarts", [False, True])
def test_vm_that_was_away_takes_the_fraction_of_its_region(running, restarts):
    vm = next(each for each in running.vms if each.region == SHORT_REGION)
    vm.is_running = False
    running.run_until(WARM_SECONDS + 5.0)
    vm.is_running = True
    if restarts:
        vm.start()
    running.run_until(WARM_SECONDS + 6.0)
    first, *others = running.fractions(SHORT_REGION)
    assert first == pytest.approx(sum(others) / len(others), abs=0.04)


def test_fraction_moves_away_from_a_region_without_targets(running):
    """An object must not be sent to targets that are gone or evacuated."""
    overflow = running.vms[0].demand.overflow(SERVICE, SHORT_REGION)
    lost = max(overflow, key=overflow.get)
    running.set_targets(lost, 0)
    running.run_until(WARM_SECONDS + 1.0)
    after = [
        each
        for each in requests_since(running, WARM_SECONDS + 0.2)
        if each.target.region == lost
    ]
    assert after == []
    running.set_targets(lost, TARGETS[lost])
    running.run_until(WARM_SECONDS + 10.0)
    assert min(running.fractions(SHORT_REGION)) > MIN_FRACTION
