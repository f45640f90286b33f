"""Tests that a VM follows a table of the store, and takes changes from peers."""

import pytest
from curio import TaskGroup, run, sleep

from heathercleat.errors import PeerError
from heathercleat.process.clock import SystemClock
from heathercleat.process.logs import Journal
from heathercleat.steering.process.store.follower import (
    IDLE_PEER_INTERVAL_SECONDS,
    RETRY_INTERVAL_SECONDS,
    TableFollower,
)
from heathercleat.steering.process.store.protocol import Snapshot, StoreRow
from heathercleat.steering.process.store.table_copy import MAX_REMOVALS, TableCopy
from tests.scripted_store import ScriptedStore

WAIT_SECONDS = 0.02
PAUSE_SECONDS = 0.01


class FollowerHarness:
    """A follower of a scripted store, and the snapshots that it applied.

    :param peer: the :class:`Snapshot` of a peer, or ``None`` if no peer answers.
    :param reader: whether the VM reads the store itself.
    :param is_answered_elsewhere: whether the store answers other VMs.
    """

    def __init__(self, peer=None, reader=True, is_answered_elsewhere=False):
        self.store = ScriptedStore()
        self.peer = peer
        self.reader = reader
        self.applied = []
        self.is_answered_elsewhere = is_answered_elsewhere
        self.outage_ends = []
        self.current_instants = []
        self.is_significant = True
        self.failing_applications = 0
        self.lapsing = {}
        self.clock = SystemClock()
        self.follower = TableFollower(
            "op",
            self.store,
            WAIT_SECONDS,
            PAUSE_SECONDS,
            self._apply,
            self._relay,
            lambda: self.peer.last_significant_version if self.peer else 1 << 62,
            lambda: self.reader,
            lambda: self.is_answered_elsewhere,
            lambda: self.lapsing,
            self.outage_ends.append,
            self.current_instants.append,
            lambda instant: None,
            Journal("vm-1", "north-a"),
            self.clock,
        )

    def _apply(self, snapshot):
        if self.failing_applications:
            self.failing_applications -= 1
            raise KeyError("a")
        keys = sorted(row.key for row in snapshot.rows)
        self.applied.append((snapshot.is_whole, keys))
        return keys if self.is_significant else []

    async def _relay(self, version, since):
        if self.peer is None:
            raise PeerError("no peer answered")
        return self.peer if self.peer.last_significant_version > version else None

    @property
    def keys(self):
        return sorted(row.key for row in self.follower.snapshot().rows)

    def run_steps(self, *steps):
        """Run the follower while calling each step, a few store calls apart."""

        async def main():
            async with TaskGroup(wait=any) as group:
                await group.spawn(self.follower.run)
                for step in steps:
                    await sleep(0.1)
                    step()
                await sleep(0.7)
                await group.cancel_remaining()

        run(main)


def test_additions_and_removals_of_rows_are_followed():
    harness = FollowerHarness()
    harness.store.put("a", b"1")
    harness.run_steps(
        lambda: harness.store.put("b", b"2"), lambda: harness.store.put("a", None)
    )
    assert harness.keys == ["b"]
    assert harness.follower.last_significant_version == harness.store.version


def test_table_is_read_again_when_the_history_is_lost():
    harness = FollowerHarness()
    harness.store.put("a", b"1")

    def lose_history():
        harness.store.put("b", b"2")
        harness.store.is_history_lost = True

    harness.run_steps(lose_history)
    assert harness.keys == ["a", "b"]
    assert harness.store.reads == 2


def test_reader_whose_call_hangs_takes_the_table_of_a_peer():
    harness = FollowerHarness()
    harness.store.put("a", b"1")

    def make_silent():
        harness.store.is_silent = True

    def change_elsewhere():
        harness.peer = Snapshot(9, [StoreRow("b", b"2", 9)])

    harness.run_steps(make_silent, change_elsewhere)
    assert harness.keys == ["b"]
    assert harness.follower.last_significant_version == 9


def test_call_on_a_failed_connection_is_repeated_at_once_and_its_response_used():
    harness = FollowerHarness()
    calls_before = []

    def fail_one_call():
        calls_before.append(harness.store.calls)
        harness.store.put("a", b"1")
        harness.store.failures = 1
        # Other VMs become the readers.
        harness.store.on_failure = lambda: setattr(harness, "reader", False)

    harness.run_steps(fail_one_call)
    assert harness.store.calls == calls_before[0] + 2
    assert harness.keys == ["a"]


