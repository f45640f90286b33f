"""Sends requests to targets that this VM owns."""

from heathercleat.connection.http import with_deadline
from heathercleat.events import Event
from heathercleat.steering.process.capacity.crash_detector import (
    CONNECT_TIMEOUT_SECONDS,
    CrashDetector,
)
from heathercleat.steering.process.capacity.speed_log import SpeedLog
from heathercleat.steering.process.shutdown import LEAVING_REASON
from heathercleat.steering.request.attempt_result import (
    CLIENT_LEFT_REASON,
    CLOSED_REASON,
    DEADLINE_REASON,
    NO_SLOT_IN_TIME_REASON,
    OVER_SHARE_REASON,
    QUARANTINED_REASON,
    AttemptOutcome,
    AttemptResult,
)
from heathercleat.steering.request.call import StreamInterrupter
from heathercleat.steering.request.exchange import TargetExchange

#: Longest idle time in seconds of a connection for requests that must not run twice,
#: since the target may be about to close an older one.
MAX_UNSAFE_IDLE_SECONDS = 2.0
#: Reason of an unsent attempt: the target holds as many bytes of bodies as it may.
FULL_TARGET_REASON = "the target holds too many bytes"
#: Seconds before the keep-alive timeout of the target at which to drop a connection.
KEEP_ALIVE_MARGIN_SECONDS = 1.5


