"""Decoding and validation of rows of the targets' table.

The table accepts rows from any writer, so every field is validated. A malformed row
raises an error that names the field and its value, and other rows are unaffected.
"""

import json
from ipaddress import IPv4Address
from math import isfinite

from heathercleat.platform.units import parse_duration
from heathercleat.steering.process.capacity.target import TargetEntry

#: Whether a target is draining, by the state in its row.
_STATES = {"ready": False, "draining": True}
_MAX_PORT = 65535
#: Maximum number of slots of a plausible row.
MAX_SLOTS = 10_000
#: Upper limit of counters and times, which are 64-bit signed integers.
MAX_COUNT = 1 << 63
#: Maximum length of a value in error messages.
_MAX_SHOWN_LENGTH = 60


def decode_target(row):
    """Return the :class:`TargetEntry` of a row of the targets' table.

    :param row: a :class:`StoreRow` with a value.
    :raises ValueError: when the row is malformed.
    """
    document = _parse_object(row.value)
    host, port = _parse_address(document)
    # The version is not used, but every row written by a target has one.
    _string(document, "version")
    return TargetEntry(
        id=_target_id(row.key),
        service=_string(document, "service"),
        host=host,
        port=port,
        failure_domain=_string(document, "zone"),
        slots=_integer(document, "slots", minimum=1, maximum=MAX_SLOTS),
        draining=_is_draining(document),
        cold_for=_cold_seconds(document),
        sequence=_integer(document, "sequence"),
        started_ms=_integer(document, "born") if "born" in document else None,
        version=row.version,
    )


def _parse_object(value):
    try:
        document = json.loads(value)
    except RecursionError:
        raise ValueError("the value is nested too deeply") from None
    if not isinstance(document, dict):
        raise ValueError(
            f"the value is {_abbreviate(document)}; it has to be an object"
        )
    return document


def _target_id(key):
    """Return the id of a target, which has to be a valid header value."""
    if not (key.isascii() and key.isprintable()) or " " in key or not key:
        raise ValueError(f"the key {_abbreviate(key)} is not a valid target id")
    return key


def _parse_address(document):
    """Return the IP address and port."""
    text = _string(document, "address")
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        number = int(port)
    except ValueError:
        number = 0
    if not (port.isdecimal() and 1 <= number <= _MAX_PORT):
        raise _invalid_field("address", text, "an IPv4 address and a port")
    return host, number


def _is_draining(document):
    state = _string(document, "state")
    if state not in _STATES:
        raise _invalid_field("state", state, f"one of {', '.join(_STATES)}")
    return _STATES[state]


def _cold_seconds(document):
    text = _string(document, "coldRemaining")
    number = parse_duration(text)
    if not (isfinite(number) and number >= 0):
        raise _invalid_field("coldRemaining", text, "a duration of 0 or more")
    return number


def _string(document, name):
    """Return a field that has to be a non-empty string."""
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise _invalid_field(name, value, "a non-empty string")
    return value


def _integer(document, name, minimum=0, maximum=MAX_COUNT):
    """Return a field that has to be an integer in a range; booleans are rejected."""
    value = document.get(name)
    if type(value) is not int or not minimum <= value <= maximum:
        raise _invalid_field(name, value, f"an integer from {minimum} to {maximum}")
    return value


def _invalid_field(name, value, expected):
    return ValueError(
        f'the field "{name}" is {_abbreviate(value)}; it has to be {expected}'
    )


def _abbreviate(value):
    return "missing or null" if value is None else repr(value)[:_MAX_SHOWN_LENGTH]