def test_end_of_an_outage_is_reported():
    harness = FollowerHarness()
    harness.run_steps(
        lambda: setattr(harness.store, "down", True),
        lambda: harness.store.put("a", b"1"),
        lambda: setattr(harness.store, "down", False),
    )
    assert len(harness.outage_ends) == 1
    assert not harness.follower.is_store_lost
    assert harness.keys == ["a"]


def test_outage_ends_after_the_start_of_the_last_failed_call():
    harness = FollowerHarness()
    recovered_at = []

    def recover():
        recovered_at.append(harness.clock.now())
        harness.store.down = False

    harness.run_steps(lambda: setattr(harness.store, "down", True), recover)
    (since,) = harness.outage_ends
    assert recovered_at[0] - 1.5 * RETRY_INTERVAL_SECONDS <= since <= recovered_at[0]


def test_store_that_answered_other_vms_had_no_outage():
    harness = FollowerHarness(is_answered_elsewhere=True)
    harness.run_steps(
        lambda: setattr(harness.store, "down", True),
        lambda: setattr(harness.store, "down", False),
    )
    assert harness.outage_ends == []
    assert harness.follower.has_recent_response


def test_outage_counts_if_the_store_answers_others_first_at_its_end():
    harness = FollowerHarness()

    def recover():
        harness.store.down = False
        harness.is_answered_elsewhere = True

    harness.run_steps(lambda: setattr(harness.store, "down", True), recover)
    assert len(harness.outage_ends) == 1


def test_call_does_not_wait_for_a_change_while_the_store_is_unavailable():
    harness = FollowerHarness()
    harness.run_steps(lambda: setattr(harness.store, "down", True))
    assert harness.store.waits[0] == WAIT_SECONDS
    assert harness.store.waits[-1] == 0.0
    assert not harness.follower.has_recent_response


def test_change_comes_from_a_peer_while_the_store_is_unavailable():
    peer = Snapshot(9, [StoreRow("p", b"1", 9)])
    harness = FollowerHarness(peer)
    harness.store.down = True
    harness.run_steps()
    assert harness.keys == ["p"]
    assert harness.follower.last_significant_version == 9


def test_vm_that_is_no_reader_makes_no_calls_after_the_first():
    harness = FollowerHarness(Snapshot(0, []), reader=False)
    harness.run_steps()
    assert harness.store.calls == 1


def test_vm_that_is_no_reader_takes_the_table_of_a_peer():
    harness = FollowerHarness(Snapshot(0, []), reader=False)
    newer = Snapshot(12, [StoreRow("p", b"1", 7)], last_significant_version=7)
    harness.run_steps(lambda: setattr(harness, "peer", newer))
    assert harness.keys == ["p"]
    assert harness.store.calls == 1


def test_older_table_of_a_peer_changes_nothing():
    harness = FollowerHarness(Snapshot(1, [StoreRow("old", b"1", 1)]))
    harness.store.put("a", b"1")
    harness.store.put("b", b"1")
    harness.run_steps(lambda: setattr(harness.store, "down", True))
    assert harness.keys == ["a", "b"]


def test_insignificant_change_is_not_announced():
    harness = FollowerHarness()
    harness.store.put("a", b"1")
    harness.run_steps(
        lambda: setattr(harness, "is_significant", False),
        lambda: harness.store.put("a", b"2"),
    )
    assert harness.follower.last_significant_version == 1
    assert harness.follower.snapshot().version == 2


@pytest.mark.parametrize("lapsing", [{}, {"a": 1.5}])
def test_removed_row_is_sent_to_others_as_lapsing_only(lapsing):
    harness = FollowerHarness()
    harness.store.put("a", b"1")
    harness.lapsing = lapsing
    harness.run_steps(lambda: harness.store.put("a", None))
    assert harness.keys == []
    assert harness.follower.snapshot().remaining_use_seconds == lapsing


def test_row_that_was_added_again_is_sent_to_others():
    harness = FollowerHarness()
    harness.store.put("a", b"old")
    harness.run_steps(
        lambda: harness.store.put("a", None), lambda: harness.store.put("a", b"new")
    )
    assert [row.value for row in harness.follower.snapshot().rows] == [b"new"]


def test_earlier_change_of_a_row_does_not_undo_a_later_one():
    copy = TableCopy()
    copy.replace_all(Snapshot(5, [StoreRow("a", b"new", 7)]))
    changes = Snapshot(8, [StoreRow("a", None, 6), StoreRow("b", b"1", 8)])
    assert [row.key for row in copy.merge_changes(changes).rows] == ["b"]
    assert {row.key: row.value for row in copy.rows} == {"a": b"new", "b": b"1"}


