"""The daemon of one entry VM: its components, reloads and graceful shutdown."""

import signal
from secrets import token_hex

from curio import TaskGroup, sleep, spawn

from heathercleat.connection.pool import ConnectionPool
from heathercleat.events import Event
from heathercleat.process.at_most_once.claims import ClaimTable
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

#: Seconds after the expiry of the last look-up until a leaving VM stops listening.
LEAVE_MARGIN_SECONDS = 1.0
#: Seconds between two checks for a drain of this VM, or for the end of its requests.
CHECK_INTERVAL_SECONDS = 0.2
MILLISECONDS_PER_SECOND = 1000


class EntryVM:
    """The process that accepts callers' requests and sends them to targets.

    :param settings: its :class:`Settings`.
    :param platform: a platform client, or ``None`` to create one from the settings.
    :param log_writer: the :class:`LogWriter` whose dropped lines are reported, or
        ``None``.
    :param clock: the clock; that of the system by default.
    """

    def __init__(self, settings, platform=None, log_writer=None, clock=None):
        self._settings = settings
        self._log_writer = log_writer
        self._clock = clock or SystemClock()
        self._instance_id = token_hex(8)
        self._incarnation = int(self._clock.wall() * MILLISECONDS_PER_SECOND)
        self._journal = Journal(settings.vm, settings.failure_domain)
        self._client_blocks = build_client_blocks({}, [])
        self._retry_budgets = {}
        self._peer_bytes = 0
        self._is_shutdown_requested = False
        self._shutdown_began_at = self._clock.now()
        self._fence = Fence(settings.fenced)
        self._platform = platform or self._connect_platform()
        # Claims and edits use a separate connection, so that other calls don't delay
        # them.
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
        self.vm_directory = Directory()
        self.ledger = SlotLedger(clock)
        self.deduplication = DeduplicationTable(clock)
        self.pool = ConnectionPool(clock, self._settings.address, self._get_fence)
        self.membership = Membership(self, self.links, clock)
        self.heartbeats = Heartbeats(self, self.membership, self.links, clock)
        self.configuration = ConfigurationManager(
            self, self._platform, self.links, self.membership, self.vm_directory, clock
        )
        self.health = HealthTracker(self, self.ledger, clock)
        self.occupancy_records = OccupancyRecords(self.membership, clock)
        self.occupancy_publisher = OccupancyPublisher(
            self, self.membership, self.links, clock
        )
        self.homes = HomeManager(
            self,
            self.membership,
            self.ledger,
            self.links,
            self.occupancy_records,
            self.occupancy_publisher,
            clock,
        )
        self.lease_holder = LeaseHolder(self, self.links, self.vm_directory, clock)
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
            self.admission.waiting_count,
            self.health,
            clock,
        )
        self.claim_table = ClaimTable(self._claims_platform, self._instance_id)
        self.sweeper = ClaimSweeper(self, self._platform, clock)
        self.editor = Editor(self._claims_platform, clock)
        self.lookup_candidates = CandidateCache(self, clock)
        self.metrics = Metrics(self)
        self.observer = CallObserver(self)
        self.tokens = PeerTokens(self.name, lambda: self._settings.keys, clock)
        self._listeners = Listeners(self)
        self.membership.on_new_incarnation(self.homes.drop_all)
        self.membership.on_pause(self.occupancy_records.clear)
        self.admission.on_released_after_handover(self.homes.report_released)

    @property
    def settings(self):
        """Return the current :class:`Settings`."""
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
    def instance_id(self):
        """Return the id of this process, which its tickets contain."""
        return self._instance_id

    @property
    def incarnation(self):
        """Return the incarnation of this VM in the membership."""
        return self._incarnation

    @property
    def version(self):
        """Return the version of the current configuration, or 0 if there is none."""
        return self.configuration.version

    @property
    def vm_serial(self):
        """Return the serial number of the VM list, or -1 if there is none."""
        return self.vm_directory.serial

    @property
    def text(self):
        """Return the current configuration as a :class:`Text`, or ``None``."""
        return self.configuration.text

    @property
    def client_blocks(self):
        """Return the current :class:`ClientBlockTable`."""
        return self._client_blocks

    @property
    def fence(self):
        """Return the networks to treat as unreachable, as a :class:`Fence`."""
        return self._fence

    @property
    def is_leaving(self):
        """Return whether this VM accepts no new callers."""
        return self.membership.is_leaving

    @property
    def requires_claims(self):
        """Return whether new tickets require claims.

        Claims are required only while the platform is available.
        """
        return self.configuration.is_platform_available

    @property
    def control_bytes(self):
        """Return the number of bytes sent to and received from other VMs."""
        return self.links.bytes + self._peer_bytes

    @property
    def dropped_log_lines(self):
        """Return the number of log lines dropped because the buffer was full."""
        return self._log_writer.dropped if self._log_writer else 0

    def _get_fence(self):
        """Return the current :class:`Fence`, which a reload of the settings replaces.

        It contains the addresses that this VM must not call, to simulate a network
        partition.
        """
        return self._fence

    def renew_incarnation(self):
        """Start a new incarnation, which is greater than the current one."""
        wall = int(self._clock.wall() * MILLISECONDS_PER_SECOND)
        self._incarnation = max(self._incarnation + 1, wall)

    async def fetch_if_newer(self, host, version, vm_serial):
        """Fetch the configuration and VM list of a peer if its versions are newer."""
        await self.configuration.fetch_if_newer(host, version, vm_serial)

    def retry_budget(self, service_name):
        """Return the :class:`RetryBudget` of a service, created on first use."""
        return self._retry_budgets.setdefault(service_name, RetryBudget())

    def apply_configuration(self, text):
        """Apply a new version of the configuration."""
        self._client_blocks = build_client_blocks(
            text.client_blocks, text.failure_domains
        )
        self.health.update_blocked(self._clock.now())

    def count_peer_bytes(self, count):
        """Add the bytes of a closed connection to :attr:`control_bytes`."""
        self._peer_bytes += count

    def entry_vms(self, domain):
        """Return the entry VMs of a failure domain that accept callers."""
        now = self._clock.wall()
        return [
            entry
            for entry in self._available_vms(domain)
            if not self.text.find_vm_drain(entry.name, domain, now)
        ]

    def local_homes(self, service):
        """Return the live VMs of this failure domain, likely homes of a service first.

        The homes are computed from the VM list, which may be out of date.
        """
        domain = self._settings.failure_domain
        drained = self.text.drained_vms(self._clock.wall())
        entries = {entry.name: entry for entry in self._available_vms(domain)}
        homes = {
            entry.name: entry
            for entry in self.vm_directory.assigned_homes(
                domain, self.text.placement, service, drained
            )
        }
        return [
            entry for name, entry in {**homes, **entries}.items() if name in entries
        ]

    async def record_outcome(self, ticket, key, outcome):
        """Store an outcome in the table in the background."""
        await spawn(self.claim_table.record, ticket, key, outcome, daemon=True)

    def request_shutdown(self):
        """Begin a graceful shutdown."""
        self._is_shutdown_requested = True

    async def serve(self):
        """Run the daemon until a graceful shutdown has finished."""
        self._journal.write(
            Event.VM_STARTED, incarnation=self._incarnation, birth=self._instance_id
        )
        signal.signal(signal.SIGTERM, lambda *_: self.request_shutdown())
        signal.signal(signal.SIGINT, lambda *_: self.request_shutdown())
        signal.signal(signal.SIGHUP, lambda *_: self._reload())
        self._listeners.listen()
        async with TaskGroup(wait=any) as group:
            await group.spawn(self._shut_down)
            await group.spawn(self._listeners.run)
            for run in self._loops():
                await group.spawn(
                    run_supervised, run, self._journal, CHECK_INTERVAL_SECONDS
                )
        await self.links.close()
        await self.pool.close()
        seconds = round(self._clock.now() - self._shutdown_began_at, 3)
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
            self.claim_table.run,
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
        self.tokens.invalidate()
        self._journal.write(Event.SETTINGS_RELOADED, keys=len(self._settings.keys))

    async def _shut_down(self):
        """Wait for a shutdown request, then finish the requests in progress."""
        while not self._is_shutdown_requested:
            await self._apply_own_drain()
            await sleep(CHECK_INTERVAL_SECONDS)
        self._shutdown_began_at = self._clock.now()
        self._journal.write(
            Event.VM_LEAVING,
            connections=self._listeners.connections,
            targets=len(self.ledger.targets),
        )
        await self.membership.leave()
        # Callers may use earlier look-ups until they expire.
        await sleep(self._settings.lookup_ttl + LEAVE_MARGIN_SECONDS)
        # Without this, the process could exit during a request that arrives later.
        await self._listeners.close_to_callers()
        while self._listeners.is_busy:
            await sleep(CHECK_INTERVAL_SECONDS)

    async def _apply_own_drain(self):
        """Leave when a drain of this VM begins, and rejoin when it ends."""
        if self.text is None:
            return
        drain = self.text.find_vm_drain(self.name, None, self._clock.wall())
        if drain is not None and not self.is_leaving:
            self._journal.write(Event.VM_LEAVING, drain=drain.id)
            await self.membership.leave()
        elif drain is None and self.is_leaving:
            await self.membership.rejoin()

    def _available_vms(self, domain):
        """Return the VMs of a domain except those recorded as leaving or dead."""
        if domain != self._settings.failure_domain:
            return self.vm_directory.available_in(domain)
        return [
            VmEntry(member.vm, member.host, domain, False)
            for member in self.membership.members.values()
            if member.state is MemberState.LIVE
        ]
