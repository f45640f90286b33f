"""Tests of what VMs tell each other about slow machines, also after failures."""

import msgpack
import pytest
from curio import run

from heathercleat.events import Event
from heathercleat.steering.process.capacity.machine_speed import REPORTED_TTL_SECONDS
from heathercleat.steering.process.capacity.owned_target import OwnedTarget
from heathercleat.steering.process.capacity.speed_reports import (
    MAX_REPORT_DELAY_SECONDS,
    SpeedReports,
)
from heathercleat.steering.process.membership.extensions import MAX_REPORT_BYTES
from heathercleat.steering.request.attempt_result import TargetResponseHead
from standins.speed_simulation import PeerLedger
from standins.steering_fleet import SteeringFleet
from tests.platform_samples import config
from tests.steering_parts import call, entry, make_heartbeat
from tests.test_steer import SteeringSetup, answered


class Exchange:
    """vm-3 owns targets in the south and reports them to this VM."""

    def __init__(self, count=2):
        self.entries = [
            entry(f"target-{each:04}", domain="south-a", slots=4, started_ms=5)
            for each in range(count)
        ]
        near = [entry("near", slots=4)]
        self.setup = SteeringSetup([], [*near, *self.entries], [answered()])
        self.parts = parts = self.setup.parts
        self.clock, self.reports = parts.clock, self.setup.reports
        parts.members.record_heartbeat(
            make_heartbeat("vm-3", domain="south-a", region="south")
        )
        self.owned = [
            OwnedTarget(each, None, 0.0, parts.held, parts.notices)
            for each in self.entries
        ]
        ledger = PeerLedger(self.owned)
        self.sender = SpeedReports(ledger, self.reports, parts.registry, self.clock)
        self.receiver = SpeedReports(
            parts.ledger, self.reports, parts.registry, self.clock
        )

    def respond(self, target, slowdown):
        head = TargetResponseHead()
        head.slowdown = slowdown
        target.record_response(head, self.clock.now())

    def send(self):
        self.slowdowns()
        self.receiver.merge("vm-3", self.sender.report())

    def slowdowns(self):
        """Return what this VM knows of the targets of other VMs."""
        now = self.clock.now()
        return {
            each.entry.id: each.capacity.slowdown(now)
            for each in self.setup.view.regions("s1")["south"].candidates
        }


@pytest.fixture
def exchange():
    made = Exchange()
    made.respond(made.owned[0], 2.5)
    return made


def test_report_has_the_slow_targets_and_their_age(exchange):
    exchange.clock.time += 0.1
    exchange.send()
    expected = exchange.owned[0].slowdown(exchange.clock.now())
    assert 1.5 < expected < 2.5
    assert exchange.slowdowns() == {
        "target-0000": pytest.approx(expected, abs=0.02),
        "target-0001": 1.0,
    }


def test_target_that_is_no_longer_reported_is_not_slow(exchange):
    exchange.send()
    exchange.respond(exchange.owned[0], 1.0)
    assert exchange.sender.report() == []
    exchange.clock.time += MAX_REPORT_DELAY_SECONDS + 0.01
    assert max(exchange.slowdowns().values()) > 1.0
    exchange.send()
    assert set(exchange.slowdowns().values()) == {1.0}


def test_report_that_crosses_a_newer_response_ends_no_slow_period(exchange):
    exchange.send()
    exchange.clock.time += MAX_REPORT_DELAY_SECONDS / 2
    slow = exchange.slowdowns()
    exchange.receiver.merge("vm-3", [])
    assert exchange.slowdowns() == slow and max(slow.values()) > 1.0


def test_nothing_is_sent_unless_targets_report_their_speed(exchange):
    exchange.clock.time += REPORTED_TTL_SECONDS
    assert exchange.sender.report() is None
    assert exchange.receiver.report() is None


def test_lost_reports_and_a_suspended_vm_leave_no_slow_target(exchange):
    exchange.send()
    exchange.clock.time += 0.6
    assert set(exchange.slowdowns().values()) == {1.0}


def test_newer_response_is_kept(exchange):
    exchange.slowdowns()
    exchange.clock.time += 0.1
    report = exchange.sender.report()
    exchange.reports.record_slowdown("target-0000", "vm-3", 1.0)
    exchange.clock.time += 0.05
    exchange.receiver.merge("vm-3", report)
    assert exchange.slowdowns()["target-0000"] == 1.0


