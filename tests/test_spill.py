"""Tests that spillover stays within the shift cap and overloads no target."""

import threading
import time

import pytest

from standins.fleet import Fleet, wait_for
from standins.load import Load

SERVICE = "lookup"
SLOTS = 4
TARGETS = 3
WORK_SECONDS = 0.1
CAP_SLOTS = 6
WINDOW_SECONDS = 3.0
DOMAINS = ("north-a", "north-b", "south-a")
CAPACITY_PER_SECOND = SLOTS * TARGETS / WORK_SECONDS
SAMPLE_SECONDS = 0.05
FOREIGN_SLOTS_METRIC = f'heathercleat_foreign_slots{{service="{SERVICE}"}}'


def spill_text():
    kind = {
        "kind": "read",
        "method": "GET",
        "path": "/",
        "run": "idempotent",
        "timeout_ms": 1500,
    }
    targets = {
        f"{domain}-t{number}": {"failure_domain": domain, "slots": SLOTS}
        for domain in DOMAINS
        for number in range(TARGETS)
    }
    return {
        "regions": {
            "north": {"failure_domains": ["north-a", "north-b"]},
            "south": {"failure_domains": ["south-a"]},
        },
        "services": {
            SERVICE: {
                "requests": [kind],
                "targets": targets,
                "shift_cap": {"slots": CAP_SLOTS, "window_s": WINDOW_SECONDS},
                "queue": {"limit": 32, "wait_ms": 400},
            }
        },
    }


