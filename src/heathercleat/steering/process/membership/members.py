"""Membership of the VMs, from their heartbeats and from updates passed on by others."""

from heathercleat.events import Event
from heathercleat.steering.process.membership.member import Member, Stage, make_update
from heathercleat.steering.process.membership.pending_updates import PendingUpdates
from heathercleat.steering.process.membership.topology import Topology
from heathercleat.version.hashing import rendezvous_weight

#: If two checks are this many seconds apart or more, the process was paused. Longer
#: than the longest interval between two rounds of heartbeats.
PAUSE_SECONDS = 1.5
#: Seconds within which a VM can refute a report of its death. An update reaches 300 VMs
#: within three heartbeats.
REFUTE_SECONDS = 0.5
#: Minimum strength of a VM that handles requests, as a fraction of its region's
#: strongest VM. Requests at a VM with a twentieth of the bandwidth take several times
#: their latency objective.
STRONG_SHARE = 0.5
#: Minimum fraction of a region's strength that its strong VMs must have together;
#: otherwise all VMs of the region handle requests.
MIN_STRONG_TOTAL_SHARE = 0.4
#: Seconds for which a VM whose heartbeats stopped is ignored even if others report it
#: as live. Otherwise a broken link would make the VM join and leave repeatedly.
UNREACHABLE_SECONDS = 10.0
#: Seconds for which a dead VM is remembered.
FORGET_SECONDS = 60.0


