"""The daemon of one entry VM: its parts, its listeners and its graceful shutdown."""

import signal
from secrets import token_hex

from curio import TaskGroup, sleep, spawn

from heathercleat.connection.pool import ConnectionPool
from heathercleat.events import Event
from heathercleat.process.at_most_once.claims import Claims
from heathercleat.process.at_most_once.deduplication import DeduplicationTable
from heathercleat.process.at_most_once.sweeper import ClaimSweeper
from heathercleat.process.capacity.admission import Admission
from heathercleat.process.capacity.candidates import CandidateCache
from heathercleat.process.capacity.health import HealthTracker
from heathercleat.process.capacity.homes import HomeManager
from heathercleat.process.capacity.leases import LeaseGranter, LeaseHolder
from heathercleat.process.capacity.occupancy import OccupancyPublisher, OccupancyRecords
from heathercleat.process.capacity.readiness import ReadinessTracker
from heathercleat.process.capacity.retry_budget import RetryBudget
from heathercleat.process.capacity.slots import SlotLedger
from heathercleat.process.clock import SystemClock
from heathercleat.process.configuration.editing import Editor
from heathercleat.process.configuration.manager import ConfigurationManager
from heathercleat.process.configuration.platform import HttpPlatform, VmEntry
from heathercleat.process.fence import Fence
from heathercleat.process.listeners import Listeners
from heathercleat.process.logs import Journal
from heathercleat.process.membership.directory import Directory
from heathercleat.process.membership.heartbeats import Heartbeats
from heathercleat.process.membership.member import MemberState
from heathercleat.process.membership.membership import Membership
from heathercleat.process.membership.peer_links import PeerLinks
from heathercleat.process.membership.peer_tokens import PeerTokens
from heathercleat.process.metrics import Metrics
from heathercleat.process.observer import CallObserver
from heathercleat.process.settings import load_settings
from heathercleat.process.stalls import Stalls
from heathercleat.process.supervision import run_supervised
from heathercleat.version.client_blocks import build_client_blocks

#: Seconds added to the life of look-ups before a leaving VM stops listening.
LEAVE_MARGIN = 1.0
#: Seconds between two looks for a reason to leave, and at what is under way then.
CHECK_INTERVAL = 0.2
MILLISECONDS = 1000


