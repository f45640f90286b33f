"""Tests of table copies while the store is restored from backups."""

import pytest
from curio import TaskGroup, run, sleep
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from heathercleat.process.clock import SystemClock
from heathercleat.process.logs import Journal
from heathercleat.steering.process.store import follower as follower_module
from heathercleat.steering.process.store.follower import TableFollower
from heathercleat.steering.process.store.protocol import (
    HistoryLostError,
    Snapshot,
    StoreRow,
)
from heathercleat.steering.process.store.table_copy import TableCopy
from heathercleat.steering.process.store.versions import (
    MAX_ERA,
    era_of,
    make_version,
    number_of,
)

KEYS = st.sampled_from("abcd")
VM_COUNT = 3
VMS = st.integers(0, VM_COUNT - 1)
REWRITE_SECONDS = 0.4


class RestorableStore:
    """A table in memory that can be restored from a backup of itself."""

    def __init__(self):
        self.era = 0
        self.number = 0
        self.changes = []
        self._backup = (0, [])

    def put(self, key, value):
        self.number += 1
        self.changes.append((key, value, self.number))

    def back_up(self):
        self._backup = (self.number, list(self.changes))

    def restore(self):
        self.era += 1
        self.number, self.changes = self._backup[0], list(self._backup[1])

    @property
    def rows(self):
        values = {key: (value, number) for key, value, number in self.changes}
        return {key: each for key, each in values.items() if each[0] is not None}

    async def read(self, table):
        return self.snapshot()

    async def follow(self, table, after, wait):
        return self.changes_since(after)

    def snapshot(self):
        rows = [
            StoreRow(key, value, make_version(self.era, number))
            for key, (value, number) in self.rows.items()
        ]
        return Snapshot(make_version(self.era, self.number), rows)

    def changes_since(self, after):
        if era_of(after) != self.era or number_of(after) > self.number:
            raise HistoryLostError("restored")
        rows = [
            StoreRow(key, value, make_version(self.era, number))
            for key, value, number in self.changes
            if number > number_of(after)
        ]
        version = make_version(self.era, self.number)
        return Snapshot(version, rows, is_whole=False)


class CopiesOfARestoredStore(RuleBasedStateMachine):
    """VMs that read the store, or each other, between its restores."""

    @initialize()
    def start(self):
        self.store = RestorableStore()
        self.store.put("a", 0)
        self.copies = [TableCopy() for _ in range(VM_COUNT)]
        self.value = 0

    @rule(key=KEYS)
    def write(self, key):
        self.value += 1
        self.store.put(key, self.value)

    @rule(key=KEYS)
    def remove(self, key):
        if key in self.store.rows:
            self.store.put(key, None)

    @rule()
    def back_up_store(self):
        self.store.back_up()

    @rule()
    def restore_store(self):
        self.store.restore()

    @rule(vm=VMS)
    def read_store(self, vm):
        copy = self.copies[vm]
        try:
            if not copy.version:
                raise HistoryLostError("not read yet")
            changes = copy.merge_changes(self.store.changes_since(copy.version))
            changed = [row.key for row in changes.rows]
        except HistoryLostError:
            snapshot = self.store.snapshot()
            assert copy.replace_all(snapshot), "the newest table was not used"
            changed = [row.key for row in snapshot.rows] or [""]
        if changed:
            copy.record_changes(changed, copy.version)
        assert self.values(copy) == self.expected(), (
            "differs from the store after a read"
        )

    @rule(vm=VMS, peer=VMS)
    def read_peer(self, vm, peer):
        copy, other = self.copies[vm], self.copies[peer]
        known = copy.last_significant_version
        if other.last_significant_version <= known:
            return
        era_before = era_of(copy.version)
        snapshot = other.changes_since(known, {})
        if not snapshot.is_whole:
            copy.merge_changes(snapshot)
        else:
            copy.replace_all(snapshot)
        keys = [row.key for row in snapshot.rows]
        copy.record_changes(keys, snapshot.last_significant_version)
        assert era_of(copy.version) >= era_before, "a peer brought an earlier era back"
        if other.version >= copy.version:
            assert self.values(copy) == self.values(other)

    @invariant()
    def versions_are_of_known_eras(self):
        for copy in getattr(self, "copies", ()):
            assert era_of(copy.version) <= self.store.era

    def values(self, copy):
        return {row.key: row.value for row in copy.rows}

    def expected(self):
        return {key: value for key, (value, _) in self.store.rows.items()}


TestCopiesOfARestoredStore = CopiesOfARestoredStore.TestCase


