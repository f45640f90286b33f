"""Tests of the encoding of the tables that one VM sends to another."""

import pytest

from heathercleat.steering.connection.forwarded import (
    pack_state,
    parse_state_path,
    state_path,
    unpack_state,
)
from heathercleat.steering.process.store.protocol import Snapshot, StoreRow


def test_table_survives_a_round_trip_between_vms():
    rows = [StoreRow("a", '{"slots": 3}', 4), StoreRow("b", None, 7)]
    state = unpack_state(pack_state(Snapshot(9, rows, 7, {"c": 1.5})))
    assert (state.version, state.last_significant_version) == (9, 7)
    assert state.remaining_use_seconds == {"c": 1.5}
    assert [(row.key, row.value, row.version) for row in state.rows] == [
        ("a", '{"slots": 3}', 4),
        ("b", None, 7),
    ]


@pytest.mark.parametrize("is_whole", [True, False])
def test_packed_table_keeps_is_whole(is_whole):
    state = unpack_state(pack_state(Snapshot(9, [], is_whole=is_whole)))
    assert state.is_whole is is_whole


def test_state_path_has_a_table_and_a_version():
    assert parse_state_path(state_path("servers", 17).encode()) == ("servers", 17)


@pytest.mark.parametrize("path", [b"/state/servers", b"/state/servers/x", b"/state/"])
def test_state_path_without_a_version_is_an_error(path):
    with pytest.raises(ValueError):
        parse_state_path(path)


def test_packed_state_is_compressed():
    value = '{"service": "s1", "zone": "north-a", "slots": 6, "state": "ready"}'
    rows = [StoreRow(f"i-{number}", value, number) for number in range(400)]
    assert len(pack_state(Snapshot(400, rows))) < 400 * len(value) / 4


@pytest.mark.parametrize("body", [b"", b"not compressed", b"x\x9cbroken"])
def test_invalid_state_is_an_error(body):
    with pytest.raises(ValueError):
        unpack_state(body)
