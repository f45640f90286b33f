"""Admission control for the targets that this VM owns."""

from math import inf

from curio import timeout_after
from curio.errors import TaskTimeout

from heathercleat.steering.process.capacity.machine_speed import (
    UNCACHED_FACTOR,
    select_earliest,
)
from heathercleat.steering.process.capacity.queue import (
    ServiceQueue,
    Waiter,
    WaitEstimate,
)

#: Seconds by which the expected wait may exceed the longest wait that a request
#: accepts; absorbs the usual variation of waits.
WAIT_TOLERANCE_SECONDS = 0.05
#: Seconds after which a queued request may exceed the limit of a target; longer than
#: the waits of requests that another target may serve.
OVERDRAFT_WAIT_SECONDS = 0.04


class Admission:
    """Assigns the slots of owned targets to requests, or queues the requests.

    :param ledger: the :class:`SlotLedger`.
    :param region_of: returns the region of a failure domain.
    :param shares: the :class:`WorkspaceShares`; ``None`` if slots are not divided
        among workspaces.
    """

    def __init__(self, ledger, region_of, clock, shares=None):
        self._ledger = ledger
        self._region_of = region_of
        self._clock = clock
        self._shares = shares
        self._queues = {}

    def waiting_count(self, service):
        """Return the number of requests queued for a service."""
        queue = self._queues.get(service)
        return len(queue.waiters) if queue else 0

    def free_for_peers(self, target, now):
        """Return the free slots of an owned target that other VMs may use.

        0 while requests that can still be on time are queued. Late requests that wait
        for their affinity target do not reserve the slots of other targets.
        """
        on_time_count = self._queue(target.entry.service).on_time_count(now)
        return 0 if on_time_count else target.free(now)

    def wait_estimate(self, service, call=None, claims=None):
        """Return the :class:`WaitEstimate` at the targets of a service.

        ``None`` if no target of the service has a usable slot.

        :param call: the request to be queued; ``None`` for any new request.
        :param claims: the :class:`Claims` as of now, if they are known already.
        """
        now, queue = self._clock.now(), self._queue(service)
        targets = self._ledger.of_service(service)
        if not queue.on_time_count(now) and any(target.free(now) for target in targets):
            return WaitEstimate(0.0, 0.0)
        hold_seconds = queue.mean_hold_seconds
        slots = sum(target.usable_slots(hold_seconds, now) for target in targets)
        reopens_at = now
        if not slots:
            resting = [each for each in targets if now < each.closed_until < inf]
            slots = sum(target.entry.slots for target in resting)
            reopens_at = min((each.closed_until for each in resting), default=now)
        if not slots:
            return None
        claims = claims or (call and queue.claims())
        if claims is not None:
            slot_interval = queue.mean_hold_seconds / slots
            estimate = claims.wait_estimate(call, queue, slot_interval, now)
            return estimate.after(reopens_at - now)
        late_ahead = call and queue.count_late_before(call, now)
        return queue.wait_estimate(slots, now, late_ahead).after(reopens_at - now)

    def expected_wait_seconds(self, call):
        """Return the expected wait, or ``None`` if no slot is usable."""
        estimate = self.wait_estimate(call.service, call)
        hold_seconds = self._queue(call.service).mean_hold_seconds
        return estimate and estimate.for_call(call, self._clock.now(), hold_seconds)

    async def acquire(self, call, preferred, avoid, wait_until):
        """Return a :class:`SlotUse`, or ``None`` if no slot became free in time.

        :param preferred: ids of the request's affinity targets, best first.
        :param avoid: ids of excluded targets.
        :param wait_until: instant at which the wait ends.
        """
        use = await self._acquire(call, preferred, avoid, wait_until)
        if self._shares is not None:
            self._record_slot(call, use)
        return use

    async def _acquire(self, call, preferred, avoid, wait_until):
        queue = self._queue(call.service)
        if preferred and not self._accepts_requests(preferred):
            call.affinity_until = min(call.affinity_until, self._clock.now())
        waiter = Waiter(call, preferred, avoid, self._region_of, self._clock.now())
        if not queue.waiters:
            use = self._claim_free_slot(waiter)
            if use is not None:
                return use
        if not self._gets_spare_slot(waiter, queue):
            if self._refuse_for_share(call, queue):
                return None
            if wait_until <= self._clock.now() or self.is_wait_too_long(call):
                return None
        call.was_queued = True
        queue.waiters.append(waiter)
        await self.admit_queued(call.service)
        try:
            await self._wait(waiter, wait_until)
        finally:
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)
        return waiter.slot_use

    async def release(self, use, has_response):
        """Release a slot and assign it to the next waiter.

        :param has_response: whether the target responded; only then is the hold time
            recorded.
        """
        service = use.target.entry.service
        now, queue = self._clock.now(), self._queue(service)
        if has_response:
            queue.record_hold(now - use.started_at)
        self._ledger.release(use)
        free = use.target.free(now)
        if free:
            queue.record_free_slot(use.target.entry, free, now)
        await self.admit_queued(service)

    async def admit_queued(self, service):
        """Assign free slots to the waiters of a service."""
        queue = self._queue(service)
        if not queue.waiters:
            return
        now = self._clock.now()
        targets = self._ledger.of_service(service)
        for target in sorted(targets, key=lambda each: each.slowdown(now)):
            await self._assign_free_slots(queue, target)

    async def admit_all_queued(self):
        """Assign the free slots of all services to waiters.

        Slots also become free without a release, such as at the end of an ejection.
        """
        for service in list(self._queues):
            await self.admit_queued(service)

    def is_wait_too_long(self, call):
        """Return whether the request would stop waiting before it gets a slot.

        Also ``True`` if no slot is usable.
        """
        wait = self.expected_wait_seconds(call)
        return (
            wait is None
            or self._clock.now() + wait > call.give_up_at + WAIT_TOLERANCE_SECONDS
        )

    def _gets_spare_slot(self, waiter, queue):
        """Return whether a slot is free that no waiting request can use.

        Requests that wait for affinity targets leave slots of others free. Only checked
        where slots are divided among workspaces.
        """
        if not queue.is_divided:
            return False
        now = self._clock.now()
        return any(
            waiter.can_use(target.entry, target.free(now), now)
            for target in self._ledger.of_service(waiter.call.service)
        )

    def _refuse_for_share(self, call, queue):
        """Refuse a new request of a workspace over its share while others wait.

        Return whether it is refused; ``call.share_wait`` is set then. A request that
        has been queued keeps its place.
        """
        call.share_wait = None
        claims = None if call.was_queued else queue.claims()
        if claims is None:
            return False
        hold_seconds = queue.mean_hold_seconds
        share_wait = claims.refusal_wait(call, queue.waiters, hold_seconds)
        if share_wait is None or self._is_wait_short(call, claims):
            return False
        call.share_wait = share_wait
        self._shares.record_refusal(call, claims)
        return True

    def _is_wait_short(self, call, claims):
        """Return whether a request would wait no longer than a request holds a slot.

        Such a wait keeps the slots that others leave in use: requests that wait for
        their affinity target do not take them.
        """
        estimate = self.wait_estimate(call.service, call, claims)
        hold_seconds = self._queue(call.service).mean_hold_seconds
        return estimate is not None and estimate.on_time <= hold_seconds

    def _record_slot(self, call, use):
        """Record whether a request got a slot; one that may still wait is not final."""
        if use is not None:
            self._shares.record_slot(call, True)
        elif not call.was_queued or self._clock.now() >= call.give_up_at:
            self._shares.record_slot(call, False)

    def _accepts_requests(self, target_ids):
        """Return whether one of some targets is owned and accepts requests now."""
        now = self._clock.now()
        owned = filter(None, map(self._ledger.get, target_ids))
        return any(target.limit(now) for target in owned)

    async def _assign_free_slots(self, queue, target):
        """Assign the free slots of a target to waiters."""
        now = self._clock.now()
        while queue.waiters:
            waiter = _next_waiter(queue, target, now)
            if waiter is None:
                return
            queue.waiters.remove(waiter)
            waiter.slot_use = _claim(target, waiter.call, now)
            await waiter.signal.set()

    async def _wait(self, waiter, wait_until):
        """Wait for a slot, at most until ``wait_until`` or the client's disconnect."""
        if waiter.slot_use is not None or waiter.call.is_disconnected:
            return
        waiter.call.on_disconnect = waiter
        remaining = wait_until - self._clock.now()
        try:
            if remaining > 0:
                await timeout_after(remaining, waiter.signal.wait)
        except TaskTimeout:
            return
        finally:
            waiter.call.on_disconnect = None

    def _claim_free_slot(self, waiter):
        """Claim a free slot, preferably of the best affinity target."""
        now = self._clock.now()
        free = [
            target
            for target in self._ledger.of_service(waiter.call.service)
            if waiter.can_use(target.entry, target.free(now), now)
        ]
        if not free:
            return None

        def order(target):
            return waiter.preference_rank(target.entry.id), -target.free(now)

        best = min(free, key=order)
        if best.speed.is_slow(now):
            hold_seconds = self._queue(waiter.call.service).mean_hold_seconds

            def finish_seconds(target):
                is_cached = waiter.may_be_cached_at(target.entry.id)
                usual = hold_seconds * (1.0 if is_cached else UNCACHED_FACTOR)
                return target.speed.run_seconds(usual, now)

            best = select_earliest(best, sorted(free, key=order), finish_seconds)
        return _claim(best, waiter.call, now)

    def _queue(self, service):
        queue = self._queues.get(service)
        if queue is None:
            shares = self._shares and self._shares.of_service(service)
            queue = self._queues[service] = ServiceQueue(shares)
        return queue


def _claim(target, call, now):
    """Claim a slot of a target for a request; it counts for its user from now on."""
    use = target.claim(now, call.deadline)
    use.user = call.route.priority, call.workspace
    return use


def _next_waiter(queue, target, now):
    """Return the waiter that gets a slot of a target next, or ``None``."""
    free, slowdown = target.free(now), target.slowdown(now)
    if free:
        return queue.next_for(target.entry, free, now, slowdown=slowdown)
    overdraft = target.overdraft(now)
    if not overdraft:
        return None
    return queue.next_for(
        target.entry, overdraft, now, now - OVERDRAFT_WAIT_SECONDS, slowdown
    )
