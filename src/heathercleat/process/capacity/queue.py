"""Queue of the requests of one service, ordered by earliest deadline."""

from dataclasses import dataclass, field

from curio import Event as Signal

#: Weight of a new observation in the moving average of slot holding times.
HOLD_WEIGHT = 0.1
INITIAL_HOLD_SECONDS = 0.02
#: Maximum wait in a standing queue, as a multiple of the mean holding time of a slot.
MAX_STANDING_HOLDS = 1.5


@dataclass(slots=True)
class Waiter:
    """A queued request.

    ``signal`` is set together with ``permit``, ``is_evicted`` or
    ``has_caller_disconnected``.
    """

    request: object
    avoid: frozenset
    queued_at: float
    signal: Signal = field(default_factory=Signal)
    permit: object = None
    is_evicted: bool = False
    has_caller_disconnected: bool = False

    @property
    def eviction_rank(self):
        """Return the eviction order: low weight first, then latest deadline."""
        return self.request.kind.weight, -self.request.deadline


class ServiceQueue:
    """The queue of one service and the mean holding time of its slots."""

    def __init__(self):
        self._waiters = []
        self._mean_hold_seconds = INITIAL_HOLD_SECONDS
        self._last_empty_at = 0.0
        self._stalled_seconds_at_empty = 0.0

    @property
    def waiters(self):
        """Return the waiters, ordered by earliest deadline."""
        return self._waiters

    @property
    def mean_hold_seconds(self):
        """Return the moving average of the seconds for which requests hold a slot."""
        return self._mean_hold_seconds

    @property
    def last_empty_at(self):
        """Return the instant at which a request last found the queue empty."""
        return self._last_empty_at

    def record_hold(self, seconds):
        """Record for how many seconds a request held its slot."""
        self._mean_hold_seconds += HOLD_WEIGHT * (seconds - self._mean_hold_seconds)

    def max_wait(self, service, now, stalled_seconds):
        """Return the maximum wait of a new request, in seconds.

        Also records ``now`` as the last instant at which the queue was empty, if it is.

        A queue that empties regularly absorbs bursts, and the full wait of the service
        applies. A standing queue only adds delay, so the wait is limited to little more
        than one holding time (CoDel: Nichols and Jacobson, 2012).

        :param stalled_seconds: total stalls of this process, which don't count towards
            the age of a standing queue.
        """
        if not self._waiters:
            self._last_empty_at, self._stalled_seconds_at_empty = now, stalled_seconds
        standing_seconds = (
            now
            - self._last_empty_at
            - (stalled_seconds - self._stalled_seconds_at_empty)
        )
        if standing_seconds <= service.queue_wait:
            return service.queue_wait
        return min(service.queue_wait, MAX_STANDING_HOLDS * self._mean_hold_seconds)

    def push(self, waiter):
        """Insert a waiter in order of its deadline."""
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda each: each.request.deadline)

    def remove(self, waiter):
        """Remove a waiter if it is in the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
