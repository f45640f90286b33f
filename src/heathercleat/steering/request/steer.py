"""Steers a request: destinations, attempts, retries and the final response."""

from heathercleat.codes import ResultCode
from heathercleat.errors import CallerDisconnectedError, RequestError
from heathercleat.events import Event
from heathercleat.steering.process.memory.responses import NO_MEMORY_REASON
from heathercleat.steering.process.retry_after import compute_retry_at
from heathercleat.steering.request.attempt_result import (
    NO_SLOT_IN_TIME_REASON,
    OVER_SHARE_REASON,
    QUARANTINED_REASON,
    AttemptOutcome,
)
from heathercleat.steering.request.destinations import LARGE_BODY_BYTES
from heathercleat.steering.request.wait_policy import WaitPolicy

#: Seconds in a local queue after which a request looks for another destination.
LOCAL_RECHECK_SECONDS = 0.08
#: The same for the queue of another VM; forwarding again sends the body again.
FORWARDED_RECHECK_SECONDS = 0.25
#: The same for a request past its latency objective, whose wait is long, or with a
#: large body, which costs more to send again than another destination gains.
LONG_RECHECK_SECONDS = 1.0
#: Longest wait in seconds at a target with a reported free slot; the report is out of
#: date by half a heartbeat interval.
STALE_REPORT_WAIT_SECONDS = 0.03
#: The same after the request's ``give_up_at``; covers a network hop in the region.
LAST_WAIT_SECONDS = 0.005
#: Longest wait in seconds for a slot in another region, whose queue is not known here.
MAX_REMOTE_WAIT_SECONDS = 0.15
#: Unsent attempts at reported free slots after which a request is refused.
MAX_UNSENT_ATTEMPTS = 5
#: Shortest time in seconds after which a refused client may retry.
MIN_RETRY_SECONDS = 0.05


class Steering:
    """Steers requests of clients.

    :param destinations: the :class:`DestinationSelector`, which selects destinations.
    :param dispatcher: the :class:`Dispatcher`, which makes the attempts.
    :param shift: the :class:`RegionShiftLimit`.
    :param budget: function that returns the :class:`RetryBudget` of a service.
    :param response_times: the :class:`ResponseTimes`.
    :param loss_rates: the :class:`LossRates`.
    :param shutdown: the :class:`Shutdown` of this VM.
    :param crash_limits: the :class:`CrashLimits`.
    :param shares: the :class:`WorkspaceShares`; ``None`` if slots are not divided among
        workspaces.
    """

    def __init__(
        self,
        destinations,
        dispatcher,
        shift,
        budget,
        response_times,
        loss_rates,
        shutdown,
        crash_limits,
        journal,
        clock,
        shares=None,
    ):
        self._destinations = destinations
        self._dispatcher = dispatcher
        self._shift = shift
        self._budget = budget
        self._response_times = response_times
        self._loss_rates = loss_rates
        self._shutdown = shutdown
        self._crash_limits = crash_limits
        self._wait_policy = WaitPolicy(response_times)
        self._journal = journal
        self._clock = clock
        self._shares = shares

    def record_outcome(self, call, is_served):
        """Record whether a request was served or refused."""
        if self._shares is not None:
            self._shares.record_outcome(call, is_served)

    async def run(self, call):
        """Return the final :class:`TargetResponse` of a target.

        :raises RequestError: if there is no usable response of a target.
        :raises CallerDisconnectedError: if the client disconnected.
        """
        self._budget(call.service).record_request(self._clock.now())
        return await _RequestAttempts(self, call).run()


