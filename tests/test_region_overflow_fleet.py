"""Tests of overflow between the regions of a fleet of processes."""

import re
import threading
import time

import pytest

from heathercleat.platform.wire_names import AFFINITY_COOKIE
from standins.fleet import wait_for
from standins.steering_fleet import SteeringFleet
from tests.platform_samples import config

DOMAINS = {"north-a": "north", "south-a": "south"}
TARGETS = {
    "n-1": ("s1", "north-a", 2),
    "s-1": ("s1", "south-a", 6),
    "s-2": ("s1", "south-a", 6),
}
#: Seconds of work of each request; short beside the latency objective of 0.3 s.
WORK_SECONDS = 0.06
#: Clients of the north that send one request after the other. They need more than the
#: two slots there.
CLIENTS = 8
OBJECTS = 60
OVERFLOW = re.compile(
    r'heathercleat_region_overflow{region="north",service="s1"} (\S+)'
)


class Clients:
    """Clients of one VM; records the status of each response."""

    def __init__(self, fleet, vm):
        self._fleet = fleet
        self._vm = vm
        self._stopping = False
        self.results = []
        self._threads = [
            threading.Thread(target=self._run, args=(each,)) for each in range(CLIENTS)
        ]

    def __enter__(self):
        for each in self._threads:
            each.start()
        return self

    def __exit__(self, *exc_info):
        self._stopping = True
        for each in self._threads:
            each.join()

    def _run(self, client):
        number = client
        while not self._stopping:
            number += CLIENTS
            cookie = f"{AFFINITY_COOKIE}=o{number % OBJECTS}"
            sent_at = time.monotonic()
            status, _, _ = self._fleet.send(
                self._vm, "GET", "/one/two/", f"c{number}", Cookie=cookie
            )
            self.results.append((sent_at, status))


@pytest.fixture
def fleet():
    started = SteeringFleet(
        config(), DOMAINS, dict.fromkeys(DOMAINS, 1), TARGETS, subnet=48
    )
    with started:
        for target in TARGETS:
            started.switch_target(target, work_s=WORK_SECONDS, slowdown=100)
        yield started


def overflow(fleet, vm):
    """Return the fraction of the north's objects that go south, as a VM knows it."""
    found = OVERFLOW.search(fleet.metrics(vm))
    return float(found.group(1)) if found else 0.0


def test_objects_overflow_and_return_when_the_other_region_is_lost(fleet):
    north, south = fleet.vms["north-a-1"], fleet.vms["south-a-1"]
    with Clients(fleet, north) as clients:
        wait_for(lambda: overflow(fleet, north) > 0.1)
        wait_for(lambda: overflow(fleet, south) > 0.1)
        wait_for(lambda: len(fleet.record("s-1")["runs"]) > 10)
        south.process.kill()
        south.process.wait()
        killed_at = time.monotonic()
        time.sleep(4.0)
    statuses = [status for at, status in clients.results if at > killed_at + 2.0]
    assert statuses and set(statuses) <= {200, 503}
    assert statuses.count(200) > 0.9 * len(statuses)
