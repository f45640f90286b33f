from random import Random

import pytest

from heathercleat.steering.process.body_memory import BODY_MEMORY_SHARE, BodyMemory
from heathercleat.steering.process.capacity.region_shift import RegionShiftLimit
from heathercleat.steering.process.capacity.retry_budget import RetryBudget
from heathercleat.steering.process.retry_detector import RetryDetector
from heathercleat.steering.version.routing import ServiceShare
from heathercleat.steering.version.split import Splitter
from tests.fakes import ManualClock


def spend_all(budget, now):
    spent = 0
    while budget.withdraw(now):
        spent += 1
    return spent


@pytest.mark.parametrize("vms", [1, 3, 10])
def test_all_vms_together_stay_within_the_budget(vms):
    ratio, slack, requests = 0.2, 60.0, 50
    total = 0
    for _ in range(vms):
        budget = RetryBudget(ratio, slack, 10.0, lambda: vms)
        for _ in range(requests):
            budget.record_request(0.0)
        total += spend_all(budget, 0.0)
    assert 0 < total <= ratio * requests * vms + slack


def test_budget_of_a_window_does_not_return_before_its_end():
    budget = RetryBudget(0.2, 20.0, 10.0, lambda: 1)
    assert spend_all(budget, 0.0) > 0
    assert spend_all(budget, 9.0) == 0
    assert spend_all(budget, 10.5) > 0


def test_refunded_repeat_can_be_spent_again():
    budget = RetryBudget(0.2, 20.0, 10.0, lambda: 1)
    spent = spend_all(budget, 0.0)
    budget.refund()
    assert spent > 0
    assert spend_all(budget, 0.0) == 1


def run_windows(limit, clock, wanted, windows, requests=100):
    """Return the share moved in each window when ``wanted`` of the requests may."""
    shares = []
    for _ in range(windows):
        moved = 0
        for number in range(requests):
            wants = (number % 10) < wanted * 10
            moves = limit.must_move() or (wants and limit.may_move())
            limit.record(moves)
            moved += moves
        shares.append(moved / requests)
        clock.time += 1.0
    return shares


def test_first_requests_may_all_move():
    clock = ManualClock()
    shares = run_windows(RegionShiftLimit(0.15, clock), clock, 0.8, 1)
    assert shares == [0.8]


@pytest.mark.parametrize(("before", "after"), [(0.0, 0.8), (0.8, 0.0)])
def test_share_changes_slowly_both_ways(before, after):
    clock = ManualClock()
    limit = RegionShiftLimit(0.15, clock)
    shares = run_windows(limit, clock, before, 3) + run_windows(limit, clock, after, 20)
    pairs = [(shares[i] + shares[i + 1]) / 2 for i in range(len(shares) - 1)]
    changes = [abs(pairs[i + 2] - pairs[i]) for i in range(len(pairs) - 2)]
    assert max(changes) <= 0.15
    assert shares[-1] == pytest.approx(after, abs=0.06)


def test_repeat_is_told_by_the_time_that_is_left():
    repeats = RetryDetector()
    assert repeats.elapsed("r1", 1.2) == 0.0
    assert 0.2 < repeats.elapsed("r1", 0.9) <= 0.3
    assert repeats.elapsed("r1", 1.2) == 0.0
    assert repeats.elapsed("r2", 0.9) == 0.0


@pytest.mark.parametrize("spread", [0.0, 0.15])
def test_first_requests_of_clients_that_wait_unequally_are_no_repeats(spread):
    """With a bound of 97% of the longest wait 80% of them were taken for repeats."""
    repeats, random = RetryDetector(), Random(5)

    def first():
        return 4.0 * (1.0 - spread * random.random())

    for _ in range(100):
        repeats.elapsed("r1", first())
    taken = sum(repeats.elapsed("r1", first()) > 0.0 for _ in range(1000))
    assert taken <= 10
    later = [repeats.elapsed("r1", first() - 0.8) for _ in range(300)]
    assert sum(each > 0.0 for each in later) >= 270
    assert max(later) <= 0.8


def test_split_is_exact_over_any_run():
    splitter = Splitter((ServiceShare("a", 90.0), ServiceShare("b", 10.0)))
    chosen = [splitter.next() for _ in range(100)]
    assert chosen.count("b") == 10
    assert chosen[:20].count("b") == 2


def test_bodies_take_their_part_of_the_memory_and_no_more():
    bodies = BodyMemory(1000 / BODY_MEMORY_SHARE)
    assert bodies.reserve(600)
    assert not bodies.reserve(600)
    bodies.release(600)
    assert bodies.reserve(1000)
    assert bodies.held == 1000
