"""How long a request waits for a slot before it is refused or takes another target.

A request waits while a response before its deadline is still possible. A request that
is not expected to get a slot in that time is refused at once; see
:mod:`heathercleat.steering.process.capacity.queue`.
"""

#: Multiple of the mean response time that most responses do not exceed. With a mean
#: just below the latency objective, half of the responses for objects that are not
#: cached would be late.
RESPONSE_TIME_FACTOR = 1.25
#: Minimum share of the timeout that remains when a request stops waiting, so that the
#: client can retry, and can get a response where no response time is known yet.
MIN_REMAINING_SHARE = 0.2
#: Seconds before ``give_up_at`` from which a request accepts any idle target.
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

        This is the request's arrival if other targets, which respond more slowly, can
        also meet the latency objective.
        """
        route = call.route.name
        response_time = RESPONSE_TIME_FACTOR * self._response_times.at_other_target(
            route
        )
        if call.arrived_at + response_time <= call.soft_deadline:
            return call.arrived_at
        latest = call.soft_deadline - self._response_times.at_affinity_target(route)
        return min(latest, call.give_up_at - ANY_TARGET_SECONDS)
