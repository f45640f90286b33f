"""Slots of owned targets still in use by requests of former owners."""

#: Seconds within which the former owner of a target reports the slots that it still
#: uses: two heartbeats, since it may send the first one before it learns of the change.
FORMER_OWNER_REPORT_SECONDS = 0.3
#: A number of slots that exceeds the slots of any target.
_ALL_SLOTS = 1 << 20


class Hold:
    """The slots of a target that one other VM uses.

    :param count: number of requests of that VM at the target.
    :param expires_at: latest deadline of these requests.
    """

    __slots__ = ("count", "expires_at")

    def __init__(self, count, expires_at):
        self.count = count
        self.expires_at = expires_at


class HeldSlots:
    """Counts the slots that other VMs use at targets which they no longer own.

    Each heartbeat of a VM replaces its previous report. Without heartbeats a
    hold expires at the deadline of its last request, or when the VM terminates.

    :param members: the live VMs.
    :param reports: the :class:`CapacityReports`; the last report of a former owner is
        used until that VM reports its remaining requests.
    """

    def __init__(self, members, reports, clock):
        self._members = members
        self._reports = reports
        self._clock = clock
        # Target id to the :class:`Hold` of each VM.
        self._holds = {}
        self._target_ids_by_vm = {}
        self._incarnations = {}

    def record_report(self, vm, held):
        """Record the slots in use that a VM reports.

        Called after the :class:`CapacityReports` recorded the same heartbeat.

        :param held: ``(target id, requests, seconds until the last deadline)`` of each
            target that the VM used to own.
        """
        target_ids = self._drop(vm)
        now = self._clock.now()
        for target_id in target_ids:
            self._hold_last_report(target_id, vm, now)
        for target_id, count, seconds in held:
            self._set_hold(target_id, vm, Hold(count, now + seconds))

    def add_target(self, target_id, former_owner):
        """Start to count the slots of a target that this VM has just become owner of.

        Until the former owner reports its remaining requests, its last report as the
        owner is used. Without a recent report all slots count as in use, for at most
        :data:`FORMER_OWNER_REPORT_SECONDS`.

        :param former_owner: name of the former owner, or ``None``.
        """
        now = self._clock.now()
        if (
            former_owner is not None
            and self._reports.reported_at(former_owner)
            < now - FORMER_OWNER_REPORT_SECONDS
        ):
            self._set_hold(
                target_id,
                former_owner,
                Hold(_ALL_SLOTS, now + FORMER_OWNER_REPORT_SECONDS),
            )
        for vm in self._reports.owners():
            if self._reports.reported_at(vm) >= now - FORMER_OWNER_REPORT_SECONDS:
                self._hold_last_report(target_id, vm, now)

    def count(self, target_id, now):
        """Return the number of slots of a target that other VMs use."""
        holds = self._holds.get(target_id)
        if not holds:
            return 0
        return sum(
            hold.count
            for vm, hold in holds.items()
            if now < hold.expires_at and self._is_same_process(vm)
        )

    def retain(self, vms):
        """Drop all VMs except these."""
        for vm in self._target_ids_by_vm.keys() - vms:
            self._drop(vm)
            del self._incarnations[vm]

    def _hold_last_report(self, target_id, vm, now):
        capacity = self._reports.find(target_id, vm)
        if capacity is not None and now < capacity.valid_until:
            self._set_hold(target_id, vm, Hold(capacity.used, capacity.valid_until))

    def _set_hold(self, target_id, vm, hold):
        member = self._members.find_live(vm)
        if member is None:
            return
        self._incarnations[vm] = member.incarnation
        self._target_ids_by_vm.setdefault(vm, set()).add(target_id)
        self._holds.setdefault(target_id, {})[vm] = hold

    def _drop(self, vm):
        """Drop the holds of a VM; return the ids of their targets."""
        dropped = self._target_ids_by_vm.pop(vm, ())
        for target_id in dropped:
            holds = self._holds[target_id]
            del holds[vm]
            if not holds:
                del self._holds[target_id]
        return dropped

    def _is_same_process(self, vm):
        """Return whether the process that reported the holds is still live."""
        member = self._members.find_live(vm)
        return member is not None and member.incarnation == self._incarnations[vm]
