"""Benchmark of planned stops in simulated fleets."""

import random

from bench.report import Row
from heathercleat.steering.process.directory import LOOKUP_TTL_SECONDS, MAX_OVER_SHARE
from standins.simulated_clients import SimulatedClients
from standins.stop_simulation import STOP_SECONDS, converged_fleet
from tests.test_fleet_stops import StopCosts, in_turn

#: Sizes of the compared fleets.
SMALL, LARGE = 30, 72
STOPS = 3
CLIENTS = 100
#: Seconds between the restarts of the VMs of a failure domain, all stopped at once.
RETURN_SECONDS = 2.0
#: Maximum ratio of the cost of a stop per VM in the large and the small fleet.
MAX_GROWTH = 2.0


def bench_stops(report):
    """Membership updates per stop and VM, and the balance of client connections."""
    random.seed(1)
    report.add(
        Row(
            f"membership updates per stop and VM, {LARGE} VMs",
            _updates_per_stop(LARGE),
            _updates_per_stop(SMALL),
            "",
            f"{SMALL} VMs",
            MAX_GROWTH,
        )
    )
    report.add(
        Row(
            "highest client load of a VM, restart of a domain",
            _max_relative_load(),
            1.0,
            "",
            "an even share",
            MAX_OVER_SHARE,
        )
    )


def _updates_per_stop(size):
    costs = StopCosts(converged_fleet(size), in_turn(STOPS))
    return costs.spent.updates / costs.stops / size


def _max_relative_load():
    """Return the largest load of a VM relative to its fair share."""
    fleet = converged_fleet(LARGE, loss=0.1)
    clients = SimulatedClients(fleet, CLIENTS)
    clients.run(3 * LOOKUP_TTL_SECONDS)
    domain = next(iter(fleet.regions))
    stopped = [vm for vm in fleet.serving() if vm.domain == domain]
    for number, vm in enumerate(stopped):
        fleet.stop(vm, STOP_SECONDS + RETURN_SECONDS * number)
    max_load = 0.0
    for _ in stopped:
        clients.run(RETURN_SECONDS)
        max_load = max(
            max_load, *clients.relative_load(clients.expected_connections()).values()
        )
    return max_load
