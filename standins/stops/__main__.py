"""The command line of the load."""

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
    GRACE_SECONDS,
    KNOWN_SECONDS,
    REMEMBERED,
    SIZES,
    configuration,
)
from standins.stops.plan import BESIDE, PLANS, Beside, Stopper
from standins.stops.report import Report, count_refusals
from standins.stops.tally import Tally, collect_runs

SUBNET = 12
#: Seconds of load in which targets learn objects at no cost, as if they knew them
#: long since; those from then to the first stop; and those after the last one.
LEARNING_SECONDS = 4.0
WARM_UP_SECONDS = 6.0
SETTLE_SECONDS = 2.0
#: Seconds after which no request is under way, with those that came back.
LAST_RESPONSES_SECONDS = 20.0
#: Seconds that a run takes at most.
LONGEST_SECONDS = 600
DESCRIPTION = """Stop VMs as planned under load, and count what became of requests.

Goals: 0 requests run at a target and given up, 0 unanswered once a VM has read them,
under 0.5% of attempts refused where VMs are stopped in turn, and under 10% of those of
the worst two seconds where all are told to stop within 3 s."""


def main():
    """Run the load and report on it."""
    args = _parser().parse_args()
    signal.signal(signal.SIGALRM, _end)
    signal.signal(signal.SIGTERM, _end)
    signal.alarm(LONGEST_SECONDS)
    print(f"seed {args.seed}", flush=True)
    report = run_stops(args)
    print(report.table())
    if args.json:
        document = {**report.figures(), "goals": report.goals()}
        args.json.write_text(json.dumps(document, indent=1))
    sys.exit(0 if all(report.goals().values()) else 1)


def _end(signum, frame):
    """End the run, and every process of it."""
    sys.exit(f"ended by {signal.Signals(signum).name}")


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
        _set_work(fleet, KNOWN_SECONDS)
        stopper, beside = Stopper(fleet), Beside(fleet, rng)
        vms = list(fleet.vms.values())
        rng.shuffle(vms)
        if args.plan != "together":
            stopper.expect(vms[0])
        elif args.beside == "kill":
            # The one that is killed is not told to stop.
            vms.pop()
        clients = Clients(fleet, size, args.seed, stopper)
        thread = threading.Thread(target=clients.run, daemon=True)
        thread.start()
        try:
            time.sleep(LEARNING_SECONDS)
            _set_work(fleet, args.unknown)
            time.sleep(WARM_UP_SECONDS)
            began_at = time.time()
            act = getattr(beside, args.beside)
            for _ in range(args.rounds):
                PLANS[args.plan](vms, stopper, act, rng)
            time.sleep(SETTLE_SECONDS)
        finally:
            clients.stop()
            thread.join(LAST_RESPONSES_SECONDS)
        beside.wait()
        lines = [line for vm in fleet.vms.values() for line in fleet.log(vm)]
        refusals = count_refusals(line for line in lines if line["at"] >= began_at)
        tally = Tally(
            clients.attempts,
            collect_runs(fleet.spans()),
            stopper.stops,
            beside.kills,
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


def _set_work(fleet, unknown):
    for target in fleet.targets:
        fleet.switch_target(
            target,
            work_s=KNOWN_SECONDS,
            learning_x=unknown / KNOWN_SECONDS,
            remembers=REMEMBERED,
        )


def _parser():
    parser = ArgumentParser(prog="standins.stops", description=DESCRIPTION)
    parser.add_argument("--size", choices=SIZES, default="small")
    parser.add_argument("--plan", choices=PLANS, default="turn")
    parser.add_argument("--beside", choices=BESIDE, default="none")
    parser.add_argument(
        "--unknown",
        type=float,
        default=2.2,
        metavar="SECONDS",
        help="time that a target takes for an object that it does not know",
    )
    parser.add_argument("--rounds", type=int, default=1, help="times the plan runs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, metavar="FILE")
    return parser


if __name__ == "__main__":
    main()
