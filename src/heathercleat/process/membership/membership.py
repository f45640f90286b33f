"""Membership of a failure domain: who is alive, at which incarnation.

Every VM sends heartbeats to a few monitors, its successors on a hash ring, so the cost
does not grow with the number of VMs. A VM may act as a home only while its monitors
have acknowledged a heartbeat within ``HOME_LEASE_SECONDS``; a monitor presumes a VM
dead only after
``DEAD_AFTER`` without a heartbeat, which is longer. A paused VM therefore finds its
right to act lapsed before anybody takes its place.
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
from heathercleat.version.hashing import weight

#: Seconds of silence after which a monitor no longer has to acknowledge.
SILENT_AFTER = 3.0
#: A gap between two ticks that counts as a pause of this process.
PAUSE_GAP = 0.75
#: Seconds after a pause in which this VM only listens.
SETTLE_SECONDS = 0.5
#: Seconds for which the record of a dead VM is kept against late news of its life.
DEAD_KEPT = 3600.0
MONITORS = 3


class Membership:
    """The view of one VM on its failure domain.

    :param vm: the identity of this VM (settings, incarnation, journal).
    :param links: calls to peers.
    :param clock: source of instants.
    """

    def __init__(self, vm, links, clock):
        self._vm = vm
        self._links = links
        self._clock = clock
        self._members = {}
        self._digest = 0
        self._settled_at = clock.now() + SETTLE_SECONDS
        self._last_tick = clock.now()
        self._on_presumed_dead = None
        self._on_pause = None
        self._add_self(MemberState.LIVE)

    @property
    def members(self):
        """Return ``{VM name: Member}``, this VM included."""
        return self._members

    @property
    def digest(self):
        """Return a 64-bit digest of the view, equal on VMs with the same view."""
        return self._digest

    @property
    def leaving(self):
        """Return whether this VM has announced that it leaves."""
        return self._members[self._vm.name].state is MemberState.LEAVING

    def on_pause(self, callback):
        """Call ``callback()`` when this VM did not run for a while."""
        self._on_pause = callback

    def on_presumed_dead(self, callback):
        """Call ``callback()`` when this VM was paused or presumed dead."""
        self._on_presumed_dead = callback

    def live(self):
        """Return the names of the VMs that may be homes, in order."""
        return sorted(
            name
            for name, member in self._members.items()
            if member.state is MemberState.LIVE
        )

    def running(self):
        """Return the members that are live or leaving, this VM not included."""
        return [
            member
            for name, member in self._members.items()
            if name != self._vm.name and member.state is not MemberState.DEAD
        ]

    @property
    def settled(self):
        """Return whether this VM has listened long enough to judge others."""
        return self._clock.now() >= self._settled_at

    def may_act(self):
        """Return whether this VM may admit requests as the home of targets."""
        now = self._clock.now()
        if now < self._settled_at or now - self._last_tick > PAUSE_GAP:
            return False
        return all(
            member.acked_at + HOME_LEASE_SECONDS > now
            for member in self.responsive_monitors()
        )

    def responsive_monitors(self):
        """Return the monitors whose acknowledgement this VM needs."""
        now = self._clock.now()
        return [
            member for member in self.monitors() if not self._is_silent(member, now)
        ]

    def monitors(self):
        """Return the members that this VM sends heartbeats to."""
        return self._neighbours(+1)

    def monitored(self):
        """Return the members that send heartbeats to this VM."""
        return self._neighbours(-1)

    def heard_until_end(self, name, incarnation):
        """Return whether this VM had the heartbeats of an ended life up to its end.

        A life ends by death or by a later incarnation. A VM that was no longer a
        monitor then has heard nothing for longer than a monitor would wait.
        """
        member = self._members.get(name)
        if member is None:
            return False
        if member.incarnation == incarnation:
            return member.state is MemberState.DEAD and member.heard_to_the_end
        return member.heard_before == incarnation

    def is_gone(self, name, incarnation):
        """Return whether the process of an ended life is known to have ended too."""
        member = self._members.get(name)
        return member is not None and member.incarnation == incarnation and member.gone

    def all_gone(self, seconds):
        """Return whether every VM found dead in the last ``seconds`` has ended."""
        since = self._clock.now() - seconds
        return all(
            member.gone
            for member in self._members.values()
            if member.state is MemberState.DEAD and member.died_at >= since
        )

    def record(self, item):
        """Take a :class:`MemberRecord` from a peer or the VM list.

        :return: whether the view changed.
        """
        if item.failure_domain != self._vm.settings.failure_domain:
            return False
        if item.vm == self._vm.name:
            return self._record_self(item)
        now = self._clock.now()
        known = self._members.get(item.vm)
        fresh = Member(
            item.vm, item.host, item.incarnation, MemberState(item.state), now, now, now
        )
        if known is not None and fresh.rank <= known.rank:
            return False
        if known is not None:
            self._carry_over(known, fresh, now)
        if fresh.state is MemberState.DEAD:
            fresh.died_at = now
        self._members[item.vm] = fresh
        self._changed()
        self._vm.journal.write(
            _EVENTS[fresh.state],
            member=item.vm,
            incarnation=item.incarnation,
            live=len(self.live()),
        )
        return True

    def records(self):
        """Return the whole view as message fields."""
        return [fields_of(self._to_record(member)) for member in self._members.values()]

    def record_heartbeat(self, heartbeat):
        """Take a heartbeat and return whether its sender was presumed dead."""
        member = self._members.get(heartbeat.vm)
        if member is None or heartbeat.incarnation < member.incarnation:
            return member is not None
        if heartbeat.incarnation > member.incarnation:
            self.record(self._next_life(member, heartbeat.incarnation))
            member = self._members[heartbeat.vm]
        if member.state is MemberState.DEAD:
            return True
        member.heard_at = member.beat_at = self._clock.now()
        member.silent_from = member.heard_at
        return False

    async def announce(self):
        """Exchange views with every VM known here, to join or to spread a change."""
        async with TaskGroup() as group:
            for member in self.running():
                await group.spawn(self.exchange_views, member.host)

    async def exchange_views(self, host):
        """Exchange views with one VM; return whether it answered."""
        try:
            answer = await self._links.call(host, ViewExchange(self.records()))
        except PeerError:
            return False
        self.merge(answer.members)
        return True

    def merge(self, records):
        """Take every record of a peer's view."""
        for fields in records:
            self.record(MemberRecord(*fields))

    async def leave(self):
        """Announce that this VM takes no new targets or callers."""
        self._add_self(MemberState.LEAVING)
        await self.announce()

    async def rejoin(self):
        """Announce that this VM takes targets and callers again, as a new life."""
        self._vm.renew_incarnation()
        self._add_self(MemberState.LIVE)
        await self.announce()

    def _carry_over(self, known, fresh, now):
        """Keep what the next record of a VM does not say."""
        if known.incarnation == fresh.incarnation:
            fresh.beat_at = known.beat_at
            fresh.heard_before = known.heard_before
            return
        if known.state is not MemberState.DEAD:
            known.died_at = now
        if known.heard_to_the_end:
            fresh.heard_before = known.incarnation

    def _next_life(self, member, incarnation):
        domain = self._vm.settings.failure_domain
        state = MemberState.LIVE.value
        return MemberRecord(member.vm, member.host, domain, incarnation, state)

    def _neighbours(self, step):
        """Return the next members on the ring in one direction, at most MONITORS."""
        ring = self._ring
        if len(ring) <= 1:
            return []
        index = ring.index(self._vm.name)
        count = min(MONITORS, len(ring) - 1)
        names = [ring[(index + step * (1 + i)) % len(ring)] for i in range(count)]
        return [self._members[name] for name in names]

    def _is_silent(self, member, now):
        if self._links.to(member.host).refused:
            return True
        return member.silent_from + SILENT_AFTER <= now

    def record_tick(self):
        """Note that this VM runs, and find out whether it was paused before."""
        now = self._clock.now()
        gap = now - self._last_tick
        self._last_tick = now
        if gap <= PAUSE_GAP:
            return
        # What was not heard during a pause says nothing about the others. Their silence
        # before it counts, or a VM that stalls often would take no dead one's place.
        self._settled_at = now + SETTLE_SECONDS
        for member in self._members.values():
            member.heard_at = min(now, member.heard_at + gap)
            member.silent_from = min(now, member.silent_from + gap)
        self._vm.journal.write(Event.VM_PAUSED, gap=round(gap, 3))
        if self._on_pause is not None:
            self._on_pause()
        if gap > HOME_LEASE_SECONDS:
            self.start_new_incarnation()

    def start_new_incarnation(self):
        """Take a new incarnation, after a pause or when it was presumed dead."""
        self._vm.renew_incarnation()
        self._add_self(self._members[self._vm.name].state)
        if self._on_presumed_dead is not None:
            self._on_presumed_dead()

    def forget_old(self):
        """Forget the VMs that died long ago."""
        now = self._clock.now()
        old = [
            name
            for name, member in self._members.items()
            if member.state is MemberState.DEAD and now - member.heard_at > DEAD_KEPT
        ]
        for name in old:
            del self._members[name]

    def declare_dead(self, member):
        """Note that a member is dead, as its monitor."""
        member.state = MemberState.DEAD
        member.died_at = self._clock.now()
        self._changed()
        self._vm.journal.write(
            Event.MEMBER_DEAD,
            member=member.vm,
            incarnation=member.incarnation,
            silent=round(self._clock.now() - member.heard_at, 3),
            gone=member.gone,
        )

    def _record_self(self, item):
        """Refute a record that presumes this incarnation dead."""
        if item.incarnation < self._vm.incarnation:
            return False
        if MemberState(item.state) is not MemberState.DEAD:
            return False
        self._vm.journal.write(Event.ACCUSED, by="view")
        self.start_new_incarnation()
        return True

    def _add_self(self, state):
        now = self._clock.now()
        name, settings = self._vm.name, self._vm.settings
        self._members[name] = Member(
            name, settings.address, self._vm.incarnation, state, now, now, now
        )
        self._changed()

    def _to_record(self, member):
        return MemberRecord(
            member.vm,
            member.host,
            self._vm.settings.failure_domain,
            member.incarnation,
            member.state.value,
        )

    def _changed(self):
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
        self._ring = sorted(names, key=lambda name: weight("ring", name))


_EVENTS = {
    MemberState.LIVE: Event.MEMBER_JOINED,
    MemberState.LEAVING: Event.MEMBER_LEAVING,
    MemberState.DEAD: Event.MEMBER_DEAD,
}