@pytest.mark.parametrize(
    "older, newer",
    [((0, 900), (1, 1)), ((3, (1 << 48) - 1), (4, 0)), ((2, 7), (2, 8))],
)
def test_version_of_a_later_era_is_newer(older, newer):
    assert make_version(*older) < make_version(*newer)


def test_version_returns_its_parts():
    version = make_version(MAX_ERA, 12)
    assert (era_of(version), number_of(version)) == (MAX_ERA, 12)


@pytest.mark.parametrize("era, number", [(MAX_ERA + 1, 1), (-1, 1), (1, 1 << 48)])
def test_version_out_of_range_is_refused(era, number):
    with pytest.raises(ValueError, match="is not"):
        make_version(era, number)


def make_snapshot(era, number, **values):
    version = make_version(era, number)
    rows = [StoreRow(key, value, version) for key, value in values.items()]
    return Snapshot(version, rows)


@pytest.fixture
def restored_copy():
    """A copy whose row was significant only before a restore of the store."""
    copy = TableCopy()
    copy.replace_all(make_snapshot(0, 9, a=2))
    copy.record_changes(["a"], copy.version)
    copy.replace_all(make_snapshot(1, 5, a=1))
    return copy


def test_changes_of_an_earlier_era_are_ignored(restored_copy):
    changes = make_snapshot(0, 12, b=3)
    changes.is_whole = False
    restored_copy.merge_changes(changes)
    assert [row.key for row in restored_copy.rows] == ["a"]


def test_vm_of_an_earlier_era_gets_all_rows(restored_copy):
    assert restored_copy.changes_since(make_version(0, 9), {}).is_whole


@pytest.fixture
def restored(monkeypatch):
    monkeypatch.setattr(follower_module, "REWRITE_SECONDS", REWRITE_SECONDS)
    return RestoredTable()


class RestoredTable:
    """A follower of a store that is restored while it runs."""

    def __init__(self):
        self.store = RestorableStore()
        self.clock = SystemClock()
        self.proven = []
        self.restored_at = None
        self.store.put("a", b"1")
        self.store.back_up()
        self.store.put("b", b"2")

    def run(self, seconds, fetches_from_peer=False, is_restored_at_start=False):
        follower = TableFollower(
            "op",
            self.store,
            0.0,
            0.02,
            lambda snapshot: [row.key for row in snapshot.rows],
            None,
            lambda: 0,
            lambda: True,
            lambda: False,
            dict,
            lambda earliest: None,
            self.proven.append,
            lambda instant: None,
            Journal("vm-1", "north-a"),
            self.clock,
        )

        async def main():
            async with TaskGroup(wait=any) as group:
                if is_restored_at_start:
                    self.restore()
                await group.spawn(follower.run)
                await sleep(0.1)
                if not is_restored_at_start:
                    self.restore()
                if fetches_from_peer:
                    follower._apply_from_peer(self.store.snapshot())
                await sleep(seconds)
                await group.cancel_remaining()

        run(main)
        return [row.key for row in follower.snapshot().rows]

    def restore(self):
        self.store.restore()
        self.restored_at = self.clock.now()


def test_follower_takes_the_rows_of_a_restored_store(restored):
    assert restored.run(0.1) == ["a"]


def test_read_proves_nothing_while_lost_changes_are_written_again(restored):
    restored.run(REWRITE_SECONDS / 2)
    assert max(restored.proven) < restored.restored_at


def test_reads_prove_again_once_lost_changes_are_written(restored, monkeypatch):
    monkeypatch.setattr(follower_module, "WATCH_LAG_SECONDS", 0.0)
    restored.run(2 * REWRITE_SECONDS)
    assert max(restored.proven) >= restored.restored_at + REWRITE_SECONDS


def test_read_after_a_restore_learned_from_a_peer_proves_nothing_at_once(
    restored, monkeypatch
):
    monkeypatch.setattr(follower_module, "WATCH_LAG_SECONDS", 0.0)
    restored.run(REWRITE_SECONDS / 2, fetches_from_peer=True)
    assert max(restored.proven) < restored.restored_at


@pytest.mark.parametrize(
    ("seconds", "expected"), [(REWRITE_SECONDS / 2, False), (REWRITE_SECONDS, True)]
)
def test_reads_of_a_process_that_starts_prove_nothing_while_rows_may_be_missing(
    restored, seconds, expected
):
    restored.run(seconds, is_restored_at_start=True)
    is_proven = bool(restored.proven)
    assert is_proven is expected
