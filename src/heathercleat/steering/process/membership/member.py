"""The state of one VM, from its heartbeats and from updates of other VMs."""

from enum import IntEnum

#: Seconds without a heartbeat after which a VM is considered dead. Seven intervals, to
#: tolerate a few lost datagrams (2.5% on a bad link) and short stalls.
SILENCE_SECONDS = 1.1
#: The same as a number of heartbeat intervals, for VMs that send heartbeats rarely.
MAX_LOST_HEARTBEATS = 4


class Stage(IntEnum):
    """Lifecycle stage of a VM; the numbers are part of the wire format.

    A VM that shuts down is first leaving, then finishing; both count as stopping.

    :cvar STARTING: has not loaded its tables and accepts no clients.
    :cvar SERVING: accepts clients, and owns targets if it is strong enough.
    :cvar LEAVING: is shutting down and serves its remaining clients; may own targets
        only if no VM is serving.
    :cvar FINISHING: is shutting down and owns no targets.
    """

    STARTING = 0
    SERVING = 1
    LEAVING = 2
    FINISHING = 3


class Member:
    """The state of one VM, as last received by this VM.

    :param incarnation: identifies the process; a restarted VM has a higher one.
    :param stamp: version of the VM's state, increased by each update; the highest one
        wins.
    :param reported_alive: whether the update with that stamp reports the VM as live.
    :param dead_at: instant from which a reported death is accepted, or ``None``.
    :param stage: its :class:`Stage`.
    :param stops_since: instant at which this VM learned of the shutdown, or ``None``.
    :param last_heartbeat_at: instant of its last heartbeat to this VM, or ``None``.
    :param unreachable_until: instant until which the VM is ignored because its
        heartbeats to this VM stopped, or ``None``.
    :param lost_at: instant at which the VM was removed from the live VMs, or ``None``.
    :param interval: seconds between its heartbeats.
    :param store_answers: whether the store responds to its calls.
    :param store_lost: whether its calls to the store fail.
    :param strength: its capacity; see :attr:`NodeSettings.strength`.
    :param targets_lost: whether it is partitioned from all targets.
    :param digest: :attr:`Members.digest` in its last heartbeat.
    :param suspects_digest: :attr:`Suspects.digest` in its last heartbeat.
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
        "targets_lost",
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
        self.targets_lost = False
        self.digest = None
        self.suspects_digest = 0

    @property
    def is_serving(self):
        """Return whether the VM accepts clients and may own targets."""
        return self.stage == Stage.SERVING

    @property
    def is_stopping(self):
        """Return whether the VM is shutting down: leaving or finishing."""
        return self.stage >= Stage.LEAVING

    @property
    def silence_timeout(self):
        """Return the seconds without a heartbeat until the VM is considered dead."""
        return max(SILENCE_SECONDS, MAX_LOST_HEARTBEATS * self.interval)

    def set_stage(self, stage, now):
        """Set the stage of the VM."""
        self.stage = stage
        if not self.is_stopping:
            self.stops_since = None
        elif self.stops_since is None:
            self.stops_since = now

    def has_recent_heartbeat(self, now):
        """Return whether the VM's last heartbeat arrived within its silence timeout."""
        return (
            self.last_heartbeat_at is not None
            and now - self.last_heartbeat_at <= self.silence_timeout
        )

    def is_unreachable(self, now):
        """Return whether the VM is ignored because its heartbeats stopped."""
        return self.unreachable_until is not None and now < self.unreachable_until


class MemberUpdate:
    """The state of a VM, reported by itself or by a VM that monitors it.

    The order of the slots is the wire format.

    :param strength: its capacity; negative if it is partitioned from all targets, so
        that VMs that do not know of this do not let it own targets either.
    """

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
        """Return the values in the order of the slots."""
        return [getattr(self, name) for name in self.__slots__]

    @property
    def targets_lost(self):
        """Return whether the VM is partitioned from all targets."""
        return self.strength < 0


def make_update(member):
    """Return the :class:`MemberUpdate` with the current state of a member."""
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
        -member.strength if member.targets_lost else member.strength,
    )
