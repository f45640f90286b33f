"""Tests of the stand-ins that inject network faults and shift the time of day."""

import json
import os
import socket
import subprocess
import sys
import threading
from contextlib import suppress

import pytest

from standins.fault_proxy import parse_link
from standins.fleet import SUBNET_VARIABLE, Processes, call, wait_for

SUBNET = 37 + int(os.environ.get(SUBNET_VARIABLE, 0))
HOST = f"127.{SUBNET}.1.1"
CONTROL, LISTEN, SERVER = 7900, 7901, 7902
#: Seconds after which bytes count as held back.
HELD_SECONDS = 0.3


def echo(connection):
    with connection, suppress(OSError):
        while data := connection.recv(100):
            connection.sendall(data)


def accept_connections(listener):
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=echo, args=(connection,), daemon=True).start()


@pytest.fixture
def proxy():
    processes = Processes()
    link = f"one={HOST}:{LISTEN}>{HOST}:{SERVER}"
    command = [sys.executable, "-m", "standins.fault_proxy", f"{HOST}:{CONTROL}", link]
    with socket.create_server((HOST, SERVER)) as listener:
        threading.Thread(
            target=accept_connections, args=(listener,), daemon=True
        ).start()
        processes.start("proxy", command)
        wait_for(read_counts)
        yield
        # Ends the thread that accepts connections.
        listener.shutdown(socket.SHUT_RDWR)
    processes.stop()


def read_counts():
    try:
        return json.loads(call(HOST, CONTROL, "GET", "/counts")[2])
    except OSError:
        return None


def switch(**faults):
    call(HOST, CONTROL, "POST", "/switch", json.dumps({"one": faults}))


def client():
    connection = socket.create_connection((HOST, LISTEN))
    connection.settimeout(HELD_SECONDS)
    return connection


def send_and_receive(connection, data=b"x"):
    """Return the bytes received, ``None`` if there are none, ``b""`` once closed."""
    try:
        connection.sendall(data)
        return connection.recv(100)
    except TimeoutError:
        return None
    except OSError:
        return b""


def test_bytes_pass_both_ways(proxy):
    with client() as connection:
        assert send_and_receive(connection, b"hello") == b"hello"
    assert read_counts() == {"one": 1}


@pytest.mark.parametrize("direction", ["up", "down", "both"])
def test_cut_holds_bytes_back_until_it_ends(proxy, direction):
    with client() as connection:
        assert send_and_receive(connection) == b"x"
        switch(cut=direction)
        assert send_and_receive(connection) is None
        switch(cut=None)
        connection.settimeout(10.0)
        assert connection.recv(100) == b"x"


def test_silence_affects_only_open_connections(proxy):
    with client() as before:
        assert send_and_receive(before) == b"x"
        switch(silence=True)
        assert send_and_receive(before) is None
        with client() as after:
            assert send_and_receive(after) == b"x"


@pytest.mark.parametrize("faults", [{"reset": True}, {"reset": True, "refuse": True}])
def test_reset_closes_open_connections(proxy, faults):
    with client() as connection:
        assert send_and_receive(connection) == b"x"
        switch(**faults)
        connection.settimeout(10.0)
        assert send_and_receive(connection) == b""


def test_refused_connection_is_reset(proxy):
    switch(refuse=True)
    with client() as connection:
        connection.settimeout(10.0)
        assert send_and_receive(connection) == b""


def test_delayed_bytes_arrive_late(proxy):
    switch(delay_s=2 * HELD_SECONDS)
    with client() as connection:
        assert send_and_receive(connection) is None
        connection.settimeout(10.0)
        assert connection.recv(100) == b"x"


def test_link_is_parsed_from_its_text():
    link = parse_link("a:b=127.0.0.1:1>127.0.0.2:2")
    assert (link.name, link.listen) == ("a:b", ("127.0.0.1", 1))


#: Prints the shifts of both forms of the time of day, in tens of seconds.
CLOCK_SHIFT_SCRIPT = """
import time
from standins.skewed import skew_clock
real = time.time()
skew_clock({seconds})
for shifted in (time.time(), time.time_ns() / 1e9):
    print(round((shifted - real) / 10))
"""


@pytest.mark.parametrize("seconds", [-3600, 3600])
def test_time_of_day_is_shifted(seconds):
    command = [sys.executable, "-c", CLOCK_SHIFT_SCRIPT.format(seconds=seconds)]
    result = subprocess.run(command, capture_output=True, text=True)
    assert result.stdout.split() == [str(seconds // 10)] * 2
