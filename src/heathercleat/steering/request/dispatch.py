"""Sends one attempt to a target of this VM or through the VM that owns it."""

from heathercleat.platform.headers import find_slowdown
from heathercleat.steering.request.attempt_result import AttemptOutcome


class Dispatcher:
    """Sends attempts to the selected destinations.

    :param local: the :class:`LocalDispatcher`, for owned targets.
    :param forward: the :class:`ForwardDispatcher`, for targets of other VMs.
    :param members: the live VMs.
    :param capacity_reports: the :class:`CapacityReports`.
    :param round_trip: function that returns the round-trip time to a VM in seconds.
    :param crash_limits: the :class:`CrashLimits`, which records the results.
    :param overflow: the :class:`ObjectOverflow`, which records response times, or
        ``None``.
    """

    def __init__(
        self,
        local,
        forward,
        members,
        capacity_reports,
        round_trip,
        crash_limits,
        overflow=None,
    ):
        self._local = local
        self._forward = forward
        self._members = members
        self._capacity_reports = capacity_reports
        self._round_trip = round_trip
        self._crash_limits = crash_limits
        self._overflow = overflow

    def is_local(self, destination):
        """Return whether this VM is the owner of a destination."""
        return destination.vm == self._members.own.vm

    def round_trip(self, destination):
        """Return the round-trip time in seconds; 0 inside the region."""
        return self._round_trip(destination.vm) if destination.is_remote else 0.0

    async def run(self, call, destination, avoid, wait_until):
        """Return the :class:`AttemptResult` of one attempt.

        :param avoid: ids of targets to exclude.
        :param wait_until: when to stop waiting for a slot.
        """
        is_local = self.is_local(destination)
        if is_local:
            result = await self._local.run(
                call, destination.preferred, avoid, wait_until
            )
        else:
            result = await self._run_forwarded(call, destination, avoid, wait_until)
        self._crash_limits.record_result(call, result, is_local)
        if self._overflow is not None:
            self._overflow.record_run(call, result, not destination.is_remote)
        return result

    async def _run_forwarded(self, call, destination, avoid, wait_until):
        member = self._members.find_live(destination.vm)
        round_trip = self._round_trip(destination.vm)
        capacity = None
        if destination.target is not None:
            capacity = self._capacity_reports.capacity(
                destination.target, destination.vm
            )
            capacity.reserve()
        result = await self._forward.run(
            call, member.ip, destination.preferred, avoid, wait_until, round_trip
        )
        if capacity is not None and result.outcome is not AttemptOutcome.NOT_SENT:
            capacity.release()
        self._record_speed(destination.vm, result)
        return result

    def _record_speed(self, owner, result):
        """Record the speed of the machine that a forwarded response reports."""
        response = result.response
        slowdown = response and find_slowdown(response.headers)
        if slowdown is not None:
            self._capacity_reports.record_slowdown(result.target, owner, slowdown)

    def record_busy_owner(self, call, destination, wait):
        """Record that the owner of a destination had no free slot.

        :param wait: its estimated wait in seconds, or ``None``.
        """
        self._capacity_reports.record_no_free_slot(
            destination.target, destination.vm, call.service, wait
        )