@pytest.mark.parametrize("knows_restart", [True, False])
def test_restarted_target_is_not_slow(exchange, knows_restart):
    """Neither by its earlier value, nor by a report on its earlier incarnation."""
    exchange.send()
    assert exchange.slowdowns()["target-0000"] > 1.0
    restarted = entry("target-0000", domain="south-a", slots=4, started_ms=6)
    exchange.parts.registry.update([restarted], [])
    if not knows_restart:
        exchange.send()
    assert exchange.slowdowns()["target-0000"] == 1.0


def test_next_owner_learns_the_value_with_the_next_response(exchange):
    exchange.send()
    leaving = make_heartbeat("vm-3", domain="south-a", region="south", serving=False)
    exchange.parts.members.record_heartbeat(leaving)
    exchange.reports.retain(set())
    assert set(exchange.slowdowns().values()) == {1.0}
    exchange.respond(exchange.parts.ledger.get("target-0000"), 2.5)
    assert exchange.slowdowns()["target-0000"] == 2.5
    exchange.receiver.merge("vm-3", exchange.sender.report())
    assert exchange.reports.owners() == []


@pytest.mark.parametrize(
    "report",
    [
        {"a": 1},
        [["target-0000"]],
        [["target-0000", 5, 250, 0, 10_000]],
        [["target-0000", 5, 20, 0, 100]],
        [["target-0000", 5, 10**9, 0, 100]],
        [["target-0000", 5, 250, -1, 100]],
        [["target-0000", 5, "x", 0, 100]],
        [["target-0000", 5, 250, 0, float("nan")]],
    ],
)
def test_malformed_report_changes_nothing(exchange, report):
    exchange.send()
    with pytest.raises((ValueError, TypeError)):
        exchange.receiver.merge("vm-3", report)
    assert exchange.slowdowns()["target-0000"] > 1.0


def test_report_of_many_slow_targets_fits_in_a_heartbeat():
    """A longer one is not sent at all."""
    exchange = Exchange(count=100)
    for each in exchange.owned:
        exchange.respond(each, 2.5)
    report = exchange.sender.report()
    assert len(report) >= 25
    assert len(msgpack.packb(report)) <= MAX_REPORT_BYTES


def test_speed_is_read_from_a_forwarded_response(exchange):
    response = answered(target="target-0000")
    response.response.headers.append((b"server-load", b"1,0,4,250"))
    exchange.setup.forward.results = [response]
    exchange.slowdowns()
    exchange.setup.parts.ledger.get("near").entry.draining = True
    exchange.reports.record_report("vm-3", [["target-0000", 4, 4, 0]], [], [])
    for target in exchange.parts.ledger.all():
        while target.free(exchange.clock.now()):
            target.claim(exchange.clock.now())
    run(exchange.setup.steering.run, call(exchange.clock))
    assert exchange.slowdowns()["target-0000"] > 1.0


DOMAINS = {"north-a": "north", "north-b": "north"}
TARGETS = {"i-1": ("s1", "north-a", 4), "i-2": ("s1", "north-a", 4)}


def test_slow_target_gets_fewer_requests_of_a_vm_that_does_not_own_it():
    """From the header of a response to the decision of another VM, by processes."""
    vms = dict.fromkeys(DOMAINS, 1)
    with SteeringFleet(config(), DOMAINS, vms, TARGETS, subnet=46) as fleet:
        fleet.switch_target("i-1", work_s=0.05, slowdown=400)
        fleet.switch_target("i-2", work_s=0.05, slowdown=100)
        sender = fleet.vms["north-b-1"]
        for number in range(60):
            status, *_ = fleet.send(sender, "GET", "/one/two/x", f"q{number}")
            assert status == 200
        counts = {each: len(fleet.record(each)["runs"]) for each in TARGETS}
        events = {line["event"] for line in fleet.log(sender)}
        owner_events = {line["event"] for line in fleet.log(fleet.vms["north-a-1"])}
    assert counts["i-1"] <= 0.5 * counts["i-2"]
    assert Event.MACHINE_AVOIDED.number in events
    assert Event.MACHINE_SLOW.number in owner_events
