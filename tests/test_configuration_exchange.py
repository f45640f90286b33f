"""Tests that VMs fetch the configuration in force from each other."""

import json

import pytest
from curio import TaskGroup, run, sleep

from heathercleat.events import Event
from heathercleat.process.clock import SystemClock
from heathercleat.steering.process.configuration_freshness import (
    ConfigurationFreshness,
)
from heathercleat.steering.process.store import configuration_exchange
from heathercleat.steering.process.store.configuration_exchange import (
    ConfigurationExchange,
)
from heathercleat.steering.process.store.protocol import Snapshot, StoreRow
from tests.fakes import FakeJournal
from tests.platform_samples import config

TABLE_WAIT_SECONDS = 0.3
PEER_VERSION = 9


class Exchange:
    """A VM whose only peer has a newer configuration in force.

    :param version: the version in force here, or ``None``.
    :param document: the configuration of the peer.
    """

    def __init__(self, version=None, document=None):
        self.document = document or config(f"r{PEER_VERSION}")
        self.fetches = 0
        self.adopted = []
        self.journal = FakeJournal()
        clock = SystemClock()
        in_force = version and RoutingTableOfVersion(version)
        freshness = ConfigurationFreshness(lambda: version or 0)
        freshness.record_report("vm-2", PEER_VERSION, clock.now(), None)
        self._exchange = ConfigurationExchange(
            self, freshness, lambda: in_force, self._adopt, self.journal, clock
        )

    async def fetch_newer(self, table, version, since, version_of):
        self.fetches += 1
        value = json.dumps(self.document).encode()
        return Snapshot(PEER_VERSION, [StoreRow("config", value, PEER_VERSION)])

    def _adopt(self, routing_table):
        self.adopted.append(routing_table.version)

    def run(self, seconds):
        async def main():
            async with TaskGroup(wait=any) as group:
                await group.spawn(self._exchange.run)
                await sleep(seconds)
                await group.cancel_remaining()

        run(main)


class RoutingTableOfVersion:
    """A configuration without routes."""

    def __init__(self, version):
        self.version = version
        self.document = b""


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(configuration_exchange, "CHECK_SECONDS", 0.02)
    monkeypatch.setattr(
        configuration_exchange, "TABLE_WAIT_SECONDS", TABLE_WAIT_SECONDS
    )


def test_vm_without_a_configuration_fetches_one_at_once():
    exchange = Exchange()
    exchange.run(TABLE_WAIT_SECONDS / 2)
    assert exchange.adopted[0] == PEER_VERSION


def test_vm_with_an_older_configuration_waits_for_the_table_first():
    exchange = Exchange(PEER_VERSION - 1)
    exchange.run(TABLE_WAIT_SECONDS / 2)
    assert exchange.fetches == 0
    exchange.run(2 * TABLE_WAIT_SECONDS)
    assert exchange.adopted[0] == PEER_VERSION


@pytest.mark.parametrize("version", [PEER_VERSION, PEER_VERSION + 1])
def test_vm_with_the_newest_configuration_fetches_none(version):
    exchange = Exchange(version)
    exchange.run(2 * TABLE_WAIT_SECONDS)
    assert exchange.fetches == 0


def test_configuration_that_cannot_be_decoded_is_fetched_once():
    exchange = Exchange(document={"version": f"r{PEER_VERSION}"})
    exchange.run(2 * TABLE_WAIT_SECONDS)
    assert exchange.fetches == 1
    events = [event for event, _ in exchange.journal.events]
    assert events == [Event.CONFIGURATION_REJECTED]
