"""Requests that wait for a slot of an owned target, and who comes next."""

from curio import Event as Signal

#: Seconds that a request holds a slot, before the first one is measured.
FIRST_HOLD = 0.2
HOLD_WEIGHT = 0.05


class Waiter:
    """A request in a queue; ``permit`` is set when its turn comes."""

    __slots__ = ("call", "preferred", "avoid", "signal", "permit")

    def __init__(self, call, preferred, avoid):
        self.call = call
        self.preferred = preferred
        self.avoid = avoid
        self.signal = Signal()
        self.permit = None

    def rank(self, now, hold):
        """Return the order of service, the lowest first.

        A request that came back after a refusal goes first: refused again it is lost.
        One that cannot be answered within its aim goes last. Then come the more urgent
        route and the earlier aim.
        """
        call = self.call
        late = now + hold > call.aim_at
        return late, not call.returned, call.route.priority, call.aim_at


class ServiceQueue:
    """The waiters of one service at one VM."""

    __slots__ = ("waiters", "_mean_hold")

    def __init__(self):
        self.waiters = []
        self._mean_hold = FIRST_HOLD

    @property
    def mean_hold(self):
        """Return the mean time for which a request holds its slot, in seconds."""
        return self._mean_hold

    def observe(self, seconds):
        """Take the time for which a request held its slot."""
        self._mean_hold += HOLD_WEIGHT * (seconds - self._mean_hold)

    def in_order(self, now):
        """Return the waiters, the next one first."""
        return sorted(self.waiters, key=lambda each: each.rank(now, self._mean_hold))

    def expected_wait(self, slots):
        """Return the seconds that a new waiter would wait for one of ``slots``."""
        return (len(self.waiters) + 1) * self._mean_hold / slots
