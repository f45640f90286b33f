"""Tests that a planned stop of a VM interrupts no request of its clients."""

import threading
import time
from http.client import HTTPConnection, HTTPException
from itertools import count

import pytest

from standins.fleet import wait_for
from standins.steering_fleet import FRONT_PORT, SteeringFleet
from tests.platform_samples import config

DOMAINS = {"north-a": "north", "north-b": "north"}
TARGETS = {"i-1": ("s1", "north-a", 8)}
#: Run times of the request that keeps the VM busy and of those sent after the signal.
LONG_RUN_SECONDS, LATE_RUN_SECONDS = 4.6, 2.6
#: Paths of an idempotent request and of one that may run at most once.
PATHS = {"safe": "/one/two/x", "once": "/one/x"}
#: Seconds from the stop signal to the later requests.
LATE_SEND_SECONDS = 3.2


def long_config():
    """Return a configuration with a long request timeout."""
    document = config()
    for path in document["hosts"][0]["paths"]:
        path["timeout"] = "8000ms"
    return document


@pytest.fixture
def fleet():
    with SteeringFleet(
        long_config(), DOMAINS, dict.fromkeys(DOMAINS, 1), TARGETS, subnet=44
    ) as started:
        yield started


@pytest.fixture
def vm(fleet):
    return fleet.vms["north-a-1"]


class PersistentClient:
    """A client with a persistent connection.

    :param wait_ms: the deadline that it sends, in milliseconds from the request.
    """

    def __init__(self, vm, wait_ms=8000):
        self._connection = HTTPConnection(vm.host, FRONT_PORT, timeout=10.0)
        self._wait_ms = wait_ms

    def send(self, method, path, request_id):
        """Return the status of the response, or ``None`` if the connection ended."""
        headers = {
            "Host": "a.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(self._wait_ms),
            "Cookie": "Affinity-Key=7",
        }
        try:
            self._connection.request(method, path, headers=headers)
            response = self._connection.getresponse()
            response.read()
            return response.status
        except (OSError, HTTPException):
            return None

    def wait_closed(self):
        """Wait until the VM closes the connection."""
        assert self._connection.sock.recv(1) == b""


def stop_while_busy(fleet, vm):
    """Stop a VM while it serves a long request; return the thread of the client."""
    fleet.switch_target("i-1", work_s=LONG_RUN_SECONDS)
    args = ("GET", PATHS["safe"], "long")
    thread = threading.Thread(target=PersistentClient(vm).send, args=args)
    thread.start()
    wait_for(lambda: any(run[0] == "long" for run in fleet.runs()))
    fleet.stop_vm(vm)
    return thread


def send_concurrently(clients):
    """Send a request of each kind concurrently; return the statuses by kind."""
    statuses = {}

    def send(kind):
        method = "GET" if kind == "safe" else "POST"
        statuses[kind] = clients[kind].send(method, PATHS[kind], kind)

    threads = [threading.Thread(target=send, args=(kind,)) for kind in clients]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    return statuses


@pytest.mark.parametrize("earlier_runs", [0, 40])
def test_request_accepted_late_in_a_stop_is_not_interrupted(fleet, vm, earlier_runs):
    """Short earlier runs must not limit the expected duration of a later one."""
    earlier_client = PersistentClient(vm)
    for number in range(earlier_runs):
        earlier_client.send("GET", PATHS["safe"], f"before-{number}")
        earlier_client.send("POST", PATHS["once"], f"before-{number}-once")
    clients = {"safe": PersistentClient(vm), "once": PersistentClient(vm)}
    stop_while_busy(fleet, vm)
    stopped_at = time.monotonic()
    fleet.switch_target("i-1", work_s=LATE_RUN_SECONDS)
    time.sleep(max(0.0, stopped_at + LATE_SEND_SECONDS - time.monotonic()))
    statuses = send_concurrently(clients)
    vm.process.wait(10)
    assert set(statuses.values()) <= {200, 503}
    served = {name for name, status in statuses.items() if status == 200}
    assert {run[0] for run in fleet.runs()} & set(clients) == served


def test_idle_persistent_connection_is_closed_early_in_a_stop(fleet, vm):
    persistent = PersistentClient(vm)
    persistent.send("GET", PATHS["safe"], "first")
    long_request = stop_while_busy(fleet, vm)
    persistent.wait_closed()
    assert long_request.is_alive()


def test_short_request_during_a_stop_is_served(fleet, vm):
    persistent = PersistentClient(vm, wait_ms=1500)
    stop_while_busy(fleet, vm)
    fleet.switch_target("i-1", work_s=0.1)
    ids = (f"short-{number}" for number in count())
    wait_for(
        lambda: persistent.send("GET", PATHS["safe"], next(ids)) == 200, seconds=2.0
    )