def test_table_is_fetched_at_once_when_a_heartbeat_announces_a_newer_one():
    harness = FollowerHarness(Snapshot(0, []), reader=False)
    harness.store.put("a", b"1")
    fetch_delays = []

    async def main():
        async with TaskGroup(wait=any) as group:
            await group.spawn(harness.follower.run)
            await sleep(0.2)
            harness.peer = Snapshot(9, [StoreRow("b", b"2", 9)], 9)
            announced_at = harness.clock.now()
            await harness.follower.fetch_if_behind()
            while harness.keys != ["b"]:
                await sleep(0.001)
            fetch_delays.append(harness.clock.now() - announced_at)
            await group.cancel_remaining()

    run(main)
    assert fetch_delays[0] < IDLE_PEER_INTERVAL_SECONDS / 4


def test_peers_are_polled_rarely_while_none_has_a_newer_table():
    harness = FollowerHarness(Snapshot(0, []), reader=False)
    polls = []
    poll = harness.follower._fetch_from_peer

    async def count_poll():
        polls.append(harness.clock.now())
        await poll()

    harness.follower._fetch_from_peer = count_poll
    harness.run_steps(lambda: None)
    # Polling every 0.1 s would exceed this within the 0.8 s of the run.
    assert len(polls) <= 3


def test_change_that_is_found_by_reading_again_is_announced_at_once():
    harness = FollowerHarness()
    harness.store.put("a", b"1")
    announced = []

    def lose_history():
        harness.store.put("b", b"2")
        harness.store.is_history_lost = True
        harness.store.follow = harness.store.hang

    harness.run_steps(
        lambda: None,
        lose_history,
        lambda: announced.append(harness.follower.announced_change_version),
    )
    assert harness.store.reads == 2
    assert announced == [2]


def test_reader_announces_its_first_read_before_the_next_change():
    harness = FollowerHarness()
    harness.store.put("a", b"1")
    harness.store.follow = harness.store.hang
    announced = []
    harness.run_steps(
        lambda: announced.append(harness.follower.announced_change_version),
        *[lambda: None] * 10,
        lambda: announced.append(harness.follower.announced_change_version),
    )
    assert announced == [0, 1]


def test_first_read_at_the_start_is_not_announced():
    harness = FollowerHarness(Snapshot(0, []), reader=False)
    harness.store.put("a", b"1")
    harness.run_steps()
    assert (
        harness.follower.last_significant_version,
        harness.follower.announced_change_version,
    ) == (1, 0)


@pytest.mark.parametrize("reader", [True, False])
def test_change_is_announced_by_readers_and_by_vms_that_fetched_it(reader):
    harness = FollowerHarness(Snapshot(0, []), reader=reader)

    def change():
        harness.store.put("a", b"1")
        harness.peer = Snapshot(1, [StoreRow("a", b"1", 1)], is_whole=False)

    harness.run_steps(change)
    assert harness.follower.announced_change_version == 1


def test_only_what_changed_is_passed_on():
    harness = FollowerHarness()
    for number in range(400):
        harness.store.put(f"old-{number}", b"1")

    def change():
        harness.store.put("new", b"1")
        harness.store.put("old-7", None)

    versions = []
    harness.run_steps(
        lambda: versions.append(harness.follower.last_significant_version), change
    )
    delta = harness.follower.snapshot(versions[0])
    assert not delta.is_whole
    assert [(row.key, row.value) for row in delta.rows] == [
        ("new", b"1"),
        ("old-7", None),
    ]
    assert len(harness.follower.snapshot().rows) == 400


def test_vm_that_missed_removals_is_sent_the_whole_table():
    copy = TableCopy()
    copy.replace_all(Snapshot(10, [StoreRow("a", b"1", 3)]))
    copy.record_changes(["a"], 10)
    assert copy.changes_since(9, {}).is_whole
    assert not copy.changes_since(10, {}).is_whole
    removals = [StoreRow(f"gone-{n}", None, 11 + n) for n in range(MAX_REMOVALS + 1)]
    copy.merge_changes(Snapshot(20 + MAX_REMOVALS, removals, is_whole=False))
    assert copy.changes_since(10, {}).is_whole
    assert not copy.changes_since(11, {}).is_whole


def test_removals_found_by_reading_again_are_sent_to_others():
    copy = TableCopy()
    rows = [StoreRow("a", b"1", 3), StoreRow("b", b"1", 4)]
    copy.replace_all(Snapshot(10, rows))
    copy.record_changes(["a", "b"], 10)
    copy.replace_all(Snapshot(20, rows[1:]))
    delta = copy.changes_since(10, {})
    assert [(row.key, row.value, row.version) for row in delta.rows] == [
        ("a", None, 20)
    ]


