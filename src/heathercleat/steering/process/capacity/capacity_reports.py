"""What this VM believes of the free slots at targets that others own."""

from heathercleat.process.clock import DISTANT_PAST
from heathercleat.steering.process.capacity.queue import WaitEstimate

#: Seconds after which a report of room is no longer believed.
REPORT_TTL_SECONDS = 1.5


class OwnerReport:
    """What one owner said last: rooms by target, waits and losses by service."""

    __slots__ = ("rooms", "waits", "losses", "reported_at", "valid_until")

    def __init__(self):
        self.rooms = {}
        self.waits = {}
        self.losses = {}
        self.reported_at = DISTANT_PAST
        self.valid_until = 0.0


class ReportedCapacity:
    """The last report on one target, corrected by what this VM sent since.

    :param report: the :class:`OwnerReport` of the target's owner.
    """

    __slots__ = ("_report", "_free", "_limit", "_used", "_valid_until")

    @property
    def used(self):
        """Return the requests that the owner had at the target."""
        return self._used

    @property
    def valid_until(self):
        """Return the instant until which the report on the target is believed."""
        return self._valid_until

    def __init__(self, report):
        self._report = report
        self._free = 0
        self._limit = None
        self._used = 0
        self._valid_until = 0.0

    def is_known(self, now):
        """Return whether the owner reports to this VM.

        In a large fleet it does not hear from most owners.
        """
        return now < self._report.valid_until

    def free(self, now):
        """Return the free slots; 0 where the report is too old."""
        return self._free if now < self._valid_until else 0

    def limit(self, now):
        """Return how many requests the target takes at once, ``None`` if unknown."""
        return self._limit

    def report(self, free, limit, used, valid_until):
        """Take the owner's report."""
        self._free = free
        self._limit = limit
        self._used = used
        self._valid_until = valid_until

    def expire(self):
        """Believe the last report no more."""
        self._valid_until = 0.0

    def take(self):
        """Note a request sent to the target."""
        self._free = max(0, self._free - 1)

    def release(self):
        """Note the end of a request that was sent to the target."""
        if self._limit is not None:
            self._free = min(self._limit, self._free + 1)

    def mark_no_free_slot(self):
        """Note that the owner had no room."""
        self._free = 0


class CapacityReports:
    """Reports of owners on their targets and queues."""

    def __init__(self, clock):
        self._clock = clock
        self._reports = {}

    def report(self, owner, rooms, waits, losses):
        """Take an owner's report.

        :param rooms: ``(target id, free slots, slots in use at most, slots in use)`` of
            each target that it owns.
        :param waits: ``(service, seconds, seconds)`` that a new request would wait
            there, one in time and one that is late; ``None`` without a slot.
        :param losses: ``(service, part)`` of their worth that its clients lose.
        """
        now = self._clock.now()
        valid_until = now + REPORT_TTL_SECONDS
        report = self._report(owner)
        report.reported_at = now
        for capacity in report.rooms.values():
            capacity.expire()
        for target_id, free, limit, used in rooms:
            self.capacity(target_id, owner).report(free, limit, used, valid_until)
        report.valid_until = valid_until
        report.waits = {
            service: None if early is None else WaitEstimate(early, late)
            for service, early, late in waits
        }
        report.losses = dict(losses)

    def keep(self, owners):
        """Forget all owners but these."""
        for owner in self._reports.keys() - owners:
            del self._reports[owner]

    def capacity(self, target_id, owner):
        """Return the :class:`ReportedCapacity` at a target of an owner; the same one
        each time."""
        report = self._report(owner)
        capacity = report.rooms.get(target_id)
        if capacity is None:
            capacity = report.rooms[target_id] = ReportedCapacity(report)
        return capacity

    def owners(self):
        """Return the names of the VMs that have reported."""
        return list(self._reports)

    def reported_at(self, owner):
        """Return the instant of an owner's last report."""
        return self._report(owner).reported_at

    def find(self, target_id, owner):
        """Return the :class:`ReportedCapacity` at a target of an owner, ``None`` if it
        has none."""
        return self._report(owner).rooms.get(target_id)

    def is_known(self, owner):
        """Return whether an owner reports to this VM, or said that it was full."""
        return self._clock.now() < self._report(owner).valid_until

    def waits(self, owner, service):
        """Return the :class:`WaitEstimate` at an owner, or ``None`` without a slot."""
        return self._report(owner).waits.get(service)

    def loss_rate(self, owner, service):
        """Return the part of their worth that an owner's clients lose.

        ``None`` where the owner does not report to this VM.
        """
        return self._report(owner).losses.get(service)

    def record_full(self, target_id, owner, service, wait):
        """Note that an owner had no room for a request.

        :param target_id: the target that seemed to have some, or ``None``.
        :param wait: seconds that the request would have to wait there, or ``None``.
        """
        if target_id is not None:
            self.capacity(target_id, owner).mark_no_free_slot()
        report = self._report(owner)
        report.waits[service] = None if wait is None else WaitEstimate(wait, wait)
        report.valid_until = self._clock.now() + REPORT_TTL_SECONDS

    def _report(self, owner):
        report = self._reports.get(owner)
        if report is None:
            report = self._reports[owner] = OwnerReport()
        return report
