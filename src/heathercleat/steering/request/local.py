"""One try at a request at a target that this VM owns."""

from heathercleat.connection.http import before
from heathercleat.events import Event
from heathercleat.steering.process.capacity.crash_detector import (
    CONNECT_TIMEOUT_SECONDS,
    CrashDetector,
)
from heathercleat.steering.process.shutdown import LEAVING_REASON
from heathercleat.steering.request.attempt_result import (
    CLIENT_LEFT,
    DEADLINE,
    NO_SLOT_IN_TIME,
    QUARANTINED,
    AttemptOutcome,
    AttemptResult,
)
from heathercleat.steering.request.call import StreamCut
from heathercleat.steering.request.exchange import TargetExchange

#: Age in seconds up to which an idle connection carries requests that may run once
#: only; a target may drop an older one just as the request is on its way.
UNSAFE_IDLE_AGE = 2.0
#: Margin in seconds by which a connection is given up before the target closes it.
KEEP_MARGIN = 1.5


class LocalDispatcher:
    """Tries requests at owned targets.

    :param admission: hands out slots.
    :param ledger: the owned targets.
    :param registry: learns that a target was replaced.
    :param pool: connections to targets.
    :param response_times: the :class:`ResponseTimes`.
    :param departure: the :class:`Departure` of this VM.
    :param rests: tells whether a target may rest, a :class:`EjectionLimit`.
    :param suspects: the :class:`Suspects`.
    """

    def __init__(
        self,
        admission,
        ledger,
        registry,
        pool,
        response_times,
        shutdown,
        rests,
        suspects,
        journal,
        clock,
    ):
        self._admission = admission
        self._ledger = ledger
        self._registry = registry
        self._pool = pool
        self._response_times = response_times
        self._departure = shutdown
        self._rests = rests
        self._ends = CrashDetector(pool, clock)
        self._suspects = suspects
        self._journal = journal
        self._clock = clock

    async def run(self, call, preferred, avoid, until):
        """Return the :class:`AttemptResult` of one try.

        :param preferred: ids of the targets to use if they are free, the best first.
        :param avoid: ids of targets not to use.
        :param until: instant at which to give up waiting for a slot.
        """
        use = await self._admission.acquire(call, preferred, avoid, until)
        if use is None:
            return self._without_slot(call)
        result = None
        try:
            obstacle = self._obstacle(call)
            if obstacle is not None:
                return AttemptResult(AttemptOutcome.NOT_SENT, reason=obstacle)
            result = await self._send(call, use, preferred)
            return result
        finally:
            answered = result is not None and result.end is AttemptOutcome.ANSWERED
            await self._admission.release(use, answered)

    def _obstacle(self, call):
        """Return why a request that has its slot is not sent after all, or ``None``.

        Much may have changed while it waited, also since this VM slept meanwhile.
        """
        now = self._clock.now()
        if call.left:
            return CLIENT_LEFT
        if now >= call.send_deadline:
            return LEAVING_REASON
        if self._departure.is_too_late(call, now):
            return LEAVING_REASON
        if now >= call.deadline:
            return DEADLINE
        if self._suspects.refused_until(call.fingerprint) is not None:
            return QUARANTINED
        return None

    def _without_slot(self, call):
        hopeless = self._admission.is_wait_too_long(call)
        reason = NO_SLOT_IN_TIME if hopeless else "no free slot"
        wait = self._admission.expected_wait(call)
        return AttemptResult(AttemptOutcome.NOT_SENT, wait=wait, reason=reason)

    async def _send(self, call, use, preferred):
        target = use.target
        entry = target.entry
        started_at = self._clock.now()
        try:
            stream = await self._connect(call, entry, started_at)
        except (OSError, TimeoutError) as error:
            # A request with little time left gives its target little to accept in.
            if not isinstance(error, TimeoutError) or self._clock.now() < call.deadline:
                self._rest(target, started_at, f"connect: {error!r}")
            return AttemptResult(
                AttemptOutcome.NOT_SENT, target=entry.id, reason=repr(error)
            )
        # To connect takes time as well.
        obstacle = self._obstacle(call)
        if obstacle is not None:
            await self._pool.checkin(entry.host, entry.port, stream)
            return AttemptResult(AttemptOutcome.NOT_SENT, reason=obstacle)
        exchange = TargetExchange(stream, call, entry, self._clock)
        # To cut the connection does not undo what runs, which may run once only.
        call.on_leave = StreamCut(stream) if call.route.kind.idempotent else None
        try:
            with self._departure.runs.watch(call) as run:
                result = await exchange.run()
                run.take(result)
        except BaseException:
            await self._pool.discard(entry.host, entry.port, stream)
            raise
        finally:
            call.on_leave = None
        result.work = self._clock.now() - started_at
        await self._put_back(entry, stream, exchange.head)
        if exchange.cut and not call.left:
            await self._note_end(call, entry, result)
        home = entry.id in preferred
        self._learn(call, use, exchange.head, result, home)
        return result

    async def _note_end(self, call, entry, result):
        """Find out whether the target itself ended under a request, and note it."""
        if not await self._ends.has_crashed(entry):
            return
        result.ended = entry.incarnation_id
        where = call.route.name, call.service
        self._suspects.ended(call.fingerprint, entry.incarnation_id, *where)
        self._journal.write(
            Event.TARGET_ENDED,
            target=entry.incarnation_id,
            service=entry.service,
            request=call.id,
            fingerprint=call.fingerprint,
            route=call.route.name,
        )

    async def _connect(self, call, entry, now):
        max_age = None if call.route.kind.idempotent else UNSAFE_IDLE_AGE
        checkout = self._pool.checkout(entry.host, entry.port, max_age=max_age)
        deadline = min(call.deadline, now + CONNECT_TIMEOUT_SECONDS)
        return await before(deadline, self._clock, checkout)

    async def _put_back(self, entry, stream, head):
        if head is None:
            await self._pool.discard(entry.host, entry.port, stream)
            return
        keep_for = head.keep_for and max(0.0, head.keep_for - KEEP_MARGIN)
        await self._pool.checkin(entry.host, entry.port, stream, keep_for)

    def _learn(self, call, use, head, result, home):
        target, now = use.target, self._clock.now()
        if head is not None and head.running is not None:
            target.record_reported_load(head.running, head.waiting, now)
        if call.left:
            return
        if result.end is AttemptOutcome.ANSWERED:
            self._suspects.answered(call.fingerprint)
        if result.reason == "replaced":
            self._registry.forget(target.entry.id, "another incarnation answered")
            return
        if result.succeeded:
            target.health.succeeded(result.work)
            self._response_times.observe(call.route.name, result.work, home)
            return
        may_eject = self._rests.may_eject(call.service)
        if target.health.record_failure(now, use.started_at, may_eject):
            self._log_rest(target, result.reason or "server errors")

    def _rest(self, target, started_at, reason):
        if target.health.predates_ejection(started_at):
            return
        target.health.eject(self._clock.now())
        self._log_rest(target, reason)

    def _log_rest(self, target, reason):
        self._journal.write(
            Event.TARGET_EJECTED,
            target=target.entry.id,
            service=target.entry.service,
            reason=reason,
            seconds=round(target.health.ejected_until - self._clock.now(), 3),
            rests=target.health.rests,
        )
