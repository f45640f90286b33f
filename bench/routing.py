"""Benchmarks of where requests go: slots, overload, spill, slow targets, takeovers."""

import threading
import time
from collections import Counter

from bench.baseline import LaggingChoice
from bench.report import Row
from bench.scenario import Spread, lookup_text, over, quantile, start_targets
from standins.demo import demo_text
from standins.fleet import Fleet, wait_for
from standins.load import Load
from tests.test_covers import LONG_TIMEOUT_MS, SLOTS, long_text

NO_NEW_WORK_LIMIT = 5.0
RUN_SECONDS = 8.0
WARM_SECONDS = 2.0
SPILL_CAP = 24
#: Seconds of work, and requests a second that the slots of a domain carry, in surges.
SURGE_WORK = 0.2
DOMAIN_RATE = 8 / SURGE_WORK
USUAL_LOAD = 0.4
#: Times that a target takes longer in the benchmark of slow targets.
SLOWNESS = 10


def bench_slots(report):
    """Overshoot and latency at 16 targets of 4 slots, against a lagging choice."""
    work, load = 0.2, 0.75
    text = lookup_text()
    rate = load * 64 / work
    vms = {f"fd-{number}": 2 for number in range(6)}
    with Fleet(text, vms, subnet=30) as fleet:
        fleet.wait_ready()
        start_targets(fleet, work)
        # Sixteen targets over six domains: callers in proportion to the slots.
        slots = Counter(
            target["failure_domain"]
            for target in text["services"]["lookup"]["targets"].values()
        )
        rates = {domain: rate * count / 16 for domain, count in slots.items()}
        with Spread(fleet, rates) as ours:
            time.sleep(RUN_SECONDS)
        our_over = over(fleet)
        time.sleep(1.0)
        with LaggingChoice(fleet.targets, rate, timeout=3.0) as theirs:
            time.sleep(RUN_SECONDS)
        their_over = over(fleet) - our_over
    mine, base = ours.results, theirs.results
    served = sum(1 for each in mine if each.status == 200) / len(mine)
    base_served = sum(1 for each in base if each.status == 200) / len(base)
    report.add(
        Row(
            "overshoot at 75% load",
            our_over,
            their_over,
            "slot-s",
            "lagging two choices",
            0.01,
        )
    )
    report.add(
        Row(
            "served share at 75% load",
            served,
            base_served,
            "",
            "lagging two choices",
            0.98,
            at_least=True,
        )
    )
    report.add(
        Row(
            "p99 at 75% load",
            quantile(mine, 0.99),
            quantile(base, 0.99),
            "s",
            "lagging two choices, over the limit",
            1.8,
        )
    )


def bench_overload(report):
    """Goodput and delay of a failure domain at three times its capacity."""
    work = 0.1
    text = lookup_text(targets=3, domains=2)
    for target in text["services"]["lookup"]["targets"].values():
        target["failure_domain"] = "fd-0"
    capacity = 12 / work
    with Fleet(text, {"fd-0": 2}, subnet=31) as fleet:
        fleet.wait_ready()
        start_targets(fleet, work)
        with Spread(fleet, {"fd-0": 3 * capacity}) as load:
            time.sleep(RUN_SECONDS)
        overshoot = over(fleet)
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
    """A surge of 1.5 times the capacity of one domain, against staying local."""
    rates = {"fd-0": 1.5 * DOMAIN_RATE, "fd-1": 10, "fd-2": 10, "fd-3": 10}
    spilled, over_slots = serve_surge(rates, SPILL_CAP)
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
    report.add(Row("overshoot", over_slots, 1.0, "slot-s", "one", 0.0))


def bench_surge(report):
    """Three times the usual load on a whole region, against staying local."""
    usual = USUAL_LOAD * DOMAIN_RATE
    rates = {"fd-0": 3 * usual, "fd-1": 3 * usual, "fd-2": usual, "fd-3": usual}
    spilled, over_slots = serve_surge(rates, SPILL_CAP)
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
    report.add(Row("overshoot", over_slots, 1.0, "slot-s", "one", 0.0))


