"""Resource use by deployment size, for docs/CAPACITY.md: ``make capacity``.

Each row has a quantity at several sizes, its least-squares line and the largest
deviation from it, as a share of the largest value.
"""

import json
import logging
import time
import tracemalloc
from functools import partial
from random import Random
from statistics import linear_regression

from curio import run

from bench.report import OUTPUT_FOLDER
from bench.scenario import lookup_text
from heathercleat.connection.messages import (
    Heartbeat,
    HeartbeatAck,
    MemberRecord,
    ViewExchange,
    VmListResponse,
    encode,
)
from heathercleat.process.capacity.readiness import MIN_POLL_SECONDS
from heathercleat.process.configuration.platform import VmEntry, VmList
from heathercleat.process.membership.directory import Directory
from heathercleat.process.membership.heartbeats import Heartbeats
from heathercleat.process.membership.membership import SETTLE_SECONDS, Membership
from heathercleat.process.settings import parse_settings
from heathercleat.process.vm import EntryVM
from heathercleat.request.lookup import answer_lookup
from heathercleat.version.client_blocks import ClientBlockTable
from heathercleat.version.document import Document
from heathercleat.version.placement import Placement
from heathercleat.version.text import parse_text
from standins.fleet import Fleet
from tests.fakes import SETTINGS, FakeLinks, FakePlatform, FakeVm, ManualClock

DOMAINS = 46
BLOCKS = (300_000, 1_000_000, 2_700_000)
VMS = (750, 2_500, 7_500)
TARGETS = (200, 600, 1_900)
MEMBERS = (20, 80, 163)
PROCESSES = (2, 8, 24)
IDLE_SECONDS = 8.0
PLANNED_SIZES = {"blocks": 2_700_000, "vms": 7_500, "targets": 1_900, "members": 163}


class LinearFits:
    """Collects measurements by size and fits a line to each quantity."""

    def __init__(self):
        self._values = {}

    def add(self, quantity, unit, size, value):
        """Add a measurement of a quantity."""
        self._values.setdefault((quantity, unit), []).append((size, value))

    def rows(self):
        """Yield ``(quantity, unit, points, slope, intercept, error)``."""
        for (quantity, unit), points in self._values.items():
            sizes, values = zip(*points, strict=True)
            slope, intercept = linear_regression(sizes, values)
            errors = (
                abs(value - slope * size - intercept)
                for size, value in zip(sizes, values, strict=True)
            )
            largest = max(abs(value) for value in values) or 1.0
            yield quantity, unit, points, slope, intercept, max(errors) / largest

    def write(self):
        """Print the rows as a Markdown table and write them as JSON."""
        print("| quantity | at sizes | slope | at 0 | error |")
        print("| --- | --- | --- | --- | --- |")
        for quantity, unit, points, slope, intercept, error in self.rows():
            at = ", ".join(f"{size}: {value:.4g}" for size, value in points)
            print(
                f"| {quantity}, {unit} | {at} | {slope:.3g} | {intercept:.3g} | "
                f"{100 * error:.0f}% |"
            )
        OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
        rows = [list(row) for row in self.rows()]
        (OUTPUT_FOLDER / "capacity.json").write_text(json.dumps(rows, indent=1))


def mean_cpu_seconds(act, count):
    """Return the mean CPU seconds per call, over ``count`` calls."""
    started = time.process_time()
    for _ in range(count):
        act()
    return (time.process_time() - started) / count


def measure_blocks(fits):
    """Measure the client-block table."""
    random = Random(1)
    names = [f"fd-{number}" for number in range(DOMAINS)]
    for size in BLOCKS:
        step = (1 << 32) // size
        runs = ((index * step, index % DOMAINS) for index in range(size))
        started = time.process_time()
        table = ClientBlockTable(names, runs)
        fits.add("block table: build", "s", size, time.process_time() - started)
        fits.add("block table: memory", "MB", size, table.size_bytes / 1e6)
        addresses = [random.randrange(1 << 32) for _ in range(100_000)]
        started = time.process_time()
        for address in addresses:
            table.find_by_number(address)
        seconds = (time.process_time() - started) / len(addresses)
        fits.add("block table: look-up", "us", size, seconds * 1e6)

        def change(table=table):
            first = random.randrange(1 << 31)
            table.assign_range(first, first + 255, "fd-1")

        fits.add("block table: delta", "us", size, mean_cpu_seconds(change, 100) * 1e6)


def make_vm(targets, vms):
    """Return an entry VM, not started, with a configuration and a VM list."""
    text = lookup_text(targets=targets, domains=DOMAINS)
    service = text["services"]["lookup"]
    for number, target in enumerate(service["targets"].values()):
        target["address"] = f"10.1.{number // 250}.{number % 250 + 1}:9000"
    source = SETTINGS.replace('"north-a"', '"fd-0"').replace("north-a-1", "vm-0")
    vm = EntryVM(parse_settings(source), platform=FakePlatform())
    vm.configuration.adopt(1, Document(json.dumps(text), {}).pack(), "bench")
    vm.configuration.adopt_vms(make_vm_list(vms))
    return vm


def make_vm_list(vms):
    """Return a VM list with ``vms`` entries."""
    entries = (
        VmEntry(f"vm-{n}", f"10.2.{n // 250}.{n % 250}", f"fd-{n % DOMAINS}", False)
        for n in range(vms)
    )
    return VmList(1, tuple(entries))


