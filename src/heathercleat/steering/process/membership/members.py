"""The VMs that take part, as heard from their heartbeats."""

from heathercleat.events import Event

#: Seconds of silence after which a VM is taken as dead: seven heartbeats, so that a few
#: lost datagrams (2.5% on a bad link) or a short stall do not count as a death.
SILENCE = 1.1
#: Seconds without a check after which this process itself was paused; it checks at each
#: heartbeat that it sends, every 0.9 s at the most.
PAUSE = 1.5
#: Heartbeats that may be lost in a row, where they come rarely.
LOST_BEATS = 4
#: A VM carries requests when it has this share of the strength of its region's
#: strongest VM, as long as such VMs have a good part of the region's strength: the
#: requests at a VM with a twentieth of the bandwidth take several times their aim.
STRONG_SHARE = 0.5
ENOUGH_SHARE = 0.4
#: Seconds of silence after which a VM is forgotten.
FORGET = 60.0


class Member:
    """What is known of one VM.

    :param incarnation: differs between two processes of the same VM.
    :param serving: whether it takes clients and owns targets.
    :param heard_at: instant of its last heartbeat.
    """

    __slots__ = (
        "vm",
        "ip",
        "failure_domain",
        "region",
        "incarnation",
        "serving",
        "heard_at",
        "interval",
        "operator_version",
        "target_version",
        "store_lost",
        "strength",
    )

    def __init__(self, vm, ip, failure_domain, region):
        self.vm = vm
        self.ip = ip
        self.failure_domain = failure_domain
        self.region = region
        self.incarnation = 0
        self.serving = False
        self.heard_at = None
        self.interval = 0.0
        self.operator_version = 0
        self.target_version = 0
        self.store_lost = False
        self.strength = 1.0

    @property
    def patience(self):
        """Return the seconds of silence after which the VM is taken as dead."""
        return max(SILENCE, LOST_BEATS * self.interval)


class Members:
    """All known VMs, this one included.

    :param settings: the :class:`NodeSettings` of this VM.
    """

    def __init__(self, settings, journal, clock, incarnation):
        self._journal = journal
        self._clock = clock
        self._own = Member(
            settings.vm, settings.ip, settings.failure_domain, settings.region
        )
        self._own.incarnation = incarnation
        self._own.strength = settings.strength
        self._regions = settings.regions
        self._members = {settings.vm: self._own}
        self._live = {}
        self._active = None
        self._checked_at = clock.now()
        self._on_change = []

    @property
    def own(self):
        """Return the :class:`Member` of this VM."""
        return self._own

    def on_change(self, callback):
        """Call ``callback()`` when the live VMs have changed."""
        self._on_change.append(callback)

    def serving(self):
        """Return the live VMs that take clients and own targets."""
        return [member for member in self._live.values() if member.serving]

    def active(self):
        """Return the serving VMs that are named to clients and own targets."""
        if self._active is None:
            self._active = list(self._find_active())
        return self._active

    def _find_active(self):
        """Yield the strong VMs of each region, or all where these are too few."""
        regions = {}
        for member in self.serving():
            regions.setdefault(member.region, []).append(member)
        for members in regions.values():
            least = STRONG_SHARE * max(each.strength for each in members)
            strong = [each for each in members if each.strength >= least]
            total = sum(each.strength for each in members)
            enough = sum(each.strength for each in strong) >= ENOUGH_SHARE * total
            yield from strong if enough else members

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

    def set_serving(self, serving):
        """Set whether this VM takes clients."""
        if self._own.serving != serving:
            self._own.serving = serving
            self.check()
            self._changed()

    def introduce(self, vm, ip, failure_domain, region):
        """Learn that a VM exists, from the store; it is live once it is heard."""
        member = self._members.get(vm)
        if member is None or (member.ip != ip and member.vm not in self._live):
            self._members[vm] = Member(vm, ip, failure_domain, region)

    def heard(self, beat):
        """Take a heartbeat; return the :class:`Member`, or ``None`` for an old one."""
        member = self._members.get(beat.vm)
        if member is self._own:
            return None
        if self._is_outdated(member, beat):
            return None
        if member is None or member.ip != beat.ip:
            member = Member(beat.vm, beat.ip, beat.failure_domain, beat.region)
            self._members[beat.vm] = member
        changed = (
            member.vm not in self._live
            or self._live[member.vm] is not member
            or member.serving != beat.serving
            or member.incarnation != beat.incarnation
        )
        member.incarnation = beat.incarnation
        member.serving = beat.serving
        member.interval = beat.interval
        member.operator_version = beat.operator_version
        member.target_version = beat.target_version
        member.store_lost = beat.store_lost
        member.strength = beat.strength
        member.heard_at = self._clock.now()
        if changed:
            self._live[member.vm] = member
            self._journal.write(
                Event.MEMBER_JOINED, peer=member.vm, serving=member.serving
            )
            self._changed()
        return member

    def check(self):
        """Drop the VMs that fell silent."""
        now = self._clock.now()
        self._forgive_pause(now)
        self._live[self._own.vm] = self._own
        silent = [
            member
            for member in self._live.values()
            if member is not self._own and now - member.heard_at > member.patience
        ]
        for member in silent:
            del self._live[member.vm]
            self._journal.write(
                Event.MEMBER_DEAD,
                peer=member.vm,
                silent=round(now - member.heard_at, 3),
            )
        for member in self.others():
            if member.heard_at is not None and now - member.heard_at > FORGET:
                del self._members[member.vm]
        if silent:
            self._changed()

    def _is_outdated(self, member, beat):
        """Return whether a heartbeat is of an earlier process of a live VM.

        Incarnations are times of day: one that was set back must not keep a restarted
        VM out once the process before it has fallen silent.
        """
        if member is None or beat.incarnation >= member.incarnation:
            return False
        return member.vm in self._live

    def _forgive_pause(self, now):
        """Do not blame others for the time in which this process did not run."""
        pause = now - self._checked_at
        self._checked_at = now
        if pause < PAUSE:
            return
        for member in self.live_others():
            member.heard_at += pause
        self._journal.write(Event.VM_PAUSED, gap=round(pause, 3))

    def _changed(self):
        self._active = None
        for callback in self._on_change:
            callback()
