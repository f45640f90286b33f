"""Targets that ask their callers for less in the headers of their responses."""

import threading
import time

import pytest

from standins.soak_notices import (
    ADOPTION_SECONDS,
    MAX_IN_REST,
    WINDOW_SECONDS,
    max_in_rest,
    max_in_window,
)
from standins.steering_fleet import SteeringFleet
from tests.platform_samples import config

DOMAINS = {"north-a": "north", "north-b": "north", "south-a": "south"}
#: The first one receives the notices.
TARGETS = {
    "i-1": ("s1", "north-a", 4),
    "i-2": ("s1", "north-a", 4),
    "i-3": ("s1", "north-b", 4),
    "i-4": ("s1", "south-a", 4),
}
VMS = {"north-a": 2, "north-b": 1, "south-a": 1}
#: Requests per second that the target accepts.
RATE_LIMIT = 5.0
#: Requests that a limit allows in a window.
MAX_IN_WINDOW = 1.5 * RATE_LIMIT * WINDOW_SECONDS + 5
#: Seconds after a response that says that the target leaves in which it may still get
#: requests.
DRAIN_SECONDS = 2.0
#: Seconds for which a target asks for no requests.
REST_SECONDS = 2.0
CLIENTS = 10


@pytest.fixture
def fleet():
    with SteeringFleet(config(), DOMAINS, VMS, TARGETS, subnet=30) as started:
        for each in TARGETS:
            started.switch_target(each, work_s=0.05)
        yield started


class Load:
    """Clients that send safe requests through all VMs without pause.

    :ivar sent: request id to the instant at which it was sent.
    :ivar statuses: the status of each response, in order.
    """

    def __init__(self, fleet, vms):
        self._fleet = fleet
        self._vms = vms
        self._ends_at = 0.0
        self.sent = {}
        self.statuses = []

    def run(self, seconds):
        """Send requests for some seconds."""
        self._ends_at = time.monotonic() + seconds
        clients = [
            threading.Thread(target=self._send, args=(n,)) for n in range(CLIENTS)
        ]
        for each in clients:
            each.start()
        for each in clients:
            each.join()

    def _send(self, client):
        number = 0
        while (now := time.monotonic()) < self._ends_at:
            number += 1
            request_id = f"q{client}.{number}.{self._ends_at}"
            self.sent[request_id] = now
            vm = self._vms[(client + number) % len(self._vms)]
            response = self._fleet.send(vm, "GET", "/one/two/x", request_id)
            self.statuses.append(response[0])


def arrivals_since(fleet, target_id, instant):
    return [at for _, at, _ in fleet.arrivals(target_id) if at >= instant]


def test_limited_target_gets_no_more_than_its_limit(fleet):
    fleet.switch_target("i-1", limit=RATE_LIMIT)
    begin = time.monotonic()
    load = Load(fleet, list(fleet.vms.values()))
    load.run(ADOPTION_SECONDS + 2 * WINDOW_SECONDS)
    arrivals = arrivals_since(fleet, "i-1", begin + ADOPTION_SECONDS)
    assert max_in_window(arrivals, WINDOW_SECONDS) <= MAX_IN_WINDOW
    assert len(arrivals) >= RATE_LIMIT * WINDOW_SECONDS, "the target is hardly used"
    assert set(load.statuses) == {200}, "other targets have free slots"


def test_target_that_leaves_gets_no_requests_while_the_store_is_down(fleet):
    fleet.switch_store(down="silent")
    fleet.switch_target("i-1", leaving=True)
    begin = time.monotonic()
    load = Load(fleet, list(fleet.vms.values()))
    load.run(DRAIN_SECONDS + 3.0)
    arrivals = fleet.arrivals("i-1")
    late = [each for each, _, _ in arrivals if load.sent[each] > begin + DRAIN_SECONDS]
    assert arrivals, "no request reached the target"
    assert late == []
    assert set(load.statuses) == {200}, "other targets have free slots"


def most_in_rest(arrivals):
    """Return the most requests of one VM in a rest that it was asked for.

    :param arrivals: the :meth:`SteeringFleet.arrivals` at a target that refuses all.
    """
    by_sender = {}
    for _, at, sender in arrivals:
        by_sender.setdefault(sender, []).append(at)
    return max(max_in_rest(each, REST_SECONDS) for each in by_sender.values())


@pytest.mark.parametrize("resting", [("i-1",), ("i-1", "i-2")])
def test_targets_that_asked_for_rest_get_no_requests_until_its_end(fleet, resting):
    for each in resting:
        fleet.switch_target(each, shed=1.0, rest_s=REST_SECONDS)
    load = Load(fleet, list(fleet.vms.values()))
    load.run(2.5 * REST_SECONDS)
    for each in resting:
        arrivals = fleet.arrivals(each)
        assert most_in_rest(arrivals) <= MAX_IN_REST
        rested = arrivals[0][1] + REST_SECONDS
        assert arrivals[-1][1] >= rested, "the target is not used after its rest"
    assert set(load.statuses) == {200}, "other targets have free slots"


def owns(fleet, vm, target_id):
    """Return whether a running VM owns a target, by its log."""
    changes = [
        line["name"]
        for line in fleet.log(vm)
        if line.get("name") in ("home_adopted", "home_handed_over")
        and line["target"] == target_id
    ]
    return vm.process.poll() is None and changes[-1:] == ["home_adopted"]


def find_owner(fleet, target_id):
    return next(vm for vm in fleet.vms.values() if owns(fleet, vm, target_id))


def test_next_owner_of_a_leaving_target_sends_it_nothing(fleet):
    fleet.switch_store(down="silent")
    fleet.switch_target("i-1", leaving=True)
    Load(fleet, list(fleet.vms.values())).run(1.5)
    owner = find_owner(fleet, "i-1")
    owner.process.kill()
    owner.process.wait()
    killed_at = time.monotonic()
    Load(fleet, [vm for vm in fleet.vms.values() if vm is not owner]).run(4.0)
    assert find_owner(fleet, "i-1")
    assert arrivals_since(fleet, "i-1", killed_at) == []
