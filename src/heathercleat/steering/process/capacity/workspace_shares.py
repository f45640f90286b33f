"""Fair shares of workspaces for all services, and their reports in heartbeats."""

from heathercleat.process.clock import DISTANT_PAST
from heathercleat.steering.process.capacity.capacity_reports import REPORT_TTL_SECONDS
from heathercleat.steering.process.capacity.fair_shares import FairShares
from heathercleat.steering.process.capacity.served_fractions import ServedFractions
from heathercleat.steering.process.capacity.share_log import ShareLog
from heathercleat.steering.process.capacity.share_reports import (
    ShareReports,
    compose_report,
)


class WorkspaceShares:
    """The :class:`FairShares` of each service; a :class:`HeartbeatExtension`.

    :param members: the live VMs.
    :param ledger: the :class:`SlotLedger` of owned targets.
    :param routing_table: returns the :class:`RoutingTable` in force, or ``None``.
    """

    name = "shares"

    def __init__(self, members, ledger, routing_table, journal, clock):
        self._members = members
        self._ledger = ledger
        self._routing_table = routing_table
        self._clock = clock
        self._reports = ShareReports(self._is_near, clock)
        self._log = ShareLog(journal, clock)
        # Requests that reached this VM as the owner, and those of its own clients.
        self._owner_fractions = ServedFractions(clock)
        self._client_fractions = ServedFractions(clock)
        self._services = {}
        # Service to the instant until which its use is reported.
        self._reported_until = {}

    @property
    def refusal_counts(self):
        """Return the number of refused requests by service and workspace."""
        return self._log.refusal_counts

    def of_service(self, service):
        """Return the :class:`FairShares` of a service."""
        shares = self._services.get(service)
        if shares is None:
            shares = self._services[service] = FairShares(
                service,
                self._ledger,
                self._reports,
                self._workspaces,
                self._owner_fractions,
                self._clock,
            )
        return shares

    def report(self):
        """Return the report on services where requests wait, ``None`` without any.

        A service is reported until the last reports on waiting requests expire.
        """
        workspaces, now = self._workspaces(), self._clock.now()
        usages = {}
        for service, shares in self._services.items() if workspaces else ():
            usage = shares.own_usage(workspaces)
            others = self._reports.of_service(service)
            if usage.waiting_count or any(each.waiting_count for each in others):
                self._reported_until[service] = now + REPORT_TTL_SECONDS
            if now < self._reported_until.get(service, DISTANT_PAST):
                usages[service] = usage
        return compose_report(usages) if usages else None

    def merge(self, vm, report):
        """Record the report of another VM.

        :raises ValueError: when it is malformed; :exc:`TypeError` likewise.
        """
        self._reports.record(vm, report)

    def retain(self, vms):
        """Drop the reports of all VMs except these."""
        self._reports.retain(vms)

    def expire(self):
        """Drop what is no longer needed; log workspaces within their share again."""
        self._owner_fractions.expire()
        self._client_fractions.expire()
        self._log.expire(self._workspaces())

    def record_slot(self, call, is_served):
        """Record whether a request got a slot of this VM or was refused."""
        self._record(self._owner_fractions, call, is_served)

    def record_outcome(self, call, is_served):
        """Record whether a request of a client was served or refused."""
        self._record(self._client_fractions, call, is_served)

    def record_refusal(self, call, claims):
        """Record a request that was refused for the share of its workspace."""
        user, age = claims.user_of(call), self._reports.age(call.service)
        self._log.record_refusal(call.service, user, claims.region, age)

    def scale_wait(self, owner, call, estimate):
        """Return the :class:`WaitEstimate` of a request at another owner.

        See :meth:`FairShares.scale_wait`.
        """
        return self.of_service(call.service).scale_wait(owner, call, estimate)

    def is_starved(self, call):
        """Return whether the owner must decide on a request whatever wait it reports.

        Otherwise this VM would refuse it, so that the owner could not see that its
        route or workspace is served far less than the others.
        """
        workspaces = self._workspaces()
        workspace = call.workspace if call.workspace in workspaces else None
        return bool(workspaces) and self._client_fractions.is_starved(
            workspace, call.route.name
        )

    def usages(self):
        """Yield the workspace, the service, its rank, the slots that it holds, its
        requests that wait, and its share, of the region, for metrics.
        """
        for service, shares in self._services.items():
            claims = shares.claims()
            for user in claims.region.users if claims else ():
                rank, workspace = user
                held, waiting = claims.region.held(user), claims.region.waiting(user)
                yield workspace, service, rank, held, waiting, claims.share(user)

    def _record(self, fractions, call, is_served):
        workspaces = self._workspaces()
        if workspaces:
            workspace = call.workspace if call.workspace in workspaces else None
            fractions.record(workspace, call.route.name, is_served)

    def _workspaces(self):
        """Return the names of the workspaces in force, empty if there are none."""
        table = self._routing_table()
        return table.workspaces.names if table and table.workspaces else ()

    def _is_near(self, vm):
        """Return whether a VM is alive and in the region of this VM."""
        member = self._members.find_live(vm)
        return member is not None and member.region == self._members.own.region
