"""Tests that a planned stop of a VM fails no request."""

import os
import socket
import threading
import time
from errno import ECONNREFUSED
from hashlib import sha256
from http.client import HTTPConnection

import pytest

from standins.demo import demo_text
from standins.fleet import PORTS, Fleet, call, wait_for
from standins.load import Load

#: Long enough for an upload to outlast the TTL of look-ups and the margin after a stop.
UPLOAD_PARTS = 30
UPLOAD_PART = os.urandom(20_000)
#: Short TTL, so that the VM closes its listener while the upload still runs.
SHORT_LOOKUPS = {"lookup_ttl_ms": 100}


@pytest.fixture
def fleet():
    vms = {"north-a": 2, "north-b": 2}
    with Fleet(demo_text(), vms, subnet=22) as running:
        running.wait_ready()
        yield running


def slow_upload(host, results):
    def parts():
        for _ in range(UPLOAD_PARTS):
            time.sleep(0.15)
            yield UPLOAD_PART

    results.append(
        call(host, PORTS["caller"], "PUT", "/s/intake/uploads/slow", parts())
    )


def test_every_vm_stopped_one_after_another_loses_nothing(fleet):
    hosts = [vm.host for vm in fleet.vms.values()]
    with Load(hosts, "style-lookup", rate=60) as load:
        time.sleep(0.5)
        for vm in fleet.vms.values():
            vm.process.terminate()
            assert vm.process.wait(timeout=15) == 0
            fleet.start_vm(vm)
            wait_for(lambda vm=vm: fleet.version(vm) == 1)
            time.sleep(1.0)
    assert set(load.count()) == {200}


def test_planned_stop_does_not_cut_an_upload(fleet):
    vm = fleet.vms["north-a-1"]
    results = []
    thread = threading.Thread(target=slow_upload, args=(vm.host, results))
    thread.start()
    time.sleep(0.5)
    vm.process.terminate()
    thread.join()
    assert vm.process.wait(timeout=15) == 0
    status, _, body = results[0]
    assert status == 200
    assert body.decode().split()[-1] == sha256(UPLOAD_PART * UPLOAD_PARTS).hexdigest()


def is_refused(host):
    with socket.socket() as sock:
        return sock.connect_ex((host, PORTS["caller"])) == ECONNREFUSED


def test_request_during_a_stop_is_not_accepted_where_it_could_be_cut():
    vms = {"north-a": 1}
    with Fleet(demo_text(), vms, subnet=22, settings=SHORT_LOOKUPS) as fleet:
        fleet.wait_ready()
        vm = fleet.vms["north-a-1"]
        upload = threading.Thread(target=slow_upload, args=(vm.host, results := []))
        persistent = HTTPConnection(vm.host, PORTS["caller"], timeout=10.0)
        persistent.request("GET", "/lookup?service=intake")
        persistent.getresponse().read()
        upload.start()
        wait_for(lambda: fleet.record("intake-north-a")["in_flight"])
        vm.process.terminate()
        wait_for(lambda: is_refused(vm.host))
        assert persistent.sock.recv(1) == b""
        assert upload.is_alive()
        upload.join()
    assert results[0][0] == 200


def test_stopping_vm_is_not_in_lookup_responses(fleet):
    leaving, other = fleet.vms["north-a-1"], fleet.vms["north-a-2"]
    leaving.process.terminate()

    def is_in_lookup():
        path = "/lookup?service=style-lookup"
        _, _, body = call(other.host, PORTS["caller"], "GET", path)
        return leaving.host.encode() in body

    wait_for(lambda: not is_in_lookup(), seconds=2.0)


def test_vm_marked_as_leaving_in_the_vm_list_stops(fleet):
    vm = fleet.vms["north-a-1"]
    fleet.update_vm_list(vm, leaving=True)
    assert vm.process.wait(timeout=20) == 0
