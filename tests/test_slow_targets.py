"""Tests that a target far slower than the others of its service gets few requests."""

import json

import pytest
from curio import run

from heathercleat import HeathercleatError, parse_text
from heathercleat.connection.messages import LeaseRequest
from heathercleat.events import Event
from heathercleat.process.capacity.admission import Admission
from heathercleat.process.capacity.health import TRIAL_INTERVAL_SECONDS, HealthTracker
from heathercleat.process.capacity.leases import LeaseGranter, LeaseHolder
from heathercleat.process.capacity.slots import SlotLedger
from heathercleat.process.membership.directory import Directory
from heathercleat.process.stalls import Stalls
from tests.fakes import FakeLinks, FakeVm, ManualClock
from tests.test_admission import FakeMembership, make_call
from tests.test_text import make_text

FAST_SECONDS = 0.1
SLOW_SECONDS = 1.0
SLOTS = 2


class Parts:
    """The home VM of three targets, of which ``t3`` is slow."""

    def __init__(self):
        self.clock = ManualClock()
        self.vm = vm = FakeVm()
        text = make_text(queue={"limit": 0, "wait_ms": 100})
        text["services"]["lookup"]["targets"] = {
            name: {
                "address": f"127.0.0.{number}:9000",
                "failure_domain": "north-a",
                "slots": SLOTS,
            }
            for number, name in enumerate(("t1", "t2", "t3"), 1)
        }
        vm.text = parse_text(json.dumps(text))
        vm.local_homes = lambda service: []
        self.ledger = SlotLedger(self.clock)
        self.health = HealthTracker(vm, self.ledger, self.clock)
        holder = LeaseHolder(vm, FakeLinks(), Directory(), self.clock)
        stalls = Stalls(self.clock)
        self.admission = Admission(
            vm, self.ledger, holder, FakeMembership(), self.health, stalls, self.clock
        )
        self.granter = LeaseGranter(
            vm,
            self.ledger,
            FakeMembership(),
            self.admission.waiting_count,
            self.health,
            self.clock,
        )
        for target in self.targets.values():
            self.ledger.adopt(target, [])
        self.record_responses("t1", FAST_SECONDS)
        self.record_responses("t2", FAST_SECONDS)
        self.record_responses("t3", SLOW_SECONDS)

    @property
    def targets(self):
        return self.vm.text.services["lookup"].targets

    def record_responses(self, name, seconds, times=30):
        for _ in range(times):
            self.health.record_success(self.targets[name], seconds)

    def admit(self, seconds=5.0):
        """Admit a request and return the name of its target."""
        permit = run(self.admission.acquire, make_call(self.vm, seconds, self.clock))
        return permit.target.name

    def is_slow(self, name):
        return self.health.is_slow(self.ledger.targets[name])


@pytest.fixture
def parts():
    return Parts()


def test_target_far_slower_than_the_others_is_slow(parts):
    assert [parts.is_slow(name) for name in ("t1", "t2", "t3")] == [False, False, True]


def test_uniformly_slow_service_has_no_slow_target(parts):
    parts.record_responses("t1", SLOW_SECONDS)
    parts.record_responses("t2", SLOW_SECONDS)
    parts.record_responses("t3", SLOW_SECONDS)
    assert not any(parts.is_slow(name) for name in ("t1", "t2", "t3"))


def test_slow_target_is_used_before_requests_are_refused(parts):
    assert {parts.admit() for _ in range(2 * SLOTS)} == {"t1", "t2"}
    assert [parts.admit() for _ in range(SLOTS)] == ["t3"] * SLOTS
    with pytest.raises(HeathercleatError):
        parts.admit()


def test_use_of_a_slow_target_is_not_logged_as_a_refusal(parts):
    for _ in range(2 * SLOTS):
        parts.admit()
    assert parts.admit() == "t3"
    events = [event for event, _ in parts.vm.journal.events]
    assert Event.ROUTE_REFUSED not in events


def test_slow_target_is_not_used_when_its_response_would_be_late(parts):
    for _ in range(2 * SLOTS):
        parts.admit()
    with pytest.raises(HeathercleatError):
        parts.admit(seconds=SLOW_SECONDS / 2)


def test_slow_target_gets_a_trial_request_per_interval(parts):
    parts.clock.time += TRIAL_INTERVAL_SECONDS
    assert parts.admit() == "t3"
    assert parts.admit() != "t3"
    parts.clock.time += TRIAL_INTERVAL_SECONDS
    assert parts.admit() == "t3"


def test_target_that_recovers_its_speed_warms_up(parts):
    parts.record_responses("t3", FAST_SECONDS, times=1)
    assert not parts.is_slow("t3")
    assert parts.ledger.targets["t3"].limit(parts.clock.time) == 1
    assert Event.TARGET_FAST in [event for event, _ in parts.vm.journal.events]


def test_slow_target_is_not_leased(parts):
    request = LeaseRequest("lookup", 3 * SLOTS, [])
    granted = {parts.granter.grant(request, "vm", "north-a").target for _ in range(3)}
    assert granted == {"t1", "t2", ""}


def test_retry_avoids_a_target_even_as_a_trial(parts):
    parts.clock.time += TRIAL_INTERVAL_SECONDS
    permit = run(
        parts.admission.acquire,
        make_call(parts.vm, clock=parts.clock),
        frozenset(["t3"]),
    )
    assert permit.target.name != "t3"
