"""The VMs that take part: heard from their heartbeats, or from what others tell."""

from heathercleat.events import Event
from heathercleat.steering.process.membership.member import Member, Stage, make_update
from heathercleat.steering.process.membership.pending_updates import PendingUpdates
from heathercleat.steering.process.membership.topology import Topology
from heathercleat.version.hashing import rendezvous_weight

#: Seconds without a check after which this process itself was paused; it checks at each
#: heartbeat that it sends, every 0.9 s at the most.
PAUSE_SECONDS = 1.5
#: Seconds after which it is believed that a VM is dead which is not heard directly: in
#: these it can refute it. News crosses 300 VMs in three heartbeats.
DOUBT = 0.5
#: A VM carries requests when it has this share of the strength of its region's
#: strongest VM, as long as such VMs have a good part of the region's strength: the
#: requests at a VM with a twentieth of the bandwidth take several times their aim.
STRONG_SHARE = 0.5
ENOUGH_SHARE = 0.4
#: Seconds for which a VM that fell silent here is left out, though others hear it: a
#: link between two VMs that is cut would bring it back and lose it every second.
RETRY_SILENT = 10.0
#: Seconds after which a dead VM is forgotten.
FORGET = 60.0


class Members:
    """All known VMs, this one included.

    A VM that this one picked for heartbeats lives while these come. What others tell
    decides on the rest: it carries a stamp, the highest of which is believed. A VM that
    hears of its own death refutes it with a higher stamp (as in SWIM, Das, Gupta and
    Motivala, 2002).

    :param settings: the :class:`NodeSettings` of this VM.
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
        """Return a checksum over what is told of all live VMs."""
        if self._digest is None:
            self._digest = 0
            for member in self._members.values():
                if member.reported_alive:
                    self._digest ^= rendezvous_weight(member.vm, member.stamp)
        return self._digest

    @property
    def newest_operator_version(self):
        """Return the newest version of the operators' table that a VM told of."""
        return self._newest_operator_version

    @property
    def newest_target_version(self):
        """Return the newest version of the targets' table that a VM told of."""
        return self._newest_target_version

    def on_change(self, callback):
        """Call ``callback()`` when the VMs that may own targets have changed.

        Nothing is worked out anew for the others: where 168 of 195 carry none, a roll
        of all VMs would have each rank the targets again seven times as often.
        """
        self._on_change.append(callback)

    def serving(self):
        """Return the live VMs that take clients and own targets."""
        return [member for member in self._live.values() if member.serving]

    def serving_or_stopping(self):
        """Return the live VMs that may have clients."""
        return [each for each in self._live.values() if each.serving or each.stops]

    def active(self):
        """Return the serving VMs that are named to clients and own targets."""
        if self._active is None:
            self._active = list(_find_strong(self.serving()))
        return self._active

    def leaving(self):
        """Return the VMs that own targets where none is active."""
        if self._leaving is None:
            live = self._live.values()
            leaving = [each for each in live if each.stage == Stage.LEAVING]
            self._leaving = list(_find_strong(leaving))
        return self._leaving

    def owners(self):
        """Return the VMs that own targets.

        They are the active ones. Where none is left, those that leave keep the targets
        until they end: nobody else could run a request.
        """
        return self.active() or self.leaving()

    def traffic(self):
        """Return the VMs that carry requests: those that stop still have clients."""
        if self._traffic is None:
            self._traffic = self._find_traffic()
        return self._traffic

    def live(self, vm):
        """Return the live :class:`Member` of that name, or ``None``."""
        return self._live.get(vm)

    def live_others(self):
        """Return the live VMs but this one."""
        return [each for each in self._live.values() if each is not self._own]

    def others(self):
        """Return every known VM but this one, live or not."""
        return [each for each in self._members.values() if each is not self._own]

    def region_of(self, failure_domain):
        """Return the region of a failure domain, or ``None``."""
        return self._regions.get(failure_domain)

    def find(self, vm):
        """Return the :class:`Member` of that name, live or not, or ``None``."""
        return self._members.get(vm)

    def set_serving(self, serving):
        """Set whether this VM takes clients."""
        self._enter(Stage.SERVING if serving else Stage.STARTING)

    def leave(self):
        """Take no new clients; own targets only where no VM serves."""
        self._enter(Stage.LEAVING)

    def finish(self):
        """Own no targets any more; a VM that serves or leaves has to take them."""
        self._enter(Stage.FINISHING)

    def set_store_lost(self, store_lost):
        """Set whether the store does not answer this VM."""
        if self._own.store_lost != store_lost:
            self._own.store_lost = store_lost
            self._tell_own()

    def news(self, interval):
        """Return the fields of each :class:`News` to pass on.

        None in a small fleet, where all hear each other.

        :param interval: see :meth:`PendingUpdates.current`.
        """
        if not self.topology.tells_news:
            return []
        known = map(self._members.get, self.pending_updates.current(interval))
        return [make_update(member).fields() for member in known if member is not None]

    def add_known(self, vm, ip, failure_domain, region):
        """Learn that a VM exists, from the store; it is live once it is heard."""
        member = self._members.get(vm)
        if member is None or (member.ip != ip and member.vm not in self._live):
            self._members[vm] = Member(vm, ip, failure_domain, region)

    def record_heartbeat(self, beat):
        """Take a heartbeat; return the :class:`Member`, or ``None`` for an old one."""
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
        """Return whether what is told of a VM with a stamp is new, or to be refuted."""
        member = self._members.get(vm)
        if member is self._own:
            return stamp >= member.stamp
        return member is None or stamp > member.stamp

    def told(self, news):
        """Take what another VM tells of a VM."""
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
        # That it lives is the VM's own word, later than what was heard of it directly;
        # that it is dead is refuted by what was heard.
        if not news.live and member.is_heard(now):
            return
        changed = self._is_change(member, news)
        self._take_news(member, news)
        if news.live and changed and not member.is_unreachable(now):
            self._join(member)

    def check(self):
        """Drop the VMs that fell silent or of whose death was told."""
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
        """Forget a VM that died long ago; try one again of which others tell."""
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
        """Return the active VMs, and those that stop and were active before."""
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
        """Return whether news changes which VMs live or what they do."""
        return (
            self._live.get(member.vm) is not member
            or member.stage != news.stage
            or member.incarnation != news.incarnation
        )

    def _is_outdated(self, member, news):
        """Return whether a heartbeat is of an earlier process of a live VM.

        Incarnations are times of day: one that was set back must not keep a restarted
        VM out once the process before it has fallen silent.
        """
        if member is None or news.incarnation >= member.incarnation:
            return False
        return member.vm in self._live

    def _weigh_stamp(self, member, own):
        """Believe a VM's word on itself; let it refute what others said since.

        The first word of a process is passed on by nobody: it greets all VMs itself.
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
        """Contradict what is told of this VM, where it is wrong."""
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
        """Pick anew, at most once a heartbeat: a start of 195 VMs is 194 changes."""
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
            # The end of one that stops is no sign that its neighbours are in trouble.
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
        """Do not blame others for the time in which this process did not run."""
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
        """Work out anew what depends on the live VMs."""
        self._active = self._leaving = self._traffic = None
        self._topology_stale = True
        owners = [(each.vm, each.ip) for each in self.owners()]
        if owners == self._owners:
            return
        self._owners = owners
        for callback in self._on_change:
            callback()


def _find_strong(members):
    """Yield the strong VMs of each region, or all where these are too few."""
    regions = {}
    for member in members:
        regions.setdefault(member.region, []).append(member)
    for members in regions.values():
        least = STRONG_SHARE * max(each.strength for each in members)
        strong = [each for each in members if each.strength >= least]
        total = sum(each.strength for each in members)
        enough = sum(each.strength for each in strong) >= ENOUGH_SHARE * total
        yield from strong if enough else members
