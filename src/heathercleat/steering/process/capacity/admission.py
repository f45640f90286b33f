"""Admission to the targets that this VM owns: a free slot, a short wait, or none."""

from curio import timeout_after
from curio.errors import TaskTimeout

from heathercleat.steering.process.capacity.queue import (
    ServiceQueue,
    Waiter,
    WaitEstimate,
)

#: Seconds by which an expected wait may exceed a request's patience: waits vary by
#: about a quarter of the time for which a request holds a slot.
WAIT_TOLERANCE_SECONDS = 0.05


class Admission:
    """Hands out the slots of owned targets.

    :param ledger: the :class:`SlotLedger`.
    :param region_of: returns the region of a failure domain.
    """

    def __init__(self, ledger, region_of, clock):
        self._ledger = ledger
        self._region_of = region_of
        self._clock = clock
        self._queues = {}

    def waiting_count(self, service):
        """Return the number of requests that wait for a service."""
        queue = self._queues.get(service)
        return len(queue.waiters) if queue else 0

    def room(self, target, now):
        """Return the slots of an owned target that another VM may hope for.

        Late requests that wait for a target that knows their object leave the free
        slots of others to requests in time.
        """
        early = self._queue(target.entry.service).early(now)
        return 0 if early else target.free(now)

    def waits(self, service, call=None):
        """Return the :class:`WaitEstimate` at the targets of a service.

        ``None`` without a slot.

        :param call: one that wants to wait; any new one when ``None``.
        """
        now, queue = self._clock.now(), self._queue(service)
        targets = self._ledger.of_service(service)
        if not queue.early(now) and any(target.free(now) for target in targets):
            return WaitEstimate(0.0, 0.0)
        slots = sum(target.limit(now) for target in targets)
        if not slots:
            return None
        return queue.waits(slots, now, call and queue.count_late_before(call, now))

    def expected_wait(self, call):
        """Return the seconds that a call would wait, ``None`` without a slot."""
        waits = self.waits(call.service, call)
        hold = self._queue(call.service).mean_hold_seconds
        return waits and waits.of(call, self._clock.now(), hold)

    async def acquire(self, call, preferred, avoid, until):
        """Return a :class:`Use`, or ``None`` when no slot came free in time.

        :param preferred: ids of the targets to use if they are free, the best first.
        :param avoid: ids of targets not to use.
        :param until: instant at which to give up waiting.
        """
        queue = self._queue(call.service)
        waiter = Waiter(call, preferred, avoid, self._region_of)
        if not queue.waiters:
            use = self._try(waiter)
            if use is not None:
                return use
        if until <= self._clock.now() or self.is_wait_too_long(call):
            return None
        queue.waiters.append(waiter)
        await self.admit_queued(call.service)
        try:
            await self._wait(waiter, until)
        finally:
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)
        return waiter.slot_use

    async def release(self, use, answered):
        """Free a slot and give it to the next waiter.

        :param answered: whether the time tells how long an answer takes.
        """
        service = use.target.entry.service
        now, queue = self._clock.now(), self._queue(service)
        if answered:
            queue.record_hold(now - use.started_at)
        self._ledger.release(use)
        free = use.target.free(now)
        if free:
            queue.record_free_slot(use.target.entry, free, now)
        await self.admit_queued(service)

    async def admit_queued(self, service):
        """Give free slots to the waiters of a service."""
        queue = self._queue(service)
        if not queue.waiters:
            return
        for target in self._ledger.of_service(service):
            await self._fill(queue, target)

    async def admit_all_queued(self):
        """Give out the slots that came free by the passing of time."""
        for service in list(self._queues):
            await self.admit_queued(service)

    def is_wait_too_long(self, call):
        """Return whether no slot will come free while the request is patient."""
        wait = self.expected_wait(call)
        return (
            wait is None
            or self._clock.now() + wait > call.give_up_at + WAIT_TOLERANCE_SECONDS
        )

    async def _fill(self, queue, target):
        """Give the free slots of a target to waiters."""
        now = self._clock.now()
        while queue.waiters and target.free(now):
            waiter = queue.next_for(target.entry, target.free(now), now)
            if waiter is None:
                return
            queue.waiters.remove(waiter)
            waiter.slot_use = target.take(now, waiter.call.deadline)
            await waiter.signal.set()

    async def _wait(self, waiter, until):
        """Wait for a turn; a client that leaves ends it as well."""
        if waiter.slot_use is not None or waiter.call.left:
            return
        waiter.call.on_leave = waiter
        remaining = until - self._clock.now()
        try:
            if remaining > 0:
                await timeout_after(remaining, waiter.signal.wait)
        except TaskTimeout:
            return
        finally:
            waiter.call.on_leave = None

    def _try(self, waiter):
        """Take a free slot, of the target that knows the object best."""
        now = self._clock.now()
        free = [
            target
            for target in self._ledger.of_service(waiter.call.service)
            if waiter.can_use(target.entry, target.free(now), now)
        ]
        if not free:
            return None

        def order(target):
            return waiter.place(target.entry.id), -target.free(now)

        return min(free, key=order).take(now, waiter.call.deadline)

    def _queue(self, service):
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue()
        return queue
