"""Requests that wait for a slot of one service, the earliest deadline first."""

from dataclasses import dataclass, field

from curio import Event as Signal

#: Weight of the newest observation in the mean time that a request holds a slot.
HOLD_WEIGHT = 0.1
FIRST_HOLD = 0.02
#: Holding times that a request may wait in a queue that does not empty.
STANDING_HOLDS = 1.5


@dataclass(slots=True)
class Waiter:
    """A request in a queue."""

    request: object
    avoid: frozenset
    since: float
    signal: Signal = field(default_factory=Signal)
    permit: object = None
    evicted: bool = False
    left: bool = False

    @property
    def rank(self):
        """Return the order of eviction: light and late requests go first."""
        return self.request.kind.weight, -self.request.deadline


class ServiceQueue:
    """Waiting requests of one service and how long its requests hold a slot."""

    def __init__(self):
        self._waiters = []
        self._mean_hold = FIRST_HOLD
        self._empty_at = 0.0
        self._stalled_before = 0.0

    @property
    def waiters(self):
        """Return the waiters, the earliest deadline first."""
        return self._waiters

    @property
    def mean_hold(self):
        """Return the mean seconds for which a request holds a slot."""
        return self._mean_hold

    @property
    def empty_at(self):
        """Return when a request last found the queue empty."""
        return self._empty_at

    def observe(self, seconds):
        """Note how long a request held its slot."""
        self._mean_hold += HOLD_WEIGHT * (seconds - self._mean_hold)

    def longest_wait(self, service, now, stalled):
        """Return how long a request may wait here, in seconds.

        A queue that empties now and then absorbs a burst, and may take its whole time.
        One that has not been empty for a while only adds delay, so its requests wait
        hardly longer than one takes (controlled delay: Nichols and Jacobson, 2012).

        :param stalled: seconds for which this process has not run; a queue does not
            stand while nobody serves it.
        """
        if not self._waiters:
            self._empty_at, self._stalled_before = now, stalled
        standing = now - self._empty_at - (stalled - self._stalled_before)
        if standing <= service.queue_wait:
            return service.queue_wait
        return min(service.queue_wait, STANDING_HOLDS * self._mean_hold)

    def push(self, waiter):
        """Queue a waiter by its deadline."""
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda each: each.request.deadline)

    def remove(self, waiter):
        """Take a waiter out."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
