"""Tests of what callers receive when targets fail, drain or respond late."""

import socket
import threading
import time
from contextlib import contextmanager

import msgpack
import pytest

from heathercleat.process.capacity.health import MAX_FAILURES
from standins.demo import demo_text
from standins.fleet import PORTS, Fleet, call, wait_for

SERVICE = "style-lookup"
STATE = msgpack.packb({"state": "ready"})
READY = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(STATE), STATE)
TARGETS = [f"style-{domain}" for domain in ("north-a", "north-b", "south-a", "south-b")]


@pytest.fixture
def fleet():
    vms = {"north-a": 1, "north-b": 1}
    with Fleet(demo_text(), vms, subnet=26) as running:
        running.wait_ready()
        yield running


@pytest.fixture
def vm(fleet):
    return fleet.vms["north-a-1"]


def get(vm, path="/x", **headers):
    address = vm.host, PORTS["caller"]
    return call(*address, "GET", f"/s/{SERVICE}{path}", headers=headers)


@contextmanager
def raw_target(response, host):
    """Send ``response``, in bytes, to each request on ``host`` except for probes."""
    listener = socket.create_server((host, 9000))
    listener.settimeout(0.1)
    stopping = threading.Event()

    def serve():
        while not stopping.is_set():
            try:
                sock, _ = listener.accept()
            except TimeoutError:
                continue
            with sock:
                request = sock.recv(65536)
                sock.sendall(READY if b"/health" in request else response)

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        yield
    finally:
        stopping.set()
        thread.join()
        listener.close()


def text_with_raw_target():
    text = demo_text()
    targets = {"raw": {"failure_domain": "north-a", "slots": 4}}
    text["services"] = {
        SERVICE: {**text["services"][SERVICE], "targets": targets},
    }
    return text


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno length at all",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 9\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"",
    ],
    ids=["short", "cut chunks", "no length", "two lengths", "both", "garbage", "none"],
)
def test_truncated_or_malformed_response_never_looks_complete(response):
    fleet = Fleet(text_with_raw_target(), {"north-a": 1}, subnet=27)
    host = fleet.targets["raw"][0]
    fleet.targets.clear()
    with raw_target(response, host), fleet:
        fleet.wait_ready()
        vm = next(iter(fleet.vms.values()))
        received = read_all(vm)
    assert b'"code"' in received or is_truncated(received)


def read_all(vm):
    """Return the bytes received for one request until the connection closes."""
    request = f"GET /s/{SERVICE}/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    with socket.create_connection((vm.host, PORTS["caller"]), timeout=5) as sock:
        sock.sendall(request.encode())
        received = b""
        while part := sock.recv(65536):
            received += part
    return received


def is_truncated(response):
    """Return whether a caller can detect that a response is incomplete."""
    head, _, body = response.partition(b"\r\n\r\n")
    head = head.lower()
    if b"content-length: 100" in head:
        return len(body) < 100
    return b"transfer-encoding: chunked" in head and not body.endswith(b"0\r\n\r\n")


def test_idempotent_request_is_retried_at_another_target(fleet, vm):
    fleet.switch_target("style-north-a", shed=True)
    responses = [get(vm) for _ in range(10)]
    assert {response[0] for response in responses} == {200}
    assert {response[1]["heathercleat-target"] for response in responses} == {
        "style-north-b"
    }
    assert not fleet.record("style-north-a")["runs"]


def test_target_that_fails_requests_but_not_probes_is_ejected(fleet, vm):
    fleet.switch_target("style-north-a", fail=True, lie=True)
    for _ in range(MAX_FAILURES):
        get(vm)
    responses = [get(vm) for _ in range(5)]
    assert {response[0] for response in responses} == {200}
    assert {response[1]["heathercleat-target"] for response in responses} == {
        "style-north-b"
    }


def test_server_error_of_an_edit_is_not_reported_as_run(fleet, vm):
    for name in fleet.targets:
        if name.startswith("rule"):
            fleet.switch_target(name, fail=True)
    address = vm.host, PORTS["caller"]
    status, headers, _ = call(*address, "POST", "/s/rule-editing/rules", b"{}")
    assert (status, headers["heathercleat-run"]) == (500, "unknown")


def test_draining_target_gets_no_new_requests(fleet, vm):
    fleet.switch_target("style-north-a", health="draining")
    time.sleep(2.5)
    before = len(fleet.record("style-north-a")["runs"])
    responses = [get(vm) for _ in range(10)]
    assert {response[0] for response in responses} == {200}
    assert len(fleet.record("style-north-a")["runs"]) == before


def test_disconnected_caller_cancels_its_request(fleet, vm):
    fleet.switch_target("style-north-a", service_s=0.9)
    with socket.create_connection((vm.host, PORTS["caller"])) as sock:
        sock.sendall(f"GET /s/{SERVICE}/x HTTP/1.1\r\nhost: x\r\n\r\n".encode())
        wait_for(lambda: fleet.record("style-north-a")["in_flight"] == 1)
    wait_for(lambda: fleet.record("style-north-a")["in_flight"] == 0, seconds=0.6)


def test_late_response_never_reaches_the_next_caller(fleet, vm):
    fleet.switch_target("style-north-a", service_s=1.2)
    fleet.switch_target("style-north-b", service_s=1.2)
    status, headers, _ = get(vm, "/late")
    assert status == 504
    assert headers["heathercleat-run"] == "unknown"
    for name in ("style-north-a", "style-north-b"):
        fleet.switch_target(name, service_s=0.0)
    for number in range(20):
        status, _, body = get(vm, f"/{number}")
        assert (status, body.split()[1]) == (200, b"GET")


def test_pipelined_requests_get_their_own_responses_in_order(fleet, vm):
    request = (
        "PUT /s/intake/uploads/{0} HTTP/1.1\r\nhost: x\r\ncontent-length: {0}\r\n\r\n"
    )
    data = b"".join(request.format(size).encode() + b"a" * size for size in (3, 5, 7))
    with socket.create_connection((vm.host, PORTS["caller"]), timeout=5) as sock:
        sock.sendall(data)
        received = b""
        while received.count(b"\n", 0) < 3 or received.count(b"PUT ") < 3:
            received += sock.recv(65536)
    sizes = [int(part.split()[0]) for part in received.split(b"PUT ")[1:]]
    assert sizes == [3, 5, 7]
