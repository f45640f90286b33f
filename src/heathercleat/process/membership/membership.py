"""Membership of a failure domain: its VMs with their states and incarnations.

Each VM sends heartbeats to a few monitors, its successors on a hash ring, so the cost
doesn't grow with the number of VMs. A VM may act as a home only while its monitors have
acknowledged a heartbeat within ``HOME_LEASE_SECONDS``. A monitor declares a VM dead
after ``DEAD_AFTER_SECONDS`` without a heartbeat, which is longer. A paused VM therefore
loses its permission to act as a home before another VM takes over.
"""

from hashlib import blake2b

from curio import TaskGroup

from heathercleat.connection.messages import MemberRecord, ViewExchange, fields_of
from heathercleat.errors import PeerError
from heathercleat.events import Event
from heathercleat.process.membership.member import (
    HOME_LEASE_SECONDS,
    Member,
    MemberState,
)
from heathercleat.version.hashing import rendezvous_weight

#: Seconds without a message from a monitor after which this VM no longer requires its
#: acknowledgements.
SILENT_AFTER_SECONDS = 3.0
#: Minimum gap in seconds between two ticks that counts as a pause of this process.
PAUSE_GAP_SECONDS = 0.75
#: Seconds after a start or a pause during which this VM may not act as a home or
#: declare others dead.
SETTLE_SECONDS = 0.5
#: Seconds for which the record of a dead VM is kept, to reject outdated records.
DEAD_RETENTION_SECONDS = 3600.0
MONITOR_COUNT = 3


