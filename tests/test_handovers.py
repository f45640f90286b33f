"""Tests that no slot is lost or used twice when a target changes its home."""

import json

import pytest
from curio import run

from heathercleat import parse_text
from heathercleat.connection.messages import (
    Accepted,
    Handover,
    MemberRecord,
    SlotReleased,
)
from heathercleat.process.capacity.homes import HANDOVER_RETENTION_SECONDS, HomeManager
from heathercleat.process.capacity.occupancy import OccupancyRecords
from heathercleat.process.capacity.slots import SlotLedger, SlotUse
from heathercleat.process.clock import DISTANT_PAST
from heathercleat.process.membership.membership import SETTLE_SECONDS, Membership
from heathercleat.process.membership.peer_links import CALL_TIMEOUT_SECONDS
from tests.fakes import FakeLinks, FakeVm, ManualClock
from tests.test_text import make_text

TARGET = "t1"
FORMER_HOME, UNRESPONSIVE = "127.0.0.2", "127.0.0.3"


class Parts:
    """A VM that takes over a target; of the two other VMs, one never answers."""

    def __init__(self):
        self.clock = ManualClock()
        self.vm = vm = FakeVm()
        vm.text = parse_text(json.dumps(make_text()))
        vm.version = 1
        self.ledger = SlotLedger(self.clock)
        self.calls = []
        self.unanswered_calls = 0
        self.released = []
        self.handed_over = {TARGET: [[7, self.clock.time + 5.0, None]]}
        links = FakeLinks(self.respond)
        self.membership = Membership(vm, links, self.clock)
        self.clock.time += SETTLE_SECONDS
        self.membership.record_tick()
        for host in (FORMER_HOME, UNRESPONSIVE):
            self.record(host, "leaving")
        records = OccupancyRecords(self.membership, self.clock)
        self.homes = HomeManager(
            vm, self.membership, self.ledger, links, records, None, self.clock
        )

    def record(self, host, state):
        name = f"north-a-{host[-1]}"
        self.membership.apply_record(MemberRecord(name, host, "north-a", 1, state))

    def respond(self, host, item):
        self.calls.append(item)
        if host == UNRESPONSIVE or self.unanswered_calls > len(self.calls):
            return None
        if isinstance(item, SlotReleased):
            return Accepted()
        for use_id in self.released:
            self.homes.record_released(TARGET, use_id)
        targets, self.handed_over = self.handed_over, {}
        return Handover(targets, dict.fromkeys(targets, []), [])

    def acquire(self):
        self.homes._apply_configuration()
        run(self.homes._acquire_missing)

    def wait(self, seconds):
        """Advance the time with every heartbeat acknowledged."""
        self.clock.time += seconds
        self.membership._last_tick = self.clock.time
        for member in self.membership.members.values():
            member.acked_at = self.clock.time

    @property
    def held(self):
        """Return the use ids of the requests that hold slots of the target."""
        return [hold.use_id for hold in self.ledger.targets[TARGET].holds]


def test_handover_is_kept_while_another_vm_does_not_answer():
    parts = Parts()
    parts.acquire()
    assert not parts.ledger.targets
    parts.wait(CALL_TIMEOUT_SECONDS)
    parts.record(UNRESPONSIVE, "dead")
    parts.acquire()
    assert parts.held == [7]


def test_handover_that_is_not_adopted_is_handed_over_again():
    parts = Parts()
    parts.acquire()
    first, again = (parts.homes.hand_over("north-a-4", [TARGET]) for _ in range(2))
    assert [use_id for use_id, _, _ in first.targets[TARGET]] == [7]
    assert not again.targets


@pytest.mark.parametrize("dead_first", [False, True])
def test_release_that_arrives_before_the_adoption_frees_its_slot(dead_first):
    parts = Parts()
    parts.released = [7]
    if not dead_first:
        parts.acquire()
    parts.record(UNRESPONSIVE, "dead")
    parts.acquire()
    assert parts.held == []


@pytest.mark.parametrize(("seconds", "calls"), [(5.0, 3), (-5.0, 1)])
def test_release_is_sent_until_acknowledged_or_the_deadline_passes(seconds, calls):
    parts = Parts()
    parts.unanswered_calls = 3
    use = SlotUse(7, TARGET, parts.clock.time + seconds)
    run(parts.homes.report_released, "north-a-2", use)
    assert len(parts.calls) == calls


def test_slot_uses_of_two_homes_have_different_ids():
    target = parse_text(json.dumps(make_text())).services["lookup"].targets[TARGET]
    ledgers = [SlotLedger(ManualClock()) for _ in range(2)]
    first, second = (
        ledger.claim(ledger.adopt(target, []), DISTANT_PAST) for ledger in ledgers
    )
    assert first.id != second.id


def drop_homes(parts):
    parts.homes.drop_all()


def wait_past_retention(parts):
    parts.wait(HANDOVER_RETENTION_SECONDS)


@pytest.mark.parametrize("act", [drop_homes, wait_past_retention])
def test_expired_handover_does_not_prove_free_slots(act):
    parts = Parts()
    parts.acquire()
    act(parts)
    parts.record(UNRESPONSIVE, "dead")
    parts.acquire()
    assert set(parts.held) == {None}
