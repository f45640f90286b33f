"""VMs that are partitioned from all targets, while clients and other VMs reach them."""

import threading
import time

import pytest
from curio import run

from heathercleat.steering.process.capacity.crash_detector import CrashDetector
from heathercleat.steering.process.capacity.reachability import (
    CHECK_INTERVAL_SECONDS,
    CHECKED_TARGETS,
    TargetReachability,
)
from standins.fleet import wait_for
from standins.partition import PartitionMode
from standins.steering_fleet import SteeringFleet
from tests.platform_samples import config
from tests.steering_parts import Parts, entry, make_heartbeat

DOMAINS = {"north-a": "north", "north-b": "north", "south-a": "south"}
VMS = {"north-a": 2, "north-b": 1, "south-a": 1}
TARGETS = {
    f"i-{number}": ("s1", domain, 4)
    for number, domain in enumerate([*DOMAINS, *DOMAINS, *DOMAINS], 1)
}
#: Seconds after the start of a partition in which requests may fail.
DETECTION_SECONDS = 3.0
MEASURED_SECONDS = 3.0
CLIENTS_PER_VM = 2
#: Minimum share of the requests at a partitioned VM that are served.
MIN_SERVED_SHARE = 0.95


@pytest.fixture
def fleet():
    with SteeringFleet(config(), DOMAINS, VMS, TARGETS, subnet=45) as started:
        for each in TARGETS:
            started.switch_target(each, work_s=0.03)
        yield started


class Clients:
    """Clients that send requests to a few VMs.

    :ivar statuses: pairs of the instant at which a request was sent and its status.
    """

    def __init__(self, fleet, vms):
        self._fleet = fleet
        self._vms = vms
        self.statuses = []

    def run(self, seconds):
        ends_at = time.monotonic() + seconds
        threads = [
            threading.Thread(target=self._send, args=(vm, number, ends_at))
            for vm in self._vms
            for number in range(CLIENTS_PER_VM)
        ]
        for each in threads:
            each.start()
        for each in threads:
            each.join()

    def _send(self, vm, number, ends_at):
        while (now := time.monotonic()) < ends_at:
            request_id = f"q{vm.name}.{number}.{now}"
            path, body = ("/one/two/x", None) if number % 2 else ("/one/x", b"b")
            method = "GET" if body is None else "POST"
            status = self._fleet.send(vm, method, path, request_id, body)[0]
            self.statuses.append((now, status))

    def served_share(self, since):
        statuses = [status for at, status in self.statuses if at >= since]
        return statuses.count(200) / len(statuses)


def vms_of(fleet, *domains):
    return [vm for vm in fleet.vms.values() if vm.domain in domains]


@pytest.mark.parametrize("mode", PartitionMode)
@pytest.mark.parametrize("domains", [["north-b"], ["north-a", "north-b"]])
def test_partitioned_vms_serve_their_clients(fleet, mode, domains):
    config_without_split(fleet)
    partitioned = vms_of(fleet, *domains)
    clients = Clients(fleet, partitioned)
    clients.run(1.0)
    for vm in partitioned:
        fleet.partition_vm(vm, mode)
    since = time.monotonic() + DETECTION_SECONDS
    clients.run(DETECTION_SECONDS + MEASURED_SECONDS)
    assert clients.served_share(since) >= MIN_SERVED_SHARE
    for vm in partitioned:
        fleet.partition_vm(vm, None)
    for vm in partitioned:
        wait_for(lambda vm=vm: last_reachability_event(fleet, vm) != UNREACHABLE)


UNREACHABLE, REACHABLE = "targets_unreachable", "targets_reachable"
EVENTS = UNREACHABLE, REACHABLE


def last_reachability_event(fleet, vm):
    """Return the last event, ``None`` if connections that live on were enough."""
    names = [line["name"] for line in fleet.log(vm)]
    return next((each for each in reversed(names) if each in EVENTS), None)


