"""Decoding and validation of rows of the targets' table.

The table accepts rows from any writer, so every field is validated. A malformed row
raises an error that names the field and its value, and other rows are unaffected.
"""

from ipaddress import IPv4Address

from heathercleat.platform.fields import abbreviate, parse_object
from heathercleat.steering.process.capacity.target import TargetEntry

#: Whether a target is draining, by the state in its row.
_STATES = {"ready": False, "draining": True}
_MAX_PORT = 65535
#: Maximum number of slots of a plausible row.
MAX_SLOTS = 10_000


def decode_target(row):
    """Return the :class:`TargetEntry` of a row of the targets' table.

    :param row: a :class:`StoreRow` with a value.
    :raises ValueError: when the row is malformed.
    """
    fields = parse_object(row.value)
    host, port = _parse_address(fields)
    # The version is not used, but every row written by a target has one.
    fields.text("version")
    return TargetEntry(
        id=_target_id(row.key),
        service=fields.text("service"),
        host=host,
        port=port,
        failure_domain=fields.text("zone"),
        slots=fields.integer("slots", minimum=1, maximum=MAX_SLOTS),
        draining=_is_draining(fields),
        cold_for=fields.duration("coldRemaining", allows_zero=True),
        sequence=fields.integer("sequence"),
        started_ms=fields.integer("born") if "born" in fields else None,
        version=row.version,
    )


def _target_id(key):
    """Return the id of a target, which has to be a valid header value."""
    if not (key.isascii() and key.isprintable()) or " " in key or not key:
        raise ValueError(f"the key {abbreviate(key)} is not a valid target id")
    return key


def _parse_address(fields):
    """Return the IP address and port."""
    host, _, port = fields.text("address").rpartition(":")
    try:
        IPv4Address(host)
        number = int(port)
    except ValueError:
        number = 0
    if not (port.isdecimal() and 1 <= number <= _MAX_PORT):
        raise fields.error("address", "an IPv4 address and a port")
    return host, number


def _is_draining(fields):
    state = fields.text("state")
    if state not in _STATES:
        raise fields.error("state", f"one of {', '.join(_STATES)}")
    return _STATES[state]
