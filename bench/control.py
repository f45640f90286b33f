"""Benchmarks of claims, at-most-once requests, configurations and log lines."""

import copy
import random
import time
from collections import Counter
from functools import partial
from io import StringIO
from logging import StreamHandler, getLogger
from pathlib import Path

from curio import run, spawn

from bench.report import Row
from heathercleat.events import Event
from heathercleat.process.at_most_once.claims import ClaimTable
from heathercleat.process.logs import Journal, JsonFormatter, LogWriter
from heathercleat.version.text import parse_text
from standins.demo import demo_text
from standins.fleet import Fleet, wait_for
from tests.fakes import FakePlatform
from tests.test_once_failures import kill_and_restart as kill_one
from tests.test_once_failures import pause_and_resume as pause_one
from tests.test_once_failures import run_edits_under_faults

EXAMPLES = Path("examples")
IN_FORCE_LIMIT_SECONDS = 20.0


def bench_claims(report):
    """Transactions per claim when claims arrive together."""
    platform = FakePlatform()
    claims = ClaimTable(platform, "p")
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


def bench_at_most_once(report):
    """Wrong and unknown outcomes of edits while VMs are killed or paused."""
    shares = {}
    for name, fault, is_platform_down in (
        ("kills", kill_one, False),
        ("pauses", pause_one, False),
        ("pauses without the platform", pause_one, True),
    ):
        settings = {"lookup_ttl_ms": 500}
        vms = {"north-a": 2, "north-b": 1}
        with Fleet(demo_text(), vms, subnet=33, settings=settings) as fleet:
            fleet.wait_ready()
            if is_platform_down:
                fleet.switch_platform(down=True)
                time.sleep(1.5)
            rng = random.Random(7)
            outcomes, runs = run_edits_under_faults(fleet, partial(fault, fleet, rng))
        counts = Counter(outcomes.values())
        shares[name] = counts["unknown"] / max(1, sum(counts.values()))
        run_twice = sum(1 for count in runs.values() if count > 1)
        wrongly_not_run = sum(
            1 for key, outcome in outcomes.items() if outcome == "not-run" and runs[key]
        )
        report.add(
            Row(
                f"run twice or wrongly reported as not run, {name}",
                run_twice + wrongly_not_run,
                1.0,
                "",
                "one",
                0,
            )
        )
        report.add(
            Row(f"unknown outcomes, {name}", shares[name], 1.0, "", "all edits", 0.05)
        )


def in_force(fleet, version):
    """Return whether every VM has a version in force."""
    return all(fleet.version(vm) == version for vm in fleet.vms.values())


def bench_configuration(report):
    """Seconds until an accepted configuration is in force on every VM."""
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
            IN_FORCE_LIMIT_SECONDS,
            "s",
            "the limit",
            0.15,
        )
    )


def bench_log(report):
    """CPU time of a log line in the calling thread, against a plain handler."""
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
    plain_cost = cost(Journal("vm", "fd", logger))
    writer = LogWriter("INFO", StringIO())
    journal_cost = cost(Journal("vm", "fd"))
    writer.start()
    writer.stop()
    row = Row(
        "log line of a routing decision",
        journal_cost,
        plain_cost,
        "us",
        "formatted at once",
        0.8,
    )
    report.add(row)


def bench_text(report):
    """Time to parse the largest example configuration."""
    source = (EXAMPLES / "agencia.jsonc").read_text()
    started = time.perf_counter()
    for _ in range(20):
        parse_text(source)
    seconds = (time.perf_counter() - started) / 20
    report.add(
        Row("reading the text of one deployment", seconds, 1.0, "s", "one second", 0.1)
    )
