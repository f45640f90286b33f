"""The command line of the load test."""

import json
import signal
import sys
import threading
import time
from argparse import ArgumentParser
from pathlib import Path
from random import Random

from standins.steering_fleet import SteeringFleet
from standins.stops.clients import Clients
from standins.stops.deployment import (
    CACHED_OBJECTS,
    CACHED_WORK_SECONDS,
    GRACE_SECONDS,
    SIZES,
    configuration,
)
from standins.stops.plan import CONCURRENT_FAULTS, PLANS, ConcurrentFaults, Stopper
from standins.stops.report import Report, count_refusals
from standins.stops.tally import Tally, collect_runs

SUBNET = 12
#: Seconds of load in which targets fill their object caches without extra work, from
#: there to the first stop, and after the last stop.
CACHE_FILL_SECONDS = 4.0
WARM_UP_SECONDS = 6.0
SETTLE_SECONDS = 2.0
#: Seconds until all requests have ended, including retries.
LAST_RESPONSES_SECONDS = 20.0
#: Seconds after which the run is aborted.
MAX_RUN_SECONDS = 600
DESCRIPTION = """Stop VMs as planned under load, and count requests by outcome.

Goals: 0 requests abandoned while they ran at a target, 0 without a response after a VM
has read them, under 0.5% of attempts refused when VMs are stopped one by one, and under
10% in the worst two seconds when all get SIGTERM within 3 s."""


def main():
    """Run the load test, print its report and exit with 1 if a goal is missed."""
    args = _parser().parse_args()
    signal.signal(signal.SIGALRM, _abort)
    signal.signal(signal.SIGTERM, _abort)
    signal.alarm(MAX_RUN_SECONDS)
    print(f"seed {args.seed}", flush=True)
    report = run_stops(args)
    print(report.table())
    if args.json:
        document = {**report.figures(), "goals": report.goals()}
        args.json.write_text(json.dumps(document, indent=1))
    sys.exit(0 if all(report.goals().values()) else 1)


def _abort(signum, frame):
    """Abort the run on a signal; the fleet's context manager kills all processes."""
    sys.exit(f"aborted by {signal.Signals(signum).name}")


def run_stops(args):
    """Run one plan and return its :class:`Report`."""
    size = SIZES[args.size]
    rng = Random(f"{args.seed} plan")
    with SteeringFleet(
        configuration(),
        size.domains,
        size.vm_counts(),
        size.target_specs(),
        subnet=SUBNET,
        bounds=(f"grace={GRACE_SECONDS:g}s", "budgetSlack=60"),
    ) as fleet:
        _set_work(fleet, CACHED_WORK_SECONDS)
        stopper, faults = Stopper(fleet), ConcurrentFaults(fleet, rng)
        vms = list(fleet.vms.values())
        rng.shuffle(vms)
        if args.plan != "together":
            stopper.set_next(vms[0])
        elif args.beside == "kill":
            # The VM that is killed gets no SIGTERM.
            vms.pop()
        clients = Clients(fleet, size, args.seed, stopper)
        thread = threading.Thread(target=clients.run, daemon=True)
        thread.start()
        try:
            time.sleep(CACHE_FILL_SECONDS)
            _set_work(fleet, args.unknown)
            time.sleep(WARM_UP_SECONDS)
            began_at = time.time()
            inject_fault = getattr(faults, args.beside)
            for _ in range(args.rounds):
                PLANS[args.plan](vms, stopper, inject_fault, rng)
            time.sleep(SETTLE_SECONDS)
        finally:
            clients.stop()
            thread.join(LAST_RESPONSES_SECONDS)
        faults.wait()
        lines = [line for vm in fleet.vms.values() for line in fleet.log(vm)]
        refusals = count_refusals(line for line in lines if line["at"] >= began_at)
        tally = Tally(
            clients.attempts,
            collect_runs(fleet.spans()),
            stopper.stops,
            faults.kills,
            GRACE_SECONDS,
        )
    heading = {
        "plan": args.plan,
        "beside": args.beside,
        "size": args.size,
        "seed": args.seed,
        "unknown objects take": args.unknown,
    }
    return Report(tally, clients, stopper.stops, refusals, heading)


def _set_work(fleet, uncached_seconds):
    for target in fleet.targets:
        fleet.switch_target(
            target,
            work_s=CACHED_WORK_SECONDS,
            learning_x=uncached_seconds / CACHED_WORK_SECONDS,
            remembers=CACHED_OBJECTS,
        )


def _parser():
    parser = ArgumentParser(prog="standins.stops", description=DESCRIPTION)
    parser.add_argument("--size", choices=SIZES, default="small")
    parser.add_argument("--plan", choices=PLANS, default="turn")
    parser.add_argument("--beside", choices=CONCURRENT_FAULTS, default="none")
    parser.add_argument(
        "--unknown",
        type=float,
        default=2.2,
        metavar="SECONDS",
        help="seconds of work for an object that a target has not cached",
    )
    parser.add_argument("--rounds", type=int, default=1, help="runs of the plan")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, metavar="FILE")
    return parser


if __name__ == "__main__":
    main()
