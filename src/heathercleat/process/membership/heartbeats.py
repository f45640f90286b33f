"""Heartbeats to the monitors of this VM, and judgement of those that it monitors."""

from curio import sleep, spawn

from heathercleat.connection.messages import Heartbeat, HeartbeatAck
from heathercleat.errors import PeerError
from heathercleat.events import Event
from heathercleat.process.membership.member import DEAD_AFTER, MemberState

HEARTBEAT_INTERVAL = 0.25
#: Seconds between looks at a VM that closed its connection, and how many there are.
LOOK_INTERVAL = 0.3
LOOKS = 4


class Heartbeats:
    """Keeps the membership of this VM up to date.

    :param vm: the identity of this VM (incarnation, versions, journal).
    :param membership: the view that is kept.
    :param links: calls to peers.
    :param clock: source of instants.
    """

    def __init__(self, vm, membership, links, clock):
        self._vm = vm
        self._membership = membership
        self._links = links
        self._clock = clock
        self._sequence = 0
        self._tasks = {}

    async def run(self):
        """Send heartbeats and judge the VMs that this one monitors."""
        while True:
            self._membership.record_tick()
            await self._start_tasks()
            await self.detect_failures()
            await sleep(HEARTBEAT_INTERVAL)

    async def send(self, name, host):
        """Send one heartbeat to a monitor and take its answer.

        :raises PeerError: when it does not answer.
        """
        membership = self._membership
        self._sequence += 1
        sent_at = self._clock.now()
        heartbeat = Heartbeat(
            self._vm.name,
            self._vm.incarnation,
            self._sequence,
            membership.digest,
            self._vm.version,
            self._vm.vm_serial,
        )
        ack = await self._links.call(host, heartbeat)
        member = self._membership.members.get(name)
        if not isinstance(ack, HeartbeatAck) or member is None:
            return
        if ack.accused and heartbeat.incarnation == self._vm.incarnation:
            self._vm.journal.write(Event.ACCUSED, by=name)
            membership.start_new_incarnation()
            await spawn(membership.announce, daemon=True)
            return
        member.acked_at = max(member.acked_at, sent_at)
        member.silent_from = self._clock.now()
        if ack.digest != membership.digest:
            await membership.exchange_views(host)
        await self._vm.fetch_if_newer(host, ack.version, ack.vm_serial)

    async def end(self, member):
        """Note that the process of a VM has ended."""
        member.gone = True
        if member.state is not MemberState.DEAD:
            self._membership.declare_dead(member)
            await self._membership.announce()

    async def detect_failures(self):
        """Declare the VMs dead that this one monitors and has not heard."""
        if not self._membership.settled:
            return
        now = self._clock.now()
        self._membership.forget_old()
        for member in self._membership.monitored():
            if now - member.heard_at <= DEAD_AFTER:
                continue
            if self._heard_otherwise(member, now):
                continue
            self._membership.declare_dead(member)
            await spawn(self._membership.announce, daemon=True)

    async def suspect(self, name):
        """Look soon whether a VM that closed its connection has ended.

        A host that refuses connections has no such process any more: there is no need
        to wait for its silence. Only its monitors look.
        """
        for member in self._membership.monitored():
            if member.vm == name:
                await spawn(self._look_for_end, member, daemon=True)

    async def _start_tasks(self):
        """Keep one task running for each monitor of this VM."""
        hosts = {member.host: member.vm for member in self._membership.monitors()}
        for host in [host for host in self._tasks if host not in hosts]:
            await self._tasks.pop(host).cancel(blocking=False)
        for host, name in hosts.items():
            if host not in self._tasks:
                self._tasks[host] = await spawn(self._beat, name, host, daemon=True)

    async def _beat(self, name, host):
        while True:
            try:
                await self.send(name, host)
            except PeerError:
                pass
            await sleep(HEARTBEAT_INTERVAL)

    async def _look_for_end(self, suspected):
        for _ in range(LOOKS):
            await sleep(LOOK_INTERVAL)
            if await self._membership.exchange_views(suspected.host):
                return
            member = self._membership.members.get(suspected.vm)
            if member is None or member.incarnation != suspected.incarnation:
                return
            if self._links.to(member.host).refused:
                await self.end(member)
                return

    def _heard_otherwise(self, member, now):
        # With few VMs a monitor is also monitored: an acknowledgement is a sign of
        # life, but only heartbeats count for a VM that we never asked.
        return member.acked_at > now - HEARTBEAT_INTERVAL
