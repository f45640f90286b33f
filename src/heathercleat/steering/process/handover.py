"""When a VM that leaves gives away the targets that it keeps as the last one."""

from heathercleat.version.hashing import rank_by_weight

#: Seconds without a request of its own clients after which a VM that leaves gives the
#: targets that it keeps to others that leave, and without any after which it ends.
QUIET_SECONDS = 0.4
#: Seconds by which another VM has to have been told to stop later than this one to have
#: more time: three heartbeats, so that no two VMs take each other for the later one.
LATER_SECONDS = 0.45
#: Seconds before the end of the process in which it owns nothing any more.
LEAST_RUN = 1.5


class Handover:
    """Decides how long a VM that leaves stays an owner where no VM serves.

    Of the VMs of a region that leave, one stays until its end is near. The others go as
    soon as their clients are quiet, to be back the sooner: a fleet that is told to stop
    at once is then replaced in turn. One that has too little time left for some
    requests leaves all of them to one that was told to stop later.

    :param members: the known VMs.
    :param owners: the :class:`Owners`.
    :param is_time_short: returns whether some route's requests cannot end in time any
        more
        when they begin at an instant.
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
        """Return whether this VM owns nothing any more."""
        return not self._owners.owned()

    def begin(self, now, keep_alive_until, ends_at):
        """Start to leave.

        :param keep_alive_until: instant until which clients may still come that looked
            this
            VM up.
        :param ends_at: instant at which this process ends.
        """
        self._quiet_since = now
        self._keeps_until = keep_alive_until
        self._last_start_at = ends_at - LEAST_RUN

    def check(self, now, has_clients):
        """Give the targets away for good if it is time.

        :param has_clients: whether a request of this VM's own clients is under way.
        """
        if has_clients:
            self._quiet_since = now
        if self.is_over:
            return
        if now >= self._last_start_at or self._is_relieved(now):
            self._members.finish()

    def _is_relieved(self, now):
        """Return whether another VM that leaves takes the targets better."""
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
