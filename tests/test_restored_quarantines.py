"""Tests that quarantines survive a restore of the store from a backup."""

import pytest
from curio import run, sleep, spawn

from heathercleat.process.clock import SystemClock
from heathercleat.process.logs import Journal
from heathercleat.steering.process.quarantine import table as table_module
from heathercleat.steering.process.quarantine.suspects import (
    CRASHES_TO_QUARANTINE,
    Suspects,
)
from heathercleat.steering.process.quarantine.table import QuarantineTable
from heathercleat.steering.process.store.protocol import (
    HistoryLostError,
    Snapshot,
    StoreRow,
)
from heathercleat.steering.process.store.versions import era_of, make_version

FINGERPRINT = "f1"
STEP_SECONDS = 0.3


class RestorableStore:
    """The rows of one table, which can return to an earlier state."""

    def __init__(self):
        self.rows = {}
        self.version = make_version(1, 1)

    async def read(self, table):
        rows = [StoreRow(key, value, self.version) for key, value in self.rows.items()]
        return Snapshot(self.version, rows)

    async def follow(self, table, after, wait):
        await sleep(0.02)
        if era_of(after) != era_of(self.version):
            raise HistoryLostError("restored")
        return Snapshot(self.version, [], is_whole=False)

    async def write(self, table, key, value):
        self.rows.pop(key, None)
        if value is not None:
            self.rows[key] = value
        return era_of(self.version)

    def restore(self, rows):
        self.rows = dict(rows)
        self.version = make_version(era_of(self.version) + 1, 1)


class RestoredQuarantines:
    """The quarantine table of a VM that reads the store."""

    def __init__(self):
        self.store = RestorableStore()
        clock, journal = SystemClock(), Journal("vm-1", "north-a")
        self.suspects = Suspects(journal, clock)
        self._table = QuarantineTable(
            self.suspects, self.store, self.store, lambda: True, "vm-1", journal, clock
        )
        self.suspects.on_quarantine(self._table.enqueue)

    def quarantine(self):
        for number in range(CRASHES_TO_QUARANTINE):
            self.suspects.record_crash(FINGERPRINT, f"i-{number}")

    def run(self, *steps):
        async def main():
            tasks = [
                await spawn(each) for each in (self._table.follow, self._table.write)
            ]
            for step in steps:
                await sleep(STEP_SECONDS)
                step()
            await sleep(STEP_SECONDS)
            for each in tasks:
                await each.cancel()

        run(main)


@pytest.fixture
def quarantines(monkeypatch):
    for name in (
        "READER_CHECK_SECONDS",
        "RETRY_SECONDS",
        "WRITE_INTERVAL_SECONDS",
    ):
        monkeypatch.setattr(table_module, name, 0.02)
    return RestoredQuarantines()


def test_quarantine_that_the_store_lost_is_written_again(quarantines):
    quarantines.run(quarantines.quarantine, lambda: quarantines.store.restore({}))
    assert FINGERPRINT in quarantines.store.rows


def test_lift_of_a_quarantine_survives_a_restore(quarantines):
    copies = {}

    def copy_and_lift():
        copies.update(quarantines.store.rows)
        quarantines.suspects.lift(FINGERPRINT)
        quarantines.store.rows.clear()

    quarantines.run(
        quarantines.quarantine,
        copy_and_lift,
        lambda: quarantines.store.restore(copies),
    )
    assert FINGERPRINT in copies
    assert quarantines.store.rows == {}
    assert quarantines.suspects.refused_until(FINGERPRINT) is None


def test_quarantine_that_ended_is_not_written_again(quarantines):
    quarantines.run(
        quarantines.quarantine,
        lambda: quarantines.suspects.lift(FINGERPRINT),
        lambda: quarantines.store.restore({}),
    )
    assert quarantines.store.rows == {}


def test_rows_whose_merge_failed_are_merged_again(quarantines, monkeypatch):
    quarantines.run(quarantines.quarantine)
    rows = dict(quarantines.store.rows)
    reader = RestoredQuarantines()
    reader.store.rows = rows
    merge = reader.suspects.merge
    failures = [KeyError("once")]

    def fail_once(update):
        if failures:
            raise failures.pop()
        merge(update)

    monkeypatch.setattr(reader.suspects, "merge", fail_once)
    with pytest.raises(KeyError):
        run(reader._table._read)
    run(reader._table._read)
    assert reader.suspects.refused_until(FINGERPRINT) is not None
