"""Sends one attempt to a target of this VM or through the VM that owns it."""

from heathercleat.steering.request.attempt_result import AttemptOutcome


class Dispatcher:
    """Sends attempts to the selected places.

    :param local: the :class:`LocalDispatcher`, for owned targets.
    :param forward: the :class:`ForwardDispatcher`, for targets of other VMs.
    :param members: the live VMs.
    :param rooms: the :class:`CapacityReports`.
    :param trip: function that returns the round-trip time to a VM in seconds.
    :param containment: the :class:`Containment`, which records the results.
    """

    def __init__(self, local, forward, members, rooms, trip, containment):
        self._local = local
        self._forward = forward
        self._members = members
        self._rooms = rooms
        self._trip = trip
        self._containment = containment

    def is_own(self, place):
        """Return whether this VM owns the targets of a place."""
        return place.vm == self._members.own.vm

    def trip(self, place):
        """Return the round-trip time in seconds; 0 inside the region."""
        return self._trip(place.vm) if place.is_remote else 0.0

    async def run(self, call, place, avoid, until):
        """Return the :class:`AttemptResult` of one attempt.

        :param avoid: ids of targets to exclude.
        :param until: when to stop waiting for a slot.
        """
        is_own = self.is_own(place)
        if is_own:
            result = await self._local.run(call, place.preferred, avoid, until)
        else:
            result = await self._forwarded(call, place, avoid, until)
        self._containment.record_result(call, result, is_own)
        return result

    async def _forwarded(self, call, place, avoid, until):
        member = self._members.live(place.vm)
        trip = self._trip(place.vm)
        capacity = None
        if place.target is not None:
            capacity = self._rooms.capacity(place.target, place.vm)
            capacity.reserve()
        result = await self._forward.run(
            call, member.ip, place.preferred, avoid, until, trip
        )
        if capacity is not None and result.outcome is not AttemptOutcome.NOT_SENT:
            capacity.release()
        return result

    def note_full(self, call, place, wait):
        """Record that another VM had no free slot.

        :param wait: its estimated wait in seconds, or ``None``.
        """
        self._rooms.record_full(place.target, place.vm, call.service, wait)
