"""Tests of the client of the platform's table store."""

import json
import os
import sys
from threading import Timer

import pytest
from curio import run

from heathercleat.connection.http import Message
from heathercleat.errors import PlatformError
from heathercleat.platform.store import PAGE_ROWS, TableStoreClient
from heathercleat.process.clock import SystemClock
from heathercleat.steering.connection.forwarded import pack_state, unpack_state
from heathercleat.steering.process.settings import Address
from heathercleat.steering.process.store.protocol import HistoryLostError
from standins.fleet import SUBNET_VARIABLE, Processes, call, wait_for

SUBNET = 34
TIMEOUT_SECONDS = 0.5


class Store:
    """The stand-in process of the table store, and a client of it."""

    def __init__(self, processes):
        subnet = SUBNET + int(os.environ.get(SUBNET_VARIABLE, 0))
        self.address = Address(f"127.{subnet}.200.1", 7000)
        command = [sys.executable, "-m", "standins.table_store"]
        processes.start("store", [*command, self.address.host, str(self.address.port)])
        wait_for(self._answers)
        self.client = TableStoreClient(self.address, SystemClock(), TIMEOUT_SECONDS)

    def _answers(self):
        try:
            return self.control("GET", "/counts") is not None
        except OSError:
            return False

    def control(self, method, path, document=None):
        body = None if document is None else json.dumps(document)
        return call(self.address.host, self.address.port, method, path, body)[0]

    def put(self, table, key, document):
        self.control("POST", "/put", [table, key, document])

    def switch(self, **switches):
        self.control("POST", "/switch", switches)


@pytest.fixture
def store():
    processes = Processes()
    try:
        yield Store(processes)
    finally:
        processes.stop()


def run_client(coroutine_function, *args):
    return run(coroutine_function, *args)


def keys(snapshot):
    return [row.key for row in snapshot.rows]


def test_rows_are_read_and_written(store):
    run_client(store.client.write, "mine", "a", b"1")
    store.put("op", "config", {})
    snapshot = run_client(store.client.read, "mine")
    assert [(row.key, row.value) for row in snapshot.rows] == [("a", b"1")]
    run_client(store.client.write, "mine", "a", None)
    assert keys(run_client(store.client.read, "mine")) == []


def test_tables_of_many_pages_are_read_completely(store):
    expected_keys = [f"k{number:04}" for number in range(PAGE_ROWS + 20)]
    for key in expected_keys:
        store.put("servers", key, {})
    assert keys(run_client(store.client.read, "servers")) == expected_keys


def test_row_removed_between_two_pages_is_reported_as_a_change(store):
    for number in range(PAGE_ROWS + 1):
        store.put("servers", f"k{number:04}", {})
    store.switch(slow_s=0.5)
    client = TableStoreClient(store.address, SystemClock(), 10.0)
    removal = Timer(0.75, store.put, ("servers", "k0000", None))
    removal.start()
    snapshot = run_client(client.read, "servers")
    removal.join()
    changes = run_client(client.follow, "servers", snapshot.version, 0.0)
    assert "k0000" in keys(snapshot), "the row was removed before its page was read"
    assert [(row.key, row.value) for row in changes.rows] == [("k0000", None)]


def test_changes_since_a_version_are_returned(store):
    store.put("op", "a", {})
    version = run_client(store.client.read, "op").version
    store.put("op", "b", {})
    store.put("op", "a", None)
    changes = run_client(store.client.follow, "op", version, 0.0)
    assert [(row.key, row.value) for row in changes.rows] == [("b", b"{}"), ("a", None)]


def test_lost_history_raises_its_own_error(store):
    store.switch(history=1)
    for number in range(3):
        store.put("op", f"k{number}", {})
    with pytest.raises(HistoryLostError):
        run_client(store.client.follow, "op", 1, 0.0)


@pytest.mark.parametrize("rewritten", [0, 1, 5])
def test_changes_are_not_continued_after_the_store_was_restored(store, rewritten):
    store.put("op", "a", {})
    store.control("POST", "/backup")
    for number in range(3):
        store.put("op", f"lost{number}", {})
    before = run_client(store.client.read, "op")
    store.control("POST", "/restore")
    for number in range(rewritten):
        store.put("op", f"new{number}", {})
    with pytest.raises(HistoryLostError):
        run_client(store.client.follow, "op", before.version, 0.0)
    after = run_client(store.client.read, "op")
    assert after.version > before.version
    assert keys(after) == ["a", *(f"new{number}" for number in range(rewritten))]
    assert all(row.version > before.version for row in after.rows)