class EntryVM:
    """One entry VM.

    :param settings: its :class:`Settings`.
    :param platform: a platform client, or ``None`` for the one of the settings.
    :param log_writer: the writer whose dropped lines are counted, or ``None``.
    """

    def __init__(self, settings, platform=None, log_writer=None, clock=None):
        self._settings = settings
        self._log_writer = log_writer
        self._clock = clock or SystemClock()
        self._birth = token_hex(8)
        self._incarnation = int(self._clock.wall() * MILLISECONDS)
        self._journal = Journal(settings.vm, settings.failure_domain)
        self._blocks = build_client_blocks({}, [])
        self._budgets = {}
        self._peer_bytes = 0
        self._leave_requested = False
        self._left_at = self._clock.now()
        self._fence = Fence(settings.fenced)
        self._platform = platform or self._connect_platform()
        # Claims wait for nobody else's calls: they have a connection of their own.
        self._claims_platform = platform or self._connect_platform()
        self._build()

    def _connect_platform(self):
        return HttpPlatform(
            self._settings.platform_host,
            self._settings.platform_port,
            self._clock,
            self._settings.platform_timeout,
            self._get_fence,
        )

    def _build(self):
        clock = self._clock
        self.links = PeerLinks(self, clock)
        self.directory = Directory()
        self.ledger = SlotLedger(clock)
        self.once = DeduplicationTable(clock)
        self.pool = ConnectionPool(clock, self._settings.address, self._get_fence)
        self.membership = Membership(self, self.links, clock)
        self.heartbeats = Heartbeats(self, self.membership, self.links, clock)
        self.configuration = ConfigurationManager(
            self, self._platform, self.links, self.membership, self.directory, clock
        )
        self.health = HealthTracker(self, self.ledger, clock)
        self.occupancy_records = OccupancyRecords(self.membership, clock)
        self.covers = OccupancyPublisher(self, self.membership, self.links, clock)
        self.homes = HomeManager(
            self,
            self.membership,
            self.ledger,
            self.links,
            self.occupancy_records,
            self.covers,
            clock,
        )
        self.lease_holder = LeaseHolder(self, self.links, self.directory, clock)
        self.stalls = Stalls(clock)
        self.admission = Admission(
            self,
            self.ledger,
            self.lease_holder,
            self.membership,
            self.health,
            self.stalls,
            clock,
        )
        self.readiness = ReadinessTracker(
            self, self.ledger, self.membership, self.links, clock
        )
        self.lease_granter = LeaseGranter(
            self,
            self.ledger,
            self.membership,
            self.admission.waiting,
            self.health,
            clock,
        )
        self.claims = Claims(self._claims_platform, self._birth)
        self.sweeper = ClaimSweeper(self, self._platform, clock)
        self.editor = Editor(self._claims_platform, clock)
        self.candidates = CandidateCache(self, clock)
        self.metrics = Metrics(self)
        self.observer = CallObserver(self)
        self.tokens = PeerTokens(self.name, lambda: self._settings.keys, clock)
        self._listeners = Listeners(self)
        self.membership.on_presumed_dead(self.homes.drop_all)
        self.membership.on_pause(self.occupancy_records.clear)
        self.admission.on_handed_over(self.homes.report_released)

    @property
    def settings(self):
        """Return the :class:`Settings` in force."""
        return self._settings

    @property
    def name(self):
        """Return the name of this VM."""
        return self._settings.vm

    @property
    def clock(self):
        """Return the clock."""
        return self._clock

    @property
    def journal(self):
        """Return the :class:`Journal`."""
        return self._journal

    @property
    def birth(self):
        """Return the name of this process, as in its tickets."""
        return self._birth

    @property
    def incarnation(self):
        """Return the incarnation of this VM, as its peers know it."""
        return self._incarnation

    @property
    def version(self):
        """Return the version of the text in force here."""
        return self.configuration.version

    @property
    def vm_serial(self):
        """Return the serial number of the VM list known here."""
        return self.directory.serial

    @property
    def text(self):
        """Return the :class:`Text` in force here, or ``None``."""
        return self.configuration.text

    @property
    def blocks(self):
        """Return the :class:`ClientBlockTable` in force here."""
        return self._blocks

    @property
    def fence(self):
        """Return the :class:`Fence` in force."""
        return self._fence

    @property
    def leaving(self):
        """Return whether this VM takes no new callers."""
        return self.membership.leaving

    @property
    def claims_wanted(self):
        """Return whether new tickets need a claim: only while the platform answers."""
        return self.configuration.platform_answers

    @property
    def control_bytes(self):
        """Return the bytes of control traffic with other VMs."""
        return self.links.bytes + self._peer_bytes

    @property
    def dropped_log_lines(self):
        """Return the log lines dropped because their reader fell behind."""
        return self._log_writer.dropped if self._log_writer else 0

    def _get_fence(self):
        return self._fence

    def renew_incarnation(self):
        """Take a new incarnation after a pause or an accusation."""
        wall = int(self._clock.wall() * MILLISECONDS)
        self._incarnation = max(self._incarnation + 1, wall)

    async def fetch_if_newer(self, host, version, vm_serial):
        """Learn from a peer that a newer version or VM list exists."""
        await self.configuration.fetch_if_newer(host, version, vm_serial)

    def budget(self, service):
        """Return the :class:`RetryBudget` of a service."""
        return self._budgets.setdefault(service, RetryBudget())

    def configuration_changed(self, text):
        """Take a new version of the text."""
        self._blocks = build_client_blocks(text.client_blocks, text.failure_domains)
        self.health.check(self._clock.now())

    def count_peer_bytes(self, count):
        """Add the bytes of a closed connection to the control traffic."""
        self._peer_bytes += count

    def entry_vms(self, domain):
        """Return the entry VMs of a failure domain that take callers."""
        now = self._clock.wall()
        return [
            entry
            for entry in self._known_vms(domain)
            if not self.text.find_vm_drain(entry.name, domain, now)
        ]

    def local_homes(self, service):
        """Return the likely homes of a service's targets in this failure domain."""
        domain = self._settings.failure_domain
        entries = {entry.name: entry for entry in self._known_vms(domain)}
        homes = {
            entry.name: entry
            for entry in self.directory.homes_in(domain, self.text.placement, service)
        }
        return [
            entry for name, entry in {**homes, **entries}.items() if name in entries
        ]

    async def record_outcome(self, ticket, key, outcome):
        """Keep an outcome in the table without keeping the caller waiting."""
        await spawn(self.claims.record, ticket, key, outcome, daemon=True)

    def request_leave(self):
        """Begin a graceful shutdown."""
        self._leave_requested = True

    async def serve(self):
        """Run until a graceful shutdown has ended."""
        self._journal.write(
            Event.VM_STARTED, incarnation=self._incarnation, birth=self._birth
        )
        signal.signal(signal.SIGTERM, lambda *_: self.request_leave())
        signal.signal(signal.SIGINT, lambda *_: self.request_leave())
        signal.signal(signal.SIGHUP, lambda *_: self._reload())
        self._listeners.listen()
        async with TaskGroup(wait=any) as group:
            await group.spawn(self._shut_down)
            await group.spawn(self._listeners.run)
            for run in self._loops():
                await group.spawn(run_supervised, run, self._journal, CHECK_INTERVAL)
        await self.links.close()
        await self.pool.close()
        seconds = round(self._clock.now() - self._left_at, 3)
        self._journal.write(Event.VM_STOPPED, seconds=seconds)

    def _loops(self):
        return (
            self.stalls.run,
            self.heartbeats.run,
            self.configuration.run,
            self.homes.run,
            self.readiness.run,
            self.lease_holder.run,
            self.admission.run,
            self.health.run,
            self.claims.run,
            self.sweeper.run,
        )

    def _reload(self):
        path = self._settings.path
        if path is None:
            return
        try:
            settings = load_settings(path)
        except Exception as error:  # noqa: BLE001
            self._journal.write(
                Event.TASK_FAILED, task="reload settings", reason=repr(error)
            )
            return
        self._settings.keys = settings.keys
        self._fence = Fence(settings.fenced)
        self.tokens.forget()
        self._journal.write(Event.SETTINGS_RELOADED, keys=len(self._settings.keys))

    async def _shut_down(self):
        """Wait for a reason to leave, then leave without cutting any request."""
        while not self._leave_requested:
            await self._follow_own_drain()
            await sleep(CHECK_INTERVAL)
        self._left_at = self._clock.now()
        self._journal.write(
            Event.VM_LEAVING,
            connections=self._listeners.connections,
            targets=len(self.ledger.targets),
        )
        await self.membership.leave()
        # Callers may use a look-up made before this until it expires.
        await sleep(self._settings.lookup_ttl + LEAVE_MARGIN)
        # What came later could be cut by the end of the process.
        await self._listeners.close_to_callers()
        while self._listeners.is_busy:
            await sleep(CHECK_INTERVAL)

    async def _follow_own_drain(self):
        """Leave the domain's work while a planned drain of this VM is in force."""
        if self.text is None:
            return
        drain = self.text.find_vm_drain(self.name, None, self._clock.wall())
        if drain is not None and not self.leaving:
            self._journal.write(Event.VM_LEAVING, drain=drain.id)
            await self.membership.leave()
        elif drain is None and self.leaving:
            await self.membership.rejoin()

    def _known_vms(self, domain):
        """Return the VMs of a domain that are live as far as this VM knows."""
        if domain != self._settings.failure_domain:
            return self.directory.staying_in(domain)
        return [
            VmEntry(member.vm, member.host, domain, False)
            for member in self.membership.members.values()
            if member.state is MemberState.LIVE
        ]
