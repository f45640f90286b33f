"""Membership of a failure domain: who is alive, at which incarnation.

Every VM sends heartbeats to a few monitors, its successors on a hash ring, so the cost
does not grow with the number of VMs. A VM may act as a home only while its monitors
have acknowledged a heartbeat within ``LEASE``; a monitor presumes a VM dead only after
``DEAD_AFTER`` without a heartbeat, which is longer. A paused VM therefore finds its
right to act lapsed before anybody takes its place.
"""

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from curio import TaskGroup, sleep, spawn

from heathercleat.connection.messages import (
    Heartbeat,
    HeartbeatAck,
    MemberRecord,
    ViewExchange,
    fields_of,
)
from heathercleat.errors import PeerError
from heathercleat.events import Event
from heathercleat.version.hashing import weight

HEARTBEAT_INTERVAL = 0.25
#: Seconds for which an acknowledged heartbeat lets a VM act as a home.
LEASE = 1.0
#: Seconds of silence after which a monitor presumes a VM dead.
DEAD_AFTER = 1.5
#: Seconds of silence after which a monitor no longer has to acknowledge.
SILENT_AFTER = 3.0
#: A gap between two ticks that counts as a pause of this process.
PAUSE_GAP = 0.75
#: Seconds after a pause in which this VM only listens.
SETTLE = 0.5
#: Seconds for which the record of a dead VM is kept against late news of its life.
DEAD_KEPT = 3600.0
NEVER = float("-inf")
MONITORS = 3
#: Seconds between looks at a VM that closed its connection, and how many there are.
LOOK_INTERVAL = 0.3
LOOKS = 4