def test_row_added_and_removed_between_two_full_reads_is_sent_as_removed():
    """A VM that never had the row must still make others remove it.

    Otherwise a removed target would stay in use at VMs that had learned of it.
    """
    reader, other = TableCopy(), TableCopy()
    reader.replace_all(Snapshot(2, [], 2))
    other.replace_all(Snapshot(3, [StoreRow("t1", b"ready", 3)], 3))
    other.record_changes(["t1"], 3)
    reader.replace_all(Snapshot(4, [], 4))
    reader.record_changes(["t1"], 4)
    delta = reader.changes_since(other.last_significant_version, {})
    assert delta.is_whole
    other.replace_all(delta)
    assert other.rows == []


def test_row_older_than_the_whole_table_is_ignored():
    copy = TableCopy()
    copy.replace_all(Snapshot(10, []))
    late = Snapshot(9, [StoreRow("a", b"1", 9)], is_whole=False)
    assert copy.merge_changes(late).rows == []
    assert copy.version == 10


def test_outage_that_affects_all_vms_only_between_two_calls_is_reported_once():
    harness = FollowerHarness(Snapshot(0, []), reader=True, is_answered_elsewhere=True)

    harness.run_steps(
        lambda: setattr(harness.store, "down", True),
        lambda: setattr(harness, "reader", False),
        lambda: setattr(harness, "is_answered_elsewhere", False),
        *[lambda: None] * 6,
        lambda: setattr(harness, "is_answered_elsewhere", True),
        lambda: setattr(harness.store, "down", False),
        *[lambda: None] * 20,
    )
    assert len(harness.outage_ends) == 1


@pytest.mark.parametrize(("reads", "keys"), [(False, ["a"]), (True, [])])
def test_vm_that_probes_a_lost_store_leaves_its_changes_to_readers(reads, keys):
    """A target whose entry expired in an outage must not be dropped too early.

    A VM that is no reader calls rarely, so its estimate of the end of the outage is
    earlier than that of readers.
    """
    harness = FollowerHarness(Snapshot(0, []))
    harness.store.put("a", b"1")
    harness.run_steps(
        lambda: setattr(harness.store, "down", True),
        lambda: setattr(harness, "reader", False),
        lambda: harness.store.put("a", None),
        lambda: setattr(harness.store, "down", False),
        *[lambda: None] * 25,
        lambda: setattr(harness, "reader", reads),
        *[lambda: None] * 10,
    )
    assert not harness.follower.is_store_lost
    assert len(harness.outage_ends) == 1
    assert harness.keys == keys


@pytest.mark.parametrize("failures", [1, 2])
def test_rows_that_could_not_be_applied_are_applied_with_the_next_call(failures):
    harness = FollowerHarness()
    harness.store.put("a", b"1")

    def change():
        harness.store.put("b", b"2")
        harness.failing_applications = failures

    waits = [lambda: None] * 5
    harness.run_steps(change, *waits)
    assert (True, ["a", "b"]) in harness.applied
    assert harness.follower.announced_change_version == harness.store.version


def test_first_table_that_could_not_be_applied_is_applied_with_the_next_call():
    harness = FollowerHarness()
    harness.store.put("a", b"1")
    harness.failing_applications = 1
    harness.run_steps()
    assert harness.applied[0] == (True, ["a"])
    assert harness.follower.last_significant_version == harness.store.version


@pytest.mark.parametrize("is_whole", [True, False])
def test_rows_of_a_peer_that_could_not_be_applied_are_applied_later(is_whole):
    harness = FollowerHarness(Snapshot(0, []), reader=False)
    harness.store.put("a", b"1")

    def change_elsewhere():
        harness.failing_applications = 1
        rows = [StoreRow("a", b"1", 1), StoreRow("b", b"2", 9)]
        harness.peer = Snapshot(9, rows, is_whole=is_whole)

    waits = [lambda: None] * 5
    harness.run_steps(change_elsewhere, *waits)
    assert harness.applied[-1] == (True, ["a", "b"])
    assert harness.follower.last_significant_version == 9


def test_read_whose_rows_could_not_be_applied_proves_nothing():
    harness = FollowerHarness()
    harness.store.put("a", b"1")
    proofs = []

    def change():
        harness.store.put("b", b"2")
        harness.failing_applications = 1 << 30
        proofs.append(len(harness.current_instants))

    harness.run_steps(change)
    assert len(harness.current_instants) == proofs[0]
