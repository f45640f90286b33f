"""Benchmark of planned stops in simulated fleets: counts, no times."""

import random

from bench.report import Row
from heathercleat.steering.process.directory import LOOKUP_TTL_SECONDS, MAX_OVER_SHARE
from standins.simulated_clients import SimulatedClients
from standins.stop_simulation import STOP_SECONDS, settled
from tests.test_fleet_stops import StopCosts, in_turn

#: VMs of the fleets that are compared.
SMALL, LARGE = 30, 72
STOPS = 3
CLIENTS = 100
#: Seconds between the starts of two VMs of a failure domain that comes back.
RETURN_SECONDS = 2.0
#: Times what a stop costs each VM of the small fleet that it may cost in the large one.
MOST_GROWTH = 2.0


def bench_stops(report):
    """What a stop costs each VM, by the size of the fleet, and where clients go."""
    random.seed(1)
    report.add(
        Row(
            f"news of a stop, a VM, {LARGE} VMs",
            _news_of_a_stop(LARGE),
            _news_of_a_stop(SMALL),
            "",
            f"{SMALL} VMs",
            MOST_GROWTH,
        )
    )
    report.add(
        Row(
            "most clients of a VM, a failure domain returns",
            _most_over_share(),
            1.0,
            "",
            "an even share",
            MAX_OVER_SHARE,
        )
    )


def _news_of_a_stop(size):
    costs = StopCosts(settled(size), in_turn(STOPS))
    return costs.spent.news / costs.stops / size


def _most_over_share():
    """Return the most that one VM is named for over its even share of the clients."""
    fleet = settled(LARGE, loss=0.1)
    clients = SimulatedClients(fleet, CLIENTS)
    clients.run(3 * LOOKUP_TTL_SECONDS)
    domain = next(iter(fleet.regions))
    stopped = [vm for vm in fleet.serving() if vm.domain == domain]
    for number, vm in enumerate(stopped):
        fleet.stop(vm, STOP_SECONDS + RETURN_SECONDS * number)
    most = 0.0
    for _ in stopped:
        clients.run(RETURN_SECONDS)
        most = max(most, *clients.over_share(clients.drawn()).values())
    return most
