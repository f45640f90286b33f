"""Counts of admitted requests that other VMs reported."""

from enum import IntEnum

#: Seconds for which a VM that is no longer heard keeps its part of each limit, since it
#: may still admit requests without the others knowing.
SILENT_SHARE_SECONDS = 10.0


class Scope(IntEnum):
    """What a report has by workspace; the numbers are the wire format.

    :cvar VM: the requests that the sender admitted since its start.
    :cvar DOMAIN: those that the sender knows of in its failure domain.
    :cvar FLEET: the levels.
    """

    VM = 0
    DOMAIN = 1
    FLEET = 2


class Sender:
    """What one process reported.

    :param started_at: when it started, as an instant of this VM.
    :param received_at: when its last report arrived.
    :param acknowledged_at: when this VM sent the newest of its reports that the sender
        had received; ``None`` if there is none.
    :param totals: the last totals by scope and workspace.
    :param totals_at: when they arrived, by scope.
    """

    __slots__ = (
        "started_at",
        "received_at",
        "acknowledged_at",
        "totals",
        "totals_at",
    )

    def __init__(self, started_at):
        self.started_at = started_at
        self.received_at = started_at
        self.acknowledged_at = None
        self.totals = {}
        self.totals_at = {}


class UsageReports:
    """The reports of each process.

    :param bounds: the :class:`Bounds`, for the length of the window.
    """

    def __init__(self, bounds, clock):
        self._bounds = bounds
        self._clock = clock
        self._started_at = clock.now()
        # By VM name: incarnation and :class:`Sender` of its latest process.
        self._senders = {}

    def record(self, vm, incarnation, uptime, acknowledged_at):
        """Record that a report arrived now; return its :class:`Sender`.

        :param uptime: seconds since the sender's process started.
        :param acknowledged_at: see :class:`Sender`; ``None`` keeps the known one.
        """
        now = self._clock.now()
        known, sender = self._senders.get(vm, (None, None))
        if known != incarnation:
            sender = Sender(now - uptime)
            self._senders[vm] = incarnation, sender
        sender.received_at = now
        if acknowledged_at is not None:
            sender.acknowledged_at = acknowledged_at
        return sender

    def increases(self, sender, scope, totals):
        """Yield each workspace and by how much its total has changed.

        Totals include requests of unknown times if they are the first of a process that
        is older than this one, or the first for a whole window, as after a change of
        collectors. They only are the base of later ones.
        """
        now = self._clock.now()
        known_at = sender.totals_at.get(scope)
        sender.totals_at[scope] = now
        if known_at is None:
            is_base = sender.started_at < self._started_at
        else:
            is_base = known_at < now - self._bounds.quota_window
        known = sender.totals.setdefault(scope, {})
        for name, total in totals.items():
            if not is_base:
                yield name, total - known.get(name, 0)
            known[name] = total

    def find(self, vm):
        """Return the :class:`Sender` of a VM's latest process, or ``None``."""
        return self._senders.get(vm, (None, None))[1]

    def recent_vms(self):
        """Return the names of the VMs that may still admit requests."""
        since = self._clock.now() - SILENT_SHARE_SECONDS
        return {
            vm
            for vm, (_, sender) in self._senders.items()
            if sender.received_at >= since
        }
