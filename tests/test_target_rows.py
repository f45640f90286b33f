"""Rows of the target table, including invalid ones, are decoded or refused."""

import json

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathercleat.errors import HeathercleatError
from heathercleat.platform.targets import decode_target
from heathercleat.process.logs import Journal
from heathercleat.steering.process.rejected_items import (
    MAX_LINES_PER_WINDOW,
    WINDOW_SECONDS,
    RejectedItemLog,
)
from heathercleat.steering.process.store.member_rows import decode_member, encode_member
from heathercleat.steering.process.store.protocol import StoreRow
from tests.fakes import ManualClock
from tests.platform_samples import target

FIELDS = sorted(target())
INVALID_FIELDS = [
    ("slots", "4"),
    ("slots", -1),
    ("slots", 0),
    ("slots", True),
    ("slots", 2.7),
    ("slots", None),
    ("slots", 10**30),
    ("service", ["s1"]),
    ("service", {"name": "s1"}),
    ("service", None),
    ("service", 7),
    ("service", ""),
    ("service", "caf\ud83d"),
    ("version", "\udc00"),
    ("zone", ["north-a"]),
    ("zone", {}),
    ("zone", None),
    ("zone", 3),
    ("address", "127.0.0.9:99999"),
    ("address", "127.0.0.9:0"),
    ("address", "127.0.0.9:+80"),
    ("address", ":8080"),
    ("address", "somewhere:8080"),
    ("address", 8080),
    ("state", "resting"),
    ("state", True),
    ("coldRemaining", "-5s"),
    ("coldRemaining", "infs"),
    ("coldRemaining", "nans"),
    ("coldRemaining", 5),
    ("sequence", "4"),
    ("sequence", None),
    ("sequence", -1),
    ("sequence", 2.5),
    ("sequence", True),
    ("born", None),
    ("born", "1796260349795"),
    ("born", 1.5),
    ("version", None),
    ("version", 1),
]
INVALID_ROWS = [
    b"",
    b"null",
    b"[]",
    b"17",
    b'"ready"',
    b"\xff\xfe\x00",
    b"{",
    b"[" * 100_000,
    json.dumps(target()).encode()[:-1],
    json.dumps(target(slots=float("inf"))).encode(),
    json.dumps(target(slots=float("nan"))).encode(),
]
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def row(document, key="i-1", version=7):
    return StoreRow(key, json.dumps(document).encode(), version)


def test_target_is_decoded():
    entry = decode_target(row(target(state="draining", coldRemaining="1500ms")))
    assert (entry.id, entry.host, entry.port) == ("i-1", "127.0.0.9", 8080)
    assert (entry.service, entry.failure_domain, entry.slots) == ("s1", "north-a", 4)
    assert entry.draining
    assert (entry.cold_for, entry.sequence, entry.started_ms) == (1.5, 4, None)
    assert entry.version == 7


def test_start_time_of_a_target_is_decoded():
    assert decode_target(row(target(born=1796260349795))).started_ms == 1796260349795


@pytest.mark.parametrize("field", FIELDS)
def test_row_without_a_field_is_refused(field):
    document = target()
    del document[field]
    with pytest.raises(ValueError, match=field):
        decode_target(row(document))


@pytest.mark.parametrize(("field", "value"), INVALID_FIELDS)
def test_row_with_an_invalid_field_is_refused(field, value):
    with pytest.raises(ValueError):
        decode_target(row(target(**{field: value})))


@pytest.mark.parametrize("value", INVALID_ROWS, ids=range(len(INVALID_ROWS)))
def test_bytes_that_are_no_entry_are_refused(value):
    with pytest.raises(ValueError):
        decode_target(StoreRow("i-1", value, 7))


@pytest.mark.parametrize("key", ["", "a b", "i-1\r\nx: y", "\x00", "i-\u00e9"])
def test_key_that_is_invalid_in_a_header_is_refused(key):
    with pytest.raises(ValueError):
        decode_target(row(target(), key))


@given(st.sampled_from(FIELDS), JSON_VALUES)
def test_any_field_is_decoded_or_refused(field, value):
    document = target(**{field: value})
    try:
        entry = decode_target(row(document))
    except ValueError:
        return
    assert isinstance(entry.service, str) and isinstance(entry.failure_domain, str)
    assert type(entry.slots) is int and entry.slots > 0
    assert 0 < entry.port < 65536
    assert 0 <= entry.cold_for < float("inf")


@given(st.text(st.characters(categories=("Cs", "L")), max_size=4))
def test_service_of_any_entry_can_be_sent_to_other_vms(text):
    """A heartbeat that cannot be encoded makes its VM seem dead."""
    try:
        entry = decode_target(row(target(service=text)))
    except ValueError:
        return
    assert msgpack.unpackb(msgpack.packb(entry.service)) == text


@given(st.binary(max_size=60))
def test_any_bytes_are_refused(value):
    with pytest.raises(ValueError):
        decode_target(StoreRow("i-1", value, 7))


@given(st.binary(max_size=60))
def test_any_bytes_of_a_vms_row_are_decoded_or_refused(value):
    try:
        member = decode_member(StoreRow("vm-9", value, 1))
    except ValueError:
        return
    assert isinstance(member.ip, str) and isinstance(member.region, str)


def test_vms_row_is_decoded():
    value = encode_member("127.0.9.9", "north-a", "north")
    member = decode_member(StoreRow("vm-9", value, 1))
    assert (member.vm, member.ip, member.region) == ("vm-9", "127.0.9.9", "north")


@pytest.mark.parametrize("fields", [(7, "a", "b"), ("x", "a", "b"), ("", "a", "b")])
def test_vms_row_without_an_address_is_refused(fields):
    with pytest.raises(ValueError):
        decode_member(StoreRow("vm-9", encode_member(*fields), 1))


class RecordingLogger:
    """A logger that records the fields of its lines."""

    def __init__(self):
        self.fields = []

    def isEnabledFor(self, level):  # noqa: N802
        return True

    def log(self, level, text, name, extra):
        self.fields.append(extra["fields"])


def test_log_of_rejected_rows_is_rate_limited():
    logger, clock = RecordingLogger(), ManualClock()
    rejections = RejectedItemLog(Journal("vm-1", "north-a", logger), clock)
    for number in range(10 * MAX_LINES_PER_WINDOW):
        rejections.log(f"i-{number}", HeathercleatError)
    assert len(logger.fields) == MAX_LINES_PER_WINDOW
    clock.time += WINDOW_SECONDS
    rejections.log("i-1" * 1000, ValueError("x" * 1000))
    assert logger.fields[-1]["left_out"] == 9 * MAX_LINES_PER_WINDOW
    assert len(logger.fields[-1]["key"]) + len(logger.fields[-1]["reason"]) < 500
