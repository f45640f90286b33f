"""Handover of target ownership by a VM that is shutting down."""

from heathercleat.version.hashing import rank_by_weight

#: Seconds without client requests after which a leaving VM hands its targets to another
#: leaving VM, and seconds without any request after which its process exits.
QUIET_SECONDS = 0.4
#: Minimum difference between the stop times of two VMs, in seconds. Three heartbeat
#: intervals, so that two VMs never both consider the other one to stop later.
LATER_SECONDS = 0.45
#: Seconds before the process exits by which it must have released all targets.
LEAST_RUN = 1.5


class Handover:
    """Decides when a leaving VM releases its targets while no VM is serving.

    One leaving VM of each region keeps its targets until shortly before it exits. The
    others exit as soon as they have no client requests, so that they restart sooner and
    a fleet that is stopped all at once is replaced one after another. A VM with too
    little time left for the requests of some route hands its targets to a VM that
    stops later.

    :param members: the known VMs.
    :param owners: the :class:`Owners`.
    :param is_time_short: returns whether requests of some route that start at an
        instant may not complete before this process exits.
    """

    def __init__(self, members, owners, is_time_short):
        self._members = members
        self._owners = owners
        self._is_short = is_time_short
        self._keeps_until = 0.0
        self._last_start_at = 0.0
        self._quiet_since = 0.0

    @property
    def is_over(self):
        """Return whether this VM owns no targets."""
        return not self._owners.owned()

    def begin(self, now, keep_alive_until, ends_at):
        """Start the handover.

        :param keep_alive_until: instant until which clients with an old lookup result
            may still connect.
        :param ends_at: instant at which this process exits.
        """
        self._quiet_since = now
        self._keeps_until = keep_alive_until
        self._last_start_at = ends_at - LEAST_RUN

    def check(self, now, has_clients):
        """Release all targets permanently once the conditions are met.

        :param has_clients: whether requests of this VM's own clients are in progress.
        """
        if has_clients:
            self._quiet_since = now
        if self.is_over:
            return
        if now >= self._last_start_at or self._is_relieved(now):
            self._members.finish()

    def _is_relieved(self, now):
        """Return whether another leaving VM of the region should own the targets."""
        own = self._members.own
        near = [each for each in self._members.leaving() if each.region == own.region]
        if self._is_short(now) and any(map(self._has_more_time, near)):
            return True
        last = rank_by_weight("last to leave", [each.vm for each in near])[0]
        return self._may_go(now) and last != own.vm

    def _has_more_time(self, member):
        own = self._members.own
        return member.stops_since > own.stops_since + LATER_SECONDS

    def _may_go(self, now):
        is_quiet = now - self._quiet_since >= QUIET_SECONDS
        return is_quiet and now >= self._keeps_until
