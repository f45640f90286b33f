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

FAST = 0.1
SLOW = 1.0
SLOTS = 2


class Parts:
    """A home of three targets of which one has become slow."""

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
        self.answer("t1", FAST)
        self.answer("t2", FAST)
        self.answer("t3", SLOW)

    @property
    def targets(self):
        return self.vm.text.services["lookup"].targets

    def answer(self, name, seconds, times=30):
        for _ in range(times):
            self.health.record_success(self.targets[name], seconds)

    def place(self, seconds=5.0):
        """Return the target that a request goes to."""
        permit = run(self.admission.acquire, make_call(self.vm, seconds, self.clock))
        return permit.target.name

    def is_slow(self, name):
        return self.health.is_slow(self.ledger.targets[name])


@pytest.fixture
def parts():
    return Parts()


def test_target_that_is_far_slower_than_the_others_is_slow(parts):
    assert [parts.is_slow(name) for name in ("t1", "t2", "t3")] == [False, False, True]


def test_service_that_is_slow_as_a_whole_has_no_slow_target(parts):
    parts.answer("t1", SLOW)
    parts.answer("t2", SLOW)
    parts.answer("t3", SLOW)
    assert not any(parts.is_slow(name) for name in ("t1", "t2", "t3"))


def test_slow_target_is_used_last_rather_than_a_refusal(parts):
    assert {parts.place() for _ in range(2 * SLOTS)} == {"t1", "t2"}
    assert [parts.place() for _ in range(SLOTS)] == ["t3"] * SLOTS
    with pytest.raises(HeathercleatError):
        parts.place()


def test_use_of_a_slow_target_is_not_logged_as_a_refusal(parts):
    for _ in range(2 * SLOTS):
        parts.place()
    assert parts.place() == "t3"
    events = [event for event, _ in parts.vm.journal.events]
    assert Event.ROUTE_REFUSED not in events


def test_slow_target_is_not_used_when_its_answer_would_come_too_late(parts):
    for _ in range(2 * SLOTS):
        parts.place()
    with pytest.raises(HeathercleatError):
        parts.place(seconds=SLOW / 2)


def test_slow_target_is_tried_now_and_then(parts):
    parts.clock.time += TRIAL_INTERVAL_SECONDS
    assert parts.place() == "t3"
    assert parts.place() != "t3"
    parts.clock.time += TRIAL_INTERVAL_SECONDS
    assert parts.place() == "t3"


def test_target_that_is_fast_again_warms_up(parts):
    parts.answer("t3", FAST, times=1)
    assert not parts.is_slow("t3")
    assert parts.ledger.targets["t3"].limit(parts.clock.time) == 1
    assert Event.TARGET_FAST in [event for event, _ in parts.vm.journal.events]


def test_slow_target_is_not_leased(parts):
    request = LeaseRequest("lookup", 3 * SLOTS, [])
    granted = {parts.granter.grant(request, "vm", "north-a").target for _ in range(3)}
    assert granted == {"t1", "t2", ""}


def test_request_that_is_tried_again_avoids_the_target_even_as_a_trial(parts):
    parts.clock.time += TRIAL_INTERVAL_SECONDS
    permit = run(
        parts.admission.acquire,
        make_call(parts.vm, clock=parts.clock),
        frozenset(["t3"]),
    )
    assert permit.target.name != "t3"
