"""Requests that wait for a slot of an owned target, and who comes next."""

from curio import Event as Signal

from heathercleat.steering.process.capacity.slots import is_open

#: Seconds that a request holds a slot, before the first one is measured.
FIRST_HOLD = 0.2
HOLD_WEIGHT = 0.05


class Waiter:
    """A request in a queue; ``permit`` is set when its turn comes.

    :param preferred: ids of the targets that know its object, the best first.
    :param avoid: ids of targets not to use.
    :param region_of: returns the region of a failure domain.
    """

    __slots__ = ("call", "preferred", "avoid", "signal", "permit", "_region_of")

    def __init__(self, call, preferred, avoid, region_of):
        self.call = call
        self.preferred = preferred
        self.avoid = avoid
        self.signal = Signal()
        self.permit = None
        self._region_of = region_of

    def may_use(self, entry, free, now):
        """Return whether the request may use one of the free slots of a target.

        A VM may own targets of regions that have no VM of their own at the moment: the
        regions that the route allows bind here as well.
        """
        if entry.id in self.avoid or not free:
            return False
        if not self.call.route.allows(self._region_of(entry.failure_domain)):
            return False
        if self.preferred and now < self.call.home_until:
            return entry.id in self.preferred
        return is_open(entry, free, self.preferred)

    def place(self, target_id):
        """Return how well a target knows the object: 0 is best."""
        if target_id in self.preferred:
            return self.preferred.index(target_id)
        return len(self.preferred)

    def rank(self, now, hold, target_id):
        """Return the order in which waiters get a slot of a target, the lowest first.

        One that cannot be answered within its aim goes last. One that came back after a
        refusal goes first: refused again it is lost. Then come the more urgent route,
        the one whose object the target knows, and the earlier aim.
        """
        call = self.call
        late = now + hold > call.aim_at
        known = self.place(target_id)
        return late, not call.returned, call.route.priority, known, call.aim_at


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

    def next_for(self, entry, free, now):
        """Return the waiter that gets one of the free slots of a target, or ``None``.

        :param entry: the :class:`TargetEntry`.
        """
        willing = [each for each in self.waiters if each.may_use(entry, free, now)]
        return min(
            willing,
            key=lambda each: each.rank(now, self._mean_hold, entry.id),
            default=None,
        )

    def expected_wait(self, slots):
        """Return the seconds that a new waiter would wait for one of ``slots``."""
        return (len(self.waiters) + 1) * self._mean_hold / slots
