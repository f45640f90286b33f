"""Division of the slots of a service among workspaces while the slots are short.

Each workspace gets its max-min fair share within its rank: of the slots of this VM, and
of those of all owners in the region. What it does not use goes to the others at once.
"""

from math import ceil, inf

from heathercleat.process.clock import DISTANT_PAST
from heathercleat.steering.process.capacity.queue import WaitEstimate
from heathercleat.steering.process.capacity.share_usage import ShareUsage

#: Smallest share in slots by which a time to wait is computed; a rank that gets nothing
#: would have to wait for an unknown time.
MIN_SHARE_SLOTS = 1.0
#: Seconds for which the sum of other owners' reports is used again, and claims to scale
#: the waits that they report; short beside the 0.15 s between reports. A request
#: compares several owners.
CLAIMS_TTL_SECONDS = 0.02


class FairShares:
    """The shares of one service.

    :param service: its name.
    :param ledger: the :class:`SlotLedger` of owned targets.
    :param reports: the :class:`ShareReports` of other owners.
    :param find_workspaces: returns the names of the workspaces of the configuration in
        force; empty if it lists none, so that slots are not divided.
    :param fractions: the :class:`ServedFractions` of requests at this VM.
    """

    __slots__ = (
        "_service",
        "_ledger",
        "_reports",
        "_find_workspaces",
        "_fractions",
        "_queue",
        "_others",
        "_others_until",
        "_recent_claims",
        "_recent_until",
        "_clock",
    )

    def __init__(self, service, ledger, reports, find_workspaces, fractions, clock):
        self._service = service
        self._ledger = ledger
        self._reports = reports
        self._find_workspaces = find_workspaces
        self._fractions = fractions
        self._queue = None
        self._others = ShareUsage(0)
        self._others_until = DISTANT_PAST
        self._recent_claims = None
        self._recent_until = DISTANT_PAST
        self._clock = clock

    def attach(self, queue):
        """Set the :class:`ServiceQueue` with the requests that wait at this VM."""
        self._queue = queue

    @property
    def is_active(self):
        """Return whether the configuration in force lists workspaces."""
        return bool(self._find_workspaces())

    def claims(self):
        """Return the :class:`Claims` as of now, ``None`` if slots are not divided."""
        workspaces = self._find_workspaces()
        if not workspaces:
            return None
        own = self.own_usage(workspaces)
        region = ShareUsage(0)
        region.include(own)
        region.include(self._others_usage(workspaces))
        return Claims(own, region, workspaces, self._fractions)

    def _others_usage(self, workspaces):
        """Return the sum of what other owners report, computed at most every 20 ms."""
        now = self._clock.now()
        if now >= self._others_until:
            self._others = ShareUsage(0)
            for usage in self._reports.of_service(self._service):
                self._others.include(_restricted(usage, workspaces))
            self._others_until = now + CLAIMS_TTL_SECONDS
        return self._others

    def own_usage(self, workspaces):
        """Return the :class:`ShareUsage` of the targets that this VM owns."""
        now, hold_seconds = self._clock.now(), self._hold_seconds
        targets = self._ledger.of_service(self._service)
        usage = ShareUsage(
            sum(each.usable_slots(hold_seconds, now) for each in targets)
        )
        # A request ends at its deadline, also if this VM was suspended then.
        for target in targets:
            for use in target.uses:
                if use.user is not None and now < use.deadline:
                    usage.add(_known(use.user, workspaces), 1, 0)
        for waiter in self._queue.waiters if self._queue else ():
            usage.add(user_of(waiter.call, workspaces), 0, 1)
        return usage

    def scale_wait(self, owner, call, estimate):
        """Return the :class:`WaitEstimate` of a request at another owner.

        The owner reports the wait behind all requests that wait there. A request of a
        workspace within its share waits only for those that go before it.

        :param estimate: the wait that the owner reports.
        """
        usage = self._reports.of_owner(owner, self._service)
        claims = self._recent() if usage is not None else None
        if claims is None:
            return estimate
        return claims.scale_wait(call, usage, estimate)

    def _recent(self):
        """Return :meth:`claims`, at most :data:`CLAIMS_TTL_SECONDS` old."""
        now = self._clock.now()
        if now >= self._recent_until:
            self._recent_claims = self.claims()
            self._recent_until = now + CLAIMS_TTL_SECONDS
        return self._recent_claims

    @property
    def _hold_seconds(self):
        return self._queue.mean_hold_seconds if self._queue else 0.0


