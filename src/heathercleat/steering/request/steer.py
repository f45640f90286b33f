"""Steering a request: places, tries, repeats and the final answer."""

from heathercleat.codes import ResultCode
from heathercleat.errors import CallerDisconnectedError, RequestError
from heathercleat.events import Event
from heathercleat.steering.process.retry_after import compute_retry_at
from heathercleat.steering.request.attempt_result import (
    NO_SLOT_IN_TIME,
    QUARANTINED,
    AttemptOutcome,
)
from heathercleat.steering.request.destinations import LARGE_BODY_BYTES
from heathercleat.steering.request.wait_policy import WaitPolicy

#: Seconds after which a request that waits looks for room elsewhere again.
WAIT_SLICE = 0.08
#: The same where another VM owns the targets: each slice sends the body again.
FORWARDED_RECHECK_SECONDS = 0.25
#: The same for a request that is late already, since its wait is long, and for one with
#: a large body, which costs more to send again than a look elsewhere gains.
LONG_SLICE = 1.0
#: Seconds for which a request may wait at an owner whose report said that a slot was
#: free: reports are old by half a heartbeat interval.
STALE_REPORT_WAIT_SECONDS = 0.03
#: The same once the request's patience is over: what a hop inside a region takes.
LEAST_PATIENCE = 0.005
#: The longest wait for a slot in another region, whose queue is not seen from here.
FAR_PATIENCE = 0.15
#: Dispatcher at places with room that sent nothing, after which a request is refused.
MOST_UNSENT = 5
#: Bounds in seconds on the time after which a refused client is asked to come back.
LEAST_RETURN = 0.05


class Steering:
    """Steers requests of clients.

    :param places: finds where to try next.
    :param tries: makes the tries, a :class:`Dispatcher`.
    :param shift: the :class:`RegionShiftLimit`.
    :param budget: returns the :class:`RetryBudget` of a service.
    :param response_times: the :class:`ResponseTimes`.
    :param pressure: the :class:`LossRates`.
    :param departure: the :class:`Departure` of this VM.
    :param containment: the :class:`Containment`.
    """

    def __init__(
        self,
        places,
        tries,
        shift,
        budget,
        response_times,
        pressure,
        shutdown,
        containment,
        journal,
        clock,
    ):
        self._places = places
        self._tries = tries
        self._shift = shift
        self._budget = budget
        self._response_times = response_times
        self._pressure = pressure
        self._departure = shutdown
        self._containment = containment
        self._patience = WaitPolicy(response_times)
        self._journal = journal
        self._clock = clock

    async def run(self, call):
        """Return the final :class:`Answer` of a target.

        :raises RequestError: with the final answer when there is none of a target.
        :raises CallerDisconnectedError: when the client left.
        """
        self._budget(call.service).record_request(self._clock.now())
        return await _Run(self, call).run()


