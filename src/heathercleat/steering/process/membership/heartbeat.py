"""The heartbeat message and its wire format."""

import zlib

import msgpack

from heathercleat.steering.process.membership.member import MemberUpdate

#: Positions of the VM name and the stamp among the fields of :class:`MemberUpdate`.
VM_FIELD = MemberUpdate.__slots__.index("vm")
STAMP_FIELD = MemberUpdate.__slots__.index("stamp")

#: zlib level for the updates; the fastest one already shrinks 48 updates, most of which
#: are names, from 3.2 to 1.1 KB in 0.09 ms.
_COMPRESSION_LEVEL = 1
#: Maximum bytes of decompressed updates.
_MAX_UPDATES_BYTES = 1 << 16


class Heartbeat:
    """A heartbeat; ``__slots__`` lists the fields in the order of the wire format.

    :param own: the sender's :class:`MemberUpdate` about itself.
    :param interval: seconds until the sender's next heartbeat.
    :param operator_version: version of the last change to the operators' table.
    :param target_version: version of the last significant change to the targets; see
        :class:`TableCopy`.
    :param store_answers: whether the store responds to the sender's calls; ``False`` if
        the sender makes none.
    :param digest: see :attr:`Members.digest`.
    :param news: the fields of each :class:`MemberUpdate` that the sender passes on.
    :param rooms: capacity of the sender's targets; see
        :meth:`CapacityReports.record_report`. ``None`` without reports.
    :param waits: see :meth:`CapacityReports.record_report`.
    :param losses: see :meth:`CapacityReports.record_report`.
    :param held: see :meth:`HeldSlots.record_report`.
    :param suspects_digest: see :attr:`Suspects.digest`.
    :param suspects: the fields of each :class:`SuspectUpdate`; empty if the receiver
        has the same digest.
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
        """Remove the reports, for VMs that handle no requests; return ``self``."""
        self.rooms = self.waits = self.losses = self.held = None
        return self

    def without_updates(self):
        """Remove the updates, for VMs that are not gossip partners; return ``self``."""
        self.news = []
        return self

    def without_suspects(self):
        """Remove the suspects; return ``self``."""
        self.suspects = []
        return self

    @property
    def has_reports(self):
        """Return whether the heartbeat has reports of capacity, waits and losses."""
        return self.rooms is not None

    def pack(self):
        """Return the encoded heartbeat."""
        fields = {name: getattr(self, name) for name in self.__slots__[1:]}
        fields["news"] = _pack_updates(self.news)
        return msgpack.packb([self.own.fields(), *fields.values()])

    @classmethod
    def from_fields(cls, fields):
        """Return the heartbeat with the decoded fields.

        :raises TypeError: when the fields are malformed.
        :raises ValueError: when the fields are malformed.
        """
        own, *rest = fields
        heartbeat = cls(MemberUpdate(*own), *rest)
        heartbeat.news = _unpack_updates(heartbeat.news)
        return heartbeat

    def decode_updates(self, is_wanted=lambda vm, stamp: True):
        """Yield each :class:`MemberUpdate` that the sender passes on.

        :param is_wanted: called with a VM and a stamp; returns whether the receiver
            wants that update. Most updates are duplicates, and are not decoded.
        :raises ValueError: when an update has a wrong number of fields.
        """
        for fields in self.news:
            if len(fields) != len(MemberUpdate.__slots__):
                raise ValueError(f"{fields!r} is not a member update")
            if is_wanted(fields[VM_FIELD], fields[STAMP_FIELD]):
                yield MemberUpdate(*fields)


def _pack_updates(updates):
    """Return the compressed updates, or ``None`` if there are none."""
    return (
        zlib.compress(msgpack.packb(updates), _COMPRESSION_LEVEL) if updates else None
    )


def _unpack_updates(packed):
    """Return the decompressed updates.

    :raises ValueError: when the data is malformed.
    """
    if packed is None:
        return []
    try:
        updates = zlib.decompressobj().decompress(packed, _MAX_UPDATES_BYTES)
    except zlib.error as error:
        raise ValueError(f"cannot decompress member updates: {error}") from None
    return msgpack.unpackb(updates)
