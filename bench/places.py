"""Benchmark of destination selection with few and with many targets."""

import time

from bench.report import Row
from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.loss_rates import LossRates
from heathercleat.steering.process.capacity.region_loss_rates import RegionLossRates
from heathercleat.steering.process.capacity.region_shift import RegionShiftLimit
from heathercleat.steering.process.capacity.response_times import ResponseTimes
from heathercleat.steering.process.capacity.view import TargetView
from heathercleat.steering.request.destinations import DestinationSelector
from heathercleat.steering.request.estimates import Estimates
from tests.steering_parts import Parts, call, entry, make_heartbeat, route

DOMAINS = {"north-a": "north", "north-b": "north", "south-a": "south"}
VMS_PER_DOMAIN = 6
SLOTS = 6
OBJECTS = 270
CALLS = 2000
ROUND_TRIP_SECONDS = 0.024
FEW_TARGETS, MANY_TARGETS = 60, 1_900
#: Maximum ratio of the times with many and with few targets, far below the ratio of
#: their numbers.
MAX_GROWTH = 10.0


def bench_places(report):
    """CPU time to find that no destination has a free slot."""
    few, many = (refusal_seconds(count) for count in (FEW_TARGETS, MANY_TARGETS))
    report.add(
        Row(
            f"refusal without a free slot, {MANY_TARGETS} targets",
            many * 1e3,
            few * 1e3,
            "ms",
            f"{FEW_TARGETS} targets",
            MAX_GROWTH,
        )
    )


def refusal_seconds(targets):
    """Return the mean CPU time of a refusal when every slot is in use."""
    parts = _parts(targets)
    selector = _selector(parts)
    calls = [_call(parts.clock, number) for number in range(CALLS)]
    _refuse_all(selector, calls, parts.clock)
    began = time.process_time()
    _refuse_all(selector, calls, parts.clock)
    return (time.process_time() - began) / CALLS


def _parts(targets):
    parts = Parts()
    for domain, region in DOMAINS.items():
        for number in range(VMS_PER_DOMAIN):
            heartbeat = make_heartbeat(f"{domain}-{number}", domain, region)
            parts.members.record_heartbeat(heartbeat)
    names = list(DOMAINS)
    parts.registry.replace(
        [
            entry(f"t{number}", domain=names[number % len(names)], slots=SLOTS)
            for number in range(targets)
        ]
    )
    return parts


def _selector(parts):
    clock, members = parts.clock, parts.members
    reports, losses = CapacityReports(clock), LossRates()
    for member in members.live_others():
        reports.record_report(member.vm, [], [("s1", 0.5, 0.5)], [("s1", 0.3)])
    for owned in parts.ledger.all():
        for _ in range(SLOTS):
            owned.claim(clock.now())
    admission = Admission(parts.ledger, members.region_of, clock)
    return DestinationSelector(
        TargetView(members, parts.registry, parts.owners, parts.ledger, reports),
        members,
        Estimates(
            members,
            admission,
            reports,
            lambda vm: ROUND_TRIP_SECONDS,
            ResponseTimes(),
            clock,
        ),
        RegionLossRates(members, reports, losses, clock),
        RegionShiftLimit(0.15, clock),
        parts.notices,
        clock,
    )


def _call(clock, number):
    new_call = call(clock, route(sticky=True), affinity=f"/{number % OBJECTS}")
    new_call.give_up_at = clock.now() + 0.1
    return new_call


def _refuse_all(selector, calls, clock):
    """Select destinations as refused requests do, at 1,000 requests per second."""
    no_targets = frozenset()
    for each in calls:
        clock.time += 0.001
        selector.select_free(each, no_targets, no_targets)
        selector.select_spillover(each, no_targets, no_targets)
        selector.select_queue(each, no_targets, no_targets)
        selector.describe(each)
