"""Admission: which target a request goes to, or that there is no room for it now.

The order is: a free slot of a target homed here, a slot under a lease when its round
trip is shorter than the wait expected here, a short queue by earliest deadline, a slot
of a target that has become slow, and else a refusal at once with an instant to come
back at.
"""

from dataclasses import dataclass
from random import uniform

from curio import Event as Signal
from curio import sleep, spawn, timeout_after
from curio.errors import TaskTimeout

from heathercleat.codes import ResultCode
from heathercleat.errors import CallerDisconnectedError, RequestError
from heathercleat.events import Event
from heathercleat.process.capacity.queue import ServiceQueue, Waiter

#: The expected wait where there is no slot: a lease may still come.
UNBOUNDED_WAIT = float("inf")
PUMP_INTERVAL = 0.02
#: Shortest mean time after which a refused caller is asked to come back, in seconds.
MIN_RETURN = 1.0


@dataclass(slots=True)
class LocalPermit:
    """A slot of a target whose home is this VM.

    ``taken_at`` is an instant of :meth:`Stalls.running`.
    """

    use: object
    target: object
    taken_at: float


@dataclass(slots=True)
class LeasedPermit:
    """A slot under a lease; the request goes through the VM that granted it."""

    lease: object


class Admission:
    """Decides where each request of this VM goes.

    :param ledger: the slots of the targets homed here.
    :param holder: the leases held.
    :param membership: tells whether this VM may act as a home.
    :param health: orders targets and learns from answers.
    :param stalls: the :class:`Stalls` of this process.
    """

    def __init__(self, vm, ledger, holder, membership, health, stalls, clock):
        self._vm = vm
        self._ledger = ledger
        self._holder = holder
        self._membership = membership
        self._health = health
        self._stalls = stalls
        self._clock = clock
        self._queues = {}
        self._waiter_came = Signal()
        self._on_handed_over = None
        holder.on_lease_gained(self.pump)

    def on_handed_over(self, callback):
        """Call ``await callback(vm, use)`` when a handed-over request is done."""
        self._on_handed_over = callback

    def waiting(self, service):
        """Return the number of requests that wait for a service."""
        return len(self._queue(service).waiters)

    async def acquire(self, request, avoid=frozenset()):
        """Return a permit for ``request``.

        :param avoid: names of targets that the request must not go to.
        :raises RequestError: when there is no room within the queue's limits.
        :raises CallerDisconnectedError: when the caller leaves while the request waits.
        """
        queue = self._queue(request.service.name)
        if not queue.waiters:
            permit = self._try(request, avoid, self.expected_wait(request.service))
            if permit is not None:
                self._log_permit(request, permit, 0.0)
                return permit
        return await self._wait(queue, request, avoid)

    def enter(self, lease_id, deadline):
        """Return a permit for a request that arrives under a lease, or ``None``."""
        if not self._membership.may_act():
            return None
        use = self._ledger.enter(lease_id, deadline)
        if use is None:
            return None
        target = self._ledger.targets[use.target].target
        return LocalPermit(use, target, self._stalls.running())

    async def release(self, request, permit, certain):
        """Free the slot of a permit.

        :param certain: whether the target is known to be done with the request.
        """
        if isinstance(permit, LeasedPermit):
            self._holder.release(permit.lease)
        else:
            held = self._stalls.running() - permit.taken_at
            self._queue(request.service.name).observe(held)
            receiver = self._ledger.release(permit.use, certain)
            if receiver is not None:
                await spawn(self._on_handed_over, receiver, permit.use, daemon=True)
        await self.pump(request.service.name)

    async def pump(self, service):
        """Give free slots to the waiters of a service."""
        queue = self._queue(service)
        now = self._clock.now()
        for waiter in list(queue.waiters):
            patience = max(
                now - waiter.since, self.expected_wait(waiter.request.service)
            )
            permit = self._try(waiter.request, waiter.avoid, patience)
            if permit is None:
                return
            queue.remove(waiter)
            waiter.permit = permit
            await waiter.signal.set()

    async def run(self):
        """Look for room that appears by the passing of time, while requests wait."""
        while True:
            waited_for = [each for each in self._queues.items() if each[1].waiters]
            for service, queue in waited_for:
                await self.pump(service)
                await self._seek(queue, queue.waiters and queue.waiters[0])
            if not waited_for:
                self._waiter_came.clear()
                await self._waiter_came.wait()
            await sleep(PUMP_INTERVAL)

    def expected_wait(self, service):
        """Return the seconds that a request arriving now would wait here."""
        return self._wait_with(service, self._local_slots(service))

    def _drain_time(self, service):
        """Return the seconds until a new last waiter has its turn, leases included."""
        slots = self._local_slots(service) + self._leased_slots(service)
        return self._wait_with(service, slots)

    def _waits_in_vain(self, queue, service, longest):
        """Return whether a new last waiter would not have its turn in time.

        Until a search for leases has fallen short, more slots than those held may come.
        """
        if self._holder.last_shortfall_at(service.name) < queue.empty_at:
            return False
        return longest < self._drain_time(service) < UNBOUNDED_WAIT

    def _local_slots(self, service):
        if not self._membership.may_act():
            return 0
        now = self._clock.now()
        return sum(
            entry.limit(now)
            for entry in self._ledger.of_service(service.name)
            if not entry.blocked and not self._health.is_slow(entry)
        )

    def _leased_slots(self, service):
        return sum(lease.slots for lease in self._holder.held(service.name))

    def _wait_with(self, service, slots):
        queue = self._queue(service.name)
        if not slots:
            return UNBOUNDED_WAIT
        return (len(queue.waiters) + 1) * queue.mean_hold / slots

    def _try(self, request, avoid, patience):
        permit = self._try_local(request, avoid)
        if permit is not None:
            return permit
        lease = self._holder.take(request.service.name, avoid, patience)
        return None if lease is None else LeasedPermit(lease)

    def _try_local(self, request, avoid):
        entries = self._free_entries(request, avoid)
        slow = [entry for entry in entries if self._health.is_slow(entry)]
        for entry in slow:
            if self._health.take_trial(entry):
                return self._take(entry, request)
        fast = [entry for entry in entries if entry not in slow]
        return self._take(min(fast, key=self._health.cost, default=None), request)

    def _try_slow(self, request, avoid):
        """Take a slow target rather than refuse, if its answer may come in time."""
        entries = [
            entry
            for entry in self._free_entries(request, avoid)
            if self._health.is_slow(entry)
            and self._clock.now() + self._health.of(entry.target.name).latency
            < request.deadline
        ]
        return self._take(min(entries, key=self._health.cost, default=None), request)

    def _free_entries(self, request, avoid):
        if not self._membership.may_act():
            return []
        now = self._clock.now()
        return [
            entry
            for entry in self._ledger.of_service(request.service.name)
            if entry.target.name not in avoid and entry.free(now)
        ]

    def _take(self, entry, request):
        if entry is None:
            return None
        use = self._ledger.take(entry, request.deadline)
        if use is None:
            return None
        return LocalPermit(use, entry.target, self._stalls.running())

    async def _wait(self, queue, request, avoid):
        waiter = Waiter(request, avoid, self._clock.now())
        stalled = self._stalls.seconds()
        longest = queue.longest_wait(request.service, waiter.since, stalled)
        if queue.waiters and self._waits_in_vain(queue, request.service, longest):
            return self._last_resort(waiter, "wait too long")
        if not await self._make_place(queue, waiter):
            return self._last_resort(waiter, "queue full")
        self._vm.journal.write(
            Event.ROUTE_QUEUED,
            request=request.id,
            service=request.service.name,
            queue=len(queue.waiters),
            expected_wait=self._round(self.expected_wait(request.service)),
        )
        limit = min(request.deadline, waiter.since + longest)
        try:
            await self._seek(queue, waiter)
            await self._wait_until(waiter, limit)
            if waiter.permit is None and not waiter.evicted:
                # After a stall of this process its time is over before its turn came.
                await self.pump(request.service.name)
        except BaseException:
            await self._abandon(queue, waiter)
            raise
        queue.remove(waiter)
        if waiter.permit is None:
            return self._last_resort(waiter, "evicted" if waiter.evicted else "waited")
        self._log_permit(request, waiter.permit, self._clock.now() - waiter.since)
        return waiter.permit

    async def _wait_until(self, waiter, limit):
        """Wait for a permit, the loss of the place, or the instant ``limit``.

        :raises CallerDisconnectedError: when the caller leaves meanwhile.
        """
        watcher = None
        if waiter.request.ends_with_caller:
            watcher = await spawn(self._watch_caller, waiter)
        try:
            await timeout_after(limit - waiter.since, waiter.signal.wait)
        except TaskTimeout:
            return
        finally:
            if watcher is not None:
                await watcher.cancel()
        if waiter.left:
            raise CallerDisconnectedError

    async def _watch_caller(self, waiter):
        if await waiter.request.stream.wait_closed():
            waiter.left = True
            await waiter.signal.set()

    async def _make_place(self, queue, waiter):
        """Queue ``waiter`` and return whether it has a place.

        A full queue loses its lightest and latest request.
        """
        queue.push(waiter)
        await self._waiter_came.set()
        if len(queue.waiters) <= waiter.request.service.queue_limit:
            return True
        victim = min(queue.waiters, key=lambda each: each.rank)
        queue.remove(victim)
        if victim is waiter:
            return False
        victim.evicted = True
        await victim.signal.set()
        return True

    def _last_resort(self, waiter, reason):
        """Return a permit for a slow target.

        :raises RequestError: when there is none, for ``reason``.
        """
        permit = self._try_slow(waiter.request, waiter.avoid)
        if permit is None:
            raise self._refusal(waiter.request, reason)
        self._log_permit(waiter.request, permit, self._clock.now() - waiter.since)
        return permit

    async def _abandon(self, queue, waiter):
        queue.remove(waiter)
        if waiter.permit is not None:
            await self.release(waiter.request, waiter.permit, certain=True)

    async def _seek(self, queue, waiter):
        if waiter:
            want = len(queue.waiters)
            await self._holder.seek(waiter.request.service, want, waiter.avoid)

    def _refusal(self, request, reason):
        wait = self.expected_wait(request.service)
        mean = max(MIN_RETURN, 0.0 if wait == UNBOUNDED_WAIT else wait)
        retry_at = self._clock.wall() + uniform(0.5 * mean, 1.5 * mean)
        self._vm.journal.write(
            Event.ROUTE_REFUSED,
            request=request.id,
            service=request.service.name,
            reason=reason,
            queue=self.waiting(request.service.name),
            local=self._local_slots(request.service),
            leased=self._leased_slots(request.service),
            expected_wait=self._round(wait),
            retry_at=round(retry_at, 3),
        )
        if request.deadline <= self._clock.now():
            code = ResultCode.DEADLINE_BEFORE_RUN
            return RequestError(code, "the deadline passed in the queue")
        message = f'no free slot of "{request.service.name}" within reach'
        return RequestError(ResultCode.NO_ROOM, message, retry_at)

    def _log_permit(self, request, permit, waited):
        service = request.service.name
        common = {
            "request": request.id,
            "service": service,
            "waited": self._round(waited),
            "queue": self.waiting(service),
        }
        if isinstance(permit, LeasedPermit):
            lease = permit.lease
            self._vm.journal.write(
                Event.ROUTE_LEASED,
                target=lease.target,
                through=lease.granter,
                domain=lease.failure_domain,
                distance=lease.distance,
                in_use=lease.in_use,
                slots=lease.slots,
                **common,
            )
            return
        entry = self._ledger.targets.get(permit.target.name)
        self._vm.journal.write(
            Event.ROUTE_LOCAL,
            target=permit.target.name,
            used=entry.used(self._clock.now()) if entry else None,
            limit=permit.target.limit,
            **common,
        )

    def _queue(self, service):
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = ServiceQueue()
        return queue

    @staticmethod
    def _round(seconds):
        return None if seconds == UNBOUNDED_WAIT else round(seconds, 4)
