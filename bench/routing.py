"""Benchmarks of routing: slots, overload, spillover, slow targets and takeovers."""

import threading
import time
from collections import Counter

from bench.baseline import PowerOfTwoChoices
from bench.report import Row
from bench.scenario import (
    MultiDomainLoad,
    configure_targets,
    lookup_text,
    measure_overshoot,
    quantile,
)
from standins.demo import demo_text
from standins.fleet import Fleet, wait_for
from standins.load import Load
from tests.test_covers import LONG_TIMEOUT_MS, SLOTS, long_text

DRAIN_LIMIT_SECONDS = 5.0
RUN_SECONDS = 8.0
WARM_UP_SECONDS = 2.0
SHIFT_CAP_SLOTS = 24
#: Seconds of work per request in a surge, and requests per second that use all eight
#: slots of a failure domain.
SURGE_WORK_SECONDS = 0.2
FULL_DOMAIN_RATE = 8 / SURGE_WORK_SECONDS
#: Usual request rate of a failure domain, as a share of its full rate.
USUAL_LOAD = 0.4
#: Factor by which requests take longer at the slow target.
SLOW_FACTOR = 10


def bench_slots(report):
    """Overshoot and latency with 16 targets of 4 slots, against stale load reports."""
    work, load = 0.2, 0.75
    text = lookup_text()
    rate = load * 64 / work
    vms = {f"fd-{number}": 2 for number in range(6)}
    with Fleet(text, vms, subnet=30) as fleet:
        fleet.wait_ready()
        configure_targets(fleet, work)
        # The load of each failure domain is proportional to its slots.
        slots = Counter(
            target["failure_domain"]
            for target in text["services"]["lookup"]["targets"].values()
        )
        rates = {domain: rate * count / 16 for domain, count in slots.items()}
        with MultiDomainLoad(fleet, rates) as steered_load:
            time.sleep(RUN_SECONDS)
        overshoot = measure_overshoot(fleet)
        time.sleep(1.0)
        with PowerOfTwoChoices(fleet.targets, rate, timeout=3.0) as baseline_load:
            time.sleep(RUN_SECONDS)
        baseline_overshoot = measure_overshoot(fleet) - overshoot
    results, baseline_results = steered_load.results, baseline_load.results
    served = sum(1 for each in results if each.status == 200) / len(results)
    baseline_served = sum(1 for each in baseline_results if each.status == 200) / len(
        baseline_results
    )
    report.add(
        Row(
            "overshoot at 75% load",
            overshoot,
            baseline_overshoot,
            "slot-s",
            "two choices with stale reports",
            0.01,
        )
    )
    report.add(
        Row(
            "served share at 75% load",
            served,
            baseline_served,
            "",
            "two choices with stale reports",
            0.98,
            at_least=True,
        )
    )
    report.add(
        Row(
            "p99 at 75% load",
            quantile(results, 0.99),
            quantile(baseline_results, 0.99),
            "s",
            "two choices with stale reports, over the limit",
            1.8,
        )
    )


