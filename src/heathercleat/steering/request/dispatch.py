"""One try at a request, at a target of this VM or through the VM that owns it."""

from heathercleat.steering.request.attempt_result import AttemptOutcome


class Dispatcher:
    """Makes tries at the places that were found.

    :param local: tries at own targets, a :class:`LocalDispatcher`.
    :param forward: tries at targets of other VMs, a :class:`ForwardDispatcher`.
    :param members: the live VMs.
    :param rooms: the :class:`CapacityReports`.
    :param trip: returns the round trip to a VM in seconds.
    :param containment: the :class:`Containment`, which learns the results.
    """

    def __init__(self, local, forward, members, rooms, trip, containment):
        self._local = local
        self._forward = forward
        self._members = members
        self._rooms = rooms
        self._trip = trip
        self._containment = containment

    def is_own(self, place):
        """Return whether a place is at this VM."""
        return place.vm == self._members.own.vm

    def trip(self, place):
        """Return the round trip to a place in another region in seconds; else 0."""
        return self._trip(place.vm) if place.remote else 0.0

    async def run(self, call, place, avoid, until):
        """Return the :class:`AttemptResult` of one try.

        :param avoid: ids of targets not to use.
        :param until: instant at which to give up waiting for a slot.
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
            capacity.take()
        result = await self._forward.run(
            call, member.ip, place.preferred, avoid, until, trip
        )
        if capacity is not None and result.end is not AttemptOutcome.NOT_SENT:
            capacity.release()
        return result

    def note_full(self, call, place, wait):
        """Note that another VM had no slot for a request."""
        self._rooms.record_full(place.target, place.vm, call.service, wait)
