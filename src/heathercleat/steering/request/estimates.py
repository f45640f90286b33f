"""How long a request would wait and take at a place, as far as this VM knows."""


class Estimates:
    """Estimates for the choice of a place; all lengths in seconds.

    :param members: the live VMs.
    :param admission: the waits at own targets.
    :param rooms: the waits at other owners' targets.
    :param trip: returns the round trip to a VM.
    :param response_times: the :class:`ResponseTimes`.
    """

    def __init__(self, members, admission, rooms, trip, response_times, clock):
        self._members = members
        self._admission = admission
        self._rooms = rooms
        self._trip = trip
        self._response_times = response_times
        self._clock = clock

    def trip(self, owner):
        """Return the round trip to an owner."""
        return self._trip(owner)

    def wait(self, owner, call):
        """Return the time for which a request would wait at an owner.

        ``None`` where the owner has no target in service, 0 where it does not report
        to this VM.
        """
        if owner == self._members.own.vm:
            return self._admission.expected_wait(call)
        if not self._rooms.is_known(owner):
            return 0.0
        waits = self._rooms.waits(owner, call.service)
        return waits and waits.of(call, self._clock.now(), self.work(call, True))

    def shortest_wait(self, targets, call):
        """Return the shortest known wait at the owners of a region, or ``None``.

        :param targets: the :class:`RegionTargets`.
        """
        own = self._members.own.vm
        waits = [
            self.wait(owner, call)
            for owner in targets.owners
            if owner == own or self._rooms.is_known(owner)
        ]
        return min((each for each in waits if each is not None), default=None)

    def work(self, call, is_home):
        """Return how long a target takes that knows the object, or does not."""
        times, route = self._response_times, call.route.name
        if call.affinity is None or not call.route.sticky:
            return times.of(route)
        return times.at_affinity_target(route) if is_home else times.elsewhere(route)

    def known_work(self, route):
        """Return how long a target takes for a known object, ``None`` if untold."""
        return self._response_times.known(route.name)

    def is_in_time(self, call, owner, is_home):
        """Return whether a request is in time through an owner that has room."""
        expected = self._trip(owner) + self.work(call, is_home)
        return self._clock.now() + expected <= call.soft_deadline