class MemberState(Enum):
    """The state of a VM as others see it."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


_RANK = {MemberState.LIVE: 0, MemberState.LEAVING: 1, MemberState.DEAD: 2}


@dataclass(slots=True)
class Member:
    """A VM of this failure domain.

    ``heard_at`` is when its last heartbeat came; ``acked_at`` is when the last
    heartbeat that it acknowledged was sent. ``beat_at`` is when its last heartbeat
    came, and ``died_at`` when it was found dead. All are instants of this process.
    ``heard_before`` is the incarnation before this one, if it was heard to its end.
    ``gone`` tells that its host refused connections, so that its process has ended and
    with it every request that it sent.
    """

    vm: str
    host: str
    incarnation: int
    state: MemberState
    heard_at: float
    acked_at: float
    silent_from: float
    beat_at: float = NEVER
    died_at: float = NEVER
    heard_before: int | None = None
    gone: bool = False

    @property
    def heard_to_the_end(self):
        """Return whether heartbeats came until a monitor would have noticed the end."""
        return self.died_at - self.beat_at <= DEAD_AFTER + LEASE

    @property
    def rank(self):
        """Return the order of records: a later incarnation or a worse state wins."""
        return self.incarnation, _RANK[self.state]


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
        self._sequence = 0
        self._digest = 0
        self._settled_at = clock.now() + SETTLE
        self._last_tick = clock.now()
        self._on_presumed_dead = None
        self._on_pause = None
        self._tasks = {}
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

    def may_act(self):
        """Return whether this VM may admit requests as the home of targets."""
        now = self._clock.now()
        if now < self._settled_at or now - self._last_tick > PAUSE_GAP:
            return False
        return all(
            member.acked_at + LEASE > now for member in self.answering_monitors()
        )

    def answering_monitors(self):
        """Return the monitors whose acknowledgement this VM needs."""
        now = self._clock.now()
        return [
            member for member in self._monitors() if not self._is_silent(member, now)
        ]

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

    def heard(self, heartbeat):
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

    async def suspect(self, name):
        """Look soon whether a VM that closed its connection has ended.

        A host that refuses connections has no such process any more: there is no need
        to wait for its silence. Only its monitors look.
        """
        if name in (member.vm for member in self._neighbours(-1)):
            await spawn(self._look_for_end, self._members[name], daemon=True)

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

    async def run(self):
        """Send heartbeats and judge the VMs that this one monitors."""
        while True:
            self._check_pause()
            await self._start_tasks()
            await self._judge()
            await sleep(HEARTBEAT_INTERVAL)

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

    def _monitors(self):
        return self._neighbours(+1)

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

    def _check_pause(self):
        now = self._clock.now()
        gap = now - self._last_tick
        self._last_tick = now
        if gap <= PAUSE_GAP:
            return
        # What was not heard during a pause says nothing about the others.
        self._settled_at = now + SETTLE
        for member in self._members.values():
            member.heard_at = member.silent_from = now
        self._vm.journal.write(Event.VM_PAUSED, gap=round(gap, 3))
        if self._on_pause is not None:
            self._on_pause()
        if gap > LEASE:
            self._presumed_dead()

    def _presumed_dead(self):
        self._vm.renew_incarnation()
        self._add_self(self._members[self._vm.name].state)
        if self._on_presumed_dead is not None:
            self._on_presumed_dead()

    async def _start_tasks(self):
        """Keep one task running for each monitor of this VM."""
        hosts = {member.host: member.vm for member in self._monitors()}
        for host in [host for host in self._tasks if host not in hosts]:
            await self._tasks.pop(host).cancel(blocking=False)
        for host, name in hosts.items():
            if host not in self._tasks:
                self._tasks[host] = await spawn(self._beat, name, host, daemon=True)

    async def _beat(self, name, host):
        while True:
            try:
                await self._send_heartbeat(name, host)
            except PeerError:
                pass
            await sleep(HEARTBEAT_INTERVAL)

    async def _send_heartbeat(self, name, host):
        self._sequence += 1
        sent_at = self._clock.now()
        heartbeat = Heartbeat(
            self._vm.name,
            self._vm.incarnation,
            self._sequence,
            self._digest,
            self._vm.version,
            self._vm.vm_serial,
        )
        ack = await self._links.call(host, heartbeat)
        member = self._members.get(name)
        if not isinstance(ack, HeartbeatAck) or member is None:
            return
        if ack.accused and heartbeat.incarnation == self._vm.incarnation:
            self._vm.journal.write(Event.ACCUSED, by=name)
            self._presumed_dead()
            await spawn(self.announce, daemon=True)
            return
        member.acked_at = max(member.acked_at, sent_at)
        member.silent_from = self._clock.now()
        if ack.digest != self._digest:
            await self.exchange_views(host)
        await self._vm.hint(host, ack.version, ack.vm_serial)

    async def _look_for_end(self, suspected):
        for _ in range(LOOKS):
            await sleep(LOOK_INTERVAL)
            if await self.exchange_views(suspected.host):
                return
            member = self._members.get(suspected.vm)
            if member is None or member.incarnation != suspected.incarnation:
                return
            if self._links.to(member.host).refused:
                await self._end(member)
                return

    async def _end(self, member):
        """Note that the process of a VM has ended."""
        member.gone = True
        if member.state is not MemberState.DEAD:
            self._declare_dead(member)
            await self.announce()

    async def _judge(self):
        now = self._clock.now()
        if now < self._settled_at:
            return
        self._forget(now)
        for member in self._neighbours(-1):
            if now - member.heard_at <= DEAD_AFTER:
                continue
            if self._heard_otherwise(member, now):
                continue
            self._declare_dead(member)
            await spawn(self.announce, daemon=True)

    def _forget(self, now):
        old = [
            name
            for name, member in self._members.items()
            if member.state is MemberState.DEAD and now - member.heard_at > DEAD_KEPT
        ]
        for name in old:
            del self._members[name]

    def _heard_otherwise(self, member, now):
        # With few VMs a monitor is also monitored: an acknowledgement is a sign of
        # life, but only heartbeats count for a VM that we never asked.
        return member.acked_at > now - HEARTBEAT_INTERVAL

    def _declare_dead(self, member):
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
        self._presumed_dead()
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
