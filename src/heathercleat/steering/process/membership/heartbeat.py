"""The heartbeat on the wire."""

import zlib

import msgpack

from heathercleat.steering.process.membership.member import MemberUpdate

#: Where the name and the stamp stand among the fields of news.
VM_FIELD = MemberUpdate.__slots__.index("vm")
STAMP_FIELD = MemberUpdate.__slots__.index("stamp")

#: Level of compression of news, most of which are names: 48 pieces shrink from 3.2 to
#: 1.1 KB in 0.09 ms (with made-up names).
_FAST = 1
#: Bytes of news at most; far more than a datagram holds, and little memory.
_MOST_NEWS_BYTES = 1 << 16


class Heartbeat:
    """A heartbeat.

    :param own: what the VM tells of itself, a :class:`MemberUpdate`.
    :param interval: seconds until the next one.
    :param operator_version: version of the last change to the operators' table.
    :param target_version: version of the last change to the targets that mattered.
    :param store_answers: whether the store answers the VM's calls; not so either where
        the VM makes none.
    :param digest: see :attr:`Members.digest`.
    :param news: the fields of each :class:`MemberUpdate` that is passed on.
    :param rooms: see :meth:`CapacityReports.record_report`; ``None`` in a beat without
        reports.
    :param waits: see :meth:`CapacityReports.record_report`.
    :param losses: see :meth:`CapacityReports.record_report`.
    :param held: see :meth:`HeldSlots.record_report`.
    :param suspects_digest: see :attr:`Suspects.digest`.
    :param suspects: the fields of each :class:`SuspectUpdate` that is told; none to VMs
        that know the same.
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
        "held",
        "suspects_digest",
        "suspects",
    )

    def __init__(self, *fields):
        for name, value in zip(self.__slots__, fields, strict=True):
            setattr(self, name, value)

    def without_reports(self):
        """Drop the reports, which only VMs that carry requests use; return the beat."""
        self.rooms = self.waits = self.losses = self.held = None
        return self

    def without_news(self):
        """Drop the news, which only partners are told; return the beat."""
        self.news = []
        return self

    @property
    def has_reports(self):
        """Return whether it tells of rooms, waits, losses and held slots."""
        return self.rooms is not None

    def pack(self):
        """Return the bytes on the wire."""
        fields = {name: getattr(self, name) for name in self.__slots__[1:]}
        fields["news"] = _pack_news(self.news)
        return msgpack.packb([self.own.fields(), *fields.values()])

    @classmethod
    def of(cls, fields):
        """Return the heartbeat of the fields on the wire.

        :raises TypeError: when they are not those of a heartbeat, as ValueError.
        """
        own, *rest = fields
        beat = cls(MemberUpdate(*own), *rest)
        beat.news = _unpack_news(beat.news)
        return beat

    def told(self, is_news=lambda vm, stamp: True):
        """Yield each :class:`MemberUpdate` that is passed on.

        :param is_news: returns whether that of a VM with a stamp is wanted. Of ten
            pieces nine are known: a VM hears each from all its partners.
        :raises ValueError: when one of them has other fields.
        """
        for fields in self.news:
            if len(fields) != len(MemberUpdate.__slots__):
                raise ValueError(f"{fields!r} is no news of a VM")
            if is_news(fields[VM_FIELD], fields[STAMP_FIELD]):
                yield MemberUpdate(*fields)


def _pack_news(news):
    """Return the fields of news as bytes, ``None`` for none."""
    return zlib.compress(msgpack.packb(news), _FAST) if news else None


def _unpack_news(packed):
    """Return the fields of news.

    :raises ValueError: when they do not decode.
    """
    if packed is None:
        return []
    try:
        news = zlib.decompressobj().decompress(packed, _MOST_NEWS_BYTES)
    except zlib.error as fault:
        raise ValueError(f"news that are not compressed: {fault}") from None
    return msgpack.unpackb(news)
