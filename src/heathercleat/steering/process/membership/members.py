"""Membership of the VMs, from their heartbeats and from news passed on by others."""

from heathercleat.events import Event
from heathercleat.steering.process.membership.member import Member, Stage, make_update
from heathercleat.steering.process.membership.pending_updates import PendingUpdates
from heathercleat.steering.process.membership.topology import Topology
from heathercleat.version.hashing import weight

#: Seconds between two checks after which this process counts as having been paused;
#: more than the longest interval between two rounds of heartbeats.
PAUSE_SECONDS = 1.5
#: Seconds that a VM reported as dead by others has to refute it.
DOUBT = 0.5
#: Minimum strength of a VM that handles requests, as a fraction of its region's
#: strongest VM; requests at much weaker VMs would be too slow.
STRONG_SHARE = 0.5
#: Minimum fraction of a region's strength that these VMs must have together; otherwise
#: all VMs of the region handle requests.
ENOUGH_SHARE = 0.4
#: Seconds for which a VM whose heartbeats stopped is ignored even if others report it
#: as live. Otherwise a broken link would make it join and leave all the time.
RETRY_SILENT = 10.0
#: Seconds after which a dead VM is removed.
FORGET = 60.0


class Members:
    """All known VMs, including this one.

    A VM picked by this one is live while its heartbeats arrive. For other VMs the news
    with the highest stamp decides. A VM refutes news of its own death with a higher
    stamp, as in the SWIM protocol.

    :param settings: the :class:`NodeSettings` of this VM.
    :param incarnation: see :class:`Member`; also the first stamp of this VM.
    """

    def __init__(self, settings, journal, clock, incarnation):
        self._journal = journal
        self._clock = clock
        self._own = Member(
            settings.vm, settings.ip, settings.failure_domain, settings.region
        )
        self._own.incarnation = self._own.stamp = incarnation
        self._own.reported_alive = True
        self._own.strength = settings.strength
        self._regions = settings.regions
        self._members = {settings.vm: self._own}
        self._live = {}
        self._active = None
        self._leaving = None
        self._traffic = None
        self._owners = []
        self._topology_stale = False
        self._digest = None
        self._checked_at = clock.now()
        self._on_change = []
        self._newest_operator_version = 0
        self._newest_target_version = 0
        self.topology = Topology(self._own, clock)
        self.pending_updates = PendingUpdates(clock)

    @property
    def own(self):
        """Return the :class:`Member` of this VM."""
        return self._own

    @property
    def digest(self):
        """Return a checksum over the stamps of the VMs reported as live."""
        if self._digest is None:
            self._digest = 0
            for member in self._members.values():
                if member.reported_alive:
                    self._digest ^= weight(member.vm, member.stamp)
        return self._digest

    @property
    def newest_operator_version(self):
        """Return the newest version of the operators' table in any heartbeat."""
        return self._newest_operator_version

    @property
    def newest_target_version(self):
        """Return the newest version of the targets' table in any heartbeat."""
        return self._newest_target_version

    def on_change(self, callback):
        """Call ``callback()`` when the VMs that may own targets change.

        Other membership changes do not trigger it, since target owners need not be
        recomputed then.
        """
        self._on_change.append(callback)

    def serving(self):
        """Return the live VMs in the serving stage."""
        return [member for member in self._live.values() if member.serving]

    def serving_or_stopping(self):
        """Return the live VMs that may have clients, leaving ones included."""
        return [each for each in self._live.values() if each.serving or each.stops]

    def active(self):
        """Return the serving VMs that lookups return and that own targets."""
        if self._active is None:
            self._active = list(_find_strong(self.serving()))
        return self._active

    def leaving(self):
        """Return the leaving VMs that own targets if no VM is active."""
        if self._leaving is None:
            live = self._live.values()
            leaving = [each for each in live if each.stage == Stage.LEAVING]
            self._leaving = list(_find_strong(leaving))
        return self._leaving

    def owners(self):
        """Return the VMs that own targets.

        These are the active VMs or, if there are none, the leaving ones, so that
        requests can still be handled.
        """
        return self.active() or self.leaving()

    def traffic(self):
        """Return the VMs that handle requests: active ones and those shutting down."""
        if self._traffic is None:
            self._traffic = self._find_traffic()
        return self._traffic

    def live(self, vm):
        """Return the live :class:`Member` with a name, or ``None``."""
        return self._live.get(vm)

    def live_others(self):
        """Return the live VMs except this one."""
        return [each for each in self._live.values() if each is not self._own]

    def others(self):
        """Return all known VMs except this one, live or not."""
        return [each for each in self._members.values() if each is not self._own]

    def region_of(self, failure_domain):
        """Return the region of a failure domain, or ``None`` if it is unknown."""
        return self._regions.get(failure_domain)

    def find(self, vm):
        """Return the :class:`Member` with a name, live or not, or ``None``."""
        return self._members.get(vm)

    def set_serving(self, serving):
        """Set whether this VM accepts clients."""
        self._enter(Stage.SERVING if serving else Stage.STARTING)

    def leave(self):
        """Accept no new clients; own targets only if no VM is serving."""
        self._enter(Stage.LEAVING)

    def finish(self):
        """Stop owning targets; other serving or leaving VMs become their owners."""
        self._enter(Stage.FINISHING)

    def set_store_lost(self, store_lost):
        """Set whether this VM's calls to the store fail."""
        if self._own.store_lost != store_lost:
            self._own.store_lost = store_lost
            self._tell_own()

    def news(self, interval):
        """Return the fields of each :class:`News` to pass on.

        An empty list in a full mesh, where VMs do not depend on news.

        :param interval: see :meth:`PendingUpdates.current`.
        """
        if not self.topology.tells_news:
            return []
        known = map(self._members.get, self.pending_updates.current(interval))
        return [make_update(member).fields() for member in known if member is not None]

    def add_known(self, vm, ip, failure_domain, region):
        """Add a VM from the store; it is live after its first heartbeat."""
        member = self._members.get(vm)
        if member is None or (member.ip != ip and member.vm not in self._live):
            self._members[vm] = Member(vm, ip, failure_domain, region)

    def record_heartbeat(self, beat):
        """Record a heartbeat; return its sender, or ``None`` if it is outdated."""
        own = beat.own
        member = self._members.get(own.vm)
        if member is self._own or self._is_outdated(member, own):
            return None
        if member is None or member.ip != own.ip:
            member = Member(own.vm, own.ip, own.failure_domain, own.region)
            self._members[own.vm] = member
        changed = self._is_change(member, own)
        self._take_news(member, own)
        member.interval = beat.interval
        self._note_versions(member, beat)
        member.store_answers = beat.store_answers
        member.digest = beat.digest
        member.suspects_digest = beat.suspects_digest
        member.last_heartbeat_at = self._clock.now()
        member.unreachable_until = None
        member.dead_at = None
        self._weigh_stamp(member, own)
        if changed:
            self._join(member)
        return member

    def is_news(self, vm, stamp):
        """Return whether news of a VM with a stamp is new or may need a refutation."""
        member = self._members.get(vm)
        if member is self._own:
            return stamp >= member.stamp
        return member is None or stamp > member.stamp

    def told(self, news):
        """Merge :class:`News` received from another VM."""
        if news.vm == self._own.vm:
            self._refute(news)
            return
        member = self._members.get(news.vm)
        if member is None:
            member = Member(news.vm, news.ip, news.failure_domain, news.region)
            self._members[news.vm] = member
        if news.stamp <= member.stamp:
            return
        member.stamp = news.stamp
        member.reported_alive = news.live
        self._spread(member)
        now = self._clock.now()
        member.dead_at = None if news.live else now + DOUBT
        # Recent heartbeats override reports of a death. Reports that the VM is live
        # originate from itself, and are newer than its heartbeats here.
        if not news.live and member.is_heard(now):
            return
        changed = self._is_change(member, news)
        self._take_news(member, news)
        if news.live and changed and not member.is_unreachable(now):
            self._join(member)

    def check(self):
        """Remove VMs that are silent or reported dead, and update the topology."""
        now = self._clock.now()
        self._forgive_pause(now)
        self._live[self._own.vm] = self._own
        lost = [each for each in self.live_others() if self._is_lost(each, now)]
        for member in lost:
            self._lose(member, now)
        if lost:
            self._changed()
        if self._topology_stale or self.topology.is_outdated():
            self._update_topology()
        for member in self.others():
            self._reconsider(member, now)

    def _note_versions(self, member, beat):
        member.operator_version = beat.operator_version
        member.target_version = beat.target_version
        self._newest_operator_version = max(
            self._newest_operator_version, beat.operator_version
        )
        self._newest_target_version = max(
            self._newest_target_version, beat.target_version
        )

    def _reconsider(self, member, now):
        """Delete a VM that died long ago; add a lost one that others report as live."""
        if member.vm in self._live or member.lost_at is None:
            return
        if now - member.lost_at > FORGET:
            del self._members[member.vm]
            self._digest = None
        elif member.reported_alive and not member.is_unreachable(now):
            self._join(member)

    def _enter(self, stage):
        if self._own.stage == stage:
            return
        self._own.enter(stage, self._clock.now())
        self.check()
        self._tell_own()
        self._changed()

    def _find_traffic(self):
        """Return the active VMs and the strong ones that are shutting down."""
        strong = _find_strong(self.serving_or_stopping())
        stopping = (each for each in strong if each.stops)
        return [*self.active(), *stopping]

    def _take_news(self, member, news):
        if member.incarnation != news.incarnation:
            member.stops_since = None
        member.incarnation = news.incarnation
        member.enter(news.stage, self._clock.now())
        member.store_lost = news.store_lost
        member.strength = news.strength

    def _is_change(self, member, news):
        """Return whether news changes the live VMs or the stage of one."""
        return (
            self._live.get(member.vm) is not member
            or member.stage != news.stage
            or member.incarnation != news.incarnation
        )

    def _is_outdated(self, member, news):
        """Return whether a heartbeat is from an earlier process of a live VM.

        Lower incarnations are accepted once the VM is not live, since they derive from
        the wall clock, which may have been set back.
        """
        if member is None or news.incarnation >= member.incarnation:
            return False
        return member.vm in self._live

    def _weigh_stamp(self, member, own):
        """Apply the stamp in a VM's own heartbeat.

        News of a new process is not passed on, since it contacts all VMs itself. If
        another VM reported it as dead with a higher stamp, that report is passed on to
        it, so that it can refute it.
        """
        if own.stamp > member.stamp:
            member.stamp = own.stamp
            member.reported_alive = True
            self._digest = None
            if own.stamp != own.incarnation:
                self.pending_updates.add(member.vm)
        elif not member.reported_alive:
            self.pending_updates.add(member.vm)

    def _refute(self, news):
        """Refute news of this VM that is wrong, with a higher stamp."""
        if news.stamp < self._own.stamp:
            return
        own = make_update(self._own)
        own.stamp = news.stamp
        if own.fields() != news.fields():
            self._own.stamp = news.stamp
            self._tell_own()

    def _tell_own(self):
        self._own.stamp += 1
        self._spread(self._own)

    def _spread(self, member):
        self._digest = None
        self.pending_updates.add(member.vm)

    def _join(self, member):
        member.lost_at = None
        self._live[member.vm] = member
        self._journal.write(Event.MEMBER_JOINED, peer=member.vm, serving=member.serving)
        self._changed()

    def _update_topology(self):
        """Update the topology; at most once per round, since changes come in bursts."""
        self._topology_stale = False
        self.topology.update(self.live_others(), self.traffic())

    def _is_lost(self, member, now):
        if member.is_heard(now):
            return False
        if not member.reported_alive:
            return member.dead_at is None or now >= member.dead_at
        monitored_since = self.topology.monitored_since(member.vm)
        return monitored_since is not None and now - monitored_since > member.patience

    def _lose(self, member, now):
        del self._live[member.vm]
        member.lost_at = now
        member.dead_at = None
        if member.reported_alive:
            member.unreachable_until = now + RETRY_SILENT
            # An expected exit does not indicate a failure of the domain.
            if not member.stops:
                self.topology.suspect(member.failure_domain)
            member.reported_alive = False
            member.stamp += 1
            self._spread(member)
        last_heartbeat_at = member.last_heartbeat_at
        self._journal.write(
            Event.MEMBER_DEAD,
            peer=member.vm,
            silent=None
            if last_heartbeat_at is None
            else round(now - last_heartbeat_at, 3),
        )

    def _forgive_pause(self, now):
        """Extend the timeouts of other VMs by a pause of this process."""
        pause = now - self._checked_at
        self._checked_at = now
        if pause < PAUSE_SECONDS:
            return
        for member in self.live_others():
            if member.last_heartbeat_at is not None:
                member.last_heartbeat_at += pause
            if member.dead_at is not None:
                member.dead_at += pause
        self._journal.write(Event.VM_PAUSED, gap=round(pause, 3))

    def _changed(self):
        """Invalidate what depends on the live VMs; run callbacks for new owners."""
        self._active = self._leaving = self._traffic = None
        self._topology_stale = True
        owners = [(each.vm, each.ip) for each in self.owners()]
        if owners == self._owners:
            return
        self._owners = owners
        for callback in self._on_change:
            callback()


def _find_strong(members):
    """Yield the strong VMs of each region, or all VMs if the strong ones are too few.

    See :data:`STRONG_SHARE` and :data:`ENOUGH_SHARE`.
    """
    regions = {}
    for member in members:
        regions.setdefault(member.region, []).append(member)
    for members in regions.values():
        least = STRONG_SHARE * max(each.strength for each in members)
        strong = [each for each in members if each.strength >= least]
        total = sum(each.strength for each in members)
        enough = sum(each.strength for each in strong) >= ENOUGH_SHARE * total
        yield from strong if enough else members
