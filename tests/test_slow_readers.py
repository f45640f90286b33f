"""Callers that read slowly or not at all, through a fleet of steering VMs.

They guard against a VM that exceeds its memory, and against truncated responses.
"""

import signal
import socket
import threading
import time
from contextlib import suppress

import pytest

from heathercleat.steering.process.memory.outputs import PROGRESS_SECONDS
from standins.fleet import wait_for
from standins.soak_pressure import peak_bytes
from standins.steering_fleet import FRONT_PORT, SteeringFleet
from tests.platform_samples import config

DOMAINS = {"north-a": "north", "north-b": "north"}
TARGETS = {
    "i-1": ("s1", "north-a", 8),
    "i-2": ("s1", "north-b", 8),
    "i-3": ("s1", "north-b", 8),
}
MEGABYTE = 1 << 20
#: Memory limit of the VMs in the settings that the fleet writes.
MEMORY_BYTES = 300 * MEGABYTE
LARGE_BYTES = 8 * MEGABYTE
#: Callers that do not read; their responses exceed the memory of a VM.
CALLERS = 60
RECEIVE_BUFFER_BYTES = 32 << 10
LARGE_PATH = "/one/two/large/"
SMALL_PATH = "/one/two/small"


@pytest.fixture
def fleet():
    document = config()
    paths = document["hosts"][0]["paths"]
    paths.append({**paths[1], "name": "large", "prefix": LARGE_PATH})
    for each in paths:
        each["timeout"] = "4000ms"
    with SteeringFleet(
        document,
        DOMAINS,
        dict.fromkeys(DOMAINS, 1),
        TARGETS,
        subnet=49,
        suspends=True,
        contracts=("pressure",),
    ) as started:
        for vm in started.vms.values():
            # A VM may refuse its first requests, before it has slots.
            wait_for(lambda vm=vm: started.send(vm, "GET", SMALL_PATH, "q")[0] == 200)
        yield started


