"""Typed messages between VMs, encoded as msgpack arrays.

The encoding is ``[type number, field, ...]`` with the fields in the order of the class.
Instants are in epoch seconds of the sender's clock.
"""

from dataclasses import astuple, dataclass

import msgpack

_TYPES = {}


def message(number):
    """Return a class decorator that registers a message type by its number."""

    def register(cls):
        cls = dataclass(slots=True, frozen=True)(cls)
        cls.NUMBER = number
        _TYPES[number] = cls
        return cls

    return register


def encode(instance):
    """Return the encoding of a message."""
    fields = [getattr(instance, name) for name in instance.__slots__]
    return msgpack.packb([instance.NUMBER, *fields])


def decode(fields):
    """Return the message for an unpacked array.

    :raises ValueError: for an unknown type or a wrong number of fields.
    """
    try:
        return _TYPES[fields[0]](*fields[1:])
    except (KeyError, TypeError, IndexError):
        raise ValueError(f"not a message: {str(fields)[:80]}") from None


@message(1)
class Challenge:
    """First message of the accepting VM, with a nonce for the connecting VM to sign."""

    nonce: bytes


@message(2)
class Hello:
    """Response to a challenge: identity of the connecting VM, signed with a key."""

    vm: str
    host: str
    failure_domain: str
    incarnation: int
    signature: bytes


@message(3)
class Accepted:
    """Response to a call that took effect."""


@message(4)
class Refused:
    """Response to a call without effect; ``code`` is a result code number."""

    code: int
    reason: str


@message(5)
class Heartbeat:
    """Heartbeat of a VM to one of its monitors.

    ``digest`` is that of the sender's membership view; ``version`` and ``vm_serial``
    are the configuration version and VM list serial in force at the sender.
    """

    vm: str
    incarnation: int
    sequence: int
    digest: int
    version: int
    vm_serial: int


@message(6)
class HeartbeatAck:
    """Response of a monitor to a heartbeat.

    ``accused`` is true when the monitor had declared this incarnation dead. The other
    fields are as in ``Heartbeat``, with the monitor as the sender.
    """

    sequence: int
    accused: bool
    digest: int
    version: int
    vm_serial: int


@message(7)
class MemberRecord:
    """Membership record of a VM; ``state`` is a ``MemberState`` value."""

    vm: str
    host: str
    failure_domain: str
    incarnation: int
    state: str


@message(8)
class ViewExchange:
    """Request and response with all members of a VM, as ``MemberRecord`` fields."""

    members: list


@message(9)
class AcquireTargets:
    """Request of the VM that becomes the home of these targets."""

    vm: str
    targets: list


@message(10)
class Handover:
    """Response to ``AcquireTargets``: state of the targets at the earlier home.

    ``targets`` holds ``{target: [[use id, deadline, sender's domain], ...]}``, an entry
    for each occupied slot. ``levels`` holds ``{target: [[instant, level], ...]}``
    within the window of the shift cap; the level is the number of slots that other
    failure domains use. ``vouched`` holds the fields of each ``OccupancyBound`` that
    the sender has recorded as a monitor.
    """

    targets: dict
    levels: dict
    vouched: list


@message(11)
class SlotReleased:
    """Notice that a request which was handed over with its target has ended."""

    target: str
    use_id: int


@message(12)
class LeaseRequest:
    """Request for slots of a service at targets whose home is the receiver.

    ``want`` is the maximum number of slots; ``avoid`` names targets to leave out.
    """

    service: str
    want: int
    avoid: list


@message(13)
class LeaseGrant:
    """Lease of slots of one target; ``slots`` is 0 when none are available.

    The receiver sends no ``LeaseRequest`` for the service before ``full_until``.
    """

    lease_id: int
    target: str
    slots: int
    expires_at: float
    full_until: float


@message(14)
class LeaseRenewal:
    """Request to extend a lease."""

    lease_id: int


@message(15)
class LeaseReturn:
    """Reduction of a lease to ``slots`` slots; 0 ends it."""

    lease_id: int
    slots: int


@message(16)
class CloseOut:
    """Request for the outcome of a key, which is closed if its request never ran.

    ``birth`` is the instance id of the process that issued the ticket; ``expires_at``
    is the expiry of the ticket.
    """

    ticket_id: str
    key: str
    birth: str
    expires_at: float


@message(17)
class ClosedOut:
    """Response to ``CloseOut``; ``state`` is an ``EntryState`` value.

    ``status`` is 0 if there is no stored outcome.
    """

    state: str
    status: int
    headers: list
    body: bytes


@message(18)
class FetchConfiguration:
    """Request for the configuration in force at the receiver."""


@message(19)
class Configuration:
    """Packed document in force at the sender; ``version`` is 0 without one."""

    version: int
    document: bytes


@message(20)
class Announcement:
    """Configuration version and VM list serial in force at the sender."""

    version: int
    vm_serial: int


@message(21)
class VmListRequest:
    """Request for the VM list of the receiver."""


@message(22)
class VmListResponse:
    """VM list, with ``[name, host, failure domain, leaving]`` entries."""

    serial: int
    entries: list


@message(23)
class OccupancyNotice:
    """Occupancy bounds of the sender's targets: ``{target: [instant, instant]}``.

    Requests admitted by the sender end by the first instant, and requests admitted by
    earlier homes by the second.
    """

    vm: str
    incarnation: int
    covers: dict


@message(24)
class FetchReadiness:
    """Request for the usable slots at targets whose home is the receiver."""


@message(25)
class Readiness:
    """Usable slots of the sender's targets, as ``{service: slots}``."""

    usable: dict


def fields_of(instance):
    """Return the fields of a message as a list, to nest it in another message."""
    return list(astuple(instance))
