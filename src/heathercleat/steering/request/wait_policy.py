"""How long a request waits for a slot before it is refused or takes another target.

A request waits as long as a response before its deadline is possible. Requests that
would not get a slot by then are refused at once; see :mod:`.process.capacity.queue`.
"""

#: Most response times are below the mean times this factor.
RESPONSE_TIME_FACTOR = 1.25
#: Share of the timeout that remains at least when a request stops waiting, so that the
#: client can retry.
MIN_REMAINING_SHARE = 0.2
#: Seconds before a request stops waiting from which it accepts any idle target.
ANY_TARGET_SECONDS = 0.02


class WaitPolicy:
    """Decides how long a request waits for a slot.

    :param response_times: the :class:`ResponseTimes`.
    """

    def __init__(self, response_times):
        self._response_times = response_times

    def give_up_at(self, call):
        """Return the instant at which a request stops waiting for a slot."""
        response_time = RESPONSE_TIME_FACTOR * self._response_times.mean(
            call.route.name
        )
        min_remaining = MIN_REMAINING_SHARE * (call.deadline - call.arrived_at)
        return max(call.arrived_at, call.deadline - max(response_time, min_remaining))

    def affinity_until(self, call):
        """Return the instant until which only affinity targets are used.

        It is the arrival of the request if other targets, which respond more slowly,
        would be in time too.
        """
        route = call.route.name
        longest = RESPONSE_TIME_FACTOR * self._response_times.at_other_target(route)
        if call.arrived_at + longest <= call.soft_deadline:
            return call.arrived_at
        latest = call.soft_deadline - self._response_times.at_affinity_target(route)
        return min(latest, call.give_up_at - ANY_TARGET_SECONDS)