def open_caller(vm, size, path=LARGE_PATH):
    """Request a response of ``size`` bytes; return the socket, which has not read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(10.0)
    sock.connect((vm.host, FRONT_PORT))
    request = (
        f"GET {path}?bytes={size} HTTP/1.1\r\nHost: a.example\r\n"
        "Request-Id: large\r\nDeadline-Ms: 4000\r\n\r\n"
    )
    sock.sendall(request.encode())
    return sock


def read_all(sock, size, pause=0.0):
    """Return the number of bytes of a response, until it has ``size`` or is cut.

    :param pause: seconds between two reads.
    """
    count = 0
    try:
        while count < size and (data := sock.recv(32 << 10)):
            count += len(data)
            time.sleep(pause)
    except ConnectionError:
        pass
    return count


def gauge(fleet, vm, name):
    """Return a gauge of the metrics page."""
    prefix = f'heathercleat_steering_state{{name="{name}"}} '
    lines = fleet.metrics(vm).splitlines()
    return float(next(x for x in lines if x.startswith(prefix)).removeprefix(prefix))


def wait_held(fleet, vm, sock):
    """Wait until a VM holds a large response."""
    try:
        wait_for(lambda: gauge(fleet, vm, "memory_responses") > 7 * MEGABYTE, 4.0)
    except TimeoutError:
        received = sock.recv(300, socket.MSG_DONTWAIT | socket.MSG_PEEK)
        raise AssertionError((received, fleet.log(vm)[-5:])) from None


def has_event(fleet, vm, name):
    return name in str(fleet.log(vm))


@pytest.mark.parametrize("path", [LARGE_PATH, SMALL_PATH], ids=["route", "shared"])
def test_callers_that_do_not_read_exhaust_no_memory_and_others_are_served(fleet, path):
    """Guards against the 1,597 MB that 150 such callers caused on a VM with 300 MB."""
    vms = list(fleet.vms.values())
    ends_at = time.monotonic() + 5.0
    statuses, callers = [], []

    def request_small(vm, number):
        while time.monotonic() < ends_at:
            path = f"{SMALL_PATH}/{number}"
            statuses.append(fleet.send(vm, "GET", path, "small", wait_ms=3000)[0])
            time.sleep(0.03)

    threads = [
        threading.Thread(target=request_small, args=(vms[number % 2], number))
        for number in range(6)
    ]
    for each in threads:
        each.start()
    for _ in range(CALLERS):
        callers.append(open_caller(vms[0], LARGE_BYTES, path))
        time.sleep(0.03)
    for each in threads:
        each.join()
    peaks = [peak_bytes(vm) >> 20 for vm in vms]
    served = statuses.count(200) / len(statuses)
    print("peaks MB", peaks, "served", served, "of", len(statuses))
    assert max(peaks) << 20 < MEMORY_BYTES
    assert served >= 0.98
    wait_for(lambda: gauge(fleet, vms[0], "memory_responses") == 0, 20.0)
    assert has_event(fleet, vms[0], "response_dropped")
    assert has_event(fleet, vms[0], "memory_short")
    assert all(read_all(sock, LARGE_BYTES) < LARGE_BYTES for sock in callers[:3])


def test_caller_that_reads_slowly_is_served_after_its_deadline(fleet):
    vm = fleet.vms["north-a-1"]
    sock = open_caller(vm, 2 * MEGABYTE)
    started_at = time.monotonic()
    count = read_all(sock, 2 * MEGABYTE, pause=0.12)
    assert count >= 2 * MEGABYTE
    assert time.monotonic() - started_at > 5.0
    assert not has_event(fleet, vm, "response_dropped")


def test_later_response_is_not_written_to_a_connection_that_was_cut(fleet):
    """A later request must not wait for ever behind a response that is not read."""
    vm = fleet.vms["north-a-1"]
    sock = open_caller(vm, LARGE_BYTES)
    later = "GET /one/two/b HTTP/1.1\r\nHost: a.example\r\nRequest-Id: later\r\n\r\n"
    sock.sendall(later.encode())
    wait_for(lambda: any(run[0] == "later" for run in fleet.runs()))
    wait_for(lambda: has_event(fleet, vm, "response_dropped"), 2 * PROGRESS_SECONDS)
    wait_for(lambda: gauge(fleet, vm, "memory_responses") == 0)
    received = b""
    with suppress(ConnectionError):
        while data := sock.recv(32 << 10):
            received += data
    assert received.count(b"HTTP/1.1") <= 1
    assert len(received) < LARGE_BYTES
    assert fleet.send(vm, "GET", SMALL_PATH, "next")[0] == 200


def test_upload_to_a_target_that_reads_slowly_is_served(fleet):
    """The kernel cut such connections after 1.4 s without a read."""
    for target_id in TARGETS:
        fleet.switch_target(target_id, read_pause_s=2.5)
    for number, vm in enumerate(fleet.vms.values()):
        body = bytes(900 << 10)
        sent = fleet.send(vm, "POST", "/one/x", f"u{number}", body, wait_ms=4000)
        assert sent[0] == 200


def test_memory_of_a_pending_response_is_released_when_its_caller_disconnects(fleet):
    vm = fleet.vms["north-a-1"]
    sock = open_caller(vm, LARGE_BYTES)
    wait_held(fleet, vm, sock)
    sock.close()
    closed_at = time.monotonic()
    wait_for(lambda: gauge(fleet, vm, "memory_responses") == 0)
    assert time.monotonic() - closed_at < 1.0


def test_owner_that_dies_while_it_holds_a_response_truncates_none(fleet):
    """The other VM must not pass on a part, and must release the memory."""
    entry, owner = fleet.vms.values()
    for target_id in ("i-1", "i-3"):
        fleet.put("servers", target_id, None)
    fleet.switch_target("i-2", work_s=0.3)
    wait_for(lambda: has_event(fleet, entry, "target_gone"))
    sock = open_caller(entry, 32 * MEGABYTE)
    wait_for(lambda: gauge(fleet, owner, "memory_responses") > 8 * MEGABYTE, 5.0, 0.01)
    fleet.stop_vm(owner, signal.SIGKILL)
    head = sock.recv(100)
    assert (
        not head.startswith(b"HTTP/1.1 200")
        or read_all(sock, 32 * MEGABYTE) >= 31 * MEGABYTE
    )
    sock.close()
    wait_for(lambda: gauge(fleet, entry, "memory_responses") == 0)


def test_stopping_vm_sends_the_responses_that_are_ready(fleet):
    vm = fleet.vms["north-a-1"]
    sock = open_caller(vm, LARGE_BYTES)
    wait_held(fleet, vm, sock)
    fleet.stop_vm(vm)
    time.sleep(1.0)
    assert read_all(sock, LARGE_BYTES) >= LARGE_BYTES


def test_reader_is_not_cut_off_when_its_vm_was_suspended(fleet):
    vm = fleet.vms["north-a-1"]
    sock = open_caller(vm, LARGE_BYTES)
    wait_held(fleet, vm, sock)
    fleet.stop_vm(vm, signal.SIGSTOP)
    time.sleep(PROGRESS_SECONDS + 1.0)
    fleet.stop_vm(vm, signal.SIGCONT)
    time.sleep(1.0)
    assert read_all(sock, LARGE_BYTES) >= LARGE_BYTES
    assert not has_event(fleet, vm, "response_dropped")
