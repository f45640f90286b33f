"""The heartbeat on the wire."""

import msgpack

from heathercleat.steering.process.membership.member import News


class Beat:
    """A heartbeat.

    :param own: what the VM tells of itself, a :class:`News`.
    :param interval: seconds until the next one.
    :param operator_version: version of the last change to the operators' table.
    :param target_version: version of the last change to the targets that mattered.
    :param store_answers: whether the store answers the VM's calls; not so either where
        the VM makes none.
    :param digest: see :attr:`Members.digest`.
    :param news: the fields of each :class:`News` that is passed on.
    :param rooms: see :meth:`RoomView.report`; ``None`` in a beat without reports.
    :param waits: see :meth:`RoomView.report`.
    :param losses: see :meth:`RoomView.report`.
    """

    __slots__ = (
        "own",
        "interval",
        "operator_version",
        "target_version",
        "store_answers",
        "digest",
        "news",
        "rooms",
        "waits",
        "losses",
    )

    def __init__(self, *fields):
        for name, value in zip(self.__slots__, fields, strict=True):
            setattr(self, name, value)

    def without_reports(self):
        """Drop the reports, which only VMs that carry requests use; return the beat."""
        self.rooms = self.waits = self.losses = None
        return self

    @property
    def has_reports(self):
        """Return whether it tells of rooms, waits and losses."""
        return self.rooms is not None

    def pack(self):
        """Return the bytes on the wire."""
        fields = [getattr(self, name) for name in self.__slots__[1:]]
        return msgpack.packb([self.own.fields(), *fields])

    @classmethod
    def of(cls, fields):
        """Return the heartbeat of the fields on the wire.

        :raises TypeError: when they are not those of a heartbeat, as ValueError.
        """
        own, *rest = fields
        return cls(News(*own), *rest)

    def told(self):
        """Yield each :class:`News` that is passed on."""
        for fields in self.news:
            yield News(*fields)
