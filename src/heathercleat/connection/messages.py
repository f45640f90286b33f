"""Typed messages between VMs, as msgpack arrays on a stream.

A message on the wire is ``[type number, field, ...]`` with the fields in the order of
the class. Instants are epoch seconds of the sender's clock.
"""

from dataclasses import astuple, dataclass

import msgpack

_TYPES = {}


def message(number):
    """Register a message class under its type number."""

    def register(cls):
        cls = dataclass(slots=True, frozen=True)(cls)
        cls.NUMBER = number
        _TYPES[number] = cls
        return cls

    return register


def encode(item):
    """Return the bytes of a message."""
    fields = [getattr(item, name) for name in item.__slots__]
    return msgpack.packb([item.NUMBER, *fields])


def decode(fields):
    """Return the message of an unpacked array.

    :raises ValueError: for an unknown type or a wrong number of fields.
    """
    try:
        return _TYPES[fields[0]](*fields[1:])
    except (KeyError, TypeError, IndexError):
        raise ValueError(f"not a message: {str(fields)[:80]}") from None


@message(1)
class Challenge:
    """The first message of a listener: bytes for the caller to sign."""

    nonce: bytes


@message(2)
class Hello:
    """The answer to a challenge: who connects, signed with a shared key."""

    vm: str
    host: str
    failure_domain: str
    incarnation: int
    signature: bytes


@message(3)
class Accepted:
    """A call took effect."""


@message(4)
class Refused:
    """A call had no effect, with a result code number and a reason."""

    code: int
    reason: str


@message(5)
class Heartbeat:
    """A VM tells one of its monitors that it runs."""

    vm: str
    incarnation: int
    sequence: int
    digest: int
    version: int
    vm_serial: int


@message(6)
class HeartbeatAck:
    """A monitor's answer.

    ``accused`` says that the sender was presumed dead at this incarnation.
    """

    sequence: int
    accused: bool
    digest: int
    version: int
    vm_serial: int


@message(7)
class MemberRecord:
    """What one VM knows of another; the state is a ``MemberState`` value."""

    vm: str
    host: str
    failure_domain: str
    incarnation: int
    state: str


@message(8)
class ViewExchange:
    """All members that a VM knows, as ``MemberRecord`` fields; answered in kind."""

    members: list


@message(9)
class AcquireTargets:
    """The sender is to become the home of these targets."""

    vm: str
    targets: list


@message(10)
class Handover:
    """The receiver's part: ``{target: [[use id, deadline, sender's domain], ...]}``.

    It names each occupied slot of the targets that the receiver was the home of.
    ``levels`` holds ``{target: [[instant, slots of spill], ...]}`` within the window of
    the shift cap. ``vouched`` holds what it vouches for as a monitor, as lists of the
    fields of ``OccupancyBound``.
    """

    targets: dict
    levels: dict
    vouched: list


@message(11)
class SlotReleased:
    """A request handed over with its target is done."""

    target: str
    use_id: int


@message(12)
class LeaseRequest:
    """The sender wants slots of a service from targets homed at the receiver."""

    service: str
    want: int
    avoid: list


@message(13)
class LeaseGrant:
    """Slots of one target until an instant; no slots when there is no room."""

    lease_id: int
    target: str
    slots: int
    expires_at: float
    full_until: float


@message(14)
class LeaseRenewal:
    """The sender wants to keep a lease."""

    lease_id: int


@message(15)
class LeaseReturn:
    """The sender needs no more than ``slots`` slots of a lease, none to end it."""

    lease_id: int
    slots: int


@message(16)
class CloseOut:
    """The sender asks what became of a key, and closes it if it never ran.

    ``expires_at`` is that of the ticket, in epoch seconds.
    """

    ticket_id: str
    key: str
    birth: str
    expires_at: float


@message(17)
class ClosedOut:
    """The answer: ``state`` is an ``EntryState`` value, with the outcome if any."""

    state: str
    status: int
    headers: list
    body: bytes


@message(18)
class FetchConfiguration:
    """The sender wants the configuration in force at the receiver."""


@message(19)
class Configuration:
    """A packed document and its version; version 0 when the receiver has none."""

    version: int
    document: bytes


@message(20)
class Announcement:
    """A version is in force at the sender, and its VM list has this serial."""

    version: int
    vm_serial: int


@message(21)
class VmListRequest:
    """The sender wants the VM list that the receiver knows."""


@message(22)
class VmListResponse:
    """The VM list as ``[name, host, failure domain, leaving]`` entries."""

    serial: int
    entries: list


@message(23)
class OccupancyNotice:
    """The sender's targets: ``{target: [instant, instant]}``.

    Each may be occupied until the first instant, and by what earlier homes admitted
    until the second one.
    """

    vm: str
    incarnation: int
    covers: dict


@message(24)
class FetchReadiness:
    """The sender wants to know what can be used at the homes of the receiver."""


@message(25)
class Readiness:
    """``{service: slots}`` that requests can use at the homes of the sender."""

    usable: dict


def fields_of(item):
    """Return the fields of a message as a list, to nest it in another one."""
    return list(astuple(item))