def serve_surge(rates, cap):
    """Serve callers of four domains of eight slots.

    :param rates: requests a second by failure domain.
    :param cap: the shift cap of the service in slots, 0 to keep all requests local.
    :return: the results once the surge has lasted a while, and the slot-seconds over
        the limit.
    """
    shift = {"slots": cap, "window_s": 5}
    text = lookup_text(targets=8, domains=4, cap=shift)
    with Fleet(text, {f"fd-{n}": 1 for n in range(4)}, subnet=32) as fleet:
        fleet.wait_ready()
        start_targets(fleet, SURGE_WORK)
        with Spread(fleet, rates) as load:
            time.sleep(WARM_SECONDS)
            since = time.time()
            time.sleep(RUN_SECONDS)
        return [each for each in load.results if each.sent_at > since], over(fleet)


def share_served(results):
    """Return the share of requests that were served."""
    return sum(1 for each in results if each.status == 200) / len(results)


def bench_slow(report):
    """Latency with one of three targets slow, against a domain where none is."""
    work, load = 0.1, 0.5
    text = lookup_text(targets=6, domains=2)
    rates = dict.fromkeys(("fd-0", "fd-1"), load * 12 / work)
    with Fleet(text, {"fd-0": 2, "fd-1": 2}, subnet=39) as fleet:
        fleet.wait_ready()
        start_targets(fleet, work)
        with Spread(fleet, rates) as spread:
            time.sleep(WARM_SECONDS)
            fleet.switch_target("t-00", service_s=SLOWNESS * work)
            time.sleep(3 * WARM_SECONDS)
            since = time.time()
            time.sleep(2 * RUN_SECONDS)
        slow, sound = (
            [each for each in spread.of(domain) if each.sent_at > since]
            for domain in rates
        )
    report.add(
        Row(
            "p99 with one of three targets ten times slower",
            quantile(slow, 0.99),
            quantile(sound, 0.99),
            "s",
            "a domain with none",
            2.0,
        )
    )


def bench_takeover(report):
    """Seconds until the idle slots of a killed VM are in use again."""
    with Fleet(long_text(), {"north-a": 2}, subnet=37) as fleet:
        slots = 2 * SLOTS
        wait_for(
            lambda: fleet.free_slots() == slots, seconds=2 * LONG_TIMEOUT_MS / 1000
        )
        time.sleep(1.0)
        home, _ = fleet.by_homes()
        home.process.kill()
        started = time.monotonic()
        wait_for(
            lambda: fleet.free_slots() == slots, seconds=2 * LONG_TIMEOUT_MS / 1000
        )
        seconds = time.monotonic() - started
    report.add(
        Row(
            "idle slots of a killed VM back",
            seconds,
            LONG_TIMEOUT_MS / 1000,
            "s",
            "the longest timeout",
            0.15,
        )
    )


def bench_drain(report):
    """Seconds from a drain planned for now to the last run at its target."""
    with Fleet(demo_text(), {"north-a": 2, "north-b": 1}, subnet=35) as fleet:
        fleet.wait_ready()
        name = "style-north-a"
        hosts = [vm.host for vm in fleet.vms.values()]
        last = threading.Event()
        with Load(hosts, "style-lookup", rate=60) as load:
            time.sleep(1.0)
            fleet.run("drain", "plan", "d", "target", name)
            planned = time.monotonic()
            runs, changed_at = -1, planned
            while time.monotonic() < planned + NO_NEW_WORK_LIMIT:
                now = len(fleet.record(name)["runs"])
                if now != runs:
                    runs, changed_at = now, time.monotonic()
                last.wait(0.02)
        failed = sum(1 for each in load.results if each.status != 200)
    report.add(
        Row(
            "drain of a target: seconds to the last run",
            changed_at - planned,
            NO_NEW_WORK_LIMIT,
            "s",
            "the limit",
            0.5,
        )
    )
    report.add(Row("requests failed by the drain", failed, 1.0, "", "one", 0))
