"""Tests that a removed target is used only until the lapse of its entry ends.

Whole and partial reads, relayed tables and store outages come in any order; a table
received from a peer never extends the lapse or brings a removed target back.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heathercleat.process.logs import Journal
from heathercleat.steering.process.capacity.registry import (
    MISSING_GRACE_SECONDS,
    TargetRegistry,
)
from heathercleat.steering.process.store.protocol import Snapshot, StoreRow
from heathercleat.steering.process.store.table_copy import TableCopy
from tests.fakes import ManualClock
from tests.steering_parts import entry

VMS = 3
TARGETS = ("t1", "t2", "t3")
#: Interval at which a VM expires entries, and the step of the clock.
EXPIRY_INTERVAL_SECONDS = 0.05
#: Upper bound of the time from the last failed call to the return of the store.
MAX_RETRY_GAP_SECONDS = 0.45


class Vm:
    """A VM's copy of the target table and the registry built from it."""

    def __init__(self, clock):
        self.copy = TableCopy()
        self.registry = TargetRegistry(Journal("vm-1", "north-a"), clock)

    def replace_all(self, snapshot):
        if self.copy.replace_all(snapshot):
            changed = self.registry.replace(
                _entries(snapshot.rows), snapshot.remaining_use_seconds
            )
            self.copy.record_changes(changed, snapshot.last_significant_version)

    def merge_changes(self, snapshot):
        changed = self._update(self.copy.merge_changes(snapshot))
        if changed:
            self.copy.record_changes(changed, self.copy.version)

    def apply_relayed(self, snapshot):
        if snapshot.is_whole:
            self.replace_all(snapshot)
        else:
            self._update(self.copy.merge_changes(snapshot))
        keys = [row.key for row in snapshot.rows]
        self.copy.record_changes(keys, snapshot.last_significant_version)

    def _update(self, snapshot):
        removed = [row.key for row in snapshot.rows if row.value is None]
        entries = _entries(snapshot.rows)
        return self.registry.update(entries, removed, snapshot.remaining_use_seconds)

    def snapshot(self, after):
        return self.copy.changes_since(after, self.registry.remaining_use_seconds())


def _entries(rows):
    return [
        entry(row.key, draining=row.value == b"draining", version=row.version)
        for row in rows
        if row.value is not None
    ]


class LapsesMachine(RuleBasedStateMachine):
    """A store that fails and recovers, with VMs that read it and relay tables."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.version = 0
        self.rows = {}
        self.changes = []
        self.is_store_down = False
        self.returned_at = None
        self.vms = [Vm(self.clock) for _ in range(VMS)]

    @rule(key=st.sampled_from(TARGETS), value=st.sampled_from([b"ready", b"draining"]))
    def put(self, key, value):
        if not self.is_store_down:
            self._change(key, value)

    @rule(key=st.sampled_from(TARGETS))
    def remove(self, key):
        if key in self.rows:
            self._change(key, None)

    def _change(self, key, value):
        self.version += 1
        row = StoreRow(key, value, self.version)
        self.changes.append(row)
        self.rows[key] = row
        if value is None:
            del self.rows[key]

    @rule(vm=st.integers(0, VMS - 1), whole=st.booleans())
    def read(self, vm, whole):
        if self.is_store_down:
            return
        reader = self.vms[vm]
        if whole or not reader.registry.is_loaded:
            reader.replace_all(Snapshot(self.version, list(self.rows.values())))
            return
        after = reader.copy.version
        newer_rows = [row for row in self.changes if row.version > after]
        reader.merge_changes(Snapshot(self.version, newer_rows, is_whole=False))

    @rule(
        source=st.integers(0, VMS - 1),
        receiver=st.integers(0, VMS - 1),
        whole=st.booleans(),
    )
    def relay(self, source, receiver, whole):
        source, receiver = self.vms[source], self.vms[receiver]
        if (
            source.copy.last_significant_version
            > receiver.copy.last_significant_version
        ):
            after = 0 if whole else receiver.copy.last_significant_version
            receiver.apply_relayed(source.snapshot(after))

    @rule()
    def stop_store(self):
        self.is_store_down = True

    @precondition(lambda self: self.is_store_down)
    @rule(
        noticed_by=st.sets(st.integers(0, VMS - 1)),
        since_last_attempt=st.floats(0, MAX_RETRY_GAP_SECONDS),
    )
    def restore_store(self, noticed_by, since_last_attempt):
        self.is_store_down = False
        self.returned_at = self.clock.now()
        for vm in noticed_by:
            self.vms[vm].registry.record_store_return(
                self.returned_at - since_last_attempt
            )

    @rule(steps=st.integers(1, 30))
    def wait(self, steps):
        for _ in range(steps):
            self.clock.time += EXPIRY_INTERVAL_SECONDS
            for vm in self.vms:
                vm.registry.expire()

    @invariant()
    def removed_targets_are_used_only_while_they_lapse(self):
        for vm in self.vms:
            present = {row.key for row in vm.copy.rows}
            used = {each.id for each in vm.registry.usable()}
            if used <= present:
                continue
            assert self.returned_at is not None
            assert (
                self.clock.now()
                <= self.returned_at + MISSING_GRACE_SECONDS + EXPIRY_INTERVAL_SECONDS
            )

    @invariant()
    def draining_targets_are_not_used(self):
        for vm in self.vms:
            draining = {row.key for row in vm.copy.rows if row.value == b"draining"}
            assert draining.isdisjoint(each.id for each in vm.registry.usable())

    @invariant()
    def copies_match_the_store_at_their_version(self):
        for vm in self.vms:
            state = {}
            for row in self.changes:
                if row.version <= vm.copy.version:
                    state[row.key] = row
            expected = {key for key, row in state.items() if row.value is not None}
            assert {row.key for row in vm.copy.rows} == expected


TestLapses = LapsesMachine.TestCase
TestLapses.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
