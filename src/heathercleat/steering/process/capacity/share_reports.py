"""Reports of owners on the slots that workspaces hold and wait for.

A report is a list with ``[service, slots, rest, users]`` for each service. ``users``
lists ``[workspace, rank, held, waiting]`` of the largest users; ``rest`` is the number
of slots that the others hold or wait for.
"""

from math import isfinite

import msgpack

from heathercleat.process.clock import DISTANT_PAST
from heathercleat.steering.process.capacity.capacity_reports import REPORT_TTL_SECONDS
from heathercleat.steering.process.capacity.share_usage import ShareUsage
from heathercleat.steering.process.membership.extensions import MAX_REPORT_BYTES

#: Bytes by which the numbers and list heads of one service may grow while its users are
#: added: 2 each for two list heads and 8 for ``rest``.
SERVICE_MARGIN_BYTES = 12


class ShareReports:
    """The last reports of other owners.

    :param is_near: returns whether a VM is alive and in the region of this VM.
    """

    def __init__(self, is_near, clock):
        self._is_near = is_near
        self._clock = clock
        # VM to the instant of its last report and the :class:`ShareUsage` by service.
        self._reports = {}

    def record(self, vm, report):
        """Replace the report of a VM.

        :raises ValueError: when it is malformed; :exc:`TypeError` likewise.
        """
        usages = {}
        for service, slots, rest, users in report:
            usage = usages[service] = ShareUsage(_amount(slots) - _amount(rest))
            for workspace, rank, held, waiting in users:
                usage.add(_user(workspace, rank), _amount(held), _amount(waiting))
        self._reports[vm] = self._clock.now(), usages

    def retain(self, vms):
        """Drop the reports of all VMs except these."""
        for vm in self._reports.keys() - vms:
            del self._reports[vm]

    def of_service(self, service):
        """Yield the :class:`ShareUsage` of each owner with a valid report."""
        for vm in self._reports:
            usage = self.of_owner(vm, service)
            if usage is not None:
                yield usage

    def of_owner(self, vm, service):
        """Return the :class:`ShareUsage` that a VM reports, or ``None``."""
        reported_at, usages = self._reports.get(vm, (DISTANT_PAST, {}))
        if self._clock.now() >= reported_at + REPORT_TTL_SECONDS:
            return None
        return usages.get(service) if self._is_near(vm) else None

    def age(self, service):
        """Return the age of the oldest valid report in seconds, or ``None``."""
        instants = [
            reported_at
            for vm, (reported_at, _) in self._reports.items()
            if self.of_owner(vm, service) is not None
        ]
        return self._clock.now() - min(instants) if instants else None


def compose_report(usages):
    """Return the report on the :class:`ShareUsage` of some services.

    The largest users are listed, as many as fit into :data:`MAX_REPORT_BYTES`.
    """
    report, remaining_bytes = [], MAX_REPORT_BYTES - SERVICE_MARGIN_BYTES
    users = []
    for service, usage in usages.items():
        fields = [service, round(usage.slots, 2), 0, []]
        remaining_bytes -= len(msgpack.packb(fields)) + SERVICE_MARGIN_BYTES
        if remaining_bytes < 0:
            break
        report.append(fields)
        users += [(usage.demand(each), fields, usage, each) for each in usage.users]
    for demand, fields, usage, user in sorted(users, key=lambda each: -each[0]):
        rank, workspace = user
        line = [workspace, rank, usage.held(user), usage.waiting(user)]
        remaining_bytes -= len(msgpack.packb(line))
        if remaining_bytes >= 0:
            fields[3].append(line)
        else:
            fields[2] += demand
    return report


def _user(workspace, rank):
    """Return a reported user.

    :raises ValueError: when it is malformed.
    """
    if not isinstance(rank, int) or not isinstance(workspace, str | None):
        raise ValueError(f"user {workspace!r} of rank {rank!r}")
    return rank, workspace


def _amount(value):
    """Return a reported number of slots or requests.

    :raises ValueError: when it is negative or not finite.
    """
    if not isfinite(value) or value < 0:
        raise ValueError(f"amount {value!r}")
    return value
