"""Heartbeats to the monitors of this VM, and failure detection of monitored VMs."""

from curio import sleep, spawn

from heathercleat.connection.messages import Heartbeat, HeartbeatAck
from heathercleat.errors import PeerError
from heathercleat.events import Event
from heathercleat.process.membership.member import DEAD_AFTER_SECONDS, MemberState

HEARTBEAT_INTERVAL_SECONDS = 0.25
#: Seconds between probes of a VM that closed its connection, and number of probes.
PROBE_INTERVAL_SECONDS = 0.3
MAX_PROBES = 4


class Heartbeats:
    """Sends heartbeats and detects failed VMs.

    :param vm: the :class:`EntryVM` of this process.
    :param membership: the :class:`Membership` to update.
    :param links: the :class:`PeerLinks` to other VMs.
    """

    def __init__(self, vm, membership, links, clock):
        self._vm = vm
        self._membership = membership
        self._links = links
        self._clock = clock
        self._sequence = 0
        self._tasks = {}

    async def run(self):
        """Send heartbeats and detect failures of monitored VMs, forever."""
        while True:
            self._membership.record_tick()
            await self._start_tasks()
            await self.detect_failures()
            await sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def send(self, name, host):
        """Send one heartbeat to a monitor and process its acknowledgement.

        :raises PeerError: if the monitor does not respond.
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
        member.silent_since = self._clock.now()
        if ack.digest != membership.digest:
            await membership.exchange_views(host)
        await self._vm.fetch_if_newer(host, ack.version, ack.vm_serial)

    async def record_exit(self, member):
        """Record that the process of a VM has exited."""
        member.has_exited = True
        if member.state is not MemberState.DEAD:
            self._membership.declare_dead(member)
            await self._membership.announce()

    async def detect_failures(self):
        """Declare monitored VMs dead whose heartbeats have timed out."""
        if not self._membership.is_settled:
            return
        now = self._clock.now()
        self._membership.remove_long_dead()
        for member in self._membership.monitored():
            if now - member.heartbeat_silent_since <= DEAD_AFTER_SECONDS:
                continue
            if self._has_recent_ack(member, now):
                continue
            self._membership.declare_dead(member)
            await spawn(self._membership.announce, daemon=True)

    async def start_probing(self, name):
        """Start probes of a monitored VM that closed its connection.

        If its host refuses connections, the process has exited, and the VM is declared
        dead before its heartbeats time out.
        """
        for member in self._membership.monitored():
            if member.vm == name:
                await spawn(self._probe_member, member, daemon=True)

    async def _start_tasks(self):
        """Start a heartbeat task for each new monitor and cancel those of others."""
        hosts = {member.host: member.vm for member in self._membership.monitors()}
        for host in [host for host in self._tasks if host not in hosts]:
            await self._tasks.pop(host).cancel(blocking=False)
        for host, name in hosts.items():
            if host not in self._tasks:
                self._tasks[host] = await spawn(
                    self._send_heartbeats, name, host, daemon=True
                )

    async def _send_heartbeats(self, name, host):
        while True:
            try:
                await self.send(name, host)
            except PeerError:
                pass
            await sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def _probe_member(self, probed):
        for _ in range(MAX_PROBES):
            await sleep(PROBE_INTERVAL_SECONDS)
            if await self._membership.exchange_views(probed.host):
                return
            member = self._membership.members.get(probed.vm)
            if member is None or member.incarnation != probed.incarnation:
                return
            if self._links.link_to(member.host).is_refused:
                await self.record_exit(member)
                return

    def _has_recent_ack(self, member, now):
        # A monitored VM may also be a monitor of this VM. If so, a recent
        # acknowledgement shows that it is alive.
        return member.acked_at > now - HEARTBEAT_INTERVAL_SECONDS
