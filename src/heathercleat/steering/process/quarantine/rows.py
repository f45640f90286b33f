"""Rows of the table that keeps quarantines beyond the life of all VMs."""

import msgpack

from heathercleat.process.clock import from_wall, to_wall
from heathercleat.steering.process.quarantine.suspect import SuspectNews
from heathercleat.steering.process.quarantine.suspects import QUARANTINE_SECONDS

#: Seconds after its end in which a row stays: the VMs' times of day differ.
ROW_MARGIN = 3600.0


def encode_quarantine(suspect, clock):
    """Return the value of the row of a quarantined :class:`Suspect`."""
    return msgpack.packb([to_wall(clock, suspect.until), suspect.ends])


def decode_quarantine(row, clock):
    """Return the :class:`SuspectNews` of a row, or ``None`` for one that is long over.

    :raises ValueError: when it holds no quarantine.
    """
    fields = msgpack.unpackb(row.value)
    if not isinstance(fields, list) or len(fields) != 2:
        raise ValueError(f"{fields!r} is not the end of a quarantine and its ends")
    until_wall, ends = fields
    if not isinstance(until_wall, int | float):
        raise ValueError(f"{until_wall!r} is no instant")
    remaining = from_wall(clock, until_wall) - clock.now()
    if remaining < -ROW_MARGIN:
        return None
    remaining = min(max(0.0, remaining), QUARANTINE_SECONDS)
    return SuspectNews.of([row.key, remaining, ends, []])
