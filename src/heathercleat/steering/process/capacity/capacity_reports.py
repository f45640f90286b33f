"""Reports of other VMs on the free slots of the targets that they own."""

from heathercleat.process.clock import DISTANT_PAST
from heathercleat.steering.process.capacity.machine_speed import MachineSpeed
from heathercleat.steering.process.capacity.queue import WaitEstimate

#: Seconds for which a report is valid.
REPORT_TTL_SECONDS = 1.5


class OwnerReport:
    """The last report of an owner: capacity by target, waits and losses by service."""

    __slots__ = (
        "capacities",
        "wait_estimates",
        "loss_rates",
        "default_loss_rate",
        "reported_at",
        "valid_until",
    )

    def __init__(self):
        self.capacities = {}
        self.wait_estimates = {}
        self.loss_rates = {}
        # Loss rate of the other services; ``None`` if it is unknown.
        self.default_loss_rate = None
        self.reported_at = DISTANT_PAST
        self.valid_until = 0.0


class ReportedCapacity:
    """The last report on one target, adjusted by the requests sent since then.

    :param report: the :class:`OwnerReport` of the target's owner.
    """

    __slots__ = ("_report", "_free", "_limit", "_used", "_valid_until", "speed")

    @property
    def used(self):
        """Return the number of slots that the owner used."""
        return self._used

    @property
    def valid_until(self):
        """Return the instant until which the report on the target is valid."""
        return self._valid_until

    def __init__(self, report):
        self._report = report
        self._free = 0
        self._limit = None
        self._used = 0
        self._valid_until = 0.0
        self.speed = MachineSpeed()

    def is_known(self, now):
        """Return whether the owner reports to this VM.

        In a large fleet most owners do not.
        """
        return now < self._report.valid_until

    def free(self, now):
        """Return the number of free slots; 0 if the report has expired."""
        return self._free if now < self._valid_until else 0

    def limit(self, now):
        """Return the maximum number of concurrent requests, ``None`` if unknown."""
        return self._limit

    def slowdown(self, now):
        """Return the factor by which work takes longer on its machine now."""
        return self.speed.slowdown(now)

    def announced_limit(self, now):
        """Return the limit that the owner announced, ``None`` if unknown."""
        return self._limit

    def update(self, free, limit, used, valid_until):
        """Record the owner's report."""
        self._free = free
        self._limit = limit
        self._used = used
        self._valid_until = valid_until

    def expire(self):
        """Invalidate the last report."""
        self._valid_until = 0.0

    def reserve(self):
        """Count a request sent to the target as a slot in use."""
        self._free = max(0, self._free - 1)

    def release(self):
        """Count a completed request of the target as a free slot."""
        if self._limit is not None:
            self._free = min(self._limit, self._free + 1)

    def mark_no_free_slot(self):
        """Record that the owner had no free slot."""
        self._free = 0


class CapacityReports:
    """The last reports of other VMs on their targets and queues, by owner."""

    def __init__(self, clock):
        self._clock = clock
        self._reports = {}

    def record_report(self, owner, capacities, waits, losses):
        """Replace the report of an owner.

        :param capacities: ``(target id, free slots, limit, slots in use)`` of each
            target that it owns.
        :param waits: ``(service, on time, late)``: expected waits in seconds of a new
            request, ``None`` if no slot is usable.
        :param losses: ``(service, loss rate)``.
        """
        now = self._clock.now()
        valid_until = now + REPORT_TTL_SECONDS
        report = self._report(owner)
        report.reported_at = now
        for capacity in report.capacities.values():
            capacity.expire()
        for target_id, free, limit, used in capacities:
            self.capacity(target_id, owner).update(free, limit, used, valid_until)
        report.valid_until = valid_until
        report.wait_estimates = {
            service: None if on_time is None else WaitEstimate(on_time, late)
            for service, on_time, late in waits
        }
        report.loss_rates = dict(losses)
        report.default_loss_rate = None

    def merge_piece(self, owner, capacities, waits, losses, valid_seconds):
        """Merge a piece of the report of an owner; its other pieces stay valid.

        The parameters are those of :meth:`record_report`; an item without values means
        that its report ended. A service without a loss rate has one of 0.

        :param valid_seconds: seconds for which the piece is valid.
        """
        now = self._clock.now()
        report = self._report(owner)
        report.reported_at = now
        report.valid_until = now + valid_seconds
        report.default_loss_rate = 0.0
        for target_id, *values in capacities:
            if values:
                self.capacity(target_id, owner).update(*values, report.valid_until)
            elif (ended := report.capacities.pop(target_id, None)) is not None:
                ended.expire()
        for service, *values in waits:
            report.wait_estimates.pop(service, None)
            if values and values[0] is not None:
                report.wait_estimates[service] = WaitEstimate(*values)
        for service, *values in losses:
            report.loss_rates.pop(service, None)
            if values:
                (report.loss_rates[service],) = values

    def retain(self, owners):
        """Drop the reports of all owners except these."""
        for owner in self._reports.keys() - owners:
            del self._reports[owner]

    def capacity(self, target_id, owner):
        """Return the :class:`ReportedCapacity` of a target; creates it if missing."""
        report = self._report(owner)
        capacity = report.capacities.get(target_id)
        if capacity is None:
            capacity = report.capacities[target_id] = ReportedCapacity(report)
        return capacity

    def owners(self):
        """Return the names of the owners with a report."""
        return list(self._reports)

    def reported_at(self, owner):
        """Return the instant of the last report, or :data:`DISTANT_PAST`."""
        return self._report(owner).reported_at

    def find(self, target_id, owner):
        """Return the :class:`ReportedCapacity` of an owner's target, or ``None``."""
        return self._report(owner).capacities.get(target_id)

    def capacities(self, owner):
        """Return the :class:`ReportedCapacity` of each target of an owner, by id."""
        report = self._reports.get(owner)
        return report.capacities if report else {}

    def has_valid_report(self, owner):
        """Return whether an owner's last report or refusal is recent enough to use."""
        return self._clock.now() < self._report(owner).valid_until

    def wait_estimate(self, owner, service):
        """Return the :class:`WaitEstimate`, or ``None`` if no slot is usable."""
        return self._report(owner).wait_estimates.get(service)

    def loss_rate(self, owner, service):
        """Return the loss rate that an owner reports, or ``None``."""
        report = self._report(owner)
        return report.loss_rates.get(service, report.default_loss_rate)

    def record_no_free_slot(self, target_id, owner, service, wait):
        """Record that an owner had no free slot for a request.

        :param target_id: the target that was expected to have one, or ``None``.
        :param wait: expected wait at the owner in seconds, or ``None``.
        """
        if target_id is not None:
            self.capacity(target_id, owner).mark_no_free_slot()
        report = self._report(owner)
        report.wait_estimates[service] = (
            None if wait is None else WaitEstimate(wait, wait)
        )
        report.valid_until = self._clock.now() + REPORT_TTL_SECONDS

    def record_slowdown(self, target_id, owner, slowdown):
        """Record the slowdown in a response that an owner passed on."""
        capacity = self.capacities(owner).get(target_id)
        if capacity is not None:
            capacity.speed.record(slowdown, self._clock.now())

    def _report(self, owner):
        report = self._reports.get(owner)
        if report is None:
            report = self._reports[owner] = OwnerReport()
        return report
