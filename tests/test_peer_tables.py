"""Tests that tables are fetched from other VMs beside connections that went silent."""

import pytest
from curio import run, sleep

from heathercleat.connection.http import Message
from heathercleat.errors import PeerError
from heathercleat.platform.settings import decode_node_settings
from heathercleat.process.clock import SystemClock
from heathercleat.steering.connection.forwarded import pack_state
from heathercleat.steering.process.membership.member import Member
from heathercleat.steering.process.store import peer_tables
from heathercleat.steering.process.store.peer_tables import PeerTables
from heathercleat.steering.process.store.protocol import Snapshot, StoreRow
from tests.platform_samples import SETTINGS

SILENT_SECONDS = 60.0
VERSION = 9


class SilentPool:
    """A pool whose idle connections are silent.

    :param are_new_ones_silent: whether new connections are silent, too.
    """

    def __init__(self, are_new_ones_silent):
        self._are_new_ones_silent = are_new_ones_silent

    async def checkout(self, ip, port, fresh=False):
        if not fresh or self._are_new_ones_silent:
            await sleep(SILENT_SECONDS)

    async def checkin(self, ip, port, stream):
        pass

    async def discard(self, ip, port, stream):
        pass


class TwoMembers:
    """This VM, and another one of its failure domain."""

    def __init__(self):
        self.own = Member("vm-1", "127.0.9.1", "north-a", "north")
        self._other = Member("vm-2", "127.0.9.2", "north-a", "north")

    def live_others(self):
        return [self._other]


async def respond(stream, message, limit):
    row = StoreRow("a", b"1", VERSION)
    return Message(body=pack_state(Snapshot(VERSION, [row])))


def fetch(monkeypatch, are_new_ones_silent):
    monkeypatch.setattr(peer_tables, "PEER_FETCH_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(peer_tables, "exchange", respond)
    clock = SystemClock()
    pool = SilentPool(are_new_ones_silent)
    tables = PeerTables(decode_node_settings(SETTINGS), TwoMembers(), pool, clock)
    return run(tables.fetch_newer, "op", 1, clock.now(), lambda member: VERSION)


def test_table_is_fetched_on_a_new_connection_when_the_pooled_one_is_silent(
    monkeypatch,
):
    assert fetch(monkeypatch, are_new_ones_silent=False).version == VERSION


def test_vm_that_does_not_respond_on_a_new_connection_either_is_given_up(monkeypatch):
    with pytest.raises(PeerError, match="vm-2"):
        fetch(monkeypatch, are_new_ones_silent=True)
