"""Tests that leased slots are kept at peak use and unused ones are returned."""

import json

import pytest
from curio import run, sleep, spawn

from heathercleat import parse_text
from heathercleat.connection.messages import Accepted, LeaseGrant, LeaseReturn
from heathercleat.process.capacity.leases import (
    IDLE_AFTER_SECONDS,
    HeldLease,
    LeaseHolder,
)
from heathercleat.process.capacity.slots import SlotLedger
from heathercleat.process.clock import SystemClock
from heathercleat.process.configuration.platform import VmEntry, VmList
from heathercleat.process.membership.directory import Directory
from heathercleat.version.text import Drain, DrainScope
from tests.fakes import FakeLinks, FakeVm, ManualClock
from tests.test_slots import HOME, make_target
from tests.test_text import make_text

GRANTED = 3


def make_lease(slots=GRANTED):
    return HeldLease(
        1, "lookup", "t2", "vm", "127.0.0.2", "north-b", slots, 200, 0, 100
    )


@pytest.mark.parametrize(
    ("taken", "released", "slots_left"), [(0, 0, 0), (2, 0, 2), (2, 2, 2), (3, 1, 3)]
)
def test_lease_keeps_the_peak_of_slots_in_use(taken, released, slots_left):
    lease = make_lease()
    for _ in range(taken):
        lease.claim()
    lease.in_use -= released
    assert lease.shrink_to_peak(100 + IDLE_AFTER_SECONDS) is (slots_left < GRANTED)
    assert lease.slots == slots_left


def test_next_interval_starts_from_slots_in_use():
    lease = make_lease()
    lease.claim()
    lease.claim()
    lease.in_use -= 1
    lease.shrink_to_peak(101)
    assert lease.shrink_to_peak(102)
    assert lease.slots == 1


def test_home_can_use_returned_slots():
    clock = ManualClock()
    ledger = SlotLedger(clock)
    entry = ledger.adopt(make_target(cap=None), [])
    lease = ledger.grant(entry, "vm", HOME, 4, clock.time + 1)
    ledger.claim_leased(lease.id, clock.time + 1)
    assert entry.free(clock.time) == 0
    ledger.return_lease(lease.id, 1)
    assert entry.free(clock.time) == 3
    assert ledger.claim_leased(lease.id, clock.time + 1) is None


def make_holder(responses):
    """Return a lease holder whose peers send the listed responses, then accept all."""
    vm, clock = FakeVm(), SystemClock()
    vm.text = parse_text(json.dumps(make_text()))
    vm.local_homes = lambda service: []
    directory = Directory()
    directory.adopt(VmList(1, (VmEntry("vm", "127.0.0.2", "north-b", False),)))
    links = FakeLinks(lambda host, item: responses.pop(0) if responses else Accepted())
    return vm.text.services["lookup"], links, LeaseHolder(vm, links, directory, clock)


async def wait_until(condition):
    """Wait for a condition, without a time limit."""
    while not condition():
        await sleep(0.01)


def test_unused_slots_are_returned_and_used_ones_kept():
    expires_at = SystemClock().wall() + 600
    grant = LeaseGrant(7, "t2", GRANTED, expires_at, 0.0)
    service, links, holder = make_holder([grant])

    def returned():
        return [item for _, item in links.calls if isinstance(item, LeaseReturn)]

    async def act():
        await holder.request_leases(service, GRANTED)
        await wait_until(lambda: holder.leases_for("lookup"))
        lease = holder.claim("lookup", (), 1.0)
        loop = await spawn(holder.run, daemon=True)
        await wait_until(returned)
        assert returned() == [LeaseReturn(7, 1)]
        holder.release(lease)
        await wait_until(lambda: len(returned()) == 2)
        await loop.cancel()

    run(act)
    assert returned()[-1] == LeaseReturn(7, 0)
    assert holder.leases_for("lookup") == []


def test_vm_that_takes_over_from_a_drained_one_is_asked_for_leases():
    service, links, holder = make_holder([])
    entries = [
        VmEntry(f"vm-{number}", f"127.0.0.{number}", "north-b", False)
        for number in (2, 3)
    ]
    holder._directory.adopt(VmList(2, tuple(entries)))
    placement = holder._vm.text.placement
    (home,) = holder._directory.assigned_homes("north-b", placement, service)
    (other,) = [entry for entry in entries if entry != home]
    holder._vm.text.drains["d"] = Drain("d", DrainScope.VM, home.name, 0.0)
    run(holder.request_leases, service, 1)
    assert [host for host, _ in links.calls] == [other.host]
