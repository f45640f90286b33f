import json

import pytest
from curio import run, sleep, spawn

from heathercleat import parse_text
from heathercleat.connection.messages import MemberRecord, Readiness
from heathercleat.process.capacity.candidates import DomainVms
from heathercleat.process.capacity.homes import HomeManager
from heathercleat.process.capacity.readiness import (
    DIVERT_DELAY_SECONDS,
    SHARE_CACHE_TTL_SECONDS,
    ReadinessTracker,
)
from heathercleat.process.capacity.slots import Hold, SlotLedger
from heathercleat.process.configuration.platform import VmEntry, VmList
from heathercleat.process.membership.directory import Directory
from heathercleat.process.membership.membership import SETTLE_SECONDS, Membership
from heathercleat.request.lookup import _select
from heathercleat.version.text import Drain, DrainScope
from tests.fakes import FakeLinks, FakeVm, ManualClock
from tests.test_text import make_text

SLOTS = 8
MANY_VMS = 9
NEAR = "127.0.0.2"


def make_service_text():
    """Return a text with one target in this failure domain and one in the next."""
    text = make_text()
    targets = text["services"]["lookup"]["targets"]
    for target in targets.values():
        target["slots"] = SLOTS
    return parse_text(json.dumps(text))


class Parts:
    """A VM that is the home of one target, with a VM in the next failure domain."""

    def __init__(self, told=None):
        self.clock = ManualClock()
        self.links = FakeLinks(lambda host, item: told)
        self.vm = vm = FakeVm()
        vm.text = make_service_text()
        vm.version = 1
        vm.directory = Directory()
        entries = (
            VmEntry(vm.name, "127.0.0.1", "north-a", False),
            VmEntry("north-b-1", NEAR, "north-b", False),
        )
        vm.directory.adopt(VmList(1, entries))
        self.ledger = SlotLedger(self.clock)
        self.membership = Membership(vm, self.links, self.clock)
        self.clock.time += SETTLE_SECONDS
        self.membership.record_tick()
        vm.homes = HomeManager(
            vm, self.membership, self.ledger, self.links, None, None, self.clock
        )
        self.board = ReadinessTracker(
            vm, self.ledger, self.membership, self.links, self.clock
        )
        self.service = vm.text.services["lookup"]

    def adopt(self, held=0):
        target = self.service.targets["t1"]
        self.ledger.adopt(target, [Hold(self.clock.time + 5.0)] * held)

    def ask_homes(self):
        run(self.board._poll_homes)
        self.clock.time += SHARE_CACHE_TTL_SECONDS


@pytest.mark.parametrize(
    ("held", "share"), [(0, 1), (SLOTS // 2, 1), (6, 0.5), (7, 0.25), (SLOTS, 0)]
)
def test_share_falls_with_the_slots_that_earlier_requests_hold(held, share):
    parts = Parts()
    parts.adopt(held)
    assert parts.board.share(parts.service) == pytest.approx(share)


def test_share_returns_as_the_holds_lapse():
    parts = Parts()
    parts.adopt(SLOTS)
    assert parts.board.share(parts.service) == 0
    parts.clock.time += 5.1
    parts.membership.record_tick()
    parts.clock.time += SETTLE_SECONDS
    parts.membership.record_tick()
    assert parts.board.share(parts.service) == 1


def test_target_that_is_not_adopted_yet_is_not_ready():
    parts = Parts()
    assert parts.board.share(parts.service) == 0


def test_vm_that_starts_before_the_home_of_its_domain_sends_callers_elsewhere():
    parts = Parts(told=Readiness({"lookup": SLOTS}))
    here = parts.vm.settings.failure_domain
    for number in range(2, MANY_VMS):
        host = f"127.0.1.{number}"
        record = MemberRecord(f"{here}-{number}", host, here, 0, "live")
        parts.membership.record(record)
    assert not parts.vm.homes.desired()
    assert parts.board.share(parts.service) == 0
    parts.ask_homes()
    assert parts.board.share(parts.service) == 1


def test_look_ups_wait_until_homes_were_asked_once():
    parts = Parts()

    async def act():
        waiting = await spawn(parts.board.wait_first_round)
        await sleep(0)
        assert not waiting.terminated
        await parts.board._poll_homes()
        await waiting.join()

    run(act)


@pytest.mark.parametrize(("avoided", "weighs"), [((), True), (("north-b",), False)])
def test_vm_of_a_domain_that_cannot_serve_is_the_last_to_fall_back_on(avoided, weighs):
    domains = [
        DomainVms(name, [(VmEntry(f"{name}-1", NEAR, name, False), SLOTS)], [SLOTS])
        for name in ("north-a", "north-b")
    ]
    (_, first), (_, other) = _select(domains, avoided)
    assert first == SLOTS
    assert bool(other) is weighs


def test_drained_targets_are_no_reason_to_send_callers_away():
    parts = Parts()
    parts.vm.text.drains["d"] = Drain("d", DrainScope.TARGET, "t1", 0.0)
    assert parts.board.share(parts.service) == 1


def test_callers_beyond_the_share_avoid_the_domain():
    parts = Parts(told=Readiness({"lookup": SLOTS}))
    parts.adopt(held=6)
    parts.ask_homes()
    assert parts.board.avoided(parts.service, 0.4) == frozenset()
    assert parts.board.avoided(parts.service, 0.6) == {"north-a"}


def test_short_handover_sends_nobody_away():
    parts = Parts()
    parts.adopt()
    assert parts.board.share(parts.service) == 1
    parts.ledger.drop_all()
    parts.clock.time += DIVERT_DELAY_SECONDS - 0.1
    assert parts.board.avoided(parts.service, 0.6) == frozenset()
    parts.clock.time += 0.2
    assert parts.board.avoided(parts.service, 0.6) == {"north-a"}


def test_other_domain_that_came_back_as_lately_is_avoided_too():
    parts = Parts(told=Readiness({"lookup": 0}))
    parts.ask_homes()
    assert parts.board.avoided(parts.service, 0.6) == {"north-a", "north-b"}


def test_domain_that_does_not_answer_counts_as_ready():
    parts = Parts(told=None)
    parts.ask_homes()
    assert parts.board.avoided(parts.service, 0.6) == {"north-a"}


def test_others_are_asked_only_while_this_domain_is_not_ready():
    parts = Parts(told=Readiness({}))
    parts.adopt()
    parts.ask_homes()
    assert parts.links.calls == []
    parts.ledger.drop_all()
    parts.clock.time += SHARE_CACHE_TTL_SECONDS
    parts.ask_homes()
    assert [host for host, _ in parts.links.calls] == [NEAR]
