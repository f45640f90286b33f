"""How long a request waits for a slot before it is refused or takes another target.

A request waits for as long as it can still be answered before its deadline: a late
answer is worth something to its caller, and a refusal in the middle of the wait has the
caller wait in vain. Whether its turn comes by then is for the queue to say, which
refuses at once what has no hope; see :mod:`.process.capacity.queue`.
"""

#: Times the mean that most requests take at most: with a mean just below the aim, half
#: of the requests at targets that had to learn the object were late.
SPREAD = 1.25
#: Part of its time that a request has left at least when it is given up: with less the
#: client could not come back, nor be answered where no work time is known yet.
LEAST_LEFT = 0.2
#: Seconds before the end of a request's patience at which it takes any idle target.
LAST_CHANCE = 0.02


class WaitPolicy:
    """Decides on the instants until which a request waits.

    :param response_times: the :class:`ResponseTimes`.
    """

    def __init__(self, response_times):
        self._response_times = response_times

    def of(self, call):
        """Return the instant at which a request is given up without a slot."""
        work = SPREAD * self._response_times.of(call.route.name)
        least = LEAST_LEFT * (call.deadline - call.arrived_at)
        return max(call.arrived_at, call.deadline - max(work, least))

    def for_home(self, call):
        """Return the instant until which only targets that know the object are used.

        Another one is idle at times, but takes longer: a request that would be late
        there and in time at home waits for its home first. One run each, before and
        after: worth 0.313 and 0.398 on an overloaded day, 0.460 and 0.473 on another.
        """
        route = call.route.name
        longest = SPREAD * self._response_times.elsewhere(route)
        if call.arrived_at + longest <= call.soft_deadline:
            return call.arrived_at
        latest = call.soft_deadline - self._response_times.at_affinity_target(route)
        return min(latest, call.give_up_at - LAST_CHANCE)
