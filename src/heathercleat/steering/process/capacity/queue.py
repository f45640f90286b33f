"""Requests that wait for a slot of an owned target, in order of priority.

Requests that can still meet their latency objective go first. Late requests get the
slots that no on-time request can use. The share of these slots is measured, so that a
late request is queued only if it can be served before its deadline.
"""

from curio import Event as Signal

from heathercleat.steering.process.capacity.slots import can_take_slot

#: Assumed seconds for which a request holds a slot, until measured.
INITIAL_HOLD_SECONDS = 0.2
#: Weight of the newest request in the mean time for which a request holds a slot.
HOLD_WEIGHT = 0.05
#: Weight of the newest released slot in the share of slots left for late requests. With
#: a larger one, more requests are not served in bursts.
SPARE_WEIGHT = 0.02
#: Lower bound of the share of slots left for late requests, so that their expected wait
#: stays finite.
MIN_SPARE_SHARE = 0.01


class WaitEstimate:
    """Expected waits of a new request in seconds.

    :param on_time: for a request that can be on time.
    :param late: for a late request.
    """

    __slots__ = ("on_time", "late")

    def __init__(self, on_time, late):
        self.on_time = on_time
        self.late = late

    def after(self, seconds):
        """Return the expected waits if no request starts for some seconds."""
        return WaitEstimate(self.on_time + seconds, self.late + seconds)

    def for_call(self, call, now, response_seconds):
        """Return the expected wait of a call.

        If the call would miss its latency objective after the on-time wait, this is the
        expected wait of a late request.

        :param response_seconds: expected seconds from the end of the wait to the
            response.
        """
        is_on_time = now + self.on_time + response_seconds <= call.soft_deadline
        return self.on_time if is_on_time else self.late


class Waiter:
    """A queued request; ``slot_use`` is set once it has a slot.

    :param preferred: ids of the request's affinity targets, best first.
    :param avoid: ids of excluded targets.
    :param region_of: returns the region of a failure domain.
    :param queued_at: when it was queued.
    """

    __slots__ = (
        "call",
        "preferred",
        "avoid",
        "signal",
        "slot_use",
        "queued_at",
        "_region_of",
    )

    def __init__(self, call, preferred, avoid, region_of, queued_at):
        self.call = call
        self.preferred = preferred
        self.avoid = avoid
        self.signal = Signal()
        self.slot_use = None
        self.queued_at = queued_at
        self._region_of = region_of

    async def interrupt(self):
        """End the wait, since the client disconnected."""
        await self.signal.set()

    def can_use(self, entry, free, now):
        """Return whether the request may use one of the free slots of a target.

        The regions that the route allows are checked here too, since a VM may own
        targets of regions without a live VM.
        """
        if entry.id in self.avoid or not free:
            return False
        if not self.call.route.allows(self._region_of(entry.failure_domain)):
            return False
        if self.preferred and now < self.call.affinity_until:
            return entry.id in self.preferred
        return can_take_slot(entry, free, self.preferred)

    def may_be_cached_at(self, target_id):
        """Return whether a target may have the object of the request cached.

        ``True`` also for a request without an object, which runs alike everywhere.
        """
        return self.call.affinity is None or target_id in self.preferred

    def preference_rank(self, target_id):
        """Return the rank of a target in the order of preference; 0 is best."""
        if target_id in self.preferred:
            return self.preferred.index(target_id)
        return len(self.preferred)

    def sort_key(self, now, hold_seconds, target_id, claims=None):
        """Return the sort key by which waiters get a slot of a target, lowest first.

        On-time requests come before late ones. Among the on-time requests, retries by
        clients after a refusal come first; then the order is by priority of the route,
        preference for the target and latency objective. Late requests are ordered by
        priority, preference and deadline.

        :param claims: the :class:`Claims`, which put requests of workspaces over their
            share after others; ``None`` if slots are not divided.
        """
        call = self.call
        preference = self.preference_rank(target_id)
        if claims is not None:
            is_late = self.is_late(now, hold_seconds)
            return claims.sort_key(call, is_late, preference)
        if self.is_late(now, hold_seconds):
            return True, True, call.route.priority, preference, call.deadline
        return (
            False,
            not call.is_client_retry,
            call.route.priority,
            preference,
            call.soft_deadline,
        )

    def is_deferred(self, now, hold_seconds, claims):
        """Return whether the request gets only slots that others leave."""
        is_late = self.is_late(now, hold_seconds)
        return is_late if claims is None else claims.is_deferred(self.call, is_late)

    def is_late(self, now, hold_seconds):
        """Return whether the request would be late if it started now."""
        return now + hold_seconds > self.call.soft_deadline