class Claims:
    """The claims of users on the slots of a service at one instant.

    A *user* is a pair of rank and workspace; see :class:`ShareUsage`.

    :param own: the :class:`ShareUsage` of the targets of this VM.
    :param region: the same of all owners in the region.
    :param workspaces: names of the workspaces of the configuration in force.
    :param fractions: the :class:`ServedFractions`.
    """

    __slots__ = (
        "_own",
        "_region",
        "_workspaces",
        "_fractions",
        "_excesses",
        "_starved",
    )

    def __init__(self, own, region, workspaces, fractions):
        self._own = own
        self._region = region
        self._workspaces = workspaces
        self._fractions = fractions
        self._excesses = {}
        self._starved = {}

    @property
    def region(self):
        """Return the :class:`ShareUsage` of all owners in the region."""
        return self._region

    def user_of(self, call):
        """Return the user of a request."""
        return user_of(call, self._workspaces)

    def share(self, user):
        """Return how many slots of the region a user may hold while they are short."""
        return self._region.share(user)

    def is_over_share(self, user):
        """Return whether a user already holds its share of the region's slots."""
        return self._region.is_over_share(user)

    def excess(self, user):
        """Return 2 for a user over its share in the region, plus 1 if over that here.

        Both count: an owner with few requests of a large workspace must not favour it,
        and one with many must not give it all of its slots while others have free ones.
        """
        excess = self._excesses.get(user)
        if excess is None:
            excess = 2 * self._region.is_over_share(user)
            excess += self._counts_here(user) and self._own.is_over_share(user)
            self._excesses[user] = excess
        return excess

    def _counts_here(self, user):
        """Return whether a user's share of the slots of this VM alone counts.

        Not while the region's slots are short and the user asks for less than its share
        of them. Its share here may be one slot or less, and holding one is no excess.
        """
        region = self._region
        return not region.is_short(user) or region.demand(user) >= region.share(user)

    def is_deferred(self, call, is_late):
        """Return whether a request comes after those that are on time and in share."""
        return is_late or self.excess(self.user_of(call)) > 0

    def sort_key(self, call, is_late, preference):
        """Return the sort key of a waiting request, lowest first.

        Without a workspace over its share the order is that of
        :meth:`Waiter.sort_key`. A request of a workspace over its share comes after
        those of the others of its rank, also if they are late or it is a retry.

        :param preference: rank of the target in the request's order of preference.
        """
        is_within_floor = not self._is_starved(call)
        excess, rank = self.excess(self.user_of(call)), call.route.priority
        if not is_late and not excess:
            is_first_attempt = not call.is_client_retry
            order = False, is_first_attempt, rank, 0, False, preference
            return is_within_floor, *order, call.soft_deadline
        due_at = call.deadline if is_late else call.soft_deadline
        return is_within_floor, True, True, rank, excess, is_late, preference, due_at

    def wait_estimate(self, call, queue, slot_interval, now):
        """Return the :class:`WaitEstimate` of a new request.

        Only requests that go before it count.

        :param queue: the :class:`ServiceQueue`.
        :param slot_interval: mean seconds between two released slots.
        """
        hold_seconds = queue.mean_hold_seconds
        waiters = [
            (each.call, each.is_late(now, hold_seconds)) for each in queue.waiters
        ]
        if self._is_starved(call):
            wait = (self._count_before(call, False, waiters) + 1) * slot_interval
            return WaitEstimate(wait, wait)
        first, deferred, is_within_share = self._split(call, waiters)
        spare_interval = slot_interval / queue.spare_share

        def deferred_wait(is_late):
            ahead = self._count_before(call, is_late, deferred)
            return (len(first) + 1) * slot_interval + (ahead + 1) * spare_interval

        if not is_within_share:
            return WaitEstimate(deferred_wait(False), deferred_wait(True))
        on_time = (self._count_before(call, False, first) + 1) * slot_interval
        return WaitEstimate(on_time, deferred_wait(True))

    def _split(self, call, waiters):
        """Return the requests that are on time and in share, the others, and whether
        the share of a new request also covers that one.

        The requests of a user that exceed its share belong to the others, although the
        user is not over its share until the earlier ones have a slot.

        :param waiters: pairs of a call and whether it is late.
        """
        remaining, first, deferred = {}, [], []
        for waiter in sorted(waiters, key=lambda each: self.sort_key(*each, 0)):
            user = self.user_of(waiter[0])
            slots = remaining.get(user, self._remaining(user))
            remaining[user] = slots - 1
            is_first = slots > 0 and not waiter[1]
            (first if is_first else deferred).append(waiter)
        user = self.user_of(call)
        return first, deferred, remaining.get(user, self._remaining(user)) > 0

    def _remaining(self, user):
        """Return how many more slots a user may hold; may be infinite."""
        remaining = self._region.remaining(user)
        if self._counts_here(user):
            remaining = min(remaining, self._own.remaining(user))
        return remaining if remaining == inf else max(0, ceil(remaining))

    def scale_wait(self, call, usage, estimate):
        """Return the :class:`WaitEstimate` at an owner that reports a wait for all.

        :param usage: the :class:`ShareUsage` that the owner reports.
        :param estimate: the wait that it reports.
        """
        own_user = self.user_of(call)
        if self.is_over_share(own_user):
            return estimate
        ahead = sum(
            min(usage.waiting(each), max(0.0, self._region.remaining(each)))
            for each in usage.users
            if each[0] <= own_user[0]
        )
        wait = estimate.on_time * (ahead + 1) / (usage.waiting_count + 1)
        return WaitEstimate(wait, wait)

    def refusal_wait(self, call, waiters, hold_seconds):
        """Return the seconds until the share allows a request that is refused at once.

        ``None`` if the request is not refused: its workspace is within its share, or
        no request with a better claim waits here.

        :param waiters: the queued :class:`Waiter` objects.
        :param hold_seconds: mean time for which a request holds a slot.
        """
        user = self.user_of(call)
        if not self.is_over_share(user) or self._is_starved(call):
            return None
        excess = self.excess(user)
        if not any(self.excess(self.user_of(each.call)) < excess for each in waiters):
            return None
        share = max(MIN_SHARE_SLOTS, self.share(user))
        held, waiting = self._region.held(user), self._region.waiting(user)
        # The held slots end within one hold time, those that wait follow at the share.
        until_within = hold_seconds * max(1.0, held + 1 - share) / max(1.0, held)
        return until_within + waiting * hold_seconds / share

    def _count_before(self, call, is_late, waiters):
        """Return how many requests go before a new one.

        :param is_late: whether the new request is late.
        :param waiters: pairs of a call and whether it is late.
        """
        own_key = self.sort_key(call, is_late, 0)
        return sum(self.sort_key(*each, 0) < own_key for each in waiters)

    def _is_starved(self, call):
        """Return whether higher ranks leave a request far less than others get.

        Only if its rank has less than an equal part of the slots for each user. A user
        with more is large: where it gets little, it holds slots of other owners.
        """
        user = self.user_of(call)
        key = user, call.route.name
        is_starved = self._starved.get(key)
        if is_starved is None:
            is_starved = self._region.share(
                user
            ) < self._region.equal_share and self._fractions.is_starved(
                user[1], call.route.name
            )
            self._starved[key] = is_starved
        return is_starved


def user_of(call, workspaces):
    """Return the user of a request; see :class:`ShareUsage`.

    :param workspaces: names of the workspaces of the configuration in force.
    """
    return _known((call.route.priority, call.workspace), workspaces)


def _known(user, workspaces):
    """Return a user, without its workspace if the configuration does not list it."""
    rank, workspace = user
    return user if workspace in workspaces else (rank, None)


def _restricted(usage, workspaces):
    """Return a reported :class:`ShareUsage` with the workspaces known here."""
    restricted = ShareUsage(usage.slots)
    for user in usage.users:
        known = _known(user, workspaces)
        restricted.add(known, usage.held(user), usage.waiting(user))
    return restricted