class Members:
    """All known VMs, including this one.

    A VM monitored by this one is live while its heartbeats arrive. For other VMs the
    update with the highest stamp decides; the stamp is the version of a VM's state,
    increased by each update. A VM refutes its own death with a higher stamp, as in the
    SWIM protocol.

    The strength of a VM is the number of cores that it can use, limited by its CPU and
    the bandwidth of its link. Of the VMs of a region, those with at least
    :data:`STRONG_SHARE` of the highest strength are strong. If these have too little
    strength together, all are strong.

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
        self._strong_serving = None
        self._strong_leaving = None
        self._request_handling_vms = None
        self._owner_candidates = []
        self._is_topology_stale = False
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
                    self._digest ^= rendezvous_weight(member.vm, member.stamp)
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

        Other membership changes do not affect the owners of targets.
        """
        self._on_change.append(callback)

    def serving(self):
        """Return the live VMs in the serving stage."""
        return [member for member in self._live.values() if member.is_serving]

    def serving_or_stopping(self):
        """Return the live VMs that may have clients: serving, leaving or finishing."""
        return [
            each for each in self._live.values() if each.is_serving or each.is_stopping
        ]

    def strong_serving(self):
        """Return the strong VMs among the serving ones.

        They own targets, and lookups return them. See :data:`STRONG_SHARE`.
        """
        if self._strong_serving is None:
            self._strong_serving = list(_find_strong(self.serving()))
        return self._strong_serving

    def strong_leaving(self):
        """Return the strong VMs in the leaving stage.

        They own targets if no VM is serving.
        """
        if self._strong_leaving is None:
            live = self._live.values()
            leaving = [each for each in live if each.stage == Stage.LEAVING]
            self._strong_leaving = list(_find_strong(leaving))
        return self._strong_leaving

    def owner_candidates(self):
        """Return the VMs that may own targets.

        These are the strong serving VMs or, if there are none, the strong leaving ones,
        so that requests can still be handled. VMs that are partitioned from all targets
        own none, unless all of them are.
        """
        strong = self.strong_serving() or self.strong_leaving()
        return [each for each in strong if not each.targets_lost] or strong

    def request_handling_vms(self):
        """Return the VMs that handle requests.

        These are the strong serving VMs, and the strong ones among those shutting down.
        """
        if self._request_handling_vms is None:
            self._request_handling_vms = self._find_request_handling_vms()
        return self._request_handling_vms

    def find_live(self, vm):
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
        self._set_own_stage(Stage.SERVING if serving else Stage.STARTING)

    def leave(self):
        """Accept no new clients; own targets only if no VM is serving."""
        self._set_own_stage(Stage.LEAVING)

    def stop_owning(self):
        """Stop owning targets; other serving or leaving VMs become their owners."""
        self._set_own_stage(Stage.FINISHING)

    def set_store_lost(self, store_lost):
        """Set whether this VM's calls to the store fail."""
        if self._own.store_lost != store_lost:
            self._own.store_lost = store_lost
            self._queue_newer_own_update()

    def set_targets_lost(self, targets_lost):
        """Set whether this VM is partitioned from all targets."""
        if self._own.targets_lost != targets_lost:
            self._own.targets_lost = targets_lost
            self._queue_newer_own_update()
            self._membership_changed()

    def updates_to_send(self, interval):
        """Return the fields of each :class:`MemberUpdate` to pass on.

        The list is empty in a full mesh, where VMs do not depend on updates.

        :param interval: see :meth:`PendingUpdates.names_to_send`.
        """
        if not self.topology.sends_updates:
            return []
        known = map(self._members.get, self.pending_updates.names_to_send(interval))
        return [make_update(member).fields() for member in known if member is not None]

    def add_known(self, vm, ip, failure_domain, region):
        """Add a VM from the store; it is live after its first heartbeat."""
        member = self._members.get(vm)
        if member is None or (member.ip != ip and member.vm not in self._live):
            self._members[vm] = Member(vm, ip, failure_domain, region)

    def record_heartbeat(self, heartbeat):
        """Record a heartbeat; return its sender, or ``None`` if it is outdated."""
        own = heartbeat.own
        member = self._members.get(own.vm)
        if member is self._own or self._is_outdated(member, own):
            return None
        if member is None or member.ip != own.ip:
            member = Member(own.vm, own.ip, own.failure_domain, own.region)
            self._members[own.vm] = member
        changed = self._changes_membership(member, own)
        self._apply_update(member, own)
        member.interval = heartbeat.interval
        self._record_versions(member, heartbeat)
        member.store_answers = heartbeat.store_answers
        member.digest = heartbeat.digest
        member.suspects_digest = heartbeat.suspects_digest
        member.last_heartbeat_at = self._clock.now()
        member.unreachable_until = None
        member.dead_at = None
        self._apply_own_stamp(member, own)
        if changed:
            self._add_live(member)
        return member

    def is_newer(self, vm, stamp):
        """Return whether an update is new, or may have to be refuted by this VM."""
        member = self._members.get(vm)
        if member is self._own:
            return stamp >= member.stamp
        return member is None or stamp > member.stamp

    def merge_update(self, update):
        """Merge a :class:`MemberUpdate` received from another VM."""
        if update.vm == self._own.vm:
            self._refute(update)
            return
        member = self._members.get(update.vm)
        if member is None:
            member = Member(update.vm, update.ip, update.failure_domain, update.region)
            self._members[update.vm] = member
        if update.stamp <= member.stamp:
            return
        member.stamp = update.stamp
        member.reported_alive = update.live
        self._queue_update(member)
        now = self._clock.now()
        member.dead_at = None if update.live else now + REFUTE_SECONDS
        # Recent heartbeats override reports of a death. A report with a higher stamp
        # that a VM is live comes from the VM itself, and was sent after the heartbeats
        # received here.
        if not update.live and member.has_recent_heartbeat(now):
            return
        changed = self._changes_membership(member, update)
        self._apply_update(member, update)
        if update.live and changed and not member.is_unreachable(now):
            self._add_live(member)

    def update_live(self):
        """Update which VMs are live, and the topology.

        Removes VMs without recent heartbeats and VMs reported as dead.
        """
        now = self._clock.now()
        self._compensate_pause(now)
        self._live[self._own.vm] = self._own
        lost = [each for each in self.live_others() if self._is_lost(each, now)]
        for member in lost:
            self._remove_live(member, now)
        if lost:
            self._membership_changed()
        if self._is_topology_stale or self.topology.is_outdated():
            self._update_topology()
        for member in self.others():
            self._remove_or_rejoin(member, now)

    def _record_versions(self, member, heartbeat):
        member.operator_version = heartbeat.operator_version
        member.target_version = heartbeat.target_version
        self._newest_operator_version = max(
            self._newest_operator_version, heartbeat.operator_version
        )
        self._newest_target_version = max(
            self._newest_target_version, heartbeat.target_version
        )

    def _remove_or_rejoin(self, member, now):
        """Delete a VM that died long ago; add a lost one that others report as live."""
        if member.vm in self._live or member.lost_at is None:
            return
        if now - member.lost_at > FORGET_SECONDS:
            del self._members[member.vm]
            self._digest = None
        elif member.reported_alive and not member.is_unreachable(now):
            self._add_live(member)

    def _set_own_stage(self, stage):
        if self._own.stage == stage:
            return
        self._own.set_stage(stage, self._clock.now())
        self.update_live()
        self._queue_newer_own_update()
        self._membership_changed()

    def _find_request_handling_vms(self):
        """Return the strong serving VMs and the strong leaving or finishing ones."""
        strong = _find_strong(self.serving_or_stopping())
        stopping = (each for each in strong if each.is_stopping)
        return [*self.strong_serving(), *stopping]

    def _apply_update(self, member, update):
        if member.incarnation != update.incarnation:
            member.stops_since = None
        member.incarnation = update.incarnation
        member.set_stage(update.stage, self._clock.now())
        member.store_lost = update.store_lost
        member.strength = abs(update.strength)
        member.targets_lost = update.targets_lost

    def _changes_membership(self, member, update):
        """Return whether an update changes the live VMs, a stage or an incarnation.

        Also whether a VM may own targets.
        """
        return (
            self._live.get(member.vm) is not member
            or member.stage != update.stage
            or member.incarnation != update.incarnation
            or member.targets_lost != update.targets_lost
        )

    def _is_outdated(self, member, update):
        """Return whether a heartbeat is from an earlier process of a live VM.

        A lower incarnation is accepted once the VM is not live, since incarnations
        derive from the wall clock, which may have been set back.
        """
        if member is None or update.incarnation >= member.incarnation:
            return False
        return member.vm in self._live

    def _apply_own_stamp(self, member, own):
        """Apply the stamp in a VM's own heartbeat.

        The update of a new process is not passed on, as the process contacts all VMs
        itself. If another VM reported the VM as dead with a higher stamp, the report is
        passed on, so that the VM can refute it.
        """
        if own.stamp > member.stamp:
            member.stamp = own.stamp
            member.reported_alive = True
            self._digest = None
            if own.stamp != own.incarnation:
                self.pending_updates.add(member.vm)
        elif not member.reported_alive:
            self.pending_updates.add(member.vm)

    def _refute(self, update):
        """Refute a wrong update about this VM by sending one with a higher stamp."""
        if update.stamp < self._own.stamp:
            return
        own_update = make_update(self._own)
        own_update.stamp = update.stamp
        if own_update.fields() != update.fields():
            self._own.stamp = update.stamp
            self._queue_newer_own_update()

    def _queue_newer_own_update(self):
        """Increment the stamp of this VM and queue an update with it."""
        self._own.stamp += 1
        self._queue_update(self._own)

    def _queue_update(self, member):
        self._digest = None
        self.pending_updates.add(member.vm)

    def _add_live(self, member):
        member.lost_at = None
        self._live[member.vm] = member
        self._journal.write(
            Event.MEMBER_JOINED, peer=member.vm, serving=member.is_serving
        )
        self._membership_changed()

    def _update_topology(self):
        """Update the topology; once per round, since changes occur in bursts."""
        self._is_topology_stale = False
        self.topology.update(self.live_others(), self.request_handling_vms())

    def _is_lost(self, member, now):
        if member.has_recent_heartbeat(now):
            return False
        if not member.reported_alive:
            return member.dead_at is None or now >= member.dead_at
        monitored_since = self.topology.monitored_since(member.vm)
        return (
            monitored_since is not None
            and now - monitored_since > member.silence_timeout
        )

    def _remove_live(self, member, now):
        del self._live[member.vm]
        member.lost_at = now
        member.dead_at = None
        if member.reported_alive:
            member.unreachable_until = now + UNREACHABLE_SECONDS
            # The exit of a stopping VM does not indicate a failure of the domain.
            if not member.is_stopping:
                self.topology.extend_monitoring(member.failure_domain)
            member.reported_alive = False
            member.stamp += 1
            self._queue_update(member)
        last_heartbeat_at = member.last_heartbeat_at
        self._journal.write(
            Event.MEMBER_DEAD,
            peer=member.vm,
            silent=None
            if last_heartbeat_at is None
            else round(now - last_heartbeat_at, 3),
        )

    def _compensate_pause(self, now):
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

    def _membership_changed(self):
        """Invalidate what depends on the live VMs; run callbacks for new owners."""
        self._strong_serving = self._strong_leaving = self._request_handling_vms = None
        self._is_topology_stale = True
        owner_candidates = [(each.vm, each.ip) for each in self.owner_candidates()]
        if owner_candidates == self._owner_candidates:
            return
        self._owner_candidates = owner_candidates
        for callback in self._on_change:
            callback()


def _find_strong(members):
    """Yield the strong VMs of each region, or all VMs if the strong ones are too few.

    See :data:`STRONG_SHARE` and :data:`MIN_STRONG_TOTAL_SHARE`.
    """
    regions = {}
    for member in members:
        regions.setdefault(member.region, []).append(member)
    for members in regions.values():
        min_strength = STRONG_SHARE * max(each.strength for each in members)
        strong = [each for each in members if each.strength >= min_strength]
        total = sum(each.strength for each in members)
        suffices = (
            sum(each.strength for each in strong) >= MIN_STRONG_TOTAL_SHARE * total
        )
        yield from strong if suffices else members
