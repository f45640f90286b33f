"""Several VMs, a store that is away for all or for some, and targets that leave.

The machine plays any order of changes, reads, and tables passed between VMs. A VM may
use a target whose removal it has read only while the lapse of its entry lasts: nothing
that others tell later brings it back, and the deadline holds though nothing is read.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heathercleat.process.logs import Journal
from heathercleat.steering.process.capacity.registry import (
    LAPSE_GRACE_SECONDS,
    TargetRegistry,
)
from heathercleat.steering.process.store.protocol import Snapshot, StoreRow
from heathercleat.steering.process.store.table_copy import TableCopy
from tests.fakes import ManualClock
from tests.steering_parts import entry

VMS = 3
TARGETS = ("t1", "t2", "t3")
#: Seconds between two looks of a VM at deadlines, and the longest step of the clock.
UPKEEP = 0.05
#: Seconds between a try at the store that fails and its return, at most.
TRIED_BEFORE = 0.45


class Vm:
    """A copy of the targets' table, and what is made of it."""

    def __init__(self, clock):
        self.copy = TableCopy()
        self.registry = TargetRegistry(Journal("vm-1", "north-a"), clock)

    def replace_all(self, snapshot):
        if self.copy.replace_all(snapshot):
            changed = self.registry.replace(_entries(snapshot.rows), snapshot.lapsing)
            self.copy.record_changes(changed, snapshot.last_change)

    def merge_changes(self, snapshot):
        changed = self._update(self.copy.merge_changes(snapshot))
        if changed:
            self.copy.record_changes(changed, self.copy.version)

    def take_relayed(self, snapshot):
        if snapshot.is_whole:
            self.replace_all(snapshot)
        else:
            self._update(self.copy.merge_changes(snapshot))
        keys = [row.key for row in snapshot.rows]
        self.copy.record_changes(keys, snapshot.last_change)

    def _update(self, snapshot):
        removed = [row.key for row in snapshot.rows if row.value is None]
        entries = _entries(snapshot.rows)
        return self.registry.update(entries, removed, snapshot.lapsing)

    def snapshot(self, after):
        return self.copy.changes_since(after, self.registry.lapsing())


def _entries(rows):
    return [
        entry(row.key, draining=row.value == b"draining", version=row.version)
        for row in rows
        if row.value is not None
    ]


class Lapses(RuleBasedStateMachine):
    """The store, its changes, and the VMs."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.version = 0
        self.rows = {}
        self.changes = []
        self.away = False
        self.returned_at = None
        self.vms = [Vm(self.clock) for _ in range(VMS)]

    @rule(key=st.sampled_from(TARGETS), value=st.sampled_from([b"ready", b"draining"]))
    def put(self, key, value):
        if not self.away:
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
        if self.away:
            return
        made = self.vms[vm]
        if whole or not made.registry.is_loaded:
            made.replace_all(Snapshot(self.version, list(self.rows.values())))
            return
        after = made.copy.version
        news = [row for row in self.changes if row.version > after]
        made.merge_changes(Snapshot(self.version, news, is_whole=False))

    @rule(
        source=st.integers(0, VMS - 1),
        receiver=st.integers(0, VMS - 1),
        whole=st.booleans(),
    )
    def pass_on(self, source, receiver, whole):
        source, receiver = self.vms[source], self.vms[receiver]
        if source.copy.last_change > receiver.copy.last_change:
            after = 0 if whole else receiver.copy.last_change
            receiver.take_relayed(source.snapshot(after))

    @rule()
    def go_away(self):
        self.away = True

    @precondition(lambda self: self.away)
    @rule(noticed=st.sets(st.integers(0, VMS - 1)), before=st.floats(0, TRIED_BEFORE))
    def come_back(self, noticed, before):
        self.away = False
        self.returned_at = self.clock.now()
        for vm in noticed:
            self.vms[vm].registry.store_returned(self.returned_at - before)

    @rule(steps=st.integers(1, 30))
    def wait(self, steps):
        for _ in range(steps):
            self.clock.time += UPKEEP
            for vm in self.vms:
                vm.registry.expire()

    @invariant()
    def removed_targets_are_used_while_they_lapse_only(self):
        for vm in self.vms:
            present = {row.key for row in vm.copy.rows}
            used = {each.id for each in vm.registry.usable()}
            if used <= present:
                continue
            assert self.returned_at is not None
            assert self.clock.now() <= self.returned_at + LAPSE_GRACE_SECONDS + UPKEEP

    @invariant()
    def targets_that_said_that_they_leave_are_not_used(self):
        for vm in self.vms:
            draining = {row.key for row in vm.copy.rows if row.value == b"draining"}
            assert draining.isdisjoint(each.id for each in vm.registry.usable())

    @invariant()
    def copies_hold_what_the_store_told(self):
        for vm in self.vms:
            state = {}
            for row in self.changes:
                if row.version <= vm.copy.version:
                    state[row.key] = row
            expected = {key for key, row in state.items() if row.value is not None}
            assert {row.key for row in vm.copy.rows} == expected


TestLapses = Lapses.TestCase
TestLapses.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
