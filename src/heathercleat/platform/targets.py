"""Decoding and validation of rows of the targets' table.

The table accepts rows from any writer, so every field is validated. A malformed row
raises an error that names the field and its value, and other rows are unaffected.
"""

import json
from ipaddress import IPv4Address
from math import isfinite

from heathercleat.platform.units import parse_duration
from heathercleat.steering.process.capacity.target import TargetEntry

#: State of a target, and whether it is draining.
_STATES = {"ready": False, "draining": True}
_MOST_PORT = 65535
#: Upper limit for plausible values.
MAX_SLOTS = 10_000
#: Upper limit of counters and times: 64-bit signed integers.
MAX_COUNT = 1 << 63
#: Maximum length of a value in error messages.
_SHOWN = 60


def decode_target(row):
    """Return the :class:`TargetEntry` of a row of the targets' table.

    :param row: a :class:`StoreRow` with a value.
    :raises ValueError: when the row is malformed.
    """
    document = _document(row.value)
    host, port = _address(document)
    # The version is not used, but every row written by a target has one.
    _text(document, "version")
    return TargetEntry(
        id=_target_id(row.key),
        service=_text(document, "service"),
        host=host,
        port=port,
        failure_domain=_text(document, "zone"),
        slots=_whole(document, "slots", least=1, most=MAX_SLOTS),
        draining=_draining(document),
        cold_for=_cold_for(document),
        sequence=_whole(document, "sequence"),
        started_ms=_whole(document, "born") if "born" in document else None,
        version=row.version,
    )


def _document(value):
    try:
        document = json.loads(value)
    except RecursionError:
        raise ValueError("the value is nested too deeply") from None
    if not isinstance(document, dict):
        raise ValueError(f"the value is {_show(document)}; it has to be a map")
    return document


def _target_id(key):
    """Return the id of a target, which has to be a valid header value."""
    if not (key.isascii() and key.isprintable()) or " " in key or not key:
        raise ValueError(f"the key {_show(key)} is no id of a target")
    return key


def _address(document):
    """Return the IP address and port."""
    text = _text(document, "address")
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        number = int(port)
    except ValueError:
        number = 0
    if not (port.isdecimal() and 1 <= number <= _MOST_PORT):
        raise _bad("address", text, "an IPv4 number and a port")
    return host, number


def _draining(document):
    state = _text(document, "state")
    if state not in _STATES:
        raise _bad("state", state, f"one of {', '.join(_STATES)}")
    return _STATES[state]


def _cold_for(document):
    text = _text(document, "coldRemaining")
    number = parse_duration(text)
    if not (isfinite(number) and number >= 0):
        raise _bad("coldRemaining", text, "a time of 0 or more")
    return number


def _text(document, name):
    """Return a field that has to be a non-empty string."""
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise _bad(name, value, "a text")
    return value


def _whole(document, name, least=0, most=MAX_COUNT):
    """Return a field that has to be an integer in a range; booleans are rejected."""
    value = document.get(name)
    if type(value) is not int or not least <= value <= most:
        raise _bad(name, value, f"a whole number from {least} to {most}")
    return value


def _bad(name, value, wanted):
    return ValueError(f'the field "{name}" is {_show(value)}; it has to be {wanted}')


def _show(value):
    return "missing or null" if value is None else repr(value)[:_SHOWN]
