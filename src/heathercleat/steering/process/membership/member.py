"""One VM, as another one knows it."""

from enum import IntEnum

#: Seconds of silence after which a VM is taken as dead: seven heartbeats, so that a few
#: lost datagrams (2.5% on a bad link) or a short stall do not count as a death.
SILENCE_SECONDS = 1.1
#: Heartbeats that may be lost in a row, where they come rarely.
LOST_BEATS = 4


class Stage(IntEnum):
    """What a VM does; the numbers go over the wire.

    :cvar STARTING: it does not know its tables yet, and takes no clients.
    :cvar SERVING: it takes clients, and owns targets if it is strong enough.
    :cvar LEAVING: it has been told to stop and goes on with the clients that it has; it
        owns targets where no VM serves.
    :cvar FINISHING: it has been told to stop and owns no targets.
    """

    STARTING = 0
    SERVING = 1
    LEAVING = 2
    FINISHING = 3


class Member:
    """What is known of one VM.

    :param incarnation: differs between two processes of the same VM.
    :param stamp: orders what is told of the VM; the highest one is believed.
    :param reported_alive: whether the VM lives, by what is told with that stamp.
    :param dead_at: instant at which what is told of its death is believed, or ``None``.
    :param stage: its :class:`Stage`.
    :param stops_since: instant at which this VM learned that it stops, or ``None``.
    :param last_heartbeat_at: instant of its last heartbeat to this VM.
    :param unreachable_until: instant until which it is left out since it fell silent
        here, or ``None``.
    :param lost_at: instant at which it was dropped from the live VMs, or ``None``.
    :param store_answers: whether the store answers its calls.
    :param digest: what its last heartbeat told of its view; see
        :attr:`Members.digest`.
    :param suspects_digest: the same of :attr:`Suspects.digest`.
    """

    __slots__ = (
        "vm",
        "ip",
        "failure_domain",
        "region",
        "incarnation",
        "stamp",
        "reported_alive",
        "dead_at",
        "stage",
        "stops_since",
        "last_heartbeat_at",
        "unreachable_until",
        "lost_at",
        "interval",
        "operator_version",
        "target_version",
        "store_answers",
        "store_lost",
        "strength",
        "digest",
        "suspects_digest",
    )

    def __init__(self, vm, ip, failure_domain, region):
        self.vm = vm
        self.ip = ip
        self.failure_domain = failure_domain
        self.region = region
        self.incarnation = 0
        self.stamp = 0
        self.reported_alive = False
        self.dead_at = None
        self.stage = Stage.STARTING
        self.stops_since = None
        self.last_heartbeat_at = None
        self.unreachable_until = None
        self.lost_at = None
        self.interval = 0.0
        self.operator_version = 0
        self.target_version = 0
        self.store_answers = False
        self.store_lost = False
        self.strength = 1.0
        self.digest = None
        self.suspects_digest = 0

    @property
    def serving(self):
        """Return whether the VM takes clients and may own targets."""
        return self.stage == Stage.SERVING

    @property
    def stops(self):
        """Return whether the VM has been told to stop."""
        return self.stage >= Stage.LEAVING

    @property
    def patience(self):
        """Return the seconds of silence after which the VM is taken as dead."""
        return max(SILENCE_SECONDS, LOST_BEATS * self.interval)

    def enter(self, stage, now):
        """Note what the VM does from now on."""
        self.stage = stage
        if not self.stops:
            self.stops_since = None
        elif self.stops_since is None:
            self.stops_since = now

    def is_heard(self, now):
        """Return whether the VM's own heartbeats show that it lives."""
        return (
            self.last_heartbeat_at is not None
            and now - self.last_heartbeat_at <= self.patience
        )

    def is_unreachable(self, now):
        """Return whether the VM is left out since it fell silent here."""
        return self.unreachable_until is not None and now < self.unreachable_until


class MemberUpdate:
    """What is told of a VM, by itself or by one that hears or misses it."""

    __slots__ = (
        "vm",
        "ip",
        "failure_domain",
        "region",
        "incarnation",
        "stamp",
        "live",
        "stage",
        "store_lost",
        "strength",
    )

    def __init__(self, *fields):
        for name, value in zip(self.__slots__, fields, strict=True):
            setattr(self, name, value)

    def fields(self):
        """Return the values in the order of the slots, for the wire."""
        return [getattr(self, name) for name in self.__slots__]


def make_update(member):
    """Return the :class:`MemberUpdate` of a member, as this VM believes it."""
    return MemberUpdate(
        member.vm,
        member.ip,
        member.failure_domain,
        member.region,
        member.incarnation,
        member.stamp,
        member.reported_alive,
        member.stage,
        member.store_lost,
        member.strength,
    )