class LocalDispatcher:
    """Sends requests to owned targets.

    :param admission: the :class:`Admission`, which assigns slots.
    :param ledger: the :class:`SlotLedger` of owned targets.
    :param registry: the :class:`TargetRegistry`, updated when a target was replaced.
    :param pool: the connection pool for targets.
    :param response_times: the :class:`ResponseTimes`.
    :param shutdown: the :class:`Shutdown` of this VM.
    :param ejection_limit: the :class:`EjectionLimit`, which limits ejected targets.
    :param suspects: the :class:`Suspects`.
    :param reachability: the :class:`TargetReachability`.
    :param target_bodies: the :class:`TargetBodies`, or ``None`` for no limit.
    :param response_buffers: the :class:`ResponseBuffers`, or ``None`` where responses
        have memory reserved.
    :param record_speed_report: called with the service of a target that reported the
        speed of its machine.
    """

    def __init__(
        self,
        admission,
        ledger,
        registry,
        pool,
        response_times,
        shutdown,
        ejection_limit,
        suspects,
        reachability,
        journal,
        clock,
        target_bodies=None,
        record_speed_report=lambda service: None,
        response_buffers=None,
    ):
        self._admission = admission
        self._ledger = ledger
        self._registry = registry
        self._pool = pool
        self._response_times = response_times
        self._shutdown = shutdown
        self._ejection_limit = ejection_limit
        self._crash_detector = CrashDetector(pool, reachability.is_any_reachable, clock)
        self._suspects = suspects
        self._reachability = reachability
        self._speed_log = SpeedLog(journal)
        self._journal = journal
        self._clock = clock
        self._target_bodies = target_bodies
        self._record_speed_report = record_speed_report
        self._response_buffers = response_buffers

    async def run(self, call, preferred, avoid, wait_until):
        """Return the :class:`AttemptResult` of one attempt.

        :param preferred: ids of the affinity targets, best first.
        :param avoid: ids of targets to exclude.
        :param wait_until: when to stop waiting for a slot.
        """
        slot_use = await self._admission.acquire(call, preferred, avoid, wait_until)
        if slot_use is None:
            return self._no_slot_result(call)
        result = None
        try:
            unsent_reason = self._reason_not_to_send(call)
            if unsent_reason is not None:
                return AttemptResult(AttemptOutcome.NOT_SENT, reason=unsent_reason)
            result = await self._send_limited(call, slot_use, preferred)
            return result
        finally:
            responded = result is not None and result.outcome is AttemptOutcome.ANSWERED
            await self._admission.release(slot_use, responded)

    def _reason_not_to_send(self, call):
        """Return why a request that has a slot must not be sent, or ``None``.

        Checked after each wait, also because the VM may have been suspended meanwhile.
        """
        now = self._clock.now()
        if call.is_disconnected:
            return CLIENT_LEFT_REASON
        if now >= call.send_deadline:
            return LEAVING_REASON
        if self._shutdown.is_too_late(call, now):
            return LEAVING_REASON
        if now >= call.deadline:
            return DEADLINE_REASON
        if self._suspects.refused_until(call.fingerprint) is not None:
            return QUARANTINED_REASON
        return None

    def _check_again(self, call, target):
        """Return the result if a request must not be sent any more, or ``None``."""
        reason = self._reason_not_to_send(call)
        if reason is not None:
            return AttemptResult(AttemptOutcome.NOT_SENT, reason=reason)
        if target.accepts_requests(self._clock.now()):
            return None
        return AttemptResult(
            AttemptOutcome.NOT_SENT, target=target.entry.id, reason=CLOSED_REASON
        )

    def _no_slot_result(self, call):
        if call.share_wait is not None:
            return AttemptResult(
                AttemptOutcome.NOT_SENT, wait=call.share_wait, reason=OVER_SHARE_REASON
            )
        is_too_long = self._admission.is_wait_too_long(call)
        reason = NO_SLOT_IN_TIME_REASON if is_too_long else "no free slot"
        wait = self._admission.expected_wait_seconds(call)
        return AttemptResult(AttemptOutcome.NOT_SENT, wait=wait, reason=reason)

    async def _send_limited(self, call, slot_use, preferred):
        """Send a request if its target can hold its body."""
        if self._target_bodies is None:
            return await self._send(call, slot_use, preferred)
        entry, size = slot_use.target.entry, len(call.body)
        if not self._target_bodies.reserve(entry.incarnation_id, size):
            return AttemptResult(
                AttemptOutcome.NOT_SENT, target=entry.id, reason=FULL_TARGET_REASON
            )
        try:
            return await self._send(call, slot_use, preferred)
        finally:
            self._target_bodies.release(entry.incarnation_id, size)

    async def _send(self, call, slot_use, preferred):
        target = slot_use.target
        entry = target.entry
        started_at = self._clock.now()
        try:
            stream = await self._connect(call, entry, started_at)
        except (OSError, TimeoutError) as error:
            # A timeout at the deadline of the request says nothing about the target.
            if not isinstance(error, TimeoutError) or self._clock.now() < call.deadline:
                self._eject(target, started_at, f"connect: {error!r}")
                await self._reachability.record_failure(entry.id)
            return AttemptResult(
                AttemptOutcome.NOT_SENT, target=entry.id, reason=repr(error)
            )
        # Check again, since connecting takes time.
        unsent = self._check_again(call, target)
        if unsent is not None:
            await self._pool.checkin(entry.host, entry.port, stream)
            return unsent
        exchange = TargetExchange(
            stream, call, entry, self._clock, self._response_buffers
        )
        # Aborting would not undo a request that must not run twice.
        call.on_disconnect = (
            StreamInterrupter(stream) if call.route.kind.is_idempotent else None
        )
        try:
            with self._shutdown.run_times.track(call) as run:
                result = await exchange.run()
                run.record(result)
        except BaseException:
            await self._pool.discard(entry.host, entry.port, stream)
            raise
        finally:
            call.on_disconnect = None
        result.response_time = self._clock.now() - started_at
        await self._return_connection(entry, stream, exchange.head)
        if exchange.connection_lost and not call.is_disconnected:
            await self._reachability.record_failure(entry.id)
            await self._record_crash(call, entry, result)
        is_affinity_target = entry.id in preferred
        self._record_result(call, slot_use, exchange.head, result, is_affinity_target)
        return result

    async def _record_crash(self, call, entry, result):
        """Record a crash if the target process has terminated."""
        if not await self._crash_detector.has_crashed(entry):
            return
        result.crashed_incarnation = entry.incarnation_id
        route_and_service = call.route.name, call.service
        self._suspects.record_crash(
            call.fingerprint, entry.incarnation_id, *route_and_service
        )
        self._journal.write(
            Event.TARGET_ENDED,
            target=entry.incarnation_id,
            service=entry.service,
            request=call.id,
            fingerprint=call.fingerprint,
            route=call.route.name,
        )

    async def _connect(self, call, entry, now):
        max_age = None if call.route.kind.is_idempotent else MAX_UNSAFE_IDLE_SECONDS
        checkout = self._pool.checkout(entry.host, entry.port, max_age=max_age)
        deadline = min(call.deadline, now + CONNECT_TIMEOUT_SECONDS)
        return await with_deadline(deadline, self._clock, checkout)

    async def _return_connection(self, entry, stream, head):
        if head is None:
            await self._pool.discard(entry.host, entry.port, stream)
            return
        idle_seconds = head.keep_alive_seconds and max(
            0.0, head.keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS
        )
        await self._pool.checkin(entry.host, entry.port, stream, idle_seconds)

    def _record_result(self, call, slot_use, head, result, is_affinity_target):
        target, now = slot_use.target, self._clock.now()
        if head is not None:
            was_slow = target.speed.is_slow(now)
            target.record_response(head, now)
            self._speed_log.record_response(target, was_slow, now)
            if head.slowdown is not None:
                self._record_speed_report(call.service)
        if call.is_disconnected:
            return
        if result.outcome is AttemptOutcome.ANSWERED:
            self._suspects.record_response(call.fingerprint)
        if result.reason == "replaced":
            self._registry.remove_replaced(
                target.entry.id, "another incarnation answered"
            )
            return
        if result.succeeded:
            target.health.record_success(result.response_time)
            self._response_times.record(
                call.route.name, result.response_time, is_affinity_target
            )
            return
        may_eject = self._ejection_limit.may_eject(call.service)
        if result.outcome is AttemptOutcome.REFUSED:
            usual_rate = self._ledger.usual_rejection_rate(target)
            is_ejected = target.record_rejection(
                head, slot_use.started_at, usual_rate, may_eject, now
            )
        else:
            is_ejected = target.health.record_failure(
                now, slot_use.started_at, may_eject
            )
        if is_ejected:
            self._log_ejection(target, result.reason or "server errors")

    def _eject(self, target, started_at, reason):
        if target.health.predates_ejection(started_at):
            return
        target.health.eject(self._clock.now())
        self._log_ejection(target, reason)

    def _log_ejection(self, target, reason):
        self._journal.write(
            Event.TARGET_EJECTED,
            target=target.entry.id,
            service=target.entry.service,
            reason=reason,
            seconds=round(target.health.ejected_until - self._clock.now(), 3),
            rests=target.health.ejection_count,
        )
