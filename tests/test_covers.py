"""Tests of occupancy bounds: how long slots are held for requests of earlier homes."""

import signal
import time

import pytest
from curio import run

from heathercleat import HeathercleatError, ResultCode
from heathercleat.connection.messages import Accepted, OccupancyNotice
from heathercleat.process.capacity.occupancy import (
    MAX_UNANNOUNCED_SECONDS,
    OccupancyBound,
    OccupancyPublisher,
    OccupancyRecords,
    occupied_until,
)
from heathercleat.process.membership.heartbeats import Heartbeats
from heathercleat.process.membership.membership import SETTLE_SECONDS, Membership
from standins.fleet import Fleet, wait_for
from standins.load import Load
from tests.fakes import FakeLinks, FakeVm, ManualClock
from tests.test_members import heartbeat, record

LONG_TIMEOUT_MS = 20_000
WORK_SECONDS = 6.0
SLOTS = 2


class LongService:
    longest_timeout = 60.0


def make_parts(respond=lambda host, item: Accepted()):
    vm, clock = FakeVm(), ManualClock()
    links = FakeLinks(respond)
    membership = Membership(vm, links, clock)
    clock.time += SETTLE_SECONDS
    membership.record_tick()
    membership.apply_record(record())
    return links, clock, membership, OccupancyPublisher(vm, membership, links, clock)


def make_bound(until, has_exited=False, home="north-a-2"):
    return OccupancyBound("t", home, until, has_exited)


def bounds_sent(links):
    return [item.covers for _, item in links.calls if isinstance(item, OccupancyNotice)]


def test_short_requests_need_no_occupancy_bound():
    links, clock, _, publisher = make_parts()
    run(publisher.ensure_announced, "t", clock.time + MAX_UNANNOUNCED_SECONDS)
    assert not links.calls


def test_bound_of_long_requests_is_announced_once_for_a_while():
    links, clock, _, publisher = make_parts()
    run(publisher.ensure_announced, "t", clock.time + 10)
    run(publisher.ensure_announced, "t", clock.time + 11)
    assert len(bounds_sent(links)) == 1
    assert bounds_sent(links)[0]["t"][0] >= clock.time + 11
    run(publisher.ensure_announced, "t", clock.time + 60)
    assert len(bounds_sent(links)) == 2


def test_long_request_is_refused_if_a_monitor_does_not_acknowledge():
    _, clock, _, publisher = make_parts(lambda host, item: None)
    with pytest.raises(HeathercleatError) as caught:
        run(publisher.ensure_announced, "t", clock.time + 10)
    assert caught.value.code is ResultCode.NO_ROOM


def test_restarted_monitor_receives_the_bounds_again():
    links, clock, membership, publisher = make_parts()
    run(publisher.ensure_announced, "t", clock.time + 10)
    membership.apply_record(record(incarnation=2))
    run(publisher.ensure_announced, "t", clock.time + 10)
    assert len(bounds_sent(links)) == 2


def test_only_a_monitor_in_contact_until_the_home_failed_reports_bounds():
    _, clock, membership, _ = make_parts()
    records = OccupancyRecords(membership, clock)
    records.record("north-a-2", 1, {"t": [150.0, 0.0]})
    assert list(records.bounds_for(["t"])) == []
    membership.record_heartbeat(heartbeat())
    clock.time += 2.0
    membership.apply_record(record(state="dead"))
    assert list(records.bounds_for(["t", "u"])) == [make_bound(150.0)]
    records.clear()
    assert list(records.bounds_for(["t"])) == []


def test_monitor_that_lost_contact_earlier_reports_no_bounds():
    _, clock, membership, _ = make_parts()
    records = OccupancyRecords(membership, clock)
    records.record("north-a-2", 1, {"t": [150.0, 0.0]})
    membership.record_heartbeat(heartbeat())
    clock.time += 60.0
    membership.apply_record(record(state="dead"))
    assert list(records.bounds_for(["t"])) == []


def test_bounds_of_an_incarnation_replaced_by_a_restart_are_reported():
    _, clock, membership, _ = make_parts()
    records = OccupancyRecords(membership, clock)
    records.record("north-a-2", 1, {"t": [150.0, 0.0]})
    membership.record_heartbeat(heartbeat())
    clock.time += 1.0
    membership.record_heartbeat(heartbeat(incarnation=2))
    assert list(records.bounds_for(["t"])) == [make_bound(150.0)]


