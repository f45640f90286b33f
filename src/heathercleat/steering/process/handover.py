"""Handover of target ownership by a VM that is shutting down."""

from heathercleat.version.hashing import rank_by_weight

#: Seconds without client requests after which a leaving VM hands its targets to another
#: leaving VM, and seconds without any request after which its process exits.
QUIET_SECONDS = 0.4
#: Minimum seconds between the stop signals of two VMs for the earlier one to hand its
#: targets to the later one. Three heartbeat intervals, so that two VMs never hand
#: targets to each other.
MIN_STOP_DIFFERENCE_SECONDS = 0.45
#: Seconds before the exit of the process at which it releases all targets.
RELEASE_MARGIN_SECONDS = 1.5


class Handover:
    """Decides when a leaving VM releases its targets while no VM is serving.

    One leaving VM of each region keeps its targets until shortly before it exits. The
    others exit as soon as they have no client requests, so that they restart sooner.
    The VMs of a fleet that is stopped all at once are thus replaced one after another.
    A VM with too little time left for the requests of some route hands its targets to a
    VM that stops later.

    :param members: the known VMs.
    :param owners: the :class:`Owners`.
    :param is_time_short: returns whether requests of some route that start at an
        instant may not complete before this process exits.
    """

    def __init__(self, members, owners, is_time_short):
        self._members = members
        self._owners = owners
        self._is_time_short = is_time_short
        self._keep_alive_until = 0.0
        self._release_deadline = 0.0
        self._idle_since = 0.0

    @property
    def has_released(self):
        """Return whether this VM owns no targets."""
        return not self._owners.owned()

    def begin(self, now, keep_alive_until, ends_at):
        """Start the handover.

        :param keep_alive_until: instant until which clients with an old lookup result
            may still connect.
        :param ends_at: instant at which this process exits.
        """
        self._idle_since = now
        self._keep_alive_until = keep_alive_until
        self._release_deadline = ends_at - RELEASE_MARGIN_SECONDS

    def release_if_due(self, now, has_clients):
        """Release all targets permanently if it is time to do so.

        :param has_clients: whether requests of this VM's own clients are in progress.
        """
        if has_clients:
            self._idle_since = now
        if self.has_released:
            return
        if now >= self._release_deadline or self._should_hand_over(now):
            self._members.stop_owning()

    def _should_hand_over(self, now):
        """Return whether another leaving VM of the region should own the targets."""
        own = self._members.own
        in_region = [
            each for each in self._members.strong_leaving() if each.region == own.region
        ]
        if self._is_time_short(now) and any(map(self._stops_later, in_region)):
            return True
        keeper = rank_by_weight("last to leave", [each.vm for each in in_region])[0]
        return self._is_idle(now) and keeper != own.vm

    def _stops_later(self, member):
        own = self._members.own
        return member.stops_since > own.stops_since + MIN_STOP_DIFFERENCE_SECONDS

    def _is_idle(self, now):
        has_no_clients = now - self._idle_since >= QUIET_SECONDS
        return has_no_clients and now >= self._keep_alive_until