class _RequestAttempts:
    """The attempts of one request."""

    def __init__(self, steering, call):
        self._steering = steering
        self._call = call
        self._avoid = set()
        self._avoid_vms = set()
        self._sent_count = 0
        self._run_count = 0
        self._unsent_count = 0
        self._failed_response = None
        self._last_reason = None
        self._has_spilled_over = False
        # Instant at which a retry was withdrawn for the current attempt, or ``None``.
        self._withdrawn_at = None
        # Instant at which the share of the workspace allows one more request, if the
        # request was refused for that.
        self._share_allows_at = None
        call.give_up_at = steering._wait_policy.give_up_at(call)
        call.affinity_until = steering._wait_policy.affinity_until(call)

    async def run(self):
        call, clock = self._call, self._steering._clock
        while True:
            if call.is_disconnected:
                raise CallerDisconnectedError
            now = clock.now()
            if not self._run_count:
                self._steering._shutdown.check(call, now)
                self._raise_if_refused()
            elif self._steering._shutdown.is_too_late(call, now):
                return self._give_up()
            destination = self._next_destination(now)
            if destination is None:
                return self._give_up()
            if self._sent_count and not self._spend_retry(now):
                return self._give_up()
            call.send_deadline = self._steering._shutdown.send_deadline(call)
            wait_until = min(
                self._wait_until(destination, now), call.deadline, call.send_deadline
            )
            call.destination, call.attempt_started_at = destination, now
            result = await self._attempt(destination, wait_until)
            call.destination = None
            if call.is_disconnected:
                raise CallerDisconnectedError
            final = self._process_result(destination, result, wait_until)
            if final is not None:
                return final

    async def _attempt(self, destination, wait_until):
        """Return the :class:`AttemptResult` of one attempt."""
        call, steering = self._call, self._steering
        attempt = steering._dispatcher.run(call, destination, self._avoid, wait_until)
        if steering._dispatcher.is_local(destination):
            return await attempt
        with steering._shutdown.run_times.track(call) as run:
            result = await attempt
            run.record(result)
            return result

    def _next_destination(self, now):
        """Return the next :class:`Destination`, or ``None`` to give up."""
        if now >= self._call.deadline or self._unsent_count >= MAX_UNSENT_ATTEMPTS:
            return None
        if now >= self._call.give_up_at and self._unsent_count:
            return None
        destinations = self._steering._destinations
        destination = destinations.select_free(self._call, self._avoid, self._avoid_vms)
        if destination is not None:
            return destination
        if now >= self._call.give_up_at or self._share_allows_at is not None:
            return None
        destination = self._select_spillover() or self._select_queue()
        if destination is None and now < self._call.affinity_until:
            self._call.affinity_until = now
            destination = destinations.select_free(
                self._call, self._avoid, self._avoid_vms
            )
        return destination

    def _select_queue(self):
        destinations = self._steering._destinations
        return destinations.select_queue(self._call, self._avoid, self._avoid_vms)

    def _select_spillover(self):
        """Return a destination in a less loaded region, at most once per request."""
        if self._has_spilled_over:
            return None
        destination = self._steering._destinations.select_spillover(
            self._call, self._avoid, self._avoid_vms
        )
        self._has_spilled_over = destination is not None
        return destination

    def _spend_retry(self, now):
        budget = self._steering._budget(self._call.service)
        spent = budget.withdraw(now)
        self._withdrawn_at = now if spent else None
        self._steering._journal.write(
            Event.ROUTE_RETRIED,
            request=self._call.id,
            service=self._call.service,
            reason=self._last_reason,
            allowed=spent,
            left=round(budget.remaining(now), 1),
            vms=budget.vm_count,
        )
        return spent

    def _wait_until(self, destination, now):
        """Return the instant until which the request may wait for a slot.

        A request waits at its affinity target even if a slot was reported free, since
        it would otherwise be forwarded to that target a second time.
        """
        if destination.target is not None and not self._is_queued(destination, now):
            if destination.is_remote:
                return self._remote_wait_until(destination, now)
            latest = max(self._call.give_up_at, now + LAST_WAIT_SECONDS)
            return min(now + STALE_REPORT_WAIT_SECONDS, latest)
        round_trip = self._steering._dispatcher.round_trip(destination)
        affinity_until = self._call.affinity_until - round_trip
        latest = (
            affinity_until
            if now < affinity_until
            else self._call.give_up_at - round_trip
        )
        return min(latest, now + self._recheck_seconds(destination, now))

    def _is_queued(self, destination, now):
        """Return whether the request queues if there is no free slot."""
        return destination.target is None or (
            destination.is_affinity_target and now < self._call.affinity_until
        )

    def _recheck_seconds(self, destination, now):
        """Return the seconds after which to look for another destination."""
        if self._steering._dispatcher.is_local(destination):
            return LOCAL_RECHECK_SECONDS
        is_large = len(self._call.body) >= LARGE_BODY_BYTES
        is_late = now > self._call.soft_deadline
        return (
            LONG_RECHECK_SECONDS if is_late or is_large else FORWARDED_RECHECK_SECONDS
        )

    def _remote_wait_until(self, destination, now):
        """Return the instant until which to wait in another region.

        A response within the latency objective must remain possible.
        """
        call, steering = self._call, self._steering
        response_time = steering._response_times.mean(call.route.name)
        latest = (
            call.soft_deadline
            - steering._dispatcher.round_trip(destination)
            - response_time
        )
        return min(
            max(now + STALE_REPORT_WAIT_SECONDS, latest), now + MAX_REMOTE_WAIT_SECONDS
        )

    def _process_result(self, destination, result, wait_until):
        """Record a result; return the final response, or ``None`` to try again."""
        self._last_reason = result.reason
        self._call.attempt_log.append(self._describe(destination, result))
        if result.target is not None:
            self._avoid.add(result.target)
        if result.outcome is AttemptOutcome.NOT_SENT:
            if result.reason == QUARANTINED_REASON:
                return self._finish_after_owner_refusal()
            self._process_unsent(destination, result, wait_until)
            return None
        self._sent_count += 1
        self._steering._shift.record(destination.is_remote)
        if result.outcome is AttemptOutcome.REFUSED:
            return None
        self._run_count += 1
        if self._run_count > 1 and self._call.charge is not None:
            self._call.charge.record_repeat()
        if result.outcome is AttemptOutcome.ANSWERED:
            self._record_response_time(destination, result)
            is_late = self._steering._clock.now() > self._call.soft_deadline
            self._steering._loss_rates.record_response(self._call.service, is_late)
            self._steering.record_outcome(self._call, True)
            if result.succeeded or not self._may_retry():
                return result.response
            self._failed_response = result.response
            return None
        if result.outcome is AttemptOutcome.UNKNOWN and self._may_retry():
            return None
        raise self._unknown_outcome_error(result)

    def _describe(self, destination, result):
        """Return an attempt as text for the log.

        The fields are owner, target, ``home`` for a preferred target or else ``other``,
        outcome, response time and time since the request arrived, both in seconds, and
        the reason if there is one.
        """
        kind = "home" if result.target in destination.preferred else "other"
        response_time = (
            "-" if result.response_time is None else f"{result.response_time:.3f}"
        )
        elapsed = self._steering._clock.now() - self._call.arrived_at
        target = result.target or destination.target
        reason = f" {result.reason}" if result.reason else ""
        outcome = result.outcome.value
        return (
            f"{destination.vm} {target} {kind} {outcome} {response_time} "
            f"{elapsed:.3f}{reason}"
        )

    def _process_unsent(self, destination, result, wait_until):
        now = self._steering._clock.now()
        has_no_slot_in_time = result.reason == NO_SLOT_IN_TIME_REASON
        if now < wait_until or not (
            destination.target is None or destination.is_affinity_target
        ):
            self._unsent_count += 1
        else:
            self._unsent_count = 0
        if self._withdrawn_at is not None:
            self._steering._budget(self._call.service).refund(self._withdrawn_at)
            self._withdrawn_at = None
        if result.reason == OVER_SHARE_REASON:
            # The share counts the slots of all owners in the region, so the request
            # may only take slots that are free. The wait is not that of others.
            self._share_allows_at = now + result.wait
            self._avoid_vms.add(destination.vm)
            self._call.affinity_until = min(self._call.affinity_until, now)
            return
        if result.reason == NO_MEMORY_REASON:
            # This says nothing about the slots of the owner.
            self._avoid_vms.add(destination.vm)
            return
        if has_no_slot_in_time:
            self._avoid_vms.add(destination.vm)
            self._call.affinity_until = min(self._call.affinity_until, now)
        dispatcher = self._steering._dispatcher
        if dispatcher.is_local(destination) or result.target is not None:
            return
        if result.wait is None and result.reason != "no free slot":
            self._avoid_vms.add(destination.vm)
        dispatcher.record_busy_owner(self._call, destination, result.wait)

    def _record_response_time(self, destination, result):
        if result.response_time is not None and not self._steering._dispatcher.is_local(
            destination
        ):
            is_affinity_target = result.target in destination.preferred
            times = self._steering._response_times
            times.record(
                self._call.route.name, result.response_time, is_affinity_target
            )

    def _may_retry(self):
        call = self._call
        if (
            not call.route.kind.is_idempotent
            or self._run_count >= call.route.max_attempts
        ):
            return False
        if not self._steering._crash_limits.may_retry(call):
            return False
        response_time = self._steering._response_times.mean(call.route.name)
        return self._steering._clock.now() + response_time < call.deadline

    def _raise_if_refused(self):
        """Raise the :class:`RequestError` of a quarantined or limited request."""
        refusal = self._steering._crash_limits.check_or_start_trial(self._call)
        if refusal is not None:
            raise refusal

    def _finish_after_owner_refusal(self):
        """Return the last failed response, or raise the final error."""
        if self._run_count:
            return self._give_up()
        raise self._steering._crash_limits.error_after_owner_refusal(self._call)

    def _unknown_outcome_error(self, result):
        timed_out = result.outcome is AttemptOutcome.TIMED_OUT
        code = ResultCode.DEADLINE_IN_RUN if timed_out else ResultCode.ANSWER_LOST
        return RequestError(code, f"{result.target}: {result.reason}")

    def _give_up(self):
        """Return the last failed response, or raise the final error."""
        if self._failed_response is not None:
            return self._failed_response
        if self._run_count:
            message = f"no complete response: {self._last_reason}"
            raise RequestError(ResultCode.ANSWER_LOST, message)
        if not self._sent_count:
            self._steering._loss_rates.record_refusal(self._call.service)
            self._steering.record_outcome(self._call, False)
        retry_at = self._retry_at()
        reason = self._last_reason or "no usable target has a free slot"
        reason = f"{reason} ({self._steering._destinations.describe(self._call)})"
        raise RequestError(ResultCode.NO_ROOM, reason, retry_at=retry_at)

    def _retry_at(self):
        """Return the instant from which the client may retry."""
        expected = self._steering._destinations.expected_wait(self._call) or 0.0
        mean_wait = max(MIN_RETRY_SECONDS, expected)
        closed_until = self._steering._destinations.closed_until(self._call)
        if self._share_allows_at is not None:
            closed_until = max(closed_until, self._share_allows_at)
        return compute_retry_at(
            self._call, mean_wait, self._steering._clock.now(), closed_until
        )
