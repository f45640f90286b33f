"""Tests that an owner never uses more slots of a target than it may."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.steering_parts import COLD_REQUESTS_PER_SECOND, Parts, entry


def owned_target(parts, id="t1"):
    return next(each for each in parts.ledger.all() if each.entry.id == id)


def test_slots_are_counted_exactly():
    parts = Parts([entry("t1", slots=2)])
    target = owned_target(parts)
    first = target.claim(parts.clock.now())
    target.claim(parts.clock.now())
    assert target.free(parts.clock.now()) == 0
    parts.ledger.release(first)
    assert target.free(parts.clock.now()) == 1


def test_releasing_twice_frees_one_slot():
    parts = Parts([entry("t1", slots=2)])
    target = owned_target(parts)
    use = target.claim(parts.clock.now())
    target.claim(parts.clock.now())
    parts.ledger.release(use)
    parts.ledger.release(use)
    assert target.free(parts.clock.now()) == 1


def test_requests_of_a_former_owner_count_for_a_limited_time():
    parts = Parts([entry("t1", slots=3)])
    target = owned_target(parts)
    now = parts.clock.now()
    target.claim(now)
    target.record_reported_load(2, 1, now)
    assert target.free(now) == 0
    assert target.free(now + 0.5) == 2


def test_cold_target_gets_its_share_of_the_cold_rate():
    parts = Parts([entry("t1", slots=1000, cold=5.0)])
    target = owned_target(parts)
    sent = 0
    while target.free(parts.clock.now()):
        parts.ledger.release(target.claim(parts.clock.now()))
        sent += 1
    assert 1 <= 2 * sent <= 1.5 * COLD_REQUESTS_PER_SECOND
    parts.clock.time += 1.1
    assert target.free(parts.clock.now()) > 0


def test_target_that_returns_to_its_owner_keeps_its_counts():
    parts = Parts([entry("t1", slots=1000, cold=5.0)])
    target = owned_target(parts)
    while target.free(parts.clock.now()):
        target.claim(parts.clock.now())
    parts.members.set_serving(False)
    assert list(parts.ledger.all()) == []
    parts.members.set_serving(True)
    assert owned_target(parts).free(parts.clock.now()) == 0
    assert len(owned_target(parts).uses) == len(target.uses) > 0


def fail_until_ejected(target, now):
    while not target.health.record_failure(now, now):
        pass


def test_requests_that_fail_at_the_same_time_cause_one_ejection():
    parts = Parts([entry("t1", slots=4)])
    target = owned_target(parts)
    started_at = parts.clock.now()
    parts.clock.time += 0.1
    fail_until_ejected(target, parts.clock.now())
    ejected_until = target.health.ejected_until
    parts.clock.time += 0.01
    assert not target.health.record_failure(parts.clock.now(), started_at)
    assert target.health.ejected_until == ejected_until


def test_failed_trial_request_lengthens_the_ejection():
    parts = Parts([entry("t1", slots=4)])
    target = owned_target(parts)
    fail_until_ejected(target, parts.clock.now())
    first = target.health.ejected_until - parts.clock.now()
    parts.clock.time += 1.0
    assert target.health.record_failure(parts.clock.now(), parts.clock.now())
    assert target.health.ejected_until - parts.clock.now() > first


def test_failing_target_is_ejected_and_then_half_open():
    parts = Parts([entry("t1", slots=4)])
    target = owned_target(parts)
    fail_until_ejected(target, parts.clock.now())
    assert target.free(parts.clock.now()) == 0
    parts.clock.time += 5.0
    assert target.free(parts.clock.now()) == 1
    target.health.record_success(0.1)
    assert target.free(parts.clock.now()) == 4


def test_unresponsive_target_gets_no_more_requests():
    parts = Parts([entry("t1", slots=4)])
    target = owned_target(parts)
    target.claim(parts.clock.now())
    assert target.free(parts.clock.now() + 0.5) == 3
    assert target.free(parts.clock.now() + 2.0) == 0


@pytest.mark.parametrize(("latency", "slow"), [(0.1, False), (0.9, True)])
def test_slow_target_takes_one_request(latency, slow):
    parts = Parts([entry(f"t{number}", slots=4) for number in range(5)])
    for target in parts.ledger.all():
        target.health.record_success(0.1)
    slow_target = owned_target(parts, "t3")
    slow_target.health.latency = latency
    parts.ledger.update_slow_targets()
    assert slow_target.is_slow is slow
    assert slow_target.free(parts.clock.now()) == (1 if slow else 4)


class LedgerMachine(RuleBasedStateMachine):
    """Targets change owners and state while requests start and end."""

    def __init__(self):
        super().__init__()
        self.parts = Parts([entry(f"t{number}", slots=2) for number in range(3)])
        self.uses = []

    @rule(number=st.integers(0, 2))
    def claim(self, number):
        now = self.parts.clock.now()
        for target in self.parts.ledger.all():
            if target.entry.id == f"t{number}" and target.free(now):
                self.uses.append(target.claim(now))

    @rule(data=st.data())
    def release(self, data):
        if self.uses:
            use = self.uses.pop(data.draw(st.integers(0, len(self.uses) - 1)))
            self.parts.ledger.release(use)

    @rule(number=st.integers(0, 2), draining=st.booleans())
    def update_entry(self, number, draining):
        changed = entry(f"t{number}", slots=2, draining=draining)
        self.parts.registry.update([changed], [])

    @rule(serving=st.booleans())
    def set_serving(self, serving):
        self.parts.members.set_serving(serving)

    @rule(seconds=st.floats(0.0, 2.0))
    def wait(self, seconds):
        self.parts.clock.time += seconds

    @invariant()
    def no_target_has_more_uses_than_slots(self):
        for target in self.parts.ledger.all():
            assert len(target.uses) <= target.entry.slots
            assert target.free(self.parts.clock.now()) >= 0


LedgerMachine.TestCase.settings = settings(max_examples=60, deadline=None)
TestLedger = LedgerMachine.TestCase
