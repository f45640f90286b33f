import pytest

from heathercleat.steering.connection.forwarded import pack_state, read_state
from heathercleat.steering.process.store.protocol import Snapshot, StoreRow


def test_table_is_the_same_after_its_way_between_vms():
    rows = [StoreRow("a", '{"slots": 3}', 4), StoreRow("b", None, 7)]
    state = read_state(pack_state(Snapshot(9, rows, 7, {"c": 1.5})))
    assert (state.version, state.changed) == (9, 7)
    assert state.lapsing == {"c": 1.5}
    assert [(row.key, row.value, row.version) for row in state.rows] == [
        ("a", '{"slots": 3}', 4),
        ("b", None, 7),
    ]


def test_many_entries_are_sent_in_few_bytes():
    value = '{"service": "s1", "zone": "north-a", "slots": 6, "state": "ready"}'
    rows = [StoreRow(f"i-{number}", value, number) for number in range(400)]
    assert len(pack_state(Snapshot(400, rows))) < 400 * len(value) / 4


@pytest.mark.parametrize("body", [b"", b"not compressed", b"x\x9cbroken"])
def test_broken_state_is_an_error(body):
    with pytest.raises(ValueError):
        read_state(body)
