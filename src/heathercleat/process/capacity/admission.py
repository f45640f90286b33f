"""Admission control: assigns each request a target slot, queues it or refuses it.

Options are tried in this order:

1. a free slot of a target whose home is this VM;
2. a slot under a lease, if its round trip is not longer than the expected local wait
   or, for a queued request, than the time that it has already waited;
3. a short queue, ordered by earliest deadline;
4. a free slot of a slow target.

Otherwise the request is refused at once, with the instant at which to retry.
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

#: Expected wait in seconds while there is no usable local slot; the request may still
#: get a slot under a lease.
UNBOUNDED_WAIT_SECONDS = float("inf")
QUEUE_INTERVAL_SECONDS = 0.02
#: Minimum of the mean delay after which a refused caller may retry, in seconds.
MIN_RETRY_DELAY_SECONDS = 1.0


@dataclass(slots=True)
class LocalPermit:
    """A slot of a target whose home is this VM.

    ``claimed_at`` is a time of :meth:`Stalls.active_time`.
    """

    use: object
    target: object
    claimed_at: float


@dataclass(slots=True)
class LeasedPermit:
    """A slot under a lease; the request is forwarded to the VM that granted it."""

    lease: object


class Admission:
    """Admission control for the requests that this VM receives.

    :param ledger: the slots of the targets whose home is this VM.
    :param holder: the leases that this VM holds.
    :param membership: the :class:`Membership`, which knows whether this VM may act as a
        home.
    :param health: the health of the targets in ``ledger``.
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
        self._waiter_queued = Signal()
        self._on_released_after_handover = None
        holder.on_lease_gained(self.admit_queued)

    def on_released_after_handover(self, callback):
        """Call ``await callback(vm, use)`` for a request that ends after a handover.

        ``vm`` is the name of the new home of the target.
        """
        self._on_released_after_handover = callback

    def waiting_count(self, service_name):
        """Return the number of requests queued for a service."""
        return len(self._queue(service_name).waiters)

    async def acquire(self, request, avoid=frozenset()):
        """Return a permit for ``request``, waiting in the queue if necessary.

        :param avoid: names of targets that the request must not go to.
        :raises RequestError: if no slot is free within the limits of the queue.
        :raises CallerDisconnectedError: if the caller disconnects while waiting.
        """
        queue = self._queue(request.service.name)
        if not queue.waiters:
            permit = self._try_claim(
                request, avoid, self.expected_wait(request.service)
            )
            if permit is not None:
                self._log_permit(request, permit, 0.0)
                return permit
        return await self._wait(queue, request, avoid)

    def admit_leased(self, lease_id, deadline):
        """Return a permit for a request that another VM forwards under a lease.

        :return: the permit, or ``None`` if the lease has expired or has no free slot.
        """
        if not self._membership.may_act_as_home():
            return None
        use = self._ledger.claim_leased(lease_id, deadline)
        if use is None:
            return None
        target = self._ledger.targets[use.target].target
        return LocalPermit(use, target, self._stalls.active_time())

    async def release(self, request, permit, is_finished):
        """Release the slot of a permit.

        :param is_finished: whether the target has certainly finished with the request.
        """
        if isinstance(permit, LeasedPermit):
            self._holder.release(permit.lease)
        else:
            hold_seconds = self._stalls.active_time() - permit.claimed_at
            self._queue(request.service.name).record_hold(hold_seconds)
            receiver = self._ledger.release(permit.use, is_finished)
            if receiver is not None:
                await spawn(
                    self._on_released_after_handover, receiver, permit.use, daemon=True
                )
        await self.admit_queued(request.service.name)

    async def admit_queued(self, service_name):
        """Assign free slots to the queued requests of a service, in order."""
        queue = self._queue(service_name)
        now = self._clock.now()
        for waiter in list(queue.waiters):
            # A request that has already waited longer than the expected wait may use a
            # more distant lease.
            max_round_trip = max(
                now - waiter.queued_at, self.expected_wait(waiter.request.service)
            )
            permit = self._try_claim(waiter.request, waiter.avoid, max_round_trip)
            if permit is None:
                return
            queue.remove(waiter)
            waiter.permit = permit
            await waiter.signal.set()

    async def run(self):
        """Serve the queues periodically.

        Slots also become free when a hold or a lease expires or a target warms up, and
        no callback reports that.
        """
        while True:
            busy_queues = [each for each in self._queues.items() if each[1].waiters]
            for service_name, queue in busy_queues:
                await self.admit_queued(service_name)
                await self._request_leases(queue, queue.waiters and queue.waiters[0])
            if not busy_queues:
                self._waiter_queued.clear()
                await self._waiter_queued.wait()
            await sleep(QUEUE_INTERVAL_SECONDS)

    def expected_wait(self, service):
        """Return the estimated wait in seconds if all local slots are in use.

        It is for a request added at the end of the queue, and infinite while there is
        no usable local slot.
        """
        return self._estimate_wait(service, self._local_slots(service))

    def _expected_wait_with_leases(self, service):
        """Return the estimated wait in seconds if all usable slots are in use.

        It is for a request added at the end of the queue, and counts both local and
        leased slots.
        """
        slots = self._local_slots(service) + self._leased_slots(service)
        return self._estimate_wait(service, slots)

    def _would_time_out(self, queue, service, max_wait):
        """Return whether a request added at the end of the queue would time out in it.

        ``False`` if every search for leases since the queue was last empty found
        enough slots, as more may then be granted.
        """
        if self._holder.last_shortfall_at(service.name) < queue.last_empty_at:
            return False
        return (
            max_wait < self._expected_wait_with_leases(service) < UNBOUNDED_WAIT_SECONDS
        )

    def _local_slots(self, service):
        if not self._membership.may_act_as_home():
            return 0
        now = self._clock.now()
        return sum(
            entry.limit(now)
            for entry in self._ledger.of_service(service.name)
            if not entry.block_reason and not self._health.is_slow(entry)
        )

    def _leased_slots(self, service):
        return sum(lease.slots for lease in self._holder.leases_for(service.name))

    def _estimate_wait(self, service, slots):
        queue = self._queue(service.name)
        if not slots:
            return UNBOUNDED_WAIT_SECONDS
        return (len(queue.waiters) + 1) * queue.mean_hold_seconds / slots

    def _try_claim(self, request, avoid, max_round_trip):
        permit = self._claim_local(request, avoid)
        if permit is not None:
            return permit
        lease = self._holder.claim(request.service.name, avoid, max_round_trip)
        return None if lease is None else LeasedPermit(lease)

    def _claim_local(self, request, avoid):
        entries = self._free_entries(request, avoid)
        slow = [entry for entry in entries if self._health.is_slow(entry)]
        for entry in slow:
            if self._health.start_trial(entry):
                return self._claim(entry, request)
        fast = [entry for entry in entries if entry not in slow]
        return self._claim(min(fast, key=self._health.cost, default=None), request)

    def _claim_slow(self, request, avoid):
        """Return a permit for a slow target that can respond before the deadline."""
        entries = [
            entry
            for entry in self._free_entries(request, avoid)
            if self._health.is_slow(entry)
            and self._clock.now() + self._health.health_of(entry.target.name).latency
            < request.deadline
        ]
        return self._claim(min(entries, key=self._health.cost, default=None), request)

    def _free_entries(self, request, avoid):
        if not self._membership.may_act_as_home():
            return []
        now = self._clock.now()
        return [
            entry
            for entry in self._ledger.of_service(request.service.name)
            if entry.target.name not in avoid and entry.free(now)
        ]

    def _claim(self, entry, request):
        if entry is None:
            return None
        use = self._ledger.claim(entry, request.deadline)
        if use is None:
            return None
        return LocalPermit(use, entry.target, self._stalls.active_time())

    async def _wait(self, queue, request, avoid):
        waiter = Waiter(request, avoid, self._clock.now())
        stalled = self._stalls.total_seconds()
        max_wait = queue.max_wait(request.service, waiter.queued_at, stalled)
        if queue.waiters and self._would_time_out(queue, request.service, max_wait):
            return self._claim_slow_or_refuse(waiter, "wait too long")
        if not await self._enqueue(queue, waiter):
            return self._claim_slow_or_refuse(waiter, "queue full")
        self._vm.journal.write(
            Event.ROUTE_QUEUED,
            request=request.id,
            service=request.service.name,
            queue=len(queue.waiters),
            expected_wait=self._round_wait(self.expected_wait(request.service)),
        )
        give_up_at = min(request.deadline, waiter.queued_at + max_wait)
        try:
            await self._request_leases(queue, waiter)
            await self._wait_until(waiter, give_up_at)
            if waiter.permit is None and not waiter.is_evicted:
                # A slot may have become free while this process was stalled.
                await self.admit_queued(request.service.name)
        except BaseException:
            await self._cancel_waiter(queue, waiter)
            raise
        queue.remove(waiter)
        if waiter.permit is None:
            return self._claim_slow_or_refuse(
                waiter, "evicted" if waiter.is_evicted else "waited"
            )
        self._log_permit(request, waiter.permit, self._clock.now() - waiter.queued_at)
        return waiter.permit

    async def _wait_until(self, waiter, give_up_at):
        """Wait for a permit, eviction from the queue, or ``give_up_at``.

        :raises CallerDisconnectedError: if the caller disconnects meanwhile.
        """
        watcher = None
        if waiter.request.cancels_on_disconnect:
            watcher = await spawn(self._watch_caller, waiter)
        try:
            await timeout_after(give_up_at - waiter.queued_at, waiter.signal.wait)
        except TaskTimeout:
            return
        finally:
            if watcher is not None:
                await watcher.cancel()
        if waiter.has_caller_disconnected:
            raise CallerDisconnectedError

    async def _watch_caller(self, waiter):
        if await waiter.request.stream.wait_closed():
            waiter.has_caller_disconnected = True
            await waiter.signal.set()

    async def _enqueue(self, queue, waiter):
        """Add ``waiter`` to the queue and return whether it was accepted.

        A full queue evicts the request of lowest weight, then of latest deadline.
        """
        queue.push(waiter)
        await self._waiter_queued.set()
        if len(queue.waiters) <= waiter.request.service.queue_limit:
            return True
        evicted_waiter = min(queue.waiters, key=lambda each: each.eviction_rank)
        queue.remove(evicted_waiter)
        if evicted_waiter is waiter:
            return False
        evicted_waiter.is_evicted = True
        await evicted_waiter.signal.set()
        return True

    def _claim_slow_or_refuse(self, waiter, reason):
        """Return a permit for a slow target that can respond in time.

        :param reason: logged as the reason of the refusal.
        :raises RequestError: if no slow target is usable.
        """
        permit = self._claim_slow(waiter.request, waiter.avoid)
        if permit is None:
            raise self._refusal(waiter.request, reason)
        self._log_permit(waiter.request, permit, self._clock.now() - waiter.queued_at)
        return permit

    async def _cancel_waiter(self, queue, waiter):
        queue.remove(waiter)
        if waiter.permit is not None:
            await self.release(waiter.request, waiter.permit, is_finished=True)

    async def _request_leases(self, queue, waiter):
        if waiter:
            want = len(queue.waiters)
            await self._holder.request_leases(
                waiter.request.service, want, waiter.avoid
            )

    def _refusal(self, request, reason):
        wait = self.expected_wait(request.service)
        mean = max(
            MIN_RETRY_DELAY_SECONDS, 0.0 if wait == UNBOUNDED_WAIT_SECONDS else wait
        )
        retry_at = self._clock.wall() + uniform(0.5 * mean, 1.5 * mean)
        self._vm.journal.write(
            Event.ROUTE_REFUSED,
            request=request.id,
            service=request.service.name,
            reason=reason,
            queue=self.waiting_count(request.service.name),
            local=self._local_slots(request.service),
            leased=self._leased_slots(request.service),
            expected_wait=self._round_wait(wait),
            retry_at=round(retry_at, 3),
        )
        if request.deadline <= self._clock.now():
            code = ResultCode.DEADLINE_BEFORE_RUN
            return RequestError(code, "the deadline passed in the queue")
        message = f'no free slot of "{request.service.name}" within reach'
        return RequestError(ResultCode.NO_ROOM, message, retry_at)

    def _log_permit(self, request, permit, waited):
        service_name = request.service.name
        common = {
            "request": request.id,
            "service": service_name,
            "waited": self._round_wait(waited),
            "queue": self.waiting_count(service_name),
        }
        if isinstance(permit, LeasedPermit):
            lease = permit.lease
            self._vm.journal.write(
                Event.ROUTE_LEASED,
                target=lease.target,
                through=lease.granter,
                domain=lease.failure_domain,
                distance=lease.latency,
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

    def _queue(self, service_name):
        queue = self._queues.get(service_name)
        if queue is None:
            queue = self._queues[service_name] = ServiceQueue()
        return queue

    @staticmethod
    def _round_wait(seconds):
        return None if seconds == UNBOUNDED_WAIT_SECONDS else round(seconds, 4)
