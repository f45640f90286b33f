"""Slots of targets that are still taken by requests of VMs that owned them before."""

#: Seconds in which the VM that owned a target before tells what it still has there: two
#: heartbeats, the first of which may come before it has learned of the change.
FORMER_OWNER_REPORT_SECONDS = 0.3
#: Stands for all slots of a target.
_ALL = 1 << 20


class Hold:
    """What one other VM has at a target.

    :param count: its requests there.
    :param until: instant at which the last of them ends at the latest.
    """

    __slots__ = ("count", "until")

    def __init__(self, count, until):
        self.count = count
        self.until = until


class HeldSlots:
    """The requests that other VMs have at targets which they do not own any more.

    A VM tells of them in each heartbeat, so that what it tells last replaces what it
    told before. Where a heartbeat is lost, a hold ends with the deadline of the last
    request, and all of a VM's end with its process.

    :param members: the live VMs.
    :param rooms: the :class:`CapacityReports`; tells what an owner had before it has
        heard
        that it is none any more.
    """

    def __init__(self, members, rooms, clock):
        self._members = members
        self._rooms = rooms
        self._clock = clock
        # By target, the :class:`Hold` of each VM.
        self._holds = {}
        self._targets = {}
        self._incarnations = {}

    def report(self, vm, held):
        """Take what a VM tells, after its report on the targets that it owns.

        :param held: ``(target id, requests, seconds until the last one ends)`` of each
            target.
        """
        counted = self._drop(vm)
        now = self._clock.now()
        for target_id in counted:
            self._expect_of(target_id, vm, now)
        for target_id, count, seconds in held:
            self._put(target_id, vm, Hold(count, now + seconds))

    def add_target(self, target_id, former):
        """Begin to count for a target that this VM owns from now on.

        The owner before it may not know yet. Until it tells what it still has there,
        its last report as the owner counts. Where it has not reported of late all slots
        are taken to be in use until it tells, for :data:`FORMER_OWNER_REPORT_SECONDS`
        at most.

        :param former: name of that owner, or ``None``.
        """
        now = self._clock.now()
        if (
            former is not None
            and self._rooms.reported_at(former) < now - FORMER_OWNER_REPORT_SECONDS
        ):
            self._put(target_id, former, Hold(_ALL, now + FORMER_OWNER_REPORT_SECONDS))
        for vm in self._rooms.owners():
            if self._rooms.reported_at(vm) >= now - FORMER_OWNER_REPORT_SECONDS:
                self._expect_of(target_id, vm, now)

    def count(self, target_id, now):
        """Return the slots of a target that other VMs' requests take."""
        holds = self._holds.get(target_id)
        if not holds:
            return 0
        return sum(
            hold.count
            for vm, hold in holds.items()
            if now < hold.until and self._runs(vm)
        )

    def keep(self, vms):
        """Forget all VMs but these."""
        for vm in self._targets.keys() - vms:
            self._drop(vm)
            del self._incarnations[vm]

    def _expect_of(self, target_id, vm, now):
        capacity = self._rooms.find(target_id, vm)
        if capacity is not None and now < capacity.valid_until:
            self._put(target_id, vm, Hold(capacity.used, capacity.valid_until))

    def _put(self, target_id, vm, hold):
        member = self._members.live(vm)
        if member is None:
            return
        self._incarnations[vm] = member.incarnation
        self._targets.setdefault(vm, set()).add(target_id)
        self._holds.setdefault(target_id, {})[vm] = hold

    def _drop(self, vm):
        """Forget what a VM told; return the ids of the targets that it was about."""
        dropped = self._targets.pop(vm, ())
        for target_id in dropped:
            holds = self._holds[target_id]
            del holds[vm]
            if not holds:
                del self._holds[target_id]
        return dropped

    def _runs(self, vm):
        """Return whether the process of a VM that told of holds still lives."""
        member = self._members.live(vm)
        return member is not None and member.incarnation == self._incarnations[vm]
