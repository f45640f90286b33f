"""Exchange of usage reports between the VMs that handle requests.

In a small fleet each VM reports to all others, and adds its levels for VMs that have
not run for a whole window. In a large fleet the VMs of a failure domain report to one
of them, the collector. Collectors report the sums of their domains to each other and
the levels to their domain, so that the number of reports per VM does not grow with the
fleet.
"""

from math import ceil

from heathercleat.process.clock import DISTANT_PAST
from heathercleat.steering.process.quota.reports import Scope, UsageReports
from heathercleat.version.hashing import rendezvous_weight

#: Seconds that a count needs from a collector to all VMs, without the turns in which
#: collectors report: the way between regions, twice.
COLLECTION_SECONDS = 0.15
#: Seconds of one turn: a round of heartbeats.
TURN_SECONDS = 0.15
#: Maximum receivers in a turn, besides the usual ones of a heartbeat.
MAX_RECEIVERS = 12
#: Seconds in which the heartbeats of one round are sent.
ROUND_SECONDS = 0.02
#: Maximum workspaces in a report; those with the most requests are included.
MAX_REPORTED = 256


class Collectors:
    """The collectors of a fleet, and this VM's place among them.

    :param own: the :class:`Member` of this VM.
    :param handling: the VMs that handle requests.
    """

    __slots__ = ("own", "names", "in_domain", "by_domain", "largest_domain")

    def __init__(self, own, handling):
        self.own = own
        self.names = frozenset(each.vm for each in handling)
        domains = {}
        for each in handling:
            domains.setdefault(each.failure_domain, []).append(each)
        self.in_domain = domains.get(own.failure_domain, [])
        self.by_domain = {name: _heaviest(vms) for name, vms in domains.items()}
        self.largest_domain = max(map(len, domains.values()), default=0)

    @property
    def nearest(self):
        """Return the collector of this VM's failure domain, or ``None``."""
        return self.by_domain.get(self.own.failure_domain)

    @property
    def is_own(self):
        """Return whether this VM is a collector."""
        return self.nearest is self.own

    @property
    def others(self):
        """Return the collectors of the other failure domains."""
        return [each for each in self.by_domain.values() if each is not self.nearest]

    def receivers(self):
        """Yield the VMs that get reports of this VM."""
        if self.own.vm not in self.names:
            return
        if self.is_own:
            yield from (each for each in self.in_domain if each is not self.own)
            yield from self.others
        else:
            yield self.nearest