def measure_lookups(fits):
    """Measure the VM list and look-ups over it."""
    for vms, targets in zip(VMS, TARGETS, strict=True):
        tracemalloc.start()
        vm = make_vm(targets, vms)
        memory = tracemalloc.get_traced_memory()[0]
        fits.add(
            "VM list and text: memory",
            "MB",
            vms,
            memory / 1e6,
        )
        tracemalloc.stop()
        fields = vm.vm_directory.to_fields()
        fits.add(
            "VM list: message", "KB", vms, len(encode(VmListResponse(1, fields))) / 1e3
        )
        seconds = mean_cpu_seconds(partial(adopt, make_vm_list(vms)), 20)
        fits.add("VM list: adopt", "ms", vms, seconds * 1e3)
        query = {"service": "lookup"}
        service = vm.text.services["lookup"]

        def run_lookup(vm=vm, query=query):
            answer_lookup(vm, query, "10.0.0.1")

        def rebuild(vm=vm, service=service):
            vm.lookup_candidates._candidates.clear()
            vm.lookup_candidates.find(service, "fd-0")

        run_lookup()
        fits.add("look-up: candidates", "ms", vms, mean_cpu_seconds(rebuild, 20) * 1e3)
        vm.lookup_candidates.find(service, "fd-0")
        fits.add("look-up: answer", "us", vms, mean_cpu_seconds(run_lookup, 500) * 1e6)


def adopt(vms):
    """Adopt a VM list in a new directory."""
    assert Directory().adopt(vms)


def measure_text(fits):
    """Measure parsing and validation of a configuration text."""
    for size in TARGETS:
        text = lookup_text(targets=size, domains=DOMAINS)
        for number, target in enumerate(text["services"]["lookup"]["targets"].values()):
            target["address"] = f"10.1.{number // 250}.{number % 250 + 1}:9000"
        source = json.dumps(text)
        fits.add("text: size", "KB", size, len(source) / 1e3)
        seconds = mean_cpu_seconds(lambda source=source: parse_text(source), 3)
        fits.add("text: read and check", "ms", size, seconds * 1e3)


def measure_members(fits):
    """Measure heartbeats and view exchanges in a failure domain."""
    for size in MEMBERS:
        vm, clock = FakeVm(), ManualClock()
        links = FakeLinks(lambda host, item: HeartbeatAck(1, False, 0, 0, 0))
        membership = Membership(vm, links, clock)
        for number in range(2, size + 1):
            record = MemberRecord(f"north-a-{number}", "10.0.0.1", "north-a", 1, "live")
            membership.apply_record(record)
        heartbeat = Heartbeat("north-a-2", 1, 1, 0, 0, 0)
        fits.add("heartbeat: message", "bytes", size, len(encode(heartbeat)))
        view = len(encode(ViewExchange(membership.records())))
        fits.add("view exchange: message", "KB", size, view / 1e3)
        clock.time += SETTLE_SECONDS
        membership.record_tick()
        assert size == len(membership.other_running_members()) + 1
        seconds = mean_cpu_seconds(
            partial(membership.record_heartbeat, heartbeat), 2000
        )
        fits.add("heartbeat: recorded", "us", size, seconds * 1e6)
        seconds = mean_cpu_seconds(membership.may_act_as_home, 2000)
        fits.add("right to act as home: checked", "us", size, seconds * 1e6)

        heartbeats = Heartbeats(vm, membership, links, clock)

        def detect_failures(heartbeats=heartbeats):
            run(heartbeats.detect_failures)

        fits.add(
            "failure detection: one round",
            "us",
            size,
            mean_cpu_seconds(detect_failures, 20) * 1e6,
        )


def measure_placement(fits):
    """Measure the assignment of homes after a membership change."""
    vm = make_vm(PLANNED_SIZES["targets"], PLANNED_SIZES["vms"])
    domain = vm.settings.failure_domain
    for size in MEMBERS:
        placement = Placement(vm.text.services)
        names = [f"vm-{number}" for number in range(size)]
        placement.homes(domain, names)
        batches = iter([f"{name}-{batch}" for name in names] for batch in range(20))

        def reassign(placement=placement, batches=batches):
            placement.homes(domain, next(batches))

        fits.add("placement: homes", "ms", size, mean_cpu_seconds(reassign, 20) * 1e3)


def measure_processes(fits):
    """Measure the processes of idle entry VMs in one failure domain."""
    for size in PROCESSES:
        text = lookup_text(targets=8, domains=2)
        for target in text["services"]["lookup"]["targets"].values():
            target["failure_domain"] = "fd-0"
        with Fleet(text, {"fd-0": size}, subnet=36) as fleet:
            fleet.wait_ready()
            # Homes are polled for readiness for some time after a start.
            time.sleep(MIN_POLL_SECONDS)
            before = [fleet.metrics(vm) for vm in fleet.vms.values()]
            time.sleep(IDLE_SECONDS)
            after = [fleet.metrics(vm) for vm in fleet.vms.values()]

        def rate(name, before=before, after=after):
            gains = (b[name] - a[name] for a, b in zip(before, after, strict=True))
            return sum(gains) / len(before) / IDLE_SECONDS

        cpu = rate("process_cpu_seconds_total")
        fits.add("idle VM: processor", "% of a core", size, 100 * cpu)
        fits.add(
            "idle VM: traffic", "KB/s", size, rate("heathercleat_control_bytes") / 1e3
        )
        memory = sum(each["process_resident_memory_bytes"] for each in after)
        fits.add("idle VM: memory", "MB", size, memory / len(after) / 1e6)


def main():
    """Run all measurements and write the report."""
    logging.getLogger("heathercleat").setLevel("ERROR")
    fits = LinearFits()
    for measure in (
        measure_blocks,
        measure_lookups,
        measure_text,
        measure_members,
        measure_placement,
        measure_processes,
    ):
        measure(fits)
    fits.write()


if __name__ == "__main__":
    main()
