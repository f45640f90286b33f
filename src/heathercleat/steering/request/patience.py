"""How long a request waits for a slot before it is refused or takes another target.

A request waits as long as a response before its deadline is possible. Requests that
would not get a slot by then are refused at once; see :mod:`.process.capacity.queue`.
"""

#: Most response times are below the mean times this factor.
SPREAD = 1.25
#: Share of the timeout that remains at least when a request stops waiting, so that the
#: client can retry.
LEAST_LEFT = 0.2
#: Seconds before a request stops waiting from which it accepts any idle target.
LAST_CHANCE = 0.02


class Patience:
    """Decides how long a request waits for a slot.

    :param work_times: the :class:`WorkTimes`.
    """

    def __init__(self, work_times):
        self._work_times = work_times

    def of(self, call):
        """Return the instant at which a request stops waiting for a slot."""
        work = SPREAD * self._work_times.of(call.route.name)
        least = LEAST_LEFT * (call.deadline - call.arrived_at)
        return max(call.arrived_at, call.deadline - max(work, least))

    def for_home(self, call):
        """Return the instant until which only affinity targets are used.

        That is now if other targets, which respond more slowly, would be in time too.
        """
        route = call.route.name
        longest = SPREAD * self._work_times.elsewhere(route)
        if call.arrived_at + longest <= call.aim_at:
            return call.arrived_at
        latest = call.aim_at - self._work_times.at_home(route)
        return min(latest, call.patient_until - LAST_CHANCE)
