"""Targets that send bytes without end, in place of a response or inside of one."""

import copy
import itertools
import re
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest

from standins.fleet import wait_for
from standins.soak_pressure import peak_bytes
from standins.steering_fleet import TARGET_PORT, SteeringFleet
from tests.platform_samples import config

DOMAINS = {"north-a": "north"}
SOUND = "i-1"
TARGETS = {SOUND: ("s2", "north-a", 4)}
ENDLESS_SLOTS = 12
#: Memory limit of the VMs in the settings that the fleet writes.
MEMORY_BYTES = 300 << 20
DEADLINE_MS = 1000
#: Longest time of a request in seconds: its deadline, and what tests may take beside.
LONGEST_SECONDS = 2.0
BLOCK_BYTES = 64 << 10
HEAD = b"HTTP/1.1 200 OK\r\nResponse-Signature: 0\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
#: What a target sends once, and then again and again.
ENDLESS = {
    "head without a line": (b"", b"x"),
    "head of many lines": (HEAD, b"X-Field: value\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "declared body": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", b"x"),
    "chunks": (CHUNKED, b"4\r\nabcd\r\n"),
    "large chunks": (CHUNKED, b"10000\r\n" + b"x" * 0x10000 + b"\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"4;", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Field: value\r\n"),
    "body until the end": (HEAD + b"\r\n", b"x"),
}


class EndlessTarget:
    """A target that never stops sending.

    :param start: what it sends first to each request.
    :param block: what it sends after that until the connection ends.
    """

    def __init__(self, host, start, block):
        # Connections on which it sends.
        self.open_sockets = set()
        # Request ids that it received.
        self.received = set()
        self._start = start
        self._block = block * max(1, BLOCK_BYTES // len(block))
        self._is_stopping = False
        self._listener = socket.create_server((host, TARGET_PORT), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self._is_stopping:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            with sock:
                head = sock.recv(BLOCK_BYTES).decode("latin-1")
                self.open_sockets.add(sock)
                self.received.update(re.findall(r"(?i)\nrequest-id: (\S+)", head))
                sock.sendall(self._start)
                while not self._is_stopping:
                    sock.sendall(self._block)
        except OSError:
            return
        finally:
            self.open_sockets.discard(sock)

    def stop(self):
        self._is_stopping = True
        # Ends a call of accept(), which would keep the address in use.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


def configuration():
    """Return a configuration in which only one route has the sound service."""
    document = copy.deepcopy(config())
    unsafe, safe = document["hosts"][0]["paths"]
    del unsafe["trafficSplit"]
    unsafe["service"] = "s1"
    sound = {**safe, "name": "three", "prefix": "/one/sound/", "service": "s2"}
    document["hosts"][0]["paths"] = [unsafe, safe, sound]
    return document


@contextmanager
def run_target(fleet, start, block, target_id="i-9"):
    """Run an endless target of service s1."""
    host = fleet.target_host(SOUND).rpartition(".")[0] + ".99"
    target = EndlessTarget(host, start, block)
    entry = {
        "service": "s1",
        "address": f"{host}:{TARGET_PORT}",
        "zone": "north-a",
        "version": "v1",
        "slots": ENDLESS_SLOTS,
        "state": "ready",
        "coldRemaining": "0ms",
        "sequence": 1,
    }
    fleet.put("servers", target_id, entry)
    try:
        yield target
    finally:
        target.stop()


@pytest.fixture
def fleet():
    with SteeringFleet(
        configuration(), DOMAINS, {"north-a": 1}, TARGETS, subnet=53
    ) as started:
        yield started


def send_timed(fleet, vm, method, path):
    """Return the id of a request, its status and the seconds until its response."""
    request_id = f"q{next(NUMBERS)}"
    began_at = time.monotonic()
    status = fleet.send(vm, method, path, request_id, wait_ms=DEADLINE_MS)[0]
    return request_id, status, time.monotonic() - began_at


NUMBERS = itertools.count(1)


@pytest.mark.parametrize(("start", "block"), ENDLESS.values(), ids=ENDLESS)
def test_endless_response_costs_only_its_own_request(fleet, start, block):
    (vm,) = fleet.vms.values()
    with (
        run_target(fleet, start, block) as target,
        ThreadPoolExecutor(ENDLESS_SLOTS) as pool,
    ):
        wait_for(lambda: "i-9" in str(fleet.log(vm)))
        sending = [
            pool.submit(send_timed, fleet, vm, "POST", "/one/x")
            for _ in range(ENDLESS_SLOTS)
        ]
        time.sleep(0.1)
        sound = [send_timed(fleet, vm, "GET", "/one/sound/x") for _ in range(5)]
        endless = [each.result() for each in sending]
        wait_for(lambda: not target.open_sockets, 3.0)
    assert vm.process.poll() is None
    assert peak_bytes(vm) < MEMORY_BYTES
    assert {status for _, status, _ in endless} <= {502, 503, 504}
    not_run = {request_id for request_id, status, _ in endless if status == 503}
    assert not not_run & target.received
    assert max(seconds for *_, seconds in endless) <= LONGEST_SECONDS
    assert {status for _, status, _ in sound} == {200}
    assert max(seconds for *_, seconds in sound) <= LONGEST_SECONDS


@pytest.mark.parametrize("name", [each for each in ENDLESS if "chunks" not in each])
def test_endless_bytes_that_are_no_response_are_given_up_at_once(fleet, name):
    (vm,) = fleet.vms.values()
    with run_target(fleet, *ENDLESS[name]):
        wait_for(lambda: "i-9" in str(fleet.log(vm)))
        _, status, seconds = send_timed(fleet, vm, "POST", "/one/x")
    assert status == 502
    assert seconds < DEADLINE_MS / 1000
