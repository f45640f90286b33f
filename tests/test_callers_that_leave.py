"""A request whose client disconnected must not reach a target from the owner's queue.

This also holds for at-most-once requests, as a waiting request has not run.
"""

import socket
import threading
import time

import pytest

from standins.fleet import wait_for
from standins.steering_fleet import FRONT_PORT, SteeringFleet
from tests.platform_samples import config

DOMAINS = {"north-a": "north", "north-b": "north"}
TARGETS = {"i-1": ("s1", "north-a", 2)}
#: Seconds for which a target runs a request.
WORK_SECONDS = 1.4
#: Seconds after which the client disconnects, while its request waits at the owner.
DISCONNECT_SECONDS = 0.8


def long_config():
    """Return a configuration with a timeout of several seconds."""
    document = config()
    for path in document["hosts"][0]["paths"]:
        path["timeout"] = "5000ms"
    return document


@pytest.fixture
def fleet():
    with SteeringFleet(
        long_config(), DOMAINS, dict.fromkeys(DOMAINS, 1), TARGETS, subnet=40
    ) as started:
        yield started


def send_and_disconnect(vm, method, path, request_id, seconds):
    """Send a request and close the connection some seconds later."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}\r\n"
        "Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
    )
    with socket.create_connection((vm.host, FRONT_PORT)) as client:
        client.sendall(head.encode())
        time.sleep(seconds)


@pytest.mark.parametrize(
    ("method", "path"), [("POST", "/one/x"), ("GET", "/one/two/x")]
)
def test_request_whose_client_disconnected_does_not_get_the_next_slot(
    fleet, method, path
):
    owner, other = fleet.vms["north-a-1"], fleet.vms["north-b-1"]
    fleet.switch_target("i-1", work_s=WORK_SECONDS)
    threads = [
        threading.Thread(
            target=fleet.send,
            args=(owner, "POST", "/one/x", f"q{number}"),
            kwargs={"wait_ms": 5000},
        )
        for number in range(2)
    ]
    for thread in threads:
        thread.start()
    wait_for(lambda: len(fleet.runs()) == 2)
    send_and_disconnect(other, method, path, "left", DISCONNECT_SECONDS)
    for thread in threads:
        thread.join()
    time.sleep(2 * WORK_SECONDS)
    assert sorted(run[0] for run in fleet.runs()) == ["q0", "q1"]