class ServiceQueue:
    """The waiters of one service at one VM.

    :param shares: the :class:`FairShares`; ``None`` if slots are not divided among
        workspaces.
    """

    __slots__ = ("waiters", "_shares", "_mean_hold_seconds", "_spare_share")

    def __init__(self, shares=None):
        self.waiters = []
        self._shares = shares
        if shares is not None:
            shares.attach(self)
        self._mean_hold_seconds = INITIAL_HOLD_SECONDS
        self._spare_share = 1.0

    @property
    def mean_hold_seconds(self):
        """Return the mean time for which a request holds a slot, in seconds."""
        return self._mean_hold_seconds

    @property
    def spare_share(self):
        """Return the share of slots left for requests that come after the others."""
        return max(MIN_SPARE_SHARE, self._spare_share)

    @property
    def is_divided(self):
        """Return whether slots are divided among workspaces."""
        return self._shares is not None and self._shares.is_active

    def claims(self):
        """Return the :class:`Claims` as of now, ``None`` if slots are not divided."""
        return self._shares and self._shares.claims()

    def record_hold(self, seconds):
        """Record the time for which a request held a slot, in seconds."""
        self._mean_hold_seconds += HOLD_WEIGHT * (seconds - self._mean_hold_seconds)

    def record_free_slot(self, entry, free, now):
        """Record whether any on-time request can use a released slot."""
        claims = self.claims() if self.waiters else None
        is_wanted = any(
            each.can_use(entry, free, now)
            and not each.is_deferred(now, self._mean_hold_seconds, claims)
            for each in self.waiters
        )
        self._spare_share += SPARE_WEIGHT * ((not is_wanted) - self._spare_share)

    def on_time_count(self, now):
        """Return the number of waiters that can still be on time."""
        return sum(
            not each.is_late(now, self._mean_hold_seconds) for each in self.waiters
        )

    def next_for(self, entry, free, now, queued_until=None, slowdown=1.0):
        """Return the next waiter for one of the free slots of a target, or ``None``.

        :param entry: the :class:`TargetEntry`.
        :param queued_until: only requests that were queued by then; ``None`` for all.
        :param slowdown: factor by which requests take longer at the target.
        """
        latest = now if queued_until is None else queued_until
        hold_seconds = self._mean_hold_seconds * slowdown
        eligible = [
            each
            for each in self.waiters
            if each.queued_at <= latest and each.can_use(entry, free, now)
        ]
        if len(eligible) < 2:
            return eligible[0] if eligible else None
        claims = self.claims()
        return min(
            eligible,
            key=lambda each: each.sort_key(now, hold_seconds, entry.id, claims),
            default=None,
        )

    def wait_estimate(self, slots, now, late_ahead=None):
        """Return the :class:`WaitEstimate` for one of ``slots`` slots.

        :param late_ahead: number of late waiters ahead of the request; ``None`` if all
            of them are.
        """
        on_time_count = self.on_time_count(now)
        if late_ahead is None:
            late_ahead = len(self.waiters) - on_time_count
        slot_interval = self._mean_hold_seconds / slots
        on_time_wait = (on_time_count + 1) * slot_interval
        late_wait = (late_ahead + 1) * slot_interval / self.spare_share
        return WaitEstimate(on_time_wait, on_time_wait + late_wait)

    def count_late_before(self, call, now):
        """Return the number of late waiters ahead of a late call."""
        own = _late_sort_key(call)
        return sum(
            each.is_late(now, self._mean_hold_seconds)
            and _late_sort_key(each.call) < own
            for each in self.waiters
        )


def _late_sort_key(call):
    return call.route.priority, call.deadline
