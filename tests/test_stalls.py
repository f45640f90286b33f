"""Tests that gaps between the ticks of the process are counted as stalls."""

import pytest

from heathercleat.process.stalls import MAX_TICK_GAP_SECONDS, TICK_SECONDS, Stalls
from tests.fakes import ManualClock


@pytest.mark.parametrize(
    ("gap", "stalled"),
    [(TICK_SECONDS, 0), (MAX_TICK_GAP_SECONDS, 0), (MAX_TICK_GAP_SECONDS + 0.5, 0.5)],
)
def test_only_a_gap_above_the_maximum_is_a_stall(gap, stalled):
    clock = ManualClock()
    stalls = Stalls(clock)
    clock.time += gap
    assert stalls.total_seconds() == pytest.approx(stalled)
    stalls.tick()
    assert stalls.total_seconds() == pytest.approx(stalled)


def test_active_time_excludes_stalls():
    clock = ManualClock()
    stalls = Stalls(clock)
    start = stalls.active_time()
    for _ in range(3):
        clock.time += MAX_TICK_GAP_SECONDS + 1.0
        stalls.tick()
    assert stalls.active_time() - start == pytest.approx(3 * MAX_TICK_GAP_SECONDS)