class _Run:
    """The tries of one request."""

    def __init__(self, steering, call):
        self._steering = steering
        self._call = call
        self._avoid = set()
        self._avoid_vms = set()
        self._sends = 0
        self._runs = 0
        self._unsent = 0
        self._failed_answer = None
        self._last_reason = None
        self._relieved = False
        call.give_up_at = steering._patience.of(call)
        call.affinity_until = steering._patience.for_home(call)

    async def run(self):
        call, clock = self._call, self._steering._clock
        while True:
            if call.left:
                raise CallerDisconnectedError
            now = clock.now()
            if not self._runs:
                self._steering._departure.check(call, now)
                self._check_quarantine()
            elif self._steering._departure.is_too_late(call, now):
                return self._give_up()
            place = self._next_place(now)
            if place is None:
                return self._give_up()
            if self._sends and not self._spend_repeat(now):
                return self._give_up()
            call.send_deadline = self._steering._departure.send_deadline(call)
            until = min(self._until(place, now), call.deadline, call.send_deadline)
            call.trying, call.trying_since = place, now
            result = await self._try(place, until)
            call.trying = None
            if call.left:
                raise CallerDisconnectedError
            final = self._take(place, result, until)
            if final is not None:
                return final

    async def _try(self, place, until):
        """Return the :class:`AttemptResult` of a try at a place."""
        call, steering = self._call, self._steering
        trying = steering._tries.run(call, place, self._avoid, until)
        if steering._tries.is_own(place):
            return await trying
        with steering._departure.runs.watch(call) as run:
            result = await trying
            run.take(result)
            return result

    def _next_place(self, now):
        """Return where to try next, or ``None`` when it is time to give up."""
        if now >= self._call.deadline or self._unsent >= MOST_UNSENT:
            return None
        if now >= self._call.give_up_at and self._unsent:
            return None
        places = self._steering._places
        place = places.free(self._call, self._avoid, self._avoid_vms)
        if place is not None:
            return place
        if now >= self._call.give_up_at:
            return None
        place = self._relief() or self._wait_near()
        if place is None and now < self._call.affinity_until:
            self._call.affinity_until = now
            place = places.free(self._call, self._avoid, self._avoid_vms)
        return place

    def _wait_near(self):
        places = self._steering._places
        return places.waiting(self._call, self._avoid, self._avoid_vms)

    def _relief(self):
        """Return a place to wait at in a region whose clients lose less, once."""
        if self._relieved:
            return None
        place = self._steering._places.select_spillover(
            self._call, self._avoid, self._avoid_vms
        )
        self._relieved = place is not None
        return place

    def _spend_repeat(self, now):
        budget = self._steering._budget(self._call.service)
        spent = budget.spend(now)
        self._steering._journal.write(
            Event.ROUTE_RETRIED,
            request=self._call.id,
            service=self._call.service,
            reason=self._last_reason,
            allowed=spent,
            left=round(budget.left(now), 1),
        )
        return spent

    def _until(self, place, now):
        """Return the instant until which the request may wait for a slot there.

        At the home of its object it waits at once, though the home seemed to have room:
        it would only come back to wait there, over the network and with its body again.
        """
        if place.target is not None and not self._waits(place, now):
            if place.remote:
                return self._until_far(place, now)
            least = max(self._call.give_up_at, now + LEAST_PATIENCE)
            return min(now + STALE_REPORT_WAIT_SECONDS, least)
        trip = self._steering._tries.trip(place)
        affinity_until = self._call.affinity_until - trip
        end = affinity_until if now < affinity_until else self._call.give_up_at - trip
        return min(end, now + self._slice(place, now))

    def _waits(self, place, now):
        """Return whether the request waits at a place, if its target has no room."""
        return place.target is None or (
            place.is_home and now < self._call.affinity_until
        )

    def _slice(self, place, now):
        """Return the seconds after which a request looks for a place again."""
        if self._steering._tries.is_own(place):
            return WAIT_SLICE
        is_large = len(self._call.body) >= LARGE_BODY_BYTES
        late = now > self._call.soft_deadline
        return LONG_SLICE if late or is_large else FORWARDED_RECHECK_SECONDS

    def _until_far(self, place, now):
        """Return how long to wait in another region and still be answered in time."""
        call, steering = self._call, self._steering
        work = steering._response_times.of(call.route.name)
        latest = call.soft_deadline - steering._tries.trip(place) - work
        return min(max(now + STALE_REPORT_WAIT_SECONDS, latest), now + FAR_PATIENCE)

    def _take(self, place, result, until):
        """Take the result of a try; return the final answer, or ``None`` to go on."""
        self._last_reason = result.reason
        self._call.tries.append(self._describe(place, result))
        if result.target is not None:
            self._avoid.add(result.target)
        if result.end is AttemptOutcome.NOT_SENT:
            if result.reason == QUARANTINED:
                return self._end_quarantined()
            self._take_unsent(place, result, until)
            return None
        self._sends += 1
        self._steering._shift.count(place.remote)
        if result.end is AttemptOutcome.REFUSED:
            return None
        self._runs += 1
        if result.end is AttemptOutcome.ANSWERED:
            self._observe(place, result)
            late = self._steering._clock.now() > self._call.soft_deadline
            self._steering._pressure.answered(self._call.service, late)
            if result.succeeded or not self._may_run_again():
                return result.answer
            self._failed_answer = result.answer
            return None
        if result.end is AttemptOutcome.UNKNOWN and self._may_run_again():
            return None
        raise self._unknown(result)

    def _describe(self, place, result):
        """Return a try as text.

        It tells the owner, the target and whether it knows the object, the end, what
        the target took, and the time since the request came, in seconds.
        """
        knows = "home" if result.target in place.preferred else "other"
        work = "-" if result.work is None else f"{result.work:.3f}"
        took = self._steering._clock.now() - self._call.arrived_at
        target = result.target or place.target
        reason = f" {result.reason}" if result.reason else ""
        end = result.end.value
        return f"{place.vm} {target} {knows} {end} {work} {took:.3f}{reason}"

    def _take_unsent(self, place, result, until):
        now = self._steering._clock.now()
        hopeless = result.reason == NO_SLOT_IN_TIME
        if now < until or not (place.target is None or place.is_home):
            self._unsent += 1
        else:
            self._unsent = 0
        if self._sends:
            self._steering._budget(self._call.service).refund()
        if hopeless:
            self._avoid_vms.add(place.vm)
            self._call.affinity_until = min(self._call.affinity_until, now)
        tries = self._steering._tries
        if tries.is_own(place) or result.target is not None:
            return
        if result.wait is None and result.reason != "no free slot":
            self._avoid_vms.add(place.vm)
        tries.note_full(self._call, place, result.wait)

    def _observe(self, place, result):
        if result.work is not None and not self._steering._tries.is_own(place):
            home = result.target in place.preferred
            times = self._steering._response_times
            times.observe(self._call.route.name, result.work, home)

    def _may_run_again(self):
        call = self._call
        if not call.route.kind.idempotent or self._runs >= call.route.max_attempts:
            return False
        if not self._steering._containment.may_retry(call):
            return False
        work = self._steering._response_times.of(call.route.name)
        return self._steering._clock.now() + work < call.deadline

    def _check_quarantine(self):
        """Raise the refusal of a request under which targets end."""
        refusal = self._steering._containment.refusal(self._call)
        if refusal is not None:
            raise refusal

    def _end_quarantined(self):
        """Return a failed answer that is left, or raise the final refusal."""
        if self._runs:
            return self._give_up()
        raise self._steering._containment.owner_refusal(self._call)

    def _unknown(self, result):
        timed_out = result.end is AttemptOutcome.TIMED_OUT
        code = ResultCode.DEADLINE_IN_RUN if timed_out else ResultCode.ANSWER_LOST
        return RequestError(code, f"{result.target}: {result.reason}")

    def _give_up(self):
        """Return a failed answer that is left, or raise the final refusal."""
        if self._failed_answer is not None:
            return self._failed_answer
        if self._runs:
            message = f"no whole answer: {self._last_reason}"
            raise RequestError(ResultCode.ANSWER_LOST, message)
        if not self._sends:
            self._steering._pressure.refused(self._call.service)
        wait = self._return_after()
        reason = self._last_reason or "no free slot within reach"
        reason = f"{reason} ({self._steering._places.describe(self._call)})"
        raise RequestError(ResultCode.NO_ROOM, reason, retry_at=wait)

    def _return_after(self):
        """Return the instant from which the client is welcome again."""
        expected = self._steering._places.expected_wait(self._call) or 0.0
        mean = max(LEAST_RETURN, expected)
        return compute_retry_at(self._call, mean, self._steering._clock.now())
