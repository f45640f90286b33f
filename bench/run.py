"""Runs every benchmark and fails when a bound is exceeded: ``make bench``.

Each figure is a ratio against a baseline or a limit in the same run, since the speed of
the machine varies. ``python -m bench.run slots spill`` runs some of them only.
"""

import copy
import random
import sys
import threading
import time
from collections import Counter
from functools import partial
from io import StringIO
from logging import StreamHandler, getLogger
from pathlib import Path

from curio import run, spawn

from bench.baseline import LaggingChoice
from bench.report import Report, Row
from heathercleat.events import Event
from heathercleat.process.claims import Claims
from heathercleat.process.logs import Journal, JsonFormatter, LogWriter
from heathercleat.version.text import parse_text
from standins.demo import demo_text
from standins.fleet import Fleet, wait_for
from standins.load import Load
from tests.fakes import FakePlatform
from tests.test_covers import LONG_MS, SLOTS, long_text
from tests.test_once_failures import kill_and_restart as kill_one
from tests.test_once_failures import pause_and_resume as pause_one
from tests.test_once_failures import sweep

EXAMPLES = Path("examples")
IN_FORCE_LIMIT = 20.0
NO_NEW_WORK_LIMIT = 5.0
RUN_SECONDS = 8.0
WARM_SECONDS = 2.0


