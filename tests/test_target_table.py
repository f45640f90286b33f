"""The targets' table: what a VM knows does not depend on how changes are grouped."""

import json

import pytest
from curio import run
from hypothesis import given, settings
from hypothesis import strategies as st

from heathercleat.platform.settings import decode_node_settings
from heathercleat.steering.process.configuration_freshness import (
    ConfigurationFreshness,
)
from heathercleat.steering.process.store.follower import TableFollower
from heathercleat.steering.process.store.tables import Tables
from tests.platform_samples import SETTINGS, target
from tests.scripted_store import ScriptedStore
from tests.steering_parts import Parts

KEYS = ("i-1", "i-2", "i-3")
READY = json.dumps(target()).encode()
DRAINING = json.dumps(target(state="draining")).encode()
INVALID = json.dumps(target(slots=None)).encode()


class ScriptedTables(Tables):
    """Tables that follow a store in memory."""

    def new_store(self):
        return ScriptedStore()


class TargetTable:
    """The targets' table of one VM, without peers.

    ``put()`` writes a row; ``read()`` makes one call to the store.
    """

    def __init__(self):
        self._parts = Parts()
        self._tables = ScriptedTables(
            decode_node_settings(SETTINGS),
            self._parts.registry,
            self._parts.members,
            None,
            lambda: None,
            None,
            ConfigurationFreshness(lambda: 0),
            self._parts.journal,
            self._parts.clock,
        )
        self.follower: TableFollower = self._tables.target_rows
        self.put = self.follower._store.put
        self.read()

    @property
    def usable(self):
        return sorted(each.id for each in self._parts.registry.usable())

    def read(self):
        run(self.follower._read_store)


@pytest.mark.parametrize("last", [INVALID, None], ids=["invalid", "removed"])
def test_row_that_is_invalid_twice_in_a_response_loses_no_other_change(last):
    table = TargetTable()
    for key in KEYS:
        table.put(key, READY)
    table.read()
    table.put("i-1", INVALID)
    table.put("i-1", INVALID)
    table.put("i-1", last)
    table.put("i-2", None)
    table.read()
    assert table.usable == ["i-3"]


def test_row_that_becomes_invalid_after_a_valid_change_is_rejected():
    table = TargetTable()
    table.put("i-1", READY)
    table.put("i-1", INVALID)
    table.read()
    assert table.usable == []


def test_target_that_is_removed_and_added_in_one_response_is_used():
    table = TargetTable()
    table.put("i-1", READY)
    table.read()
    table.put("i-1", None)
    table.put("i-1", READY)
    table.read()
    assert table.usable == ["i-1"]


@settings(deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(KEYS),
            st.sampled_from([READY, DRAINING, INVALID, None]),
            st.booleans(),
        ),
        max_size=12,
    )
)
def test_targets_do_not_depend_on_which_changes_share_a_response(changes):
    together, one_by_one = TargetTable(), TargetTable()
    for key, value, ends_response in changes:
        for table in (together, one_by_one):
            table.put(key, value)
        one_by_one.read()
        if ends_response:
            together.read()
    together.read()
    assert together.usable == one_by_one.usable
