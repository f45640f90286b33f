"""Rows of the targets' table as types of the product.

Any writer may have written a row there. One that does not hold every field in its
proper form names no target to use, and must not harm the rows beside it: each field is
checked, and the error names the field and its value.
"""

import json
from ipaddress import IPv4Address
from math import isfinite

from heathercleat.platform.units import parse_duration
from heathercleat.steering.process.capacity.target import TargetEntry

#: State on the wire, and whether such a target takes no new requests.
_STATES = {"ready": False, "draining": True}
_MOST_PORT = 65535
#: Far above what any target is known to take (3 to 6), and what this VM could send it.
MAX_SLOTS = 10_000
#: Counts and times of day beyond this are no such thing (2 to the power of 63).
MAX_COUNT = 1 << 63
#: Characters of a value that an error shows.
_SHOWN = 60


def decode_target(row):
    """Return the :class:`TargetEntry` of a row of the targets' table.

    :param row: a :class:`StoreRow` with a value.
    :raises ValueError: when the row names no target that can be used.
    """
    document = _document(row.value)
    host, port = _address(document)
    # The software's version is no business of the product, but a row without it is not
    # a target's own.
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
    """Return the id, which is sent to the target in a header."""
    if not (key.isascii() and key.isprintable()) or " " in key or not key:
        raise ValueError(f"the key {_show(key)} is no id of a target")
    return key


def _address(document):
    """Return the IP number and the port of the address."""
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
    """Return a field that is a text and not empty."""
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise _bad(name, value, "a text")
    return value


def _whole(document, name, least=0, most=MAX_COUNT):
    """Return a field that is a whole number; ``True`` is none."""
    value = document.get(name)
    if type(value) is not int or not least <= value <= most:
        raise _bad(name, value, f"a whole number from {least} to {most}")
    return value


def _bad(name, value, wanted):
    return ValueError(f'the field "{name}" is {_show(value)}; it has to be {wanted}')


def _show(value):
    return "missing or null" if value is None else repr(value)[:_SHOWN]
