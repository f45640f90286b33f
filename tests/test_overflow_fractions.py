"""Tests of the fractions of objects that regions send to each other."""

import pytest

from heathercleat.steering.process.capacity.overflow_fractions import (
    MIN_FALL,
    MIN_RISE,
    RegionLoad,
    next_fractions,
    required_fraction,
    spare_slots,
)

MAX_CHANGE = 0.02


def load(demand, slots, movable=None, **fractions):
    movable = (demand or 0.0) if movable is None else movable
    return RegionLoad(demand, movable, 0.3, slots, fractions)


def advance(region, loads):
    required = required_fraction(loads[region]) if loads[region].demand else 0.0
    peaks = {each: loads[each].demand or 0.0 for each in loads}
    return next_fractions(region, loads, peaks, required, MAX_CHANGE)


def settle(loads, rounds=200):
    """Let every region change its fractions until they settle."""
    for _ in range(rounds):
        changed = {region: advance(region, loads) for region in loads}
        for region, fractions in changed.items():
            loads[region].fractions = fractions
    return loads


def test_excess_goes_to_the_region_with_the_most_spare_slots():
    loads = settle({"a": load(100, 400), "b": load(100, 90), "c": load(100, 300)})
    assert loads["b"].fractions == {"a": pytest.approx(1 - 0.85 * 90 / 100, abs=0.02)}
    assert not loads["a"].fractions and not loads["c"].fractions


def test_fraction_rises_by_at_most_the_allowed_change():
    """A jump moves more of a region's requests at once than is allowed."""
    loads = {"a": load(100, 400), "b": load(400, 90)}
    assert advance("b", loads) == {"a": MAX_CHANGE}


def test_short_regions_do_not_exchange_work():
    loads = settle({"a": load(100, 90), "b": load(100, 80), "c": load(200, 200)})
    assert all(not each.fractions for each in loads.values())


def test_region_sends_nothing_to_one_that_sends_work_to_it():
    loads = {"a": load(50, 100, b=0.1), "b": load(100, 90)}
    assert spare_slots("a", loads, "b") is None
    assert advance("b", loads) == {}


def test_two_short_regions_share_the_spare_slots_of_the_third():
    loads = settle({"a": load(50, 100), "b": load(100, 80), "c": load(100, 80)})
    sent = sum(100 * sum(loads[each].fractions.values()) for each in "bc")
    # All three are used alike, at 250 of 260 slots.
    assert 50 + sent == pytest.approx(100 * 250 / 260, abs=5)


def test_small_changes_of_demand_do_not_change_the_fraction():
    """Guards against a fraction that follows each report."""
    for demand in (99, 100, 101, 102):
        loads = {"a": load(100, 400), "b": load(demand, 90, a=0.24)}
        assert advance("b", loads) == {"a": 0.24}


@pytest.mark.parametrize(
    "other", [load(None, 400), load(100, 400, b=0.1), load(900, 400)]
)
def test_fraction_falls_where_the_other_region_cannot_take_it(other):
    """Demand not reported, work sent the other way, or too few slots."""
    loads = {"a": other, "b": load(100, 90, a=0.24)}
    assert advance("b", loads) == {"a": 0.24 - MAX_CHANGE}


def test_fraction_ends_when_demand_fits():
    loads = settle({"a": load(100, 400), "b": load(50, 90, a=MIN_FALL / 2)})
    assert loads["b"].fractions == {}


def test_only_movable_requests_go():
    loads = settle({"a": load(100, 900), "b": load(300, 90, movable=100)})
    assert sum(loads["b"].fractions.values()) == pytest.approx(1.0, abs=MIN_RISE)
    loads = settle({"a": load(100, 900), "b": load(300, 90, movable=0)})
    assert loads["b"].fractions == {}
