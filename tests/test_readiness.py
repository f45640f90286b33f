"""Tests that callers avoid a failure domain until its homes can serve them."""

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
from heathercleat.request.lookup import _select_vms
from heathercleat.version.text import Drain, DrainScope
from tests.fakes import FakeLinks, FakeVm, ManualClock
from tests.test_text import make_text

SLOTS = 8
MANY_VMS = 9
NEIGHBOR = "127.0.0.2"


def make_service_text():
    """Return a text with one target in this failure domain and one in the next."""
    text = make_text()
    targets = text["services"]["lookup"]["targets"]
    for target in targets.values():
        target["slots"] = SLOTS
    return parse_text(json.dumps(text))


class Parts:
    """A VM that is the home of one target, with a VM in the next failure domain."""

    def __init__(self, peer_response=None):
        self.clock = ManualClock()
        self.links = FakeLinks(lambda host, item: peer_response)
        self.vm = vm = FakeVm()
        vm.text = make_service_text()
        vm.version = 1
        vm.vm_directory = Directory()
        entries = (
            VmEntry(vm.name, "127.0.0.1", "north-a", False),
            VmEntry("north-b-1", NEIGHBOR, "north-b", False),
        )
        vm.vm_directory.adopt(VmList(1, entries))
        self.ledger = SlotLedger(self.clock)
        self.membership = Membership(vm, self.links, self.clock)
        self.clock.time += SETTLE_SECONDS
        self.membership.record_tick()
        vm.homes = HomeManager(
            vm, self.membership, self.ledger, self.links, None, None, self.clock
        )
        self.tracker = ReadinessTracker(
            vm, self.ledger, self.membership, self.links, self.clock
        )
        self.service = vm.text.services["lookup"]

    def adopt(self, held=0):
        target = self.service.targets["t1"]
        self.ledger.adopt(target, [Hold(self.clock.time + 5.0)] * held)

    def poll_homes(self):
        run(self.tracker._poll_homes)
        self.clock.time += SHARE_CACHE_TTL_SECONDS


@pytest.mark.parametrize(
    ("held", "share"), [(0, 1), (SLOTS // 2, 1), (6, 0.5), (7, 0.25), (SLOTS, 0)]
)
def test_share_falls_with_the_slots_that_earlier_requests_hold(held, share):
    parts = Parts()
    parts.adopt(held)
    assert parts.tracker.ready_share(parts.service) == pytest.approx(share)


def test_share_recovers_as_the_holds_expire():
    parts = Parts()
    parts.adopt(SLOTS)
    assert parts.tracker.ready_share(parts.service) == 0
    parts.clock.time += 5.1
    parts.membership.record_tick()
    parts.clock.time += SETTLE_SECONDS
    parts.membership.record_tick()
    assert parts.tracker.ready_share(parts.service) == 1


def test_target_that_is_not_adopted_yet_is_not_ready():
    parts = Parts()
    assert parts.tracker.ready_share(parts.service) == 0


def test_vm_without_a_home_in_its_domain_sends_callers_elsewhere():
    parts = Parts(peer_response=Readiness({"lookup": SLOTS}))
    here = parts.vm.settings.failure_domain
    for number in range(2, MANY_VMS):
        host = f"127.0.1.{number}"
        record = MemberRecord(f"{here}-{number}", host, here, 0, "live")
        parts.membership.apply_record(record)
    assert not parts.vm.homes.desired()
    assert parts.tracker.ready_share(parts.service) == 0
    parts.poll_homes()
    assert parts.tracker.ready_share(parts.service) == 1


def test_lookups_wait_for_the_first_poll_of_homes():
    parts = Parts()

    async def act():
        waiting = await spawn(parts.tracker.wait_for_first_poll)
        await sleep(0)
        assert not waiting.terminated
        await parts.tracker._poll_homes()
        await waiting.join()

    run(act)


@pytest.mark.parametrize(("avoided", "has_weight"), [((), True), (("north-b",), False)])
def test_vm_of_an_avoided_domain_gets_no_weight(avoided, has_weight):
    domains = [
        DomainVms(name, [(VmEntry(f"{name}-1", NEIGHBOR, name, False), SLOTS)], [SLOTS])
        for name in ("north-a", "north-b")
    ]
    (_, first), (_, other) = _select_vms(domains, avoided)
    assert first == SLOTS
    assert bool(other) is has_weight


def test_vm_that_takes_over_from_a_drained_one_is_polled():
    parts = Parts(peer_response=Readiness({"lookup": SLOTS}))
    entries = [
        VmEntry(f"north-b-{number}", f"127.0.0.{number}", "north-b", False)
        for number in (2, 3)
    ]
    parts.vm.vm_directory.adopt(VmList(2, tuple(entries)))
    placement, drains = parts.vm.text.placement, parts.vm.text.drains
    directory = parts.vm.vm_directory
    (home,) = directory.assigned_homes("north-b", placement, parts.service)
    (other,) = [entry for entry in entries if entry != home]
    drains["d"] = Drain("d", DrainScope.VM, home.name, 0.0)
    parts.poll_homes()
    assert [host for host, _ in parts.links.calls] == [other.host]


def test_drained_targets_do_not_reduce_the_share():
    parts = Parts()
    parts.vm.text.drains["d"] = Drain("d", DrainScope.TARGET, "t1", 0.0)
    assert parts.tracker.ready_share(parts.service) == 1


def test_callers_beyond_the_share_avoid_the_domain():
    parts = Parts(peer_response=Readiness({"lookup": SLOTS}))
    parts.adopt(held=6)
    parts.poll_homes()
    assert parts.tracker.avoided_domains(parts.service, 0.4) == frozenset()
    assert parts.tracker.avoided_domains(parts.service, 0.6) == {"north-a"}


def test_short_handover_does_not_divert_callers():
    parts = Parts()
    parts.adopt()
    assert parts.tracker.ready_share(parts.service) == 1
    parts.ledger.drop_all()
    parts.clock.time += DIVERT_DELAY_SECONDS - 0.1
    assert parts.tracker.avoided_domains(parts.service, 0.6) == frozenset()
    parts.clock.time += 0.2
    assert parts.tracker.avoided_domains(parts.service, 0.6) == {"north-a"}


def test_other_unready_domain_is_avoided_too():
    parts = Parts(peer_response=Readiness({"lookup": 0}))
    parts.poll_homes()
    assert parts.tracker.avoided_domains(parts.service, 0.6) == {"north-a", "north-b"}


def test_unresponsive_domain_counts_as_ready():
    parts = Parts(peer_response=None)
    parts.poll_homes()
    assert parts.tracker.avoided_domains(parts.service, 0.6) == {"north-a"}


def test_other_domains_are_polled_only_while_this_one_is_unready():
    parts = Parts(peer_response=Readiness({}))
    parts.adopt()
    parts.poll_homes()
    assert parts.links.calls == []
    parts.ledger.drop_all()
    parts.clock.time += SHARE_CACHE_TTL_SECONDS
    parts.poll_homes()
    assert [host for host, _ in parts.links.calls] == [NEIGHBOR]
