"""Tests of the failure detector and of the right of a VM to act as a home."""

from math import ceil

import pytest
from curio import run

from heathercleat.connection.messages import Heartbeat, HeartbeatAck, MemberRecord
from heathercleat.process.membership.heartbeats import Heartbeats
from heathercleat.process.membership.member import (
    DEAD_AFTER_SECONDS,
    HOME_LEASE_SECONDS,
)
from heathercleat.process.membership.membership import (
    PAUSE_GAP_SECONDS,
    SETTLE_SECONDS,
    Membership,
)
from tests.fakes import FakeLinks, FakeVm, ManualClock


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def vm():
    return FakeVm()


def acknowledge(host, item):
    if isinstance(item, Heartbeat):
        return HeartbeatAck(item.sequence, False, 0, 0, 0)
    return None


def make_membership(vm, clock, respond=acknowledge):
    membership = Membership(vm, FakeLinks(respond), clock)
    clock.time += SETTLE_SECONDS
    tick(membership)
    return membership


def make_heartbeats(vm, membership, clock):
    return Heartbeats(vm, membership, FakeLinks(acknowledge), clock)


def tick(membership):
    membership.record_tick()


def record(vm="north-a-2", incarnation=1, state="live"):
    return MemberRecord(vm, "127.0.0.2", "north-a", incarnation, state)


def heartbeat(vm="north-a-2", incarnation=1):
    return Heartbeat(vm, incarnation, 1, 0, 0, 0)


def send_heartbeat(vm, membership, clock):
    run(make_heartbeats(vm, membership, clock).send, "north-a-2", "127.0.0.2")


def test_single_vm_may_act_after_the_settle_time(vm, clock):
    membership = Membership(vm, FakeLinks(), clock)
    assert not membership.may_act_as_home()
    clock.time += SETTLE_SECONDS
    tick(membership)
    assert membership.may_act_as_home()


def test_right_to_act_expires_without_acknowledgements(vm, clock):
    membership = make_membership(vm, clock)
    membership.apply_record(record())
    send_heartbeat(vm, membership, clock)
    assert membership.may_act_as_home()
    for _ in range(5):
        clock.time += HOME_LEASE_SECONDS / 4
        tick(membership)
    assert not membership.may_act_as_home()


def test_paused_vm_may_not_act_before_it_settles_again(vm, clock):
    membership = make_membership(vm, clock)
    dropped = []
    membership.on_new_incarnation(lambda: dropped.append(True))
    clock.time += DEAD_AFTER_SECONDS
    assert not membership.may_act_as_home()
    tick(membership)
    assert dropped
    assert vm.incarnation == 2
    assert not membership.may_act_as_home()


def test_home_lease_expires_before_a_monitor_declares_death():
    assert HOME_LEASE_SECONDS < DEAD_AFTER_SECONDS


def test_silent_member_is_declared_dead_after_the_timeout(vm, clock):
    membership = make_membership(vm, clock)
    membership.apply_record(record())

    def live_after(seconds):
        clock.time += seconds
        tick(membership)
        run(make_heartbeats(vm, membership, clock).detect_failures)
        return membership.live_names()

    assert "north-a-2" in live_after(0.7)
    assert "north-a-2" in live_after(0.7)
    assert "north-a-2" not in live_after(0.2)


def test_pause_of_the_monitor_restarts_its_observation(vm, clock):
    membership = make_membership(vm, clock)
    membership.apply_record(record())
    clock.time += 10
    tick(membership)
    clock.time += SETTLE_SECONDS
    tick(membership)
    run(make_heartbeats(vm, membership, clock).detect_failures)
    assert "north-a-2" in membership.live_names()


def test_monitor_that_stalls_often_still_declares_a_silent_member_dead(vm, clock):
    membership = make_membership(vm, clock)
    membership.apply_record(record())
    for _ in range(1 + ceil(DEAD_AFTER_SECONDS / SETTLE_SECONDS)):
        clock.time += 2 * PAUSE_GAP_SECONDS
        tick(membership)
        for _ in range(2):
            clock.time += SETTLE_SECONDS / 2
            tick(membership)
            run(make_heartbeats(vm, membership, clock).detect_failures)
    assert "north-a-2" not in membership.live_names()


def test_record_of_the_death_of_this_vm_is_refuted(vm, clock):
    membership = make_membership(vm, clock)
    membership.apply_record(record(vm="north-a-1", incarnation=1, state="dead"))
    assert vm.incarnation == 2
    assert "north-a-1" in membership.live_names()


@pytest.mark.parametrize(
    ("incarnation", "state", "live"),
    [(1, "live", False), (0, "live", False), (2, "live", True), (1, "leaving", False)],
)
def test_only_a_later_incarnation_is_live_after_a_death(
    vm, clock, incarnation, state, live
):
    membership = make_membership(vm, clock)
    membership.apply_record(record(state="dead"))
    membership.apply_record(record(incarnation=incarnation, state=state))
    assert ("north-a-2" in membership.live_names()) is live


def test_heartbeat_ack_reports_a_dead_incarnation(vm, clock):
    membership = make_membership(vm, clock)
    membership.apply_record(record(state="dead"))
    assert membership.record_heartbeat(heartbeat()) is True
    assert membership.record_heartbeat(heartbeat(incarnation=2)) is False
    assert "north-a-2" in membership.live_names()


def test_heartbeats_go_to_at_most_three_monitors(vm, clock):
    membership = make_membership(vm, clock)
    for number in range(2, 165):
        membership.apply_record(record(vm=f"north-a-{number}"))
    assert len(membership.monitors()) == 3