def config_without_split(fleet):
    """Let both routes go to the one service with targets, in any region."""
    document = config("r8")
    for path in document["hosts"][0]["paths"]:
        path.pop("trafficSplit", None)
        path.update(service="s1", allowedRegions=[])
    fleet.put("op", "config", document)
    time.sleep(2.0)


def test_request_of_a_partitioned_vm_is_not_quarantined(fleet):
    config_without_split(fleet)
    (vm,) = vms_of(fleet, "north-b")
    clients = Clients(fleet, [vm])
    clients.run(1.0)
    for _ in range(3):
        fleet.partition_vm(vm, PartitionMode.RESET)
        clients.run(1.0)
        fleet.partition_vm(vm, None)
        clients.run(1.0)
    assert "target_ended" not in [line["name"] for line in fleet.log(vm)]


class ScriptedPool:
    """A pool whose connections to some hosts fail."""

    def __init__(self):
        self.failing = set()
        self.opened = []

    async def checkout(self, host, port, fresh=False):
        self.opened.append(port)
        if port in self.failing:
            raise ConnectionRefusedError
        return None

    async def discard(self, host, port, stream):
        return None


class ReachabilityParts(Parts):
    """A VM with targets at ports of their own."""

    def __init__(self, target_count):
        entries = [entry(f"t{number}") for number in range(target_count)]
        for number, each in enumerate(entries):
            each.port = number
        super().__init__(entries)
        self.pool = ScriptedPool()
        self.reachability = TargetReachability(
            self.registry, self.members, self.pool, self.journal, self.clock
        )

    def check(self):
        self.clock.time += CHECK_INTERVAL_SECONDS
        return run(self.reachability.is_any_reachable)


@pytest.mark.parametrize("target_count", [1, CHECKED_TARGETS, 30])
def test_vm_that_reaches_no_target_owns_none_until_it_does(target_count):
    parts = ReachabilityParts(target_count)
    parts.members.record_heartbeat(make_heartbeat("vm-2"))
    owned = parts.owners.owned()
    parts.pool.failing = set(range(target_count))
    assert not parts.check()
    assert parts.owners.owned() == []
    parts.pool.failing = set()
    assert parts.check()
    assert parts.owners.owned() == owned


def test_targets_that_fail_beside_others_leave_the_vm_an_owner():
    parts = ReachabilityParts(30)
    parts.pool.failing = set(range(CHECKED_TARGETS - 1))
    assert parts.check()
    assert not parts.members.own.targets_lost


def test_vm_without_targets_counts_as_reaching_them():
    assert ReachabilityParts(0).check()


def test_result_of_a_check_is_used_for_a_while():
    parts = ReachabilityParts(1)
    parts.check()
    run(parts.reachability.is_any_reachable)
    assert len(parts.pool.opened) == 1


def test_other_vms_own_the_targets_of_a_partitioned_vm():
    parts = Parts([entry(f"t{number}") for number in range(6)])
    for strength in (0.86, -0.86):
        heartbeat = make_heartbeat("vm-2", strength=strength)
        heartbeat.own.stamp = 1 if strength > 0 else 2
        parts.members.record_heartbeat(heartbeat)
        expected = {"vm-1", "vm-2"} if strength > 0 else {"vm-1"}
        assert {parts.owners.owner_of(f"t{number}") for number in range(6)} == expected


def test_vms_that_are_all_partitioned_keep_their_targets():
    parts = Parts([entry(f"t{number}") for number in range(6)])
    parts.members.record_heartbeat(make_heartbeat("vm-2", strength=-0.86))
    parts.members.set_targets_lost(True)
    owners = {parts.owners.owner_of(f"t{number}") for number in range(6)}
    assert owners == {"vm-1", "vm-2"}


@pytest.mark.parametrize("reachable", [True, False])
def test_refused_connection_is_a_crash_only_if_other_targets_are_reachable(reachable):
    parts = ReachabilityParts(1)
    parts.pool.failing = {0}

    async def is_any_reachable():
        return reachable

    detector = CrashDetector(parts.pool, is_any_reachable, parts.clock)
    assert run(detector.has_crashed, parts.registry.entry("t0")) is reachable
