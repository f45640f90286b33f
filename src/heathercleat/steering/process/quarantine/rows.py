"""Rows of the table that keeps quarantines beyond the life of all VMs."""

import msgpack

from heathercleat.process.clock import from_wall, to_wall
from heathercleat.steering.process.quarantine.suspect import SuspectUpdate
from heathercleat.steering.process.quarantine.suspects import QUARANTINE_SECONDS

QUARANTINE_TABLE = "heathercleat-quarantines"
#: Seconds after its end in which a row stays: the VMs' times of day differ.
ROW_RETENTION_SECONDS = 3600.0


class QuarantineRow:
    """What a row tells of a quarantine; instants are epoch seconds.

    :param until: when it ends.
    :param ends: the lives of the targets that ended; see :attr:`TargetEntry.life`.
    :param route: name of the request's route, or ``None``.
    :param service: name of the service that ran it, or ``None``.
    :param vm: name of the VM that wrote the row, or ``None``.
    :param since: when that VM learned of the last of these ends, or ``None``.
    """

    __slots__ = ("until", "ends", "route", "service", "vm", "since")

    #: Fields without which there is no quarantine; the others are for operators.
    _REQUIRED = 2

    def __init__(self, until, ends, route=None, service=None, vm=None, since=None):
        self.until = until
        self.ends = ends
        self.route = route
        self.service = service
        self.vm = vm
        self.since = since

    def pack(self):
        """Return the value of the row."""
        return msgpack.packb([getattr(self, name) for name in self.__slots__])

    @classmethod
    def unpack(cls, value):
        """Return the row of a value.

        :raises ValueError: when it holds no quarantine.
        """
        fields = msgpack.unpackb(value)
        if not isinstance(fields, list) or len(fields) not in (
            cls._REQUIRED,
            len(cls.__slots__),
        ):
            raise ValueError(f"{fields!r} is not the end of a quarantine and its ends")
        row = cls(*fields)
        if not _is_instant(row.until):
            raise ValueError(f"{row.until!r} is no instant")
        if row.since is not None and not _is_instant(row.since):
            raise ValueError(f"{row.since!r} is no instant")
        names = row.route, row.service, row.vm
        if not all(name is None or isinstance(name, str) for name in names):
            raise ValueError(f"{names!r} are no names")
        SuspectUpdate.of(["", 0.0, row.ends, []])
        return row


def encode_quarantine(suspect, clock, vm=None):
    """Return the value of the row of a quarantined :class:`Suspect`.

    :param vm: name of this VM.
    """
    row = QuarantineRow(
        to_wall(clock, suspect.until),
        suspect.ends,
        suspect.route,
        suspect.service,
        vm,
        to_wall(clock, suspect.ended_at),
    )
    return row.pack()


def decode_quarantine(row, clock):
    """Return the :class:`SuspectUpdate` of a row, or ``None`` for one that is long
    over.

    :raises ValueError: when it holds no quarantine.
    """
    quarantine = QuarantineRow.unpack(row.value)
    remaining = from_wall(clock, quarantine.until) - clock.now()
    if remaining < -ROW_RETENTION_SECONDS:
        return None
    remaining = min(max(0.0, remaining), QUARANTINE_SECONDS)
    return SuspectUpdate.of([row.key, remaining, quarantine.ends, []])


def _is_instant(value):
    return isinstance(value, int | float)
