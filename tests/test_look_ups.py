"""Whom look-ups name: near VMs first, no VM to more clients than it can bear."""

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
from standins.stop_simulation import STOP_SECONDS, settled
from tests.fakes import ManualClock

PORT = 8381
LOOKUPS = 400
#: Seconds between the starts of two VMs that come back, and for which clients at most
#: keep an answer.
RETURN_SECONDS = 2.0
KEPT_SECONDS = 3 * LOOKUP_TTL_SECONDS


@pytest.fixture(autouse=True)
def _seed():
    random.seed(5)


class FakeMembers:
    """So many VMs in each failure domain of one region."""

    def __init__(self, counts):
        self.own = Member("vm-0", "10.0.0.1", "a", "north")
        self.own.stage = Stage.SERVING
        self._active = [
            Member(f"{domain}-{number}", f"10.0.{index}.{number}", domain, "north")
            for index, (domain, count) in enumerate(counts.items())
            for number in range(count)
        ]

    def active(self):
        return self._active

    def leaving(self):
        return []


def directory(counts, clock=None):
    regions = dict.fromkeys(counts, "north")
    return Directory(FakeMembers(counts), regions, PORT, 5.0, clock or ManualClock())


def named(counts, domain):
    """Return the IP numbers that one look-up names."""
    addresses = directory(counts).lookup("north", domain).addresses
    return [each.partition(":")[0] for each in addresses]


def over_share(counts):
    """Return how many times its even share of the clients each VM is named for."""
    loads = Counter()
    for domain in counts:
        for _ in range(LOOKUPS):
            addresses = named(counts, domain)
            for ip in addresses:
                loads[ip] += 1 / len(addresses) / LOOKUPS
    share = len(counts) / sum(counts.values())
    return {ip: load / share for ip, load in loads.items()}


@pytest.mark.parametrize(
    "counts", [{"a": 3, "b": 3, "c": 3}, {"a": 2, "b": 3, "c": 3}, {"a": 4, "b": 8}]
)
def test_clients_are_named_the_vms_of_their_failure_domain(counts):
    here = {f"10.0.0.{number}" for number in range(counts["a"])}
    assert set(named(counts, "a")) == here


@pytest.mark.parametrize("others", [3, 12, 25])
@pytest.mark.parametrize("domains", [2, 4])
@pytest.mark.parametrize("here", [0, 1, 2, 3])
def test_first_vms_back_in_a_failure_domain_do_not_get_all_its_clients(
    here, domains, others
):
    counts = {"a": here, **{f"b{number}": others for number in range(1, domains)}}
    # Some look-ups name others at random: 400 of them spread by a few percent.
    assert max(over_share(counts).values()) <= MAX_OVER_SHARE * 1.1


def test_vms_of_the_own_failure_domain_are_named_to_all_its_clients():
    counts = {"a": 2, "b": 25, "c": 25}
    for _ in range(LOOKUPS):
        assert {"10.0.0.0", "10.0.0.1"} <= set(named(counts, "a"))


def test_no_more_vms_are_named_than_an_answer_holds():
    assert len(named({"a": 100, "b": 100}, "a")) == MAX_ADDRESSES


def test_vm_that_has_just_started_answers_for_a_short_time():
    clock = ManualClock()
    answers = directory({"a": 3}, clock)
    assert answers.lookup("north", "a").ttl == SHORT_LOOKUP_TTL_SECONDS
    clock.time += START_SECONDS
    assert answers.lookup("north", "a").ttl == LOOKUP_TTL_SECONDS


def test_vm_that_leaves_answers_for_a_short_time():
    clock = ManualClock()
    members = FakeMembers({"a": 3})
    answers = Directory(members, {"a": "north"}, PORT, 5.0, clock)
    clock.time += START_SECONDS
    members.own.stage = Stage.LEAVING
    assert answers.lookup("north", "a").ttl == SHORT_LOOKUP_TTL_SECONDS


def return_one_by_one(fleet):
    """Stop a failure domain at once; its VMs come back one after the other."""
    domain = next(iter(fleet.regions))
    stopped = [vm for vm in fleet.serving() if vm.domain == domain]
    for number, vm in enumerate(stopped):
        fleet.stop(vm, STOP_SECONDS + RETURN_SECONDS * number)
    return STOP_SECONDS + RETURN_SECONDS * len(stopped) + KEPT_SECONDS


def test_clients_of_a_failure_domain_that_returns_are_spread():
    fleet = settled(30, loss=0.1)
    clients = SimulatedClients(fleet, 60)
    clients.run(KEPT_SECONDS)
    seconds = return_one_by_one(fleet)
    for _ in range(int(seconds / RETURN_SECONDS)):
        clients.run(RETURN_SECONDS)
        assert max(clients.over_share(clients.drawn()).values()) <= MAX_OVER_SHARE
