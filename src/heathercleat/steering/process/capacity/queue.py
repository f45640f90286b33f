"""Requests that wait for a slot of an owned target, and who comes next.

Requests that can still be answered within their aim go first. The others take the turns
that these leave over; how many those are is measured, so that a late request waits only
where its turn comes before its deadline.
"""

from curio import Event as Signal

from heathercleat.steering.process.capacity.slots import can_take_slot

#: Seconds that a request holds a slot, before the first one is measured.
INITIAL_HOLD_SECONDS = 0.2
HOLD_WEIGHT = 0.05
#: Weight of the newest turn in the share that is left over. In bursts of 1.3 times the
#: slots 7.3% of the requests were not served, with twenty turns in place of fifty 8.9%;
#: in a lasting overload of 1.5 times 1.2% waited in vain, and 0.5% (simulated).
SPARE_WEIGHT = 0.02
#: Share of the turns that is taken to be left over at least: the wait stays finite.
MIN_SPARE_SHARE = 0.01


class WaitEstimate:
    """Seconds that a new request would wait: one in time, and one that is late."""

    __slots__ = ("early", "late")

    def __init__(self, early, late):
        self.early = early
        self.late = late

    def of(self, call, now, work):
        """Return the wait of a call; one that it would make late waits as such.

        :param work: seconds that its run takes.
        """
        in_time = now + self.early + work <= call.soft_deadline
        return self.early if in_time else self.late


class Waiter:
    """A request in a queue; ``slot_use`` is set when its turn comes.

    :param preferred: ids of the targets that know its object, the best first.
    :param avoid: ids of targets not to use.
    :param region_of: returns the region of a failure domain.
    """

    __slots__ = ("call", "preferred", "avoid", "signal", "slot_use", "_region_of")

    def __init__(self, call, preferred, avoid, region_of):
        self.call = call
        self.preferred = preferred
        self.avoid = avoid
        self.signal = Signal()
        self.slot_use = None
        self._region_of = region_of

    async def interrupt(self):
        """End the wait: the client left."""
        await self.signal.set()

    def can_use(self, entry, free, now):
        """Return whether the request may use one of the free slots of a target.

        A VM may own targets of regions that have no VM of their own at the moment: the
        regions that the route allows bind here as well.
        """
        if entry.id in self.avoid or not free:
            return False
        if not self.call.route.allows(self._region_of(entry.failure_domain)):
            return False
        if self.preferred and now < self.call.affinity_until:
            return entry.id in self.preferred
        return can_take_slot(entry, free, self.preferred)

    def place(self, target_id):
        """Return how well a target knows the object: 0 is best."""
        if target_id in self.preferred:
            return self.preferred.index(target_id)
        return len(self.preferred)

    def rank(self, now, hold, target_id):
        """Return the order in which waiters get a slot of a target, the lowest first.

        One that cannot be answered within its aim goes last; of these the more urgent
        route goes first, then the one whose object the target knows, which holds the
        slot for a third of the time, and the earlier deadline. Of those in time, one
        that came back after a refusal goes first: refused again it is lost. Then come
        the more urgent route, a known object, and the earlier aim.
        """
        call = self.call
        known = self.place(target_id)
        if self.is_late(now, hold):
            return True, True, call.route.priority, known, call.deadline
        return False, not call.returned, call.route.priority, known, call.soft_deadline

    def is_late(self, now, hold):
        """Return whether an answer comes after the aim if it starts now."""
        return now + hold > self.call.soft_deadline


class ServiceQueue:
    """The waiters of one service at one VM."""

    __slots__ = ("waiters", "_mean_hold", "_spare")

    def __init__(self):
        self.waiters = []
        self._mean_hold = INITIAL_HOLD_SECONDS
        self._spare = 1.0

    @property
    def mean_hold_seconds(self):
        """Return the mean time for which a request holds its slot, in seconds."""
        return self._mean_hold

    def record_hold(self, seconds):
        """Take the time for which a request held its slot."""
        self._mean_hold += HOLD_WEIGHT * (seconds - self._mean_hold)

    def record_free_slot(self, entry, free, now):
        """Note whether a slot that came free finds no request in time for it."""
        wanted = any(
            each.can_use(entry, free, now) and not each.is_late(now, self._mean_hold)
            for each in self.waiters
        )
        self._spare += SPARE_WEIGHT * ((not wanted) - self._spare)

    def early(self, now):
        """Return the number of waiters that can still be in time."""
        return sum(not each.is_late(now, self._mean_hold) for each in self.waiters)

    def next_for(self, entry, free, now):
        """Return the waiter that gets one of the free slots of a target, or ``None``.

        :param entry: the :class:`TargetEntry`.
        """
        willing = [each for each in self.waiters if each.can_use(entry, free, now)]
        return min(
            willing,
            key=lambda each: each.rank(now, self._mean_hold, entry.id),
            default=None,
        )

    def waits(self, slots, now, count_late_before=None):
        """Return the :class:`WaitEstimate` for one of ``slots``.

        :param count_late_before: late waiters that go before it; all when ``None``.
        """
        early = self.early(now)
        if count_late_before is None:
            count_late_before = len(self.waiters) - early
        turn = self._mean_hold / slots
        first = (early + 1) * turn
        left_over = max(MIN_SPARE_SHARE, self._spare)
        return WaitEstimate(first, first + (count_late_before + 1) * turn / left_over)

    def count_late_before(self, call, now):
        """Return how many late waiters go before a late call, at any target."""
        own = _late_order(call)
        return sum(
            each.is_late(now, self._mean_hold) and _late_order(each.call) < own
            for each in self.waiters
        )


def _late_order(call):
    return call.route.priority, call.deadline
