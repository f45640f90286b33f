"""The steering process of a VM: wiring, main loops and shutdown."""

from signal import SIGHUP, SIGINT, SIGTERM
from time import time_ns

from curio import TaskGroup, sleep, spawn

from heathercleat.connection.pool import ConnectionPool
from heathercleat.connection.socket_options import (
    enable_keepalive,
    limit_buffers_with_keepalive,
)
from heathercleat.errors import FindingsError, HeathercleatError
from heathercleat.events import Event
from heathercleat.platform.settings import load_node_settings
from heathercleat.process.clock import SystemClock
from heathercleat.process.fence import Fence
from heathercleat.process.logs import Journal
from heathercleat.process.signals import SignalWatch
from heathercleat.process.supervision import run_supervised
from heathercleat.steering.process.active_requests import ActiveRequests
from heathercleat.steering.process.body_memory import BodyMemory, ResponseBuffers
from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.ejection_limit import EjectionLimit
from heathercleat.steering.process.capacity.held_slots import HeldSlots
from heathercleat.steering.process.capacity.loss_rates import LossRates
from heathercleat.steering.process.capacity.notices import Notices
from heathercleat.steering.process.capacity.owners import Owners
from heathercleat.steering.process.capacity.reachability import TargetReachability
from heathercleat.steering.process.capacity.region_loss_rates import RegionLossRates
from heathercleat.steering.process.capacity.region_shift import RegionShiftLimit
from heathercleat.steering.process.capacity.regional_demand import RegionalDemand
from heathercleat.steering.process.capacity.registry import TargetRegistry
from heathercleat.steering.process.capacity.response_times import ResponseTimes
from heathercleat.steering.process.capacity.retry_budget import RetryBudgets
from heathercleat.steering.process.capacity.run_times import RunTimes
from heathercleat.steering.process.capacity.slots import SlotLedger
from heathercleat.steering.process.capacity.speed_log import SpeedLog
from heathercleat.steering.process.capacity.speed_reports import SpeedReports
from heathercleat.steering.process.capacity.view import TargetView
from heathercleat.steering.process.capacity.workspace_shares import WorkspaceShares
from heathercleat.steering.process.configuration_freshness import (
    BehindMonitor,
    ConfigurationFreshness,
    FreshnessMonitor,
)
from heathercleat.steering.process.directory import Directory
from heathercleat.steering.process.handover import QUIET_SECONDS, Handover
from heathercleat.steering.process.listeners import Listeners
from heathercleat.steering.process.membership.extensions import Extensions
from heathercleat.steering.process.membership.gossip import Gossip
from heathercleat.steering.process.membership.heartbeat_composer import (
    HeartbeatComposer,
)
from heathercleat.steering.process.membership.member import Stage
from heathercleat.steering.process.membership.members import Members
from heathercleat.steering.process.membership.report_pieces import ReportPieces
from heathercleat.steering.process.membership.workspace_reports import (
    WorkspaceReports,
)
from heathercleat.steering.process.memory.build import memory_gauges, new_budget
from heathercleat.steering.process.memory.target_bodies import TargetBodies
from heathercleat.steering.process.metrics import SteeringMetrics
from heathercleat.steering.process.quarantine.suspects import Suspects
from heathercleat.steering.process.quarantine.table import QuarantineTable
from heathercleat.steering.process.quota.exchange import UsageExchange
from heathercleat.steering.process.quota.levels import Levels
from heathercleat.steering.process.quota.quota import Quota
from heathercleat.steering.process.quota.usage import Usage
from heathercleat.steering.process.rejected_items import RejectedItemLog
from heathercleat.steering.process.request_log import RequestLog
from heathercleat.steering.process.retry_detector import RetryDetector
from heathercleat.steering.process.shutdown import Shutdown
from heathercleat.steering.process.store.tables import Tables
from heathercleat.steering.process.store.versions import era_of, number_of
from heathercleat.steering.process.warm_connections import WarmConnections
from heathercleat.steering.request.authentication import Authenticator
from heathercleat.steering.request.crash_limits import CrashLimits
from heathercleat.steering.request.destinations import DestinationSelector
from heathercleat.steering.request.dispatch import Dispatcher
from heathercleat.steering.request.estimates import Estimates
from heathercleat.steering.request.forward import ForwardDispatcher
from heathercleat.steering.request.local import LocalDispatcher
from heathercleat.steering.request.object_overflow import ObjectOverflow
from heathercleat.steering.request.refusals import Refusals
from heathercleat.steering.request.steer import Steering
from heathercleat.steering.version.routing import Limits
from heathercleat.steering.version.split import Splitter