class SpillSampler:
    """Samples the number of slots held by other failure domains, over all VMs."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._stopping = False
        self._thread = threading.Thread(target=self._run)
        self.samples = []

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopping = True
        self._thread.join()

    def _run(self):
        while not self._stopping:
            levels = [
                (self._fleet.metrics(vm) or {}).get(FOREIGN_SLOTS_METRIC, 0.0)
                for vm in self._fleet.vms.values()
            ]
            self.samples.append((time.monotonic(), sum(levels)))
            time.sleep(SAMPLE_SECONDS)

    def largest_rise(self):
        """Return the largest rise within any window, in slots."""
        return max(
            (
                level - earlier
                for at, level in self.samples
                for earlier_at, earlier in self.samples
                if at - WINDOW_SECONDS < earlier_at <= at
            ),
            default=0.0,
        )


@pytest.fixture
def fleet():
    vms = {"north-a": 2, "north-b": 1, "south-a": 1}
    with Fleet(spill_text(), vms, subnet=25) as running:
        running.wait_ready()
        for name in running.targets:
            running.switch_target(name, service_s=WORK_SECONDS, cancel_s=0.1)
        yield running


def hosts_in(fleet, domain):
    return [vm.host for vm in fleet.vms.values() if vm.domain == domain]


def count_overloads(fleet):
    return sum(fleet.record(name)["over"] for name in fleet.targets)


def served_in(load, domain):
    return sum(1 for each in load.results if (each.target or "").startswith(domain))


def test_surge_spills_within_the_cap_without_overload(fleet):
    with SpillSampler(fleet) as sampler:
        with Load(
            hosts_in(fleet, "north-a"), SERVICE, rate=1.5 * CAPACITY_PER_SECOND
        ) as load:
            time.sleep(2.5 * WINDOW_SECONDS)
    assert count_overloads(fleet) == 0
    assert sampler.largest_rise() <= CAP_SLOTS
    assert served_in(load, "north-b") > 0
    refused = [each for each in load.results if each.status == 503]
    assert all(each.run == "not-run" for each in refused)
    assert {each.status for each in load.results} <= {200, 503}


def test_loss_of_a_domain_spills_its_requests_within_the_cap(fleet):
    hosts = hosts_in(fleet, "north-a") + hosts_in(fleet, "north-b")
    with SpillSampler(fleet) as sampler:
        with Load(hosts, SERVICE, rate=0.5 * CAPACITY_PER_SECOND) as load:
            time.sleep(1.0)
            for vm in fleet.vms.values():
                if vm.domain == "north-a":
                    vm.process.kill()
            lost_at = time.time()
            time.sleep(6.0)
    assert count_overloads(fleet) == 0
    assert sampler.largest_rise() <= CAP_SLOTS
    after_loss = [each for each in load.results if each.sent_at > lost_at + 3.0]
    assert after_loss
    assert all(each.status == 200 for each in after_loss)


def test_region_that_is_lost_and_returns_cold_overloads_no_target(fleet):
    """All VMs and targets of the north fail, and restart with cold targets."""
    north = [vm for vm in fleet.vms.values() if vm.domain != "south-a"]
    targets = [name for name in fleet.targets if name.startswith("north")]
    hosts = [vm.host for vm in fleet.vms.values()]
    with (
        SpillSampler(fleet) as sampler,
        Load(hosts, SERVICE, rate=0.5 * CAPACITY_PER_SECOND) as load,
    ):
        time.sleep(1.0)
        for vm in north:
            vm.process.kill()
        for name in targets:
            fleet.switch_target(name, lost=True)
        lost_at = time.time()
        time.sleep(5.0)
        for name in targets:
            cold = {"cold_requests": 10, "cold_s": 4 * WORK_SECONDS}
            fleet.switch_target(name, lost=False, **cold)
        for vm in north:
            vm.process.wait()
            fleet.start_vm(vm)
        restarted_at = time.time()
        wait_for(lambda: sum(served_since(load, restarted_at, "north")) > 20)
        time.sleep(2.0)
    assert count_overloads(fleet) == 0
    assert sampler.largest_rise() <= CAP_SLOTS
    during_loss = [
        each for each in load.results if lost_at + 2.0 < each.sent_at < restarted_at
    ]
    assert during_loss
    assert all(
        each.status == 200 and each.target[:5] == "south" for each in during_loss
    )
    after_restart = [each for each in load.results if each.sent_at > restarted_at]
    assert sum(1 for each in after_restart if each.status == 200) > 0.98 * len(
        after_restart
    )
    assert {each.run for each in after_restart if each.status == 503} <= {"not-run"}


def served_since(load, since, domain):
    """Yield 1 for each request sent after ``since`` that ``domain`` served."""
    for each in list(load.results):
        if each.sent_at > since and (each.target or "").startswith(domain):
            yield 1


def served_share(results):
    return sum(each.status == 200 for each in results) / len(results)


def test_partition_with_both_sides_busy_overloads_no_target(fleet):
    north = Load(hosts_in(fleet, "north-a"), SERVICE, rate=0.9 * CAPACITY_PER_SECOND)
    south = Load(
        hosts_in(fleet, "south-a"), SERVICE, rate=0.5 * CAPACITY_PER_SECOND, seed=2
    )
    with north, south:
        time.sleep(2.0)
        fleet.partition_off("south-a", ["north-a", "north-b"])
        cut_at = time.time()
        time.sleep(4.0)
        healed_at = time.time()
        fleet.heal()
        time.sleep(2.0)
    assert count_overloads(fleet) == 0
    south_results = [
        each for each in south.results if cut_at + 1 < each.sent_at < healed_at
    ]
    assert all(each.status == 200 for each in south_results)
    assert all(each.target.startswith("south") for each in south_results)
    north_before = [each for each in north.results if each.sent_at < cut_at]
    north_results = [
        each
        for each in north.results
        if cut_at + 2 < each.sent_at and each.sent_at + each.seconds < healed_at
    ]
    # A slow machine cannot serve this rate even without a partition.
    assert served_share(north_results) > 0.85 * served_share(north_before)
    assert not any((each.target or "").startswith("south") for each in north_results)


def test_targets_that_become_ready_warm_up_gradually(fleet):
    names = [name for name in fleet.targets if name.startswith("north-b")]
    for name in names:
        fleet.switch_target(name, health="starting")
    vm = fleet.vms["north-b-1"]

    def limits():
        status = fleet.status(vm)
        return [each["limit"] for each in status["targets"]] if status else []

    def blocked():
        status = fleet.status(vm)
        return status and all(each["blocked"] for each in status["targets"])

    wait_for(blocked)
    for name in names:
        fleet.switch_target(name, health="ready")
    wait_for(lambda: not blocked())
    assert min(limits()) < SLOTS
    wait_for(lambda: set(limits()) == {SLOTS})
