"""Clients that close their connection while their request waits at another VM.

Requests reached targets up to a second after their clients had left. The order of
events: a request that may run once only is forwarded to the VM that owns the targets,
and waits there for a slot; it is late, so its wait there lasts a second; its client
leaves. The VM of the client noticed that, but told the owner only of requests that may
run more than once: cutting a connection to a target does not undo what runs there. The
owner's own connection is another matter: nothing has run while a request waits there.

The evidence, from a day's record: the client left front-cartagena-b-1 at 26.370 s, and
its request reached a target at 27.325 s, from front-cartagena-b-2.
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
#: Seconds that a request takes, and after which the client leaves: it is late then, and
#: the slot comes free 0.6 s later, within one wait at the owner.
WORK = 1.4
LEAVE_AFTER = 0.8


def long_config():
    """Return a configuration with time for a long wait."""
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


def send_and_leave(vm, method, path, request_id, seconds):
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
def test_request_whose_client_left_does_not_get_the_next_slot(fleet, method, path):
    owner, other = fleet.vms["north-a-1"], fleet.vms["north-b-1"]
    fleet.switch_target("i-1", work_s=WORK)
    taking = [
        threading.Thread(
            target=fleet.send,
            args=(owner, "POST", "/one/x", f"q{number}"),
            kwargs={"wait_ms": 5000},
        )
        for number in range(2)
    ]
    for each in taking:
        each.start()
    wait_for(lambda: len(fleet.runs()) == 2)
    send_and_leave(other, method, path, "left", LEAVE_AFTER)
    for each in taking:
        each.join()
    time.sleep(2 * WORK)
    assert sorted(run[0] for run in fleet.runs()) == ["q0", "q1"]
