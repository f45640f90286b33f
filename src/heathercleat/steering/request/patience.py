"""How long a request waits for a slot before it is refused or takes another target."""

#: Part of the latency aim for which a first request waits for a slot at most: a refusal
#: within a quarter of it can still be answered in time when the client comes back.
FIRST_PATIENCE = 0.2
#: Part of its remaining time for which a request waits that came back after a refusal,
#: while its service is not overloaded: a second refusal loses it, and a late answer is
#: worth something. In overload those in time take every slot, and waiting is in vain.
RETURNED_PATIENCE = 0.8
#: Times the mean that most requests take at most: with a mean just below the aim, half
#: of the requests at targets that had to learn the object were late.
SPREAD = 1.25
#: Seconds before the end of a request's patience at which it takes any idle target.
LAST_CHANCE = 0.02


class Patience:
    """Decides on the instants until which a request waits.

    :param work_times: the :class:`WorkTimes`.
    :param pressure: tells which services are overloaded, a :class:`Pressure`.
    """

    def __init__(self, work_times, pressure):
        self._work_times = work_times
        self._pressure = pressure

    def of(self, call):
        """Return the instant at which a request is given up without a slot."""
        first = call.arrived_at + FIRST_PATIENCE * call.route.latency_aim
        if not call.returned or self._pressure.is_overloaded(call.service):
            return first
        work = self._work_times.of(call.route.name)
        remaining = call.deadline - call.arrived_at
        longest = min(RETURNED_PATIENCE * remaining, remaining - work)
        return max(first, call.arrived_at + longest)

    def for_home(self, call):
        """Return the instant until which only targets that know the object are used.

        Another one is idle at times, but takes longer: a request that would be late
        there and in time at home waits for its home first. One run each, before and
        after: worth 0.313 and 0.398 on an overloaded day, 0.460 and 0.473 on another.
        """
        route = call.route.name
        longest = SPREAD * self._work_times.elsewhere(route)
        if call.arrived_at + longest <= call.aim_at:
            return call.arrived_at
        latest = call.aim_at - self._work_times.at_home(route)
        return min(latest, call.patient_until - LAST_CHANCE)
