"""Tests that look-ups name near VMs first and overload none of them."""

import random
from collections import Counter

import pytest

from heathercleat.steering.process.directory import (
    LOOKUP_TTL_SECONDS,
    MAX_ADDRESSES,
    MAX_OVER_SHARE,
    SHORT_LOOKUP_TTL_SECONDS,
    START_SECONDS,
    Directory,
)
from heathercleat.steering.process.membership.member import Member, Stage
from standins.simulated_clients import SimulatedClients
from standins.stop_simulation import STOP_SECONDS, converged_fleet
from tests.fakes import ManualClock

PORT = 8381
LOOKUPS = 400
#: Seconds between two restarts of VMs, and for which clients cache a look-up at most.
RESTART_INTERVAL_SECONDS = 2.0
MAX_CACHE_SECONDS = 3 * LOOKUP_TTL_SECONDS


@pytest.fixture(autouse=True)
def _seed():
    random.seed(5)


class FakeMembers:
    """Members of one region.

    :param counts: the number of VMs of each failure domain.
    """

    def __init__(self, counts):
        self.own = Member("vm-0", "10.0.0.1", "a", "north")
        self.own.stage = Stage.SERVING
        self._active = [
            Member(f"{domain}-{number}", f"10.0.{index}.{number}", domain, "north")
            for index, (domain, count) in enumerate(counts.items())
            for number in range(count)
        ]

    def strong_serving(self):
        return self._active

    def leaving(self):
        return []


def directory(counts, clock=None):
    regions = dict.fromkeys(counts, "north")
    return Directory(FakeMembers(counts), regions, PORT, 5.0, clock or ManualClock())


def lookup_ips(counts, domain):
    """Return the IP addresses that one look-up names."""
    addresses = directory(counts).lookup("north", domain).addresses
    return [each.partition(":")[0] for each in addresses]


def relative_load(counts):
    """Return the ratio of each VM's share of the clients to an even share."""
    loads = Counter()
    for domain in counts:
        for _ in range(LOOKUPS):
            addresses = lookup_ips(counts, domain)
            for ip in addresses:
                loads[ip] += 1 / len(addresses) / LOOKUPS
    share = len(counts) / sum(counts.values())
    return {ip: load / share for ip, load in loads.items()}


@pytest.mark.parametrize(
    "counts", [{"a": 3, "b": 3, "c": 3}, {"a": 2, "b": 3, "c": 3}, {"a": 4, "b": 8}]
)
def test_lookup_names_the_vms_of_the_failure_domain_of_the_client(counts):
    here = {f"10.0.0.{number}" for number in range(counts["a"])}
    assert set(lookup_ips(counts, "a")) == here


@pytest.mark.parametrize("others", [3, 12, 25])
@pytest.mark.parametrize("domains", [2, 4])
@pytest.mark.parametrize("here", [0, 1, 2, 3])
def test_first_restarted_vms_of_a_failure_domain_do_not_get_all_its_clients(
    here, domains, others
):
    counts = {"a": here, **{f"b{number}": others for number in range(1, domains)}}
    # The margin allows for look-ups that select VMs at random.
    assert max(relative_load(counts).values()) <= MAX_OVER_SHARE * 1.1


def test_every_lookup_names_all_vms_of_a_small_failure_domain():
    counts = {"a": 2, "b": 25, "c": 25}
    for _ in range(LOOKUPS):
        assert {"10.0.0.0", "10.0.0.1"} <= set(lookup_ips(counts, "a"))


def test_lookup_names_a_limited_number_of_vms():
    assert len(lookup_ips({"a": 100, "b": 100}, "a")) == MAX_ADDRESSES


def test_lookup_at_a_starting_vm_has_a_short_ttl():
    clock = ManualClock()
    vm_directory = directory({"a": 3}, clock)
    assert vm_directory.lookup("north", "a").ttl == SHORT_LOOKUP_TTL_SECONDS
    clock.time += START_SECONDS
    assert vm_directory.lookup("north", "a").ttl == LOOKUP_TTL_SECONDS


def test_lookup_at_a_leaving_vm_has_a_short_ttl():
    clock = ManualClock()
    members = FakeMembers({"a": 3})
    vm_directory = Directory(members, {"a": "north"}, PORT, 5.0, clock)
    clock.time += START_SECONDS
    members.own.stage = Stage.LEAVING
    assert vm_directory.lookup("north", "a").ttl == SHORT_LOOKUP_TTL_SECONDS


def restart_one_by_one(fleet):
    """Stop a failure domain at once and restart its VMs one after another.

    Return the seconds until no client uses a look-up from before the last restart.
    """
    domain = next(iter(fleet.regions))
    stopped = [vm for vm in fleet.serving() if vm.domain == domain]
    for number, vm in enumerate(stopped):
        fleet.stop(vm, STOP_SECONDS + RESTART_INTERVAL_SECONDS * number)
    return STOP_SECONDS + RESTART_INTERVAL_SECONDS * len(stopped) + MAX_CACHE_SECONDS


def test_clients_of_a_restarted_failure_domain_are_spread():
    fleet = converged_fleet(30, loss=0.1)
    clients = SimulatedClients(fleet, 60)
    clients.run(MAX_CACHE_SECONDS)
    seconds = restart_one_by_one(fleet)
    for _ in range(int(seconds / RESTART_INTERVAL_SECONDS)):
        clients.run(RESTART_INTERVAL_SECONDS)
        assert (
            max(clients.relative_load(clients.expected_connections()).values())
            <= MAX_OVER_SHARE
        )
