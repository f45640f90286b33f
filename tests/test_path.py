"""Tests of the request path: lookups, uploads, errors and deadlines."""

import json
import os
import socket
from hashlib import sha256

import pytest

from standins.caller import Caller
from standins.fleet import PORTS, call


@pytest.fixture
def vm(fleet):
    return fleet.vms["north-a-1"]


@pytest.fixture
def caller(fleet):
    return Caller([vm.host for vm in fleet.vms.values()])


def send_raw(vm, data):
    with socket.create_connection((vm.host, PORTS["caller"]), timeout=5) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        response = b""
        while part := sock.recv(65536):
            response += part
    return response


def code_of(response):
    return json.loads(response[2])["code"]


def test_lookup_names_near_vms_first_with_a_max_age(fleet, vm):
    status, headers, body = call(
        vm.host, PORTS["caller"], "GET", "/lookup?service=style-lookup"
    )
    response = json.loads(body)
    domains = [each["failure_domain"] for each in response["vms"]]
    assert status == 200
    assert domains[:2] == ["north-a", "north-a"]
    assert set(domains) == {"north-a", "north-b", "south-a", "south-b"}
    assert headers["cache-control"].startswith("max-age=")


def test_request_is_served_by_a_near_target(caller):
    status, headers, _ = caller.send("style-lookup", "GET", "/style/whom")
    assert status == 200
    assert headers["heathercleat-target"].startswith("style-north")


def test_upload_arrives_intact(caller):
    data = os.urandom(3 * 1024 * 1024)
    status, _, body = caller.send("intake", "PUT", "/uploads/1", data)
    assert status == 200
    assert body.decode().split()[-1] == sha256(data).hexdigest()


def test_chunked_upload_arrives_intact(vm, fleet):
    parts = [os.urandom(50_000) for _ in range(20)]
    status, _, body = call(
        vm.host, PORTS["caller"], "PUT", "/s/intake/uploads/2", iter(parts)
    )
    assert status == 200
    assert body.decode().split()[-1] == sha256(b"".join(parts)).hexdigest()


@pytest.mark.parametrize(
    ("path", "method", "code"),
    [
        ("/s/nothing/x", "GET", 1004),
        ("/elsewhere", "GET", 1004),
        ("/s/style-lookup/x", "POST", 1005),
        ("/lookup?service=nothing", "GET", 1004),
        ("/lookup?service=style-lookup&client=nowhere", "GET", 1001),
    ],
)
def test_invalid_requests_get_an_error_code(vm, path, method, code):
    response = call(vm.host, PORTS["caller"], method, path)
    assert code_of(response) == code
    assert response[1]["heathercleat-run"] == "not-run"


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"nonsense\r\n\r\n", 1001),
        (b"GET /s/style-lookup/ HTTP/1.0\r\nhost: x\r\n\r\n", 1001),
        (
            b"PUT /s/intake/uploads/ HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            1001,
        ),
        (
            b"GET /s/style-lookup/ HTTP/1.1\r\nhost: x\r\nx: "
            + b"a" * 20_000
            + b"\r\n\r\n",
            1002,
        ),
        (
            b"POST /s/rule-editing/ HTTP/1.1\r\nhost: x\r\n"
            b"content-length: 999999999\r\n\r\n",
            1003,
        ),
        (
            b"GET /s/style-lookup/ HTTP/1.1\r\nhost: x\r\n"
            b"heathercleat-deadline: soon\r\n\r\n",
            1007,
        ),
    ],
)
def test_malformed_requests_get_an_error_code(vm, data, code):
    assert f'"code": {code}'.encode() in send_raw(vm, data)


def test_forward_address_refuses_clients(vm):
    response = call(vm.host, PORTS["forward"], "GET", "/s/style-lookup/")
    assert code_of(response) == 1001


def test_operator_address_refuses_requests_without_a_key(vm):
    response = call(vm.host, PORTS["operator"], "GET", "/v1/status")
    assert code_of(response) == 1001


def test_request_past_its_deadline_does_not_run(vm, fleet):
    before = len(fleet.runs())
    response = call(
        vm.host,
        PORTS["caller"],
        "GET",
        "/s/style-lookup/late",
        headers={"heathercleat-deadline": "1000000000"},
    )
    assert code_of(response) in (2002, 1006)
    assert response[1]["heathercleat-run"] == "not-run"
    assert len(fleet.runs()) == before