class UsageExchange:
    """Reports the usage of this VM and evaluates the reports of others.

    :param members: the :class:`Members`.
    :param usage: the :class:`Usage` of this VM.
    :param levels: the :class:`Levels`.
    :param bounds: the :class:`Bounds`, for the length of the window.
    """

    def __init__(self, members, usage, levels, bounds, clock):
        self._members = members
        self._usage = usage
        self._levels = levels
        self._reports = UsageReports(bounds, clock)
        # By workspace: requests in this failure domain that this VM was told of.
        self._domain_totals = {}
        self._bounds = bounds
        self._clock = clock
        self._started_at = clock.now()
        self._handling = None
        self._known_collectors = None
        # Position of the next receivers of reports, while receivers take turns.
        self._turn = 0
        self._round_ends_at = 0.0
        self._round_totals = {}

    def participants(self):
        """Return the names of the VMs that share each limit, with this one.

        VMs that this VM has never heard are included until the usage of its first
        window is known.
        """
        names = {each.vm for each in self._members.request_handling_vms()}
        names.add(self._members.own.vm)
        if self._members.topology.is_mesh:
            names |= self._reports.recent_vms()
        if self._clock.now() < self._started_at + self._bounds.quota_window:
            others = self._members.others()
            names |= {each.vm for each in others if each.last_heartbeat_at is None}
        return names

    def unacknowledged_count(self, workspace):
        """Return the requests of this VM that some other VM may not know of."""
        return self._usage.count_since(workspace, self._acknowledged_at())

    def scopes_for(self, member):
        """Return the :class:`Scope` of each report to a VM, in a tuple."""
        own, collectors = self._members.own, self._collectors()
        if own.vm not in collectors.names or member.vm not in collectors.names:
            return ()
        if self._members.topology.is_mesh:
            knows_more = not self._is_young() and self._is_known_young(member)
            return (Scope.VM, Scope.FLEET) if knows_more else (Scope.VM,)
        in_domain = member.failure_domain == own.failure_domain
        if collectors.is_own:
            if in_domain:
                return (Scope.FLEET,)
            is_collector = member is collectors.by_domain[member.failure_domain]
            return (Scope.DOMAIN,) if is_collector else ()
        return (Scope.VM,) if member is collectors.nearest else ()

    def receivers(self):
        """Return the VMs outside a full mesh that get reports of this VM."""
        if self._members.topology.is_mesh:
            return []
        receivers = list(self._collectors().receivers())
        if len(receivers) <= MAX_RECEIVERS:
            return receivers
        self._turn = (self._turn + MAX_RECEIVERS) % len(receivers)
        return (receivers[self._turn :] + receivers[: self._turn])[:MAX_RECEIVERS]

    def totals(self, scope):
        """Return the contents of a report with a scope, by workspace.

        They are computed once for all receivers of a round of heartbeats.
        """
        now = self._clock.now()
        if now >= self._round_ends_at:
            self._round_ends_at = now + ROUND_SECONDS
            self._round_totals = {}
        if scope not in self._round_totals:
            self._round_totals[scope] = self._compute_totals(scope)
        return self._round_totals[scope]

    def uptime(self):
        """Return the seconds since this process started."""
        return self._clock.now() - self._started_at

    def record(self, vm, incarnation, uptime, reports, acknowledged_at):
        """Record the reports in a heartbeat of another VM.

        :param uptime: seconds since its process started.
        :param reports: pairs of scope and contents.
        :param acknowledged_at: see :class:`Sender`.
        """
        sender = self._reports.record(vm, incarnation, uptime, acknowledged_at)
        for scope, contents in reports:
            if scope == Scope.FLEET:
                self._record_levels(vm, contents)
                continue
            for name, count in self._reports.increases(sender, scope, contents):
                self._levels.add(name, count)
                if scope == Scope.VM:
                    known = self._domain_totals.get(name, 0)
                    self._domain_totals[name] = known + count

    def _record_levels(self, vm, levels):
        if self._members.topology.is_mesh:
            for name, level in levels.items() if self._is_young() else ():
                self._levels.raise_to(name, level)
            return
        collector = self._collectors().nearest
        if collector is None or collector.vm != vm:
            return
        for name, level in levels.items():
            self._levels.set(name, level + self.unacknowledged_count(name))

    def _compute_totals(self, scope):
        is_fleet = scope is Scope.FLEET
        totals = self._levels.values() if is_fleet else self._usage.totals()
        if scope is Scope.DOMAIN:
            for name, total in self._domain_totals.items():
                totals[name] = totals.get(name, 0) + total
        if len(totals) <= MAX_REPORTED:
            return totals
        most = sorted(totals, key=totals.get, reverse=True)[:MAX_REPORTED]
        return {name: totals[name] for name in most}

    def _is_young(self):
        """Return whether this process has not run for a whole window."""
        return self.uptime() < self._bounds.quota_window

    def _is_known_young(self, member):
        """Return whether another process has reported, but not run for a window."""
        sender = self._reports.find(member.vm)
        window = self._bounds.quota_window
        return sender is not None and self._clock.now() < sender.started_at + window

    def _acknowledged_at(self):
        """Return the instant up to which other VMs know the usage of this VM."""
        if self._members.topology.is_mesh:
            return self._acknowledged_in_mesh()
        collectors = self._collectors()
        sources = collectors.others if collectors.is_own else [collectors.nearest]
        names = [each.vm for each in sources if each is not None]
        return self._earliest(names) - self._collection_seconds()

    def _collection_seconds(self):
        """Return the seconds that a count needs through the collectors."""
        collectors = self._collectors()
        receivers = collectors.largest_domain + len(collectors.by_domain)
        turns = ceil(receivers / MAX_RECEIVERS)
        # From collector to collector, and from there to the VMs of its domain.
        return COLLECTION_SECONDS + 2 * turns * TURN_SECONDS

    def _acknowledged_in_mesh(self):
        """Return that instant if all VMs exchange reports.

        Without contact to most VMs, this VM may be the one that is cut off. VMs that
        are no longer heard have then acknowledged nothing since.
        """
        own, participants = self._members.own.vm, self.participants()
        live = {each.vm for each in self._members.request_handling_vms()}
        is_minority = len(live | {own}) <= len(participants - live - {own})
        if is_minority:
            return self._earliest(participants - {own}, needs_all=True)
        return self._earliest(live - {own})

    def _earliest(self, names, needs_all=False):
        """Return the earliest acknowledgement by some VMs.

        :param needs_all: whether a VM that has not acknowledged anything counts;
            otherwise it is left out if others have.
        """
        if not names:
            return self._clock.now()
        senders = map(self._reports.find, names)
        instants = [sender and sender.acknowledged_at for sender in senders]
        known = [each for each in instants if each is not None]
        if not known or (needs_all and len(known) < len(instants)):
            return DISTANT_PAST
        return min(known)

    def _collectors(self):
        """Return the current :class:`Collectors`."""
        handling = self._members.request_handling_vms()
        # The members keep the list until it changes.
        if handling is not self._handling:
            self._handling = handling
            self._known_collectors = Collectors(self._members.own, handling)
        return self._known_collectors


def _heaviest(members):
    """Return the member with the highest rendezvous weight as a collector."""
    return max(members, key=lambda each: rendezvous_weight("collector", each.vm))