def bench_overload(report):
    """Goodput and latency of a failure domain at three times its capacity."""
    work = 0.1
    text = lookup_text(targets=3, domains=2)
    for target in text["services"]["lookup"]["targets"].values():
        target["failure_domain"] = "fd-0"
    capacity = 12 / work
    with Fleet(text, {"fd-0": 2}, subnet=31) as fleet:
        fleet.wait_ready()
        configure_targets(fleet, work)
        with MultiDomainLoad(fleet, {"fd-0": 3 * capacity}) as load:
            time.sleep(RUN_SECONDS)
        overshoot = measure_overshoot(fleet)
    served = [each for each in load.results if each.status == 200]
    refused = sorted(each.seconds for each in load.results if each.status == 503)
    report.add(
        Row(
            "goodput at 3 times the capacity",
            len(served) / RUN_SECONDS,
            capacity,
            "/s",
            "capacity",
            0.8,
            at_least=True,
        )
    )
    report.add(
        Row(
            "p50 at 3 times the capacity",
            quantile(load.results, 0.5),
            work + 0.4,
            "s",
            "service and whole queue time",
            0.7,
        )
    )
    report.add(
        Row(
            "median refusal at 3 times the capacity",
            refused[len(refused) // 2],
            work,
            "s",
            "service time",
            0.5,
        )
    )
    report.add(Row("overshoot", overshoot, 1.0, "slot-s", "one", 0.0))


def bench_spill(report):
    """Served share at 1.5 times the capacity of a domain, against no spillover."""
    rates = {"fd-0": 1.5 * FULL_DOMAIN_RATE, "fd-1": 10, "fd-2": 10, "fd-3": 10}
    spilled, overshoot = serve_surge(rates, SHIFT_CAP_SLOTS)
    local, _ = serve_surge(rates, 0)
    report.add(
        Row(
            "served share in a surge of 1.5",
            share_served(spilled),
            share_served(local),
            "",
            "always local",
            1.1,
            at_least=True,
        )
    )
    report.add(Row("overshoot", overshoot, 1.0, "slot-s", "one", 0.0))


def bench_surge(report):
    """Served share and latency in a surge of a whole region, against no spillover."""
    usual = USUAL_LOAD * FULL_DOMAIN_RATE
    rates = {"fd-0": 3 * usual, "fd-1": 3 * usual, "fd-2": usual, "fd-3": usual}
    spilled, overshoot = serve_surge(rates, SHIFT_CAP_SLOTS)
    local, _ = serve_surge(rates, 0)
    report.add(
        Row(
            "served share, a region at 3 times its usual load",
            share_served(spilled),
            share_served(local),
            "",
            "always local",
            1.05,
            at_least=True,
        )
    )
    report.add(
        Row(
            "p90, a region at 3 times its usual load",
            quantile(spilled, 0.9),
            quantile(local, 0.9),
            "s",
            "always local",
            1.0,
        )
    )
    report.add(Row("overshoot", overshoot, 1.0, "slot-s", "one", 0.0))


def serve_surge(rates, cap):
    """Serve the load of four failure domains with eight slots each.

    :param rates: requests per second by failure domain.
    :param cap: the shift cap of the service in slots; 0 disables spillover.
    :return: the results after a warm-up, and the slot-seconds over the limit.
    """
    shift = {"slots": cap, "window_s": 5}
    text = lookup_text(targets=8, domains=4, cap=shift)
    with Fleet(text, {f"fd-{n}": 1 for n in range(4)}, subnet=32) as fleet:
        fleet.wait_ready()
        configure_targets(fleet, SURGE_WORK_SECONDS)
        with MultiDomainLoad(fleet, rates) as load:
            time.sleep(WARM_UP_SECONDS)
            since = time.time()
            time.sleep(RUN_SECONDS)
        return [
            each for each in load.results if each.sent_at > since
        ], measure_overshoot(fleet)


def share_served(results):
    """Return the share of successful requests."""
    return sum(1 for each in results if each.status == 200) / len(results)


def bench_slow(report):
    """Latency with a slow target, against a failure domain without one."""
    work, load = 0.1, 0.5
    text = lookup_text(targets=6, domains=2)
    rates = dict.fromkeys(("fd-0", "fd-1"), load * 12 / work)
    with Fleet(text, {"fd-0": 2, "fd-1": 2}, subnet=39) as fleet:
        fleet.wait_ready()
        configure_targets(fleet, work)
        with MultiDomainLoad(fleet, rates) as loads:
            time.sleep(WARM_UP_SECONDS)
            fleet.switch_target("t-00", service_s=SLOW_FACTOR * work)
            time.sleep(3 * WARM_UP_SECONDS)
            since = time.time()
            time.sleep(2 * RUN_SECONDS)
        slow, healthy = (
            [each for each in loads.results_of(domain) if each.sent_at > since]
            for domain in rates
        )
    report.add(
        Row(
            "p99 with one of three targets ten times slower",
            quantile(slow, 0.99),
            quantile(healthy, 0.99),
            "s",
            "a domain with none",
            2.0,
        )
    )


def bench_takeover(report):
    """Seconds until the idle slots of a killed VM are available again."""
    with Fleet(long_text(), {"north-a": 2}, subnet=37) as fleet:
        slots = 2 * SLOTS
        wait_for(
            lambda: fleet.free_slots() == slots, seconds=2 * LONG_TIMEOUT_MS / 1000
        )
        time.sleep(1.0)
        home, _ = fleet.vms_by_target_count()
        home.process.kill()
        started = time.monotonic()
        wait_for(
            lambda: fleet.free_slots() == slots, seconds=2 * LONG_TIMEOUT_MS / 1000
        )
        seconds = time.monotonic() - started
    report.add(
        Row(
            "idle slots of a killed VM available again",
            seconds,
            LONG_TIMEOUT_MS / 1000,
            "s",
            "the longest timeout",
            0.15,
        )
    )


def bench_drain(report):
    """Seconds from the start of a drain to the last new request at its target."""
    with Fleet(demo_text(), {"north-a": 2, "north-b": 1}, subnet=35) as fleet:
        fleet.wait_ready()
        name = "style-north-a"
        hosts = [vm.host for vm in fleet.vms.values()]
        timer = threading.Event()
        with Load(hosts, "style-lookup", rate=60) as load:
            time.sleep(1.0)
            fleet.run("drain", "plan", "d", "target", name)
            planned = time.monotonic()
            runs, changed_at = -1, planned
            while time.monotonic() < planned + DRAIN_LIMIT_SECONDS:
                now = len(fleet.record(name)["runs"])
                if now != runs:
                    runs, changed_at = now, time.monotonic()
                timer.wait(0.02)
        failed = sum(1 for each in load.results if each.status != 200)
    report.add(
        Row(
            "drain of a target: seconds to the last run",
            changed_at - planned,
            DRAIN_LIMIT_SECONDS,
            "s",
            "the limit",
            0.5,
        )
    )
    report.add(Row("requests failed by the drain", failed, 1.0, "", "one", 0))
