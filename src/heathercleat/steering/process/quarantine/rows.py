"""Rows of the table that stores quarantines."""

import msgpack

from heathercleat.process.clock import from_wall, to_wall
from heathercleat.steering.process.quarantine.suspect import SuspectUpdate
from heathercleat.steering.process.quarantine.suspects import QUARANTINE_SECONDS

QUARANTINE_TABLE = "heathercleat-quarantines"
#: Seconds for which a row is kept after its quarantine ended; longer than the clock
#: skew between VMs.
ROW_RETENTION_SECONDS = 3600.0


class QuarantineRow:
    """The fields of a stored quarantine; instants are epoch seconds.

    :param until: end of the quarantine.
    :param ends: ids of the crashed incarnations of targets; see
        :attr:`TargetEntry.incarnation_id`.
    :param route: name of the request's route, or ``None``.
    :param service: name of the service that ran the request, or ``None``.
    :param vm: name of the VM that wrote the row, or ``None``.
    :param since: instant at which that VM learned of the last crash, not the start of
        the quarantine; or ``None``.
    """

    __slots__ = ("until", "ends", "route", "service", "vm", "since")

    #: Number of required fields; the others are for operators only.
    _REQUIRED = 2

    def __init__(self, until, ends, route=None, service=None, vm=None, since=None):
        self.until = until
        self.ends = ends
        self.route = route
        self.service = service
        self.vm = vm
        self.since = since

    def pack(self):
        """Return the row as msgpack."""
        return msgpack.packb([getattr(self, name) for name in self.__slots__])

    @classmethod
    def unpack(cls, value):
        """Return the row that a msgpack value encodes.

        :raises ValueError: if the value is not a valid quarantine.
        """
        fields = msgpack.unpackb(value)
        if not isinstance(fields, list) or len(fields) not in (
            cls._REQUIRED,
            len(cls.__slots__),
        ):
            raise ValueError(f"{fields!r} is not a list of the fields of a quarantine")
        row = cls(*fields)
        if not _is_instant(row.until):
            raise ValueError(f"{row.until!r} is not a number: until, in epoch seconds")
        if row.since is not None and not _is_instant(row.since):
            raise ValueError(f"{row.since!r} is not a number: since, in epoch seconds")
        names = row.route, row.service, row.vm
        if not all(name is None or isinstance(name, str) for name in names):
            raise ValueError(f"{names!r} are not strings: route, service, VM")
        # Raises ValueError if `ends` is not a list of incarnation ids.
        SuspectUpdate.of(["", 0.0, row.ends, []])
        return row


def encode_quarantine(suspect, clock, vm=None):
    """Return the stored value of a quarantined :class:`Suspect`.

    :param vm: name of this VM, for operators.
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


def decode_quarantine(store_row, clock):
    """Return the :class:`SuspectUpdate` of a row, or ``None`` if it may be deleted.

    :raises ValueError: if the row is not a valid quarantine.
    """
    quarantine = QuarantineRow.unpack(store_row.value)
    remaining = from_wall(clock, quarantine.until) - clock.now()
    if remaining < -ROW_RETENTION_SECONDS:
        return None
    remaining = min(max(0.0, remaining), QUARANTINE_SECONDS)
    return SuspectUpdate.of([store_row.key, remaining, quarantine.ends, []])


def _is_instant(value):
    return isinstance(value, int | float)