#: Limits on clients until the first configuration is loaded.
INITIAL_LIMITS = Limits(16 << 10, 64 << 20, 3.0, 15.0)
#: Idle timeout of connections to targets and other VMs, in seconds.
IDLE_TIMEOUT_SECONDS = 8.0
#: Seconds between checks for freed slots and expired targets.
MAINTENANCE_SECONDS = 0.05
#: Seconds between checks that may be less frequent: for slow targets, expired suspects
#: and idle connections.
INFREQUENT_CHECK_SECONDS = 0.5
#: Used instead of ``MAINTENANCE_SECONDS`` while this VM owns no targets and none is
#: missing; see :class:`TargetRegistry`.
IDLE_MAINTENANCE_SECONDS = 0.25
#: Seconds between two log lines with request counts.
SUMMARY_SECONDS = 5.0
#: Seconds before a failed loop is restarted.
RESTART_DELAY_SECONDS = 0.05
#: Seconds between checks whether all requests are done during a shutdown.
SHUTDOWN_CHECK_SECONDS = 0.05


class SteeringNode:
    """The steering process of one VM.

    :param settings: the :class:`NodeSettings`.
    :param metrics_port: port of the metrics page, or ``None``.
    :param log_writer: the :class:`LogWriter`, for its count of dropped lines, or
        ``None``.
    :param clock: a :class:`Clock`; the system clock by default.
    """

    def __init__(self, settings, metrics_port=None, log_writer=None, clock=None):
        self._settings = settings
        self._metrics_port = metrics_port
        self._log_writer = log_writer
        self.clock = clock or SystemClock()
        self._journal = Journal(settings.vm, settings.failure_domain)
        self._routing_table = None
        self._splitters = {}
        self.retry_detector = RetryDetector()
        self.active_requests = ActiveRequests()
        self._target_bodies = None
        self._response_buffers = None
        self.body_memory = self._new_body_memory()
        # Each step uses the objects of earlier steps.
        self._build_state()
        self._build_store()
        self._build_gossip()
        self._build_steering()
        self._build_listeners()

    def _build_state(self):
        """Build the objects that hold the state of VMs, targets and requests."""
        settings, journal, clock = self._settings, self._journal, self.clock
        # Wall-clock time, used only to tell incarnations of this VM apart.
        incarnation = time_ns()
        self._registry = TargetRegistry(journal, clock)
        self._members = Members(settings, journal, clock, incarnation)
        self._owners = Owners(self._registry, self._members)
        self._capacity_reports = CapacityReports(clock)
        self._held_slots = HeldSlots(self._members, self._capacity_reports, clock)
        self._notices = Notices(self._registry, self._members.region_of, journal, clock)
        self._ledger = SlotLedger(
            self._owners,
            self._registry,
            self._service,
            settings.bounds,
            self._held_slots,
            self._notices,
            journal,
            clock,
        )
        self._handover = Handover(self._members, self._owners, self._is_time_short)
        self._shares = None
        if settings.is_contended:
            self._shares = WorkspaceShares(
                self._members, self._ledger, lambda: self._routing_table, journal, clock
            )
        self._admission = Admission(
            self._ledger, self._members.region_of, clock, self._shares
        )
        self._response_times = ResponseTimes()
        self.shutdown = Shutdown(RunTimes(clock), lambda: bool(self._members.serving()))
        self._loss_rates = LossRates()
        self._suspects = Suspects(journal, clock)
        self._crash_limits = CrashLimits(self._suspects, clock)
        self._shift = RegionShiftLimit(settings.bounds.shift_share, clock)
        self._view = TargetView(
            self._members,
            self._registry,
            self._owners,
            self._ledger,
            self._capacity_reports,
        )
        self._regional_demand = RegionalDemand(
            self._members, self._view, settings, journal, clock
        )

    def _build_store(self):
        """Build the followers and writers of the store's tables."""
        settings, journal, clock = self._settings, self._journal, self.clock
        self._peer_pool = self._new_pool()
        self._freshness = ConfigurationFreshness(lambda: self._configuration_version)
        self._freshness_monitor = FreshnessMonitor(
            self._freshness, settings.bounds, journal, clock
        )
        self._behind_monitor = BehindMonitor(
            self._freshness, lambda: self._configuration_version, journal, clock
        )
        self.refusals = Refusals(self._freshness)
        self._authenticator = Authenticator(
            self._freshness, settings.bounds, self.refusals
        )
        self._tables = Tables(
            settings,
            self._registry,
            self._members,
            self._peer_pool,
            lambda: self._routing_table,
            self._apply_configuration,
            self._freshness,
            journal,
            clock,
        )
        self._quarantines = QuarantineTable(
            self._suspects,
            self._tables.new_store(),
            self._tables.new_store(),
            self._tables.is_reader,
            settings.vm,
            journal,
            clock,
        )
        self._suspects.on_quarantine(self._quarantines.enqueue)

    def _build_gossip(self):
        """Build the exchange of heartbeats between VMs."""
        settings, journal, clock = self._settings, self._journal, self.clock
        levels = Levels(self._workspace, settings.bounds, clock)
        usage = Usage(levels, settings.bounds, clock)
        usage_exchange = UsageExchange(
            self._members, usage, levels, settings.bounds, clock
        )
        self.quota = Quota(usage, levels, usage_exchange, settings.vm, clock)
        composer = HeartbeatComposer(
            self._members,
            self._tables,
            self._ledger,
            self._admission,
            self._loss_rates,
            self._suspects,
            lambda: self._routing_table.services if self._routing_table else (),
            clock,
        )
        self._speed_reports = SpeedReports(
            self._ledger, self._capacity_reports, self._registry, clock
        )
        failures = RejectedItemLog(journal, clock, Event.REPORT_NOT_SENT)
        report_pieces = ReportPieces(self._capacity_reports, self._held_slots, failures)
        self._gossip = Gossip(
            settings,
            self._members,
            self._capacity_reports,
            self._held_slots,
            self._ledger.new_owners,
            self._ledger.pop_new_owners,
            self._suspects,
            WorkspaceReports(
                self._freshness, lambda: self._configuration_version, usage_exchange
            ),
            self._notices,
            Extensions(
                [report_pieces, *self._heartbeat_extensions()], failures, journal
            ),
            report_pieces,
            failures,
            composer.compose,
            self._tables.fetch_if_behind,
            journal,
            clock,
        )

    def _heartbeat_extensions(self):
        """Return the parts that report in heartbeats."""
        extensions = [self._speed_reports, self._regional_demand]
        return extensions if self._shares is None else [*extensions, self._shares]

    def _build_steering(self):
        """Build target selection and request attempts."""
        settings, journal, clock = self._settings, self._journal, self.clock
        self._target_pool = self._new_pool()
        self._reachability = TargetReachability(
            self._registry, self._members, self._target_pool, journal, clock
        )
        self._local = LocalDispatcher(
            self._admission,
            self._ledger,
            self._registry,
            self._target_pool,
            self._response_times,
            self.shutdown,
            EjectionLimit(self._view, clock),
            self._suspects,
            self._reachability,
            journal,
            clock,
            self._target_bodies,
            self._regional_demand.record_speed_report,
            self._response_buffers,
        )
        self._members.on_change(self._forget_reports)
        self._registry.on_change(self._update_serving)
        region_loss_rates = RegionLossRates(
            self._members, self._capacity_reports, self._loss_rates, clock
        )
        estimates = Estimates(
            self._members,
            self._admission,
            self._capacity_reports,
            self._gossip.round_trip,
            self._response_times,
            clock,
            self._shares,
        )
        self._overflow = ObjectOverflow(self._regional_demand, self._members, estimates)
        destinations = DestinationSelector(
            self._view,
            self._members,
            estimates,
            region_loss_rates,
            self._shift,
            self._notices,
            clock,
            SpeedLog(journal),
            self._overflow,
        )
        dispatcher = Dispatcher(
            self._local,
            ForwardDispatcher(self._peer_pool, settings.forward_port, clock),
            self._members,
            self._capacity_reports,
            self._gossip.round_trip,
            self._crash_limits,
            self._overflow,
        )
        self._steering = Steering(
            destinations,
            dispatcher,
            self._shift,
            RetryBudgets(self._members, settings, clock).of,
            self._response_times,
            self._loss_rates,
            self.shutdown,
            self._crash_limits,
            journal,
            clock,
            self._shares,
        )

    def _build_listeners(self):
        """Build the listeners, the directory, the metrics and the request log."""
        settings, journal, clock = self._settings, self._journal, self.clock
        self._warm_connections = WarmConnections(
            self._peer_pool,
            self._gossip.reporting_members,
            settings.region,
            settings.forward_port,
            clock,
        )
        self._directory = Directory(
            self._members,
            settings.regions,
            settings.front.port,
            settings.bounds.lookup_ttl,
            clock,
        )
        self._metrics = SteeringMetrics(
            self._read_gauges, self._regional_demand.gauges, self._shares
        )
        self.request_log = RequestLog(self._metrics, journal, clock)
        self._listeners = Listeners(
            self,
            settings,
            self._local,
            self._tables.snapshot,
            self._directory,
            self._metrics,
            self._metrics_port,
            journal,
            clock,
        )

    def _new_body_memory(self):
        """Return the memory for bodies: a budget if callers compete for it."""
        settings = self._settings
        if not settings.is_contended:
            self._response_buffers = ResponseBuffers(settings.memory)
            return BodyMemory(settings.memory)
        self._target_bodies = TargetBodies()
        return new_budget(settings.memory, self._journal, self.clock)

    def _new_pool(self):
        fence = Fence()
        return ConnectionPool(
            self.clock,
            self._settings.ip,
            lambda: fence,
            limit_buffers_with_keepalive
            if self._settings.is_contended
            else enable_keepalive,
            IDLE_TIMEOUT_SECONDS,
        )

    @property
    def routing_table(self):
        """Return the :class:`RoutingTable` in force, or ``None``."""
        return self._routing_table

    @property
    def limits(self):
        """Return the :class:`Limits` on clients in force."""
        return self._routing_table.limits if self._routing_table else INITIAL_LIMITS

    @property
    def is_stopping(self):
        """Return whether this VM is shutting down."""
        return self._members.own.is_stopping

    @property
    def is_started(self):
        """Return whether the configuration and the targets are loaded."""
        return self._routing_table is not None and self._registry.is_loaded

    @property
    def is_ready(self):
        """Return whether this VM accepts clients."""
        return self._members.own.is_serving

    def authenticate(self, route, keys, arrived_at):
        """Return the workspace of a request; see :meth:`Authenticator.authenticate`."""
        return self._authenticator.authenticate(
            self._routing_table.workspaces, route, keys, arrived_at
        )

    async def steer(self, call):
        """Return the final response to a call; see :meth:`Steering.run`."""
        self._overflow.record_request(call)
        return await self._steering.run(call)

    def choose_service(self, route):
        """Return the service for the next request of a route, by its traffic split."""
        splitter = self._splitters.get(route.name)
        if splitter is None:
            splitter = self._splitters[route.name] = Splitter(route.shares)
        return splitter.next()

    async def serve(self):
        """Run until a graceful shutdown completes."""
        self._journal.write(Event.VM_STARTED, incarnation=self._members.own.incarnation)
        signals = SignalWatch(self.clock, SIGTERM, SIGINT, SIGHUP)
        await self._gossip.open()
        async with TaskGroup(wait=any) as group:
            await group.spawn(self._shut_down, signals)
            for run in self._loops():
                await group.spawn(
                    run_supervised, run, self._journal, RESTART_DELAY_SECONDS
                )
            await self._listeners.start(group)

    def _loops(self):
        responses = self.body_memory.responses
        return (
            *((responses.monitor.run,) if responses else ()),
            self._gossip.listen,
            self._gossip.run,
            self._tables.operator_rows.run,
            self._tables.target_rows.run,
            self._tables.configuration_exchange.run,
            self._tables.configuration_archive.run,
            self._tables.follow_members,
            self._tables.keep_registered,
            self._quarantines.follow,
            self._quarantines.write,
            self._reachability.run,
            self.active_requests.run,
            self._run_maintenance,
            self._log_summaries,
            self._warm_connections.run,
        )

    async def _run_maintenance(self):
        """Run periodic checks until cancelled."""
        next_infrequent_checks_at = 0.0
        while True:
            now = self.clock.now()
            if now >= next_infrequent_checks_at:
                next_infrequent_checks_at = now + INFREQUENT_CHECK_SECONDS
                self._ledger.update_slow_targets()
                self._suspects.expire()
                self._notices.expire()
                self._freshness_monitor.check()
                self._behind_monitor.check()
                if self._shares is not None:
                    self._shares.expire()
                await self._target_pool.sweep()
                await self._peer_pool.sweep()
            self._registry.expire()
            await self._admission.admit_all_queued()
            await self._gossip.notify()
            has_targets = self._ledger.all() or self._registry.remaining_use_seconds()
            await sleep(
                MAINTENANCE_SECONDS if has_targets else IDLE_MAINTENANCE_SECONDS
            )

    async def _log_summaries(self):
        while True:
            await sleep(SUMMARY_SECONDS)
            self.request_log.flush(**self._read_gauges())

    async def _shut_down(self, signals):
        """Wait for a stop signal, then shut down gracefully."""
        while await signals.next() is SIGHUP:
            self._reload()
        # The grace period starts when the signal arrived, not when it was handled.
        self.shutdown.begin(signals.received_at, self._settings.bounds.stop_grace)
        self._members.leave()
        self._handover.begin(
            self.clock.now(),
            self.shutdown.keep_alive_until,
            self.shutdown.ends_at,
        )
        self._journal.write(Event.VM_LEAVING, requests=self.active_requests.count)
        await self._gossip.leave()
        await spawn(self._tables.deregister, daemon=True)
        await self._finish_requests()
        await self._listeners.cancel_requests_before_ready_responses()
        self._listeners.close()
        while self._is_busy() and self.clock.now() < self.shutdown.ends_at:
            await sleep(SHUTDOWN_CHECK_SECONDS)
        self._record_abandoned()

    def _record_abandoned(self):
        """Log the unfinished requests and the duration of the shutdown."""
        now = self.clock.now()
        calls = self.active_requests.calls()
        for call in calls:
            self.request_log.record_abandoned(call, now)
        self._journal.write(
            Event.VM_STOPPED,
            seconds=round(self.shutdown.elapsed(now), 3),
            abandoned=len(calls),
        )

    async def _finish_requests(self):
        """Keep serving until all requests are done or the final flush is due."""
        last_busy_at = self.clock.now()
        keeps_connections = True
        while (now := self.clock.now()) < self.shutdown.flush_at:
            if keeps_connections and now >= self.shutdown.keep_alive_until:
                keeps_connections = False
                self._listeners.close_idle()
            if self._is_busy():
                last_busy_at = now
            self._handover.release_if_due(now, self._listeners.is_busy)
            is_done = (
                now - last_busy_at >= QUIET_SECONDS and self._handover.has_released
            )
            if not keeps_connections and is_done:
                return
            await sleep(SHUTDOWN_CHECK_SECONDS)

    def _is_time_short(self, now):
        """Return whether there is too little time for the requests of some route."""
        routes = self._routing_table.routes if self._routing_table else ()
        return any(self.shutdown.is_time_short(route, now) for route in routes)

    def _is_busy(self):
        return bool(self.active_requests.count) or self._listeners.is_busy

    def _update_serving(self):
        if self.is_started and self._members.own.stage == Stage.STARTING:
            self._members.set_serving(True)

    def _apply_configuration(self, routing_table):
        """Apply a new configuration; ignore one that is not newer."""
        if (
            self._routing_table is not None
            and routing_table.version <= self._routing_table.version
        ):
            return
        self._journal.write(
            Event.CONFIGURATION_ADOPTED,
            version=routing_table.version,
            before=self._configuration_version or None,
            era=era_of(self._tables.operator_rows.version),
            table=number_of(self._tables.operator_rows.version),
        )
        self._routing_table = routing_table
        self.shutdown.run_times.retain({route.name for route in routing_table.routes})
        self._splitters = {}
        self._update_serving()

    @property
    def _configuration_version(self):
        return self._routing_table.version if self._routing_table else 0

    def _workspace(self, name):
        """Return the :class:`Workspace` with a name, or ``None``."""
        workspaces = self._routing_table and self._routing_table.workspaces
        return workspaces and workspaces.named(name)

    def _service(self, name):
        return self._routing_table.services.get(name) if self._routing_table else None

    def _forget_reports(self):
        """Drop the reports of VMs that are no longer members."""
        known = {member.vm for member in self._members.others()}
        self._capacity_reports.retain(known)
        self._held_slots.retain(known)
        if self._shares is not None:
            self._shares.retain(known)
        self._freshness.retain(known)

    def _read_gauges(self):
        """Return the current gauges, for metrics and the periodic log line."""
        now = self.clock.now()
        return {
            "members": len(self._members.serving()),
            "owned_targets": len(self._ledger.all()),
            "free_slots": sum(each.free(now) for each in self._ledger.all()),
            "requests_under_way": self.active_requests.count,
            "configuration": self._configuration_version,
            "newest_configuration": self._freshness.newest_elsewhere[1] or 0,
            "configuration_proof_age": _age(self._freshness.proven_at, now),
            "configuration_age": _age(self._tables.operator_rows.read_at, now),
            "targets_age": _age(self._tables.target_rows.read_at, now),
            "suspects": self._suspects.count,
            "quarantined": self._suspects.quarantined_count,
            "limited_groups": self._suspects.limited_count,
            "limited_targets": self._notices.limited_count,
            "closed_targets": self._notices.closed_count,
            "slow_machines": self._speed_reports.slow_count,
            "moved_share": round(self._shift.share, 3),
            "log_lines_dropped": self._log_writer.dropped if self._log_writer else 0,
            "task_failures": self._journal.count_errors(Event.TASK_FAILED),
            "failed_applications": self._journal.count_errors(Event.ROWS_NOT_APPLIED),
            "response_buffer_bytes": self._response_buffers.reserved
            if self._response_buffers
            else 0,
            **self._gossip.gauges(),
            **memory_gauges(self.body_memory),
        }

    def _reload(self):
        """Reload the bounds of the settings file; other settings need a restart."""
        path = self._settings.path
        try:
            bounds = load_node_settings(path).bounds
        except (HeathercleatError, FindingsError) as error:
            self._journal.write(
                Event.TASK_FAILED, task="reload settings", reason=error.render()
            )
            return
        self._settings.bounds.update_from(bounds)
        self._journal.write(Event.SETTINGS_RELOADED, path=path)


def _age(instant, now):
    """Return the seconds since an instant; -1 if it is ``None``."""
    return -1 if instant is None else round(now - instant, 3)
