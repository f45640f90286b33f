"""Tests of limits on retries, region shifts, traffic shares and body memory."""

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


def test_budget_is_not_renewed_before_the_end_of_its_window():
    budget = RetryBudget(0.2, 20.0, 10.0, lambda: 1)
    assert spend_all(budget, 0.0) > 0
    assert spend_all(budget, 9.0) == 0
    assert spend_all(budget, 10.5) > 0


def test_refunded_retry_can_be_spent_again():
    budget = RetryBudget(0.2, 20.0, 10.0, lambda: 1)
    spent = spend_all(budget, 0.0)
    budget.refund(0.0)
    assert spent > 0
    assert spend_all(budget, 0.0) == 1


def test_refund_of_an_expired_retry_returns_no_other_one():
    budget = RetryBudget(0.2, 20.0, 10.0, lambda: 1)
    assert budget.withdraw(0.0)
    assert spend_all(budget, 15.0) > 0
    budget.refund(0.0)
    assert spend_all(budget, 15.0) == 0


def test_refund_leaves_the_later_retries_of_other_requests():
    budget = RetryBudget(0.2, 20.0, 10.0, lambda: 1)
    assert budget.withdraw(0.0)
    spent = spend_all(budget, 9.0)
    budget.refund(0.0)
    assert spend_all(budget, 9.5) == 1
    assert spend_all(budget, 18.5) == 0
    assert spend_all(budget, 19.1) == spent


def shares_moved(limit, clock, wanted, windows, requests=100):
    """Return the share of requests moved in each window.

    :param wanted: share of the requests that ask to move.
    """
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


def test_shift_of_the_first_window_is_not_limited():
    clock = ManualClock()
    shares = shares_moved(RegionShiftLimit(0.15, clock), clock, 0.8, 1)
    assert shares == [0.8]


@pytest.mark.parametrize(("before", "after"), [(0.0, 0.8), (0.8, 0.0)])
def test_change_of_the_share_is_limited_both_ways(before, after):
    clock = ManualClock()
    limit = RegionShiftLimit(0.15, clock)
    shares = shares_moved(limit, clock, before, 3) + shares_moved(
        limit, clock, after, 20
    )
    pairs = [(shares[i] + shares[i + 1]) / 2 for i in range(len(shares) - 1)]
    changes = [abs(pairs[i + 2] - pairs[i]) for i in range(len(pairs) - 2)]
    assert max(changes) <= 0.15
    assert shares[-1] == pytest.approx(after, abs=0.06)


def test_retry_is_detected_by_its_remaining_time():
    detector = RetryDetector()
    assert detector.record_wait("r1", 1.2) == 0.0
    assert 0.2 < detector.record_wait("r1", 0.9) <= 0.3
    assert detector.record_wait("r1", 1.2) == 0.0
    assert detector.record_wait("r2", 0.9) == 0.0


@pytest.mark.parametrize("spread", [0.0, 0.15])
def test_first_requests_with_varying_timeouts_are_no_retries(spread):
    """Small differences between timeouts must not look like time already spent."""
    detector, random = RetryDetector(), Random(5)

    def first():
        return 4.0 * (1.0 - spread * random.random())

    for _ in range(100):
        detector.record_wait("r1", first())
    retries = sum(detector.record_wait("r1", first()) > 0.0 for _ in range(1000))
    assert retries <= 10
    retry_times = [detector.record_wait("r1", first() - 0.8) for _ in range(300)]
    assert sum(each > 0.0 for each in retry_times) >= 270
    assert max(retry_times) <= 0.8


def test_split_matches_its_weights():
    splitter = Splitter((ServiceShare("a", 90.0), ServiceShare("b", 10.0)))
    selected = [splitter.next() for _ in range(100)]
    assert selected.count("b") == 10
    assert selected[:20].count("b") == 2


def test_bodies_cannot_exceed_their_share_of_memory():
    memory = BodyMemory(1000 / BODY_MEMORY_SHARE)
    assert memory.reserve(600)
    assert not memory.reserve(600)
    memory.release(600)
    assert memory.reserve(1000)
    assert memory.reserved == 1000