def lookup_text(targets=16, slots=4, domains=6, kind_ms=2000, cap=None):
    """Return a text with the sizes of a style look-up service."""
    names = [f"fd-{number}" for number in range(domains)]
    kind = {
        "kind": "lookup",
        "method": "GET",
        "path": "/",
        "run": "idempotent",
        "timeout_ms": kind_ms,
    }
    service = {
        "requests": [kind],
        "queue": {"limit": 32, "wait_ms": 400},
        "targets": {
            f"t-{number:02}": {
                "failure_domain": names[number % domains],
                "slots": slots,
            }
            for number in range(targets)
        },
    }
    if cap:
        service["shift_cap"] = cap
    return {
        "regions": {
            f"region-{index}": {"failure_domains": names[2 * index : 2 * index + 2]}
            for index in range(domains // 2)
        },
        "services": {"lookup": service},
    }


def start_targets(fleet, seconds):
    """Set the service time of every target."""
    for name in fleet.targets:
        fleet.switch_target(name, service_s=seconds, cancel_s=seconds)


def over(fleet):
    """Return the slot-seconds over the limit at all targets so far."""
    return sum(fleet.record(name)["over"] for name in fleet.targets)


class Spread:
    """A load from the callers of several failure domains."""

    def __init__(self, fleet, rates, timeout=3.0):
        self._loads = {}
        for seed, (domain, rate) in enumerate(rates.items(), start=1):
            hosts = [vm.host for vm in fleet.vms.values() if vm.domain == domain]
            load = Load(hosts, "lookup", rate, seed=seed, timeout=timeout)
            self._loads[domain] = load

    def __enter__(self):
        for load in self._loads.values():
            load.__enter__()
        return self

    def __exit__(self, *exc_info):
        for load in self._loads.values():
            load.stop()

    @property
    def results(self):
        """Return the results of all loads."""
        return [each for load in self._loads.values() for each in load.results]


def quantile(results, share):
    """Return a quantile of the seconds of the served requests."""
    served = sorted(each.seconds for each in results if each.status == 200)
    return served[int(share * (len(served) - 1))] if served else float("nan")


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
            2.5,
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
    work = 0.2
    cap = {"slots": 24, "window_s": 5}
    shares = {}
    for name in ("spill", "local"):
        text = lookup_text(targets=8, domains=4, cap=cap)
        if name == "local":
            text["services"]["lookup"]["shift_cap"] = {"slots": 0, "window_s": 5}
        with Fleet(text, {f"fd-{n}": 1 for n in range(4)}, subnet=32) as fleet:
            fleet.wait_ready()
            start_targets(fleet, work)
            rates = {"fd-0": 1.5 * 8 / work, "fd-1": 10, "fd-2": 10, "fd-3": 10}
            with Spread(fleet, rates) as load:
                time.sleep(WARM_SECONDS)
                since = time.time()
                time.sleep(RUN_SECONDS)
            late = [each for each in load.results if each.sent_at > since]
            shares[name] = sum(1 for each in late if each.status == 200) / len(late)
            shares[f"{name} over"] = over(fleet)
    report.add(
        Row(
            "served share in a surge of 1.5",
            shares["spill"],
            shares["local"],
            "",
            "always local",
            1.1,
            at_least=True,
        )
    )
    report.add(Row("overshoot", shares["spill over"], 1.0, "slot-s", "one", 0.0))


def bench_claims(report):
    """Transactions needed for claims that come together."""
    platform = FakePlatform()
    claims = Claims(platform, "p")
    ticket = type("T", (), {"id": "t", "expires_at": 0.0})()

    async def act():
        worker = await spawn(claims.run, daemon=True)
        tasks = [await spawn(claims.claim, ticket, str(n)) for n in range(400)]
        for task in tasks:
            await task.join()
        await worker.cancel()

    run(act)
    report.add(
        Row(
            "transactions for 400 claims at once",
            claims.transactions,
            400,
            "",
            "one each",
            0.05,
        )
    )


def bench_once(report):
    """The share of edits whose outcome stays unknown while VMs are killed."""
    shares = {}
    for name, fault, down in (
        ("kills", kill_one, False),
        ("pauses", pause_one, False),
        ("pauses without the platform", pause_one, True),
    ):
        settings = {"lookup_ttl_ms": 500}
        vms = {"north-a": 2, "north-b": 1}
        with Fleet(demo_text(), vms, subnet=33, settings=settings) as fleet:
            fleet.wait_ready()
            if down:
                fleet.switch_platform(down=True)
                time.sleep(1.5)
            chance = random.Random(7)
            answers, runs = sweep(fleet, partial(fault, fleet, chance))
        said = Counter(answers.values())
        shares[name] = said["unknown"] / max(1, sum(said.values()))
        doubled = sum(1 for count in runs.values() if count > 1)
        false = sum(
            1 for key, word in answers.items() if word == "not-run" and runs[key]
        )
        report.add(Row(f"doubled or false, {name}", doubled + false, 1.0, "", "one", 0))
        report.add(
            Row(f"unknown outcomes, {name}", shares[name], 1.0, "", "all edits", 0.05)
        )


def in_force(fleet, version):
    """Return whether every VM has a version in force."""
    return all(fleet.version(vm) == version for vm in fleet.vms.values())


def bench_configuration(report):
    """Seconds until an accepted text is in force on every VM."""
    vms = {"north-a": 2, "north-b": 2, "south-a": 2, "south-b": 2}
    with Fleet(demo_text(), vms, subnet=34) as fleet:
        worst = 0.0
        for version in range(1, 5):
            text = copy.deepcopy(fleet.text)
            queue = {"limit": 10 + version, "wait_ms": 300}
            text["services"]["style-lookup"]["queue"] = queue
            fleet.apply(text, version)
            started = time.monotonic()
            wait_for(partial(in_force, fleet, version + 1), interval=0.01)
            worst = max(worst, time.monotonic() - started)
    report.add(
        Row(
            "slowest of 4 texts in force on 8 VMs",
            worst,
            IN_FORCE_LIMIT,
            "s",
            "the limit",
            0.15,
        )
    )


def bench_takeover(report):
    """Seconds until the idle slots of a killed VM are in use again."""
    with Fleet(long_text(), {"north-a": 2}, subnet=37) as fleet:
        slots = 2 * SLOTS
        wait_for(lambda: fleet.free_slots() == slots, seconds=2 * LONG_MS / 1000)
        time.sleep(1.0)
        home, _ = fleet.by_homes()
        home.process.kill()
        started = time.monotonic()
        wait_for(lambda: fleet.free_slots() == slots, seconds=2 * LONG_MS / 1000)
        seconds = time.monotonic() - started
    report.add(
        Row(
            "idle slots of a killed VM back",
            seconds,
            LONG_MS / 1000,
            "s",
            "the longest timeout",
            0.5,
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


def bench_log(report):
    """Cost of a decision's log line to the request, against a plain handler."""
    count = 20_000
    inputs = {"request": "0123456789abcdef", "service": "lookup", "target": "t-01"}

    def cost(journal):
        started = time.thread_time()
        for _ in range(count):
            journal.write(Event.ROUTE_LOCAL, used=3, limit=4, waited=0.0, **inputs)
        return (time.thread_time() - started) / count * 1e6

    logger = getLogger("bench.plain")
    logger.propagate = False
    logger.setLevel("INFO")
    handler = StreamHandler(StringIO())
    handler.setFormatter(JsonFormatter())
    logger.addHandler(handler)
    plain = cost(Journal("vm", "fd", logger))
    writer = LogWriter("INFO", StringIO())
    ours = cost(Journal("vm", "fd"))
    writer.start()
    writer.stop()
    row = Row("log line of a decision", ours, plain, "us", "formatted at once", 0.8)
    report.add(row)


def bench_text(report):
    """Parsing of the largest example against the plan's time in force."""
    source = (EXAMPLES / "agencia.jsonc").read_text()
    started = time.perf_counter()
    for _ in range(20):
        parse_text(source)
    seconds = (time.perf_counter() - started) / 20
    report.add(
        Row("reading the text of one deployment", seconds, 1.0, "s", "one second", 0.1)
    )


BENCHES = {
    "slots": bench_slots,
    "overload": bench_overload,
    "spill": bench_spill,
    "claims": bench_claims,
    "once": bench_once,
    "configuration": bench_configuration,
    "drain": bench_drain,
    "takeover": bench_takeover,
    "log": bench_log,
    "text": bench_text,
}


def main():
    """Run the benchmarks named in the arguments, or all of them."""
    report = Report()
    for name in sys.argv[1:] or BENCHES:
        BENCHES[name](report)
    report.write()
    sys.exit(0 if report.passed else 1)


if __name__ == "__main__":
    main()