@pytest.mark.parametrize(
    ("bounds", "seconds"),
    [
        ([], 60.0),
        ([make_bound(0.0)], MAX_UNANNOUNCED_SECONDS),
        ([make_bound(130.0)], 30.0),
        ([make_bound(999.0)], 60.0),
        ([make_bound(0.0, has_exited=True)], 0.0),
        ([make_bound(130.0), make_bound(101.0, has_exited=True)], 1.0),
        (
            [make_bound(0.0, has_exited=True), make_bound(0.0, home="north-a-3")],
            MAX_UNANNOUNCED_SECONDS,
        ),
    ],
)
def test_occupied_until(bounds, seconds):
    clock = ManualClock()
    assert occupied_until(clock, LongService, bounds) == clock.time + seconds


def record_home_exit(membership, clock):
    """Record that the process of a home was found to have exited."""
    membership.record_heartbeat(heartbeat())
    member = membership.members["north-a-2"]
    run(Heartbeats(None, membership, FakeLinks(), clock).record_exit, member)


def test_requests_of_an_exited_home_are_not_waited_for():
    _, clock, membership, _ = make_parts()
    records = OccupancyRecords(membership, clock)
    records.record("north-a-2", 1, {"t": [150.0, 110.0]})
    record_home_exit(membership, clock)
    assert list(records.bounds_for(["t"])) == [make_bound(110.0, has_exited=True)]


def test_exited_home_does_not_shorten_the_bound_while_another_may_run():
    _, clock, membership, _ = make_parts()
    records = OccupancyRecords(membership, clock)
    records.record("north-a-2", 1, {"t": [150.0, 110.0]})
    membership.apply_record(record(vm="north-a-3", state="dead"))
    record_home_exit(membership, clock)
    assert list(records.bounds_for(["t"])) == [make_bound(150.0)]


def test_notice_lists_bounds_of_earlier_homes_separately():
    links, clock, _, publisher = make_parts()
    run(publisher.update, {"t": 103.0})
    run(publisher.ensure_announced, "t", clock.time + 10)
    assert bounds_sent(links)[-1]["t"] == [clock.time + 15, 103.0]


def long_text():
    kind = {
        "kind": "upload",
        "method": "PUT",
        "path": "/",
        "run": "upload",
        "timeout_ms": LONG_TIMEOUT_MS,
    }
    targets = {
        f"long-{number}": {"failure_domain": "north-a", "slots": SLOTS}
        for number in range(2)
    }
    return {
        "regions": {"north": {"failure_domains": ["north-a"]}},
        "services": {"intake": {"requests": [kind], "targets": targets}},
    }


@pytest.fixture
def fleet():
    with Fleet(long_text(), {"north-a": 2}, subnet=35) as running:
        wait_for(lambda: running.free_slots() == 2 * SLOTS, seconds=30)
        time.sleep(0.5)
        yield running


def test_idle_targets_of_a_killed_home_are_free_before_the_longest_timeout(fleet):
    home, _ = fleet.vms_by_target_count()
    home.process.kill()
    wait_for(lambda: fleet.free_slots() == 2 * SLOTS, seconds=8)


def test_idle_targets_of_a_restarted_home_are_free_before_the_longest_timeout(fleet):
    home, _ = fleet.vms_by_target_count()
    home.process.kill()
    home.process.wait()
    fleet.start_vm(home)
    wait_for(lambda: fleet.version(home) == 1)
    wait_for(lambda: fleet.free_slots() == 2 * SLOTS, seconds=8)


def test_long_requests_of_a_paused_home_are_waited_for(fleet):
    home, other = fleet.vms_by_target_count()
    for name in fleet.targets:
        fleet.switch_target(name, service_s=WORK_SECONDS, cancel_s=0.1)
    hosts = [vm.host for vm in fleet.vms.values()]

    def make_request(number):
        return "PUT", f"/{number}", b"data", {}

    def in_flight():
        return sum(fleet.record(name)["in_flight"] for name in fleet.targets)

    with Load(hosts, "intake", rate=10, make=make_request, timeout=8.0):
        wait_for(lambda: in_flight() == 2 * SLOTS)
        home.process.send_signal(signal.SIGSTOP)
        wait_for(lambda: len(fleet.status(other)["targets"]) == 2)
        time.sleep(WORK_SECONDS)
        home.process.send_signal(signal.SIGCONT)
        time.sleep(WORK_SECONDS / 2)
    assert sum(fleet.record(name)["over"] for name in fleet.targets) == 0