def test_table_whose_store_is_restored_between_two_pages_is_read_again(store):
    for number in range(PAGE_ROWS + 1):
        store.put("servers", f"k{number:04}", {})
    store.control("POST", "/backup")
    store.switch(slow_s=0.5)
    client = TableStoreClient(store.address, SystemClock(), 10.0)
    restoring = Timer(0.75, store.control, ("POST", "/restore"))
    restoring.start()
    with pytest.raises(HistoryLostError):
        run_client(client.read, "servers")
    restoring.join()


@pytest.mark.parametrize("down", ["busy", "silent", "reset"])
def test_unavailable_store_raises_within_the_timeout(store, down):
    store.switch(down=down)
    with pytest.raises(PlatformError):
        run_client(store.client.read, "op")
    store.switch(down=None)
    assert keys(run_client(store.client.read, "op")) == []


def test_write_with_a_lost_reply_may_have_been_applied(store):
    store.switch(lose_replies=1)
    with pytest.raises(PlatformError):
        run_client(store.client.write, "mine", "a", b"1")
    assert keys(run_client(store.client.read, "mine")) == ["a"]


def test_operators_table_cannot_be_written(store):
    with pytest.raises(PlatformError, match="403"):
        run_client(store.client.write, "op", "config", b"{}")


@pytest.mark.parametrize("era", [-1, 1 << 16, "new"])
def test_unusable_era_is_an_error_of_the_store(store, era):
    store.switch(era=era)
    with pytest.raises(PlatformError, match="era|literal"):
        run_client(store.client.read, "op")


def test_standin_writes_what_was_lost_again_after_a_second_restore(store):
    store.put("op", "evacuate/north-a", {})
    store.control("POST", "/backup")
    store.put("op", "evacuate/north-a", None)
    store.put("op", "config", {"version": "r8"})
    store.control("POST", "/restore", {"rewrite_s": 0.5})
    store.control("POST", "/backup")
    store.control("POST", "/restore", {"rewrite_s": 0.1})
    wait_for(
        lambda: (
            [row.key for row in run_client(store.client.read, "op").rows] == ["config"]
        )
    )


def test_standin_writes_what_was_lost_again_beyond_its_history(store):
    store.put("op", "evacuate/north-a", {})
    store.control("POST", "/backup")
    store.put("op", "evacuate/north-a", None)
    store.put("op", "config", {"version": "r8"})
    store.put("op", "note", {})
    store.switch(history=1)
    store.control("POST", "/restore", {"rewrite_s": 0.1})
    wait_for(
        lambda: (
            [row.key for row in run_client(store.client.read, "op").rows]
            == ["config", "note"]
        )
    )


@pytest.mark.parametrize(
    "documents",
    [None, 7, ["a"], [{}], [{"key": 7, "ver": 1}], [{"key": "a", "ver": "1"}]],
    ids=repr,
)
def test_malformed_rows_are_an_error_of_the_store(documents, monkeypatch):
    client = client_of(documents, monkeypatch)
    for call_store in (client.read, lambda table: client.follow(table, 1, 0.0)):
        with pytest.raises(PlatformError, match="rows-"):
            run_client(call_store, "servers")


def test_row_that_cannot_be_used_keeps_no_other_row_from_being_read(monkeypatch):
    """Its key could not be sent to other VMs, which would get none of the rows."""
    documents = [
        {"key": "a", "ver": 3, "value": ""},
        {"key": "a", "part": "p", "ver": 4, "tombstone": True},
        {"key": "b\ud83d", "ver": 5, "value": ""},
    ]
    snapshot = run_client(client_of(documents, monkeypatch).read, "servers")
    assert [(row.key, row.version) for row in snapshot.rows] == [("a", 3)]
    assert unpack_state(pack_state(snapshot)).rows[0].key == "a"


def client_of(documents, monkeypatch):
    """Return a client of a store that responds with these rows."""
    client = TableStoreClient(Address("127.0.0.1", 1), SystemClock(), TIMEOUT_SECONDS)
    body = json.dumps({"rows": documents, "ver": 9}).encode()

    async def respond(message):
        return Message(body=body)

    monkeypatch.setattr(client._connection, "exchange", respond)
    return client