class Membership:
    """The membership view of one VM.

    :param vm: the :class:`EntryVM` of this process.
    :param links: the :class:`PeerLinks` to other VMs.
    """

    def __init__(self, vm, links, clock):
        self._vm = vm
        self._links = links
        self._clock = clock
        self._members = {}
        self._digest = 0
        self._settled_at = clock.now() + SETTLE_SECONDS
        self._last_tick = clock.now()
        self._on_new_incarnation = None
        self._on_pause = None
        self._record_self(MemberState.LIVE)

    @property
    def members(self):
        """Return ``{VM name: Member}``, this VM included."""
        return self._members

    @property
    def digest(self):
        """Return a 64-bit digest of the live and leaving members of the view."""
        return self._digest

    @property
    def is_leaving(self):
        """Return whether this VM has announced that it is leaving."""
        return self._members[self._vm.name].state is MemberState.LEAVING

    def on_pause(self, callback):
        """Call ``callback()`` after each pause of this process."""
        self._on_pause = callback

    def on_new_incarnation(self, callback):
        """Call ``callback()`` after a new incarnation has begun.

        A new incarnation begins after a long pause, or after another VM has declared
        this VM dead.
        """
        self._on_new_incarnation = callback

    def live_names(self):
        """Return the sorted names of the live VMs, which may be homes."""
        return sorted(
            name
            for name, member in self._members.items()
            if member.state is MemberState.LIVE
        )

    def other_running_members(self):
        """Return the other VMs that are live or leaving."""
        return [
            member
            for name, member in self._members.items()
            if name != self._vm.name and member.state is not MemberState.DEAD
        ]

    @property
    def is_settled(self):
        """Return whether ``SETTLE_SECONDS`` have passed since a pause or the start."""
        return self._clock.now() >= self._settled_at

    def may_act_as_home(self):
        """Return whether this VM may admit requests as the home of targets."""
        now = self._clock.now()
        if now < self._settled_at or now - self._last_tick > PAUSE_GAP_SECONDS:
            return False
        return all(
            member.acked_at + HOME_LEASE_SECONDS > now
            for member in self.responsive_monitors()
        )

    def responsive_monitors(self):
        """Return the monitors whose acknowledgement this VM requires."""
        now = self._clock.now()
        return [
            member for member in self.monitors() if not self._is_silent(member, now)
        ]

    def monitors(self):
        """Return the members to which this VM sends heartbeats."""
        return self._neighbours(+1)

    def monitored(self):
        """Return the members that send heartbeats to this VM."""
        return self._neighbours(-1)

    def was_monitored_until_end(self, name, incarnation):
        """Return whether this VM received heartbeats of an incarnation until it ended.

        An incarnation ends when it is declared dead or a later one begins. The result
        is false if this VM stopped being its monitor before that.
        """
        member = self._members.get(name)
        if member is None:
            return False
        if member.incarnation == incarnation:
            return member.state is MemberState.DEAD and member.has_heartbeats_until_end
        return member.previous_incarnation == incarnation

    def has_exited(self, name, incarnation):
        """Return whether the process of an ended incarnation has certainly exited."""
        member = self._members.get(name)
        return (
            member is not None
            and member.incarnation == incarnation
            and member.has_exited
        )

    def have_recent_dead_exited(self, seconds):
        """Return whether all VMs declared dead in the last ``seconds`` have exited."""
        since = self._clock.now() - seconds
        return all(
            member.has_exited
            for member in self._members.values()
            if member.state is MemberState.DEAD and member.died_at >= since
        )

    def apply_record(self, record):
        """Apply a :class:`MemberRecord` from a peer or the VM list.

        A record that is no newer than the current one is ignored.

        :return: whether the view has changed.
        """
        if record.failure_domain != self._vm.settings.failure_domain:
            return False
        if record.vm == self._vm.name:
            return self._refute(record)
        now = self._clock.now()
        current = self._members.get(record.vm)
        updated = Member(
            record.vm,
            record.host,
            record.incarnation,
            MemberState(record.state),
            now,
            now,
            now,
        )
        if current is not None and updated.precedence <= current.precedence:
            return False
        if current is not None:
            self._copy_state(current, updated, now)
        if updated.state is MemberState.DEAD:
            updated.died_at = now
        self._members[record.vm] = updated
        self._update_digest()
        self._vm.journal.write(
            _EVENTS[updated.state],
            member=record.vm,
            incarnation=record.incarnation,
            live=len(self.live_names()),
        )
        return True

    def records(self):
        """Return the view as fields of a :class:`ViewExchange` message."""
        return [fields_of(self._to_record(member)) for member in self._members.values()]

    def record_heartbeat(self, heartbeat):
        """Record a heartbeat and return whether its incarnation was declared dead."""
        member = self._members.get(heartbeat.vm)
        if member is None or heartbeat.incarnation < member.incarnation:
            return member is not None
        if heartbeat.incarnation > member.incarnation:
            self.apply_record(self._next_incarnation(member, heartbeat.incarnation))
            member = self._members[heartbeat.vm]
        if member.state is MemberState.DEAD:
            return True
        member.heartbeat_silent_since = member.last_heartbeat_at = self._clock.now()
        member.silent_since = member.heartbeat_silent_since
        return False

    async def announce(self):
        """Exchange views with all other VMs, to join or to spread a change."""
        async with TaskGroup() as group:
            for member in self.other_running_members():
                await group.spawn(self.exchange_views, member.host)

    async def exchange_views(self, host):
        """Exchange views with one VM and return whether it responded."""
        try:
            response = await self._links.call(host, ViewExchange(self.records()))
        except PeerError:
            return False
        self.merge(response.members)
        return True

    def merge(self, records):
        """Merge the view of a peer into this one.

        :param records: fields of a :class:`ViewExchange` message.
        """
        for fields in records:
            self.apply_record(MemberRecord(*fields))

    async def leave(self):
        """Announce that this VM accepts no new targets or callers."""
        self._record_self(MemberState.LEAVING)
        await self.announce()

    async def rejoin(self):
        """Announce, with a new incarnation, that this VM accepts targets again."""
        self._vm.renew_incarnation()
        self._record_self(MemberState.LIVE)
        await self.announce()

    def _copy_state(self, current, updated, now):
        """Copy to a new record the state that is not part of a message."""
        if current.incarnation == updated.incarnation:
            updated.last_heartbeat_at = current.last_heartbeat_at
            updated.previous_incarnation = current.previous_incarnation
            return
        if current.state is not MemberState.DEAD:
            current.died_at = now
        if current.has_heartbeats_until_end:
            updated.previous_incarnation = current.incarnation

    def _next_incarnation(self, member, incarnation):
        domain = self._vm.settings.failure_domain
        state = MemberState.LIVE.value
        return MemberRecord(member.vm, member.host, domain, incarnation, state)

    def _neighbours(self, step):
        """Return up to ``MONITOR_COUNT`` neighbours on the ring.

        :param step: 1 for successors, -1 for predecessors.
        """
        ring = self._ring
        if len(ring) <= 1:
            return []
        index = ring.index(self._vm.name)
        count = min(MONITOR_COUNT, len(ring) - 1)
        names = [ring[(index + step * (1 + i)) % len(ring)] for i in range(count)]
        return [self._members[name] for name in names]

    def _is_silent(self, member, now):
        if self._links.link_to(member.host).is_refused:
            return True
        return member.silent_since + SILENT_AFTER_SECONDS <= now

    def record_tick(self):
        """Record that this process runs, and handle a pause since the last call."""
        now = self._clock.now()
        gap = now - self._last_tick
        self._last_tick = now
        if gap <= PAUSE_GAP_SECONDS:
            return
        # Heartbeats missed during the pause say nothing about the senders. Time without
        # heartbeats before it still counts: otherwise frequent stalls would prevent
        # failure detection.
        self._settled_at = now + SETTLE_SECONDS
        for member in self._members.values():
            member.heartbeat_silent_since = min(
                now, member.heartbeat_silent_since + gap
            )
            member.silent_since = min(now, member.silent_since + gap)
        self._vm.journal.write(Event.VM_PAUSED, gap=round(gap, 3))
        if self._on_pause is not None:
            self._on_pause()
        if gap > HOME_LEASE_SECONDS:
            self.start_new_incarnation()

    def start_new_incarnation(self):
        """Start a new incarnation, after a pause or after being declared dead."""
        self._vm.renew_incarnation()
        self._record_self(self._members[self._vm.name].state)
        if self._on_new_incarnation is not None:
            self._on_new_incarnation()

    def remove_long_dead(self):
        """Remove records of VMs that have been dead for ``DEAD_RETENTION_SECONDS``."""
        now = self._clock.now()
        old = [
            name
            for name, member in self._members.items()
            if member.state is MemberState.DEAD
            and now - member.heartbeat_silent_since > DEAD_RETENTION_SECONDS
        ]
        for name in old:
            del self._members[name]

    def declare_dead(self, member):
        """Declare a member dead, as one of its monitors."""
        member.state = MemberState.DEAD
        member.died_at = self._clock.now()
        self._update_digest()
        self._vm.journal.write(
            Event.MEMBER_DEAD,
            member=member.vm,
            incarnation=member.incarnation,
            silent=round(self._clock.now() - member.heartbeat_silent_since, 3),
            gone=member.has_exited,
        )

    def _refute(self, record):
        """Refute a record that declares this incarnation dead.

        :return: whether a new incarnation was started.
        """
        if record.incarnation < self._vm.incarnation:
            return False
        if MemberState(record.state) is not MemberState.DEAD:
            return False
        self._vm.journal.write(Event.ACCUSED, by="view")
        self.start_new_incarnation()
        return True

    def _record_self(self, state):
        now = self._clock.now()
        name, settings = self._vm.name, self._vm.settings
        self._members[name] = Member(
            name, settings.address, self._vm.incarnation, state, now, now, now
        )
        self._update_digest()

    def _to_record(self, member):
        return MemberRecord(
            member.vm,
            member.host,
            self._vm.settings.failure_domain,
            member.incarnation,
            member.state.value,
        )

    def _update_digest(self):
        running = [
            member
            for member in self._members.values()
            if member.state is not MemberState.DEAD
        ]
        lines = sorted(
            f"{member.vm} {member.incarnation} {member.state.value}"
            for member in running
        )
        digest = blake2b("\n".join(lines).encode(), digest_size=8).digest()
        self._digest = int.from_bytes(digest, "big")
        names = [member.vm for member in running]
        self._ring = sorted(names, key=lambda name: rendezvous_weight("ring", name))


_EVENTS = {
    MemberState.LIVE: Event.MEMBER_JOINED,
    MemberState.LEAVING: Event.MEMBER_LEAVING,
    MemberState.DEAD: Event.MEMBER_DEAD,
}
