"""Carrying a request: permits, attempts, retries and the answer to the caller."""

import h11
from curio import disable_cancellation, spawn

from heathercleat.codes import ResultCode, Run
from heathercleat.connection.http import CONNECTION_ERRORS, before
from heathercleat.errors import CallerDisconnectedError, RequestError
from heathercleat.events import Event
from heathercleat.process.capacity.admission import LeasedPermit
from heathercleat.request.attempt import (
    REFUSAL_STATUSES,
    Attempt,
    AttemptFailedError,
    Upstream,
)
from heathercleat.request.call import Outcome
from heathercleat.request.headers import (
    LEASE,
    PEER,
    REQUEST_ID,
    SERVED_BY,
    end_to_end,
)
from heathercleat.version.text import Semantics

#: Attempts at one request, the first included.
MAX_ATTEMPTS = 3
#: Largest answer to an at-most-once request, in bytes; it is read whole before it is
#: sent on, so that a caller that left gets it with its repeat.
MAX_KEPT_ANSWER = 1 << 20
SERVER_ERRORS = (500, 502, 503, 504)


async def carry(vm, call, extra_headers):
    """Run a request and stream its answer to the caller.

    :param extra_headers: headers to add to the answer.
    :raises RequestError: with the final answer when there is none from a target.
    :raises CallerDisconnectedError: when the caller left; its request is cancelled.
    """

    async def deliver(attempt, target):
        await _stream_answer(call, attempt, target, extra_headers)

    await _attempts(vm, call, deliver)


async def proxy_buffered(vm, call):
    """Run a request and return its answer as an :class:`Outcome`.

    :raises RequestError: when there is no answer from a target.
    """
    return await _attempts(vm, call, _read_answer)


async def _attempts(vm, call, deliver):
    """Try permits until one attempt is delivered or no further one is allowed."""
    tried = set()
    uncertain = None
    budget = vm.budget(call.service.name)
    budget.deposit()
    for number in range(1, MAX_ATTEMPTS + 1):
        target = None
        try:
            permit = await _permit(vm, call, frozenset(tried))
            target = _target_name(permit)
            return await _attempt(vm, call, permit, deliver)
        except RequestError as error:
            # Once an attempt may have run, no later refusal may say "not run".
            if uncertain is None and error.code.run is not Run.NOT_RUN:
                uncertain = error
            last = number == MAX_ATTEMPTS or target is None
            if last or not _may_retry(vm, call, error) or not budget.withdraw():
                raise uncertain or error from None
            tried.add(target)
            _log_retry(vm, call, target, error, budget)


def _log_retry(vm, call, target, error, budget):
    vm.journal.write(
        Event.ROUTE_RETRIED,
        request=call.id,
        service=call.service.name,
        after=target,
        code=error.code.number,
        reason=str(error),
        budget=round(budget.balance, 1),
    )


async def _permit(vm, call, tried):
    if call.lease is None:
        return await vm.admission.acquire(call, tried)
    permit = None if tried else vm.admission.enter(call.lease, call.deadline)
    if permit is None:
        raise RequestError(ResultCode.NO_ROOM, "the lease has no room here")
    return permit


async def _attempt(vm, call, permit, deliver):
    started_at = vm.stalls.running()
    ended = False
    certain = False

    async def end():
        # The slot is free once the target is done, not when its answer has arrived:
        # the caller may send its next request before this task runs again.
        nonlocal ended
        ended = True
        _note_success(vm, permit, attempt, vm.stalls.running() - started_at)
        await _settle(vm, call, permit, attempt, certain=True)

    upstream = _upstream(vm, call, permit)
    attempt = Attempt(call, upstream, vm.pool, vm.clock, end)
    await _cover(vm, call, permit)
    try:
        exchange = _exchange(vm, call, permit, attempt, deliver)
        return await before(call.deadline, vm.clock, exchange)
    except (AttemptFailedError, TimeoutError) as failure:
        error = failure
        if isinstance(failure, TimeoutError):
            error = attempt.timed_out()
        certain = error.not_run
        if not ended:
            _note_failure(vm, permit, error)
        raise error from None
    finally:
        if not ended:
            await _settle(vm, call, permit, attempt, certain, whole=False)


async def _settle(vm, call, permit, attempt, certain, whole=True):
    """Give the connection and the slot back, also when a deadline passes meanwhile."""
    async with disable_cancellation():
        await attempt.finish(whole)
        await vm.admission.release(call, permit, certain)


async def _cover(vm, call, permit):
    """Announce until when the request may occupy its target, before it is sent."""
    if isinstance(permit, LeasedPermit):
        return
    try:
        await vm.covers.ensure(permit.target.name, call.deadline)
    except BaseException:
        await vm.admission.release(call, permit, certain=True)
        raise


async def _exchange(vm, call, permit, attempt, deliver):
    once = call.kind.semantics is Semantics.AT_MOST_ONCE
    if not once and call.stream.is_request_complete and call.stream.is_closed():
        raise CallerDisconnectedError
    await attempt.send(fresh=once)
    if once and call.lease is None:
        # The run goes on without its caller, who gets the outcome with a repeat.
        return await _receive(vm, call, permit, attempt, deliver)
    watcher = await spawn(_watch_caller, call, attempt)
    try:
        return await _receive(vm, call, permit, attempt, deliver)
    except AttemptFailedError:
        if watcher.terminated and watcher.result:
            raise CallerDisconnectedError from None
        raise
    finally:
        await watcher.cancel()


async def _receive(vm, call, permit, attempt, deliver):
    await attempt.read_head()
    _check_status(vm, call, permit, attempt.response)
    return await deliver(attempt, _target_name(permit))


def _upstream(vm, call, permit):
    if not isinstance(permit, LeasedPermit):
        target = permit.target
        limit = target.connections
        return Upstream(target.name, target.host, target.port, (), limit, False)
    lease = permit.lease
    headers = ((LEASE, str(lease.id)), (PEER, vm.tokens.current()))
    port = vm.settings.ports.forward
    return Upstream(lease.granter, lease.host, port, headers, None, True)


def _target_name(permit):
    if isinstance(permit, LeasedPermit):
        return permit.lease.target
    return permit.target.name


def _check_status(vm, call, permit, response):
    """Turn refusals and server errors that may be retried into failures."""
    if isinstance(permit, LeasedPermit):
        return
    status = response.status_code
    if status in REFUSAL_STATUSES:
        vm.health.record_refusal(permit.target)
        trusted = call.service.trust_refusals
        if trusted or call.kind.semantics is Semantics.IDEMPOTENT:
            code = ResultCode.TARGET_REFUSED if trusted else ResultCode.ANSWER_LOST
            raise AttemptFailedError(code, f"{permit.target.name} answered {status}")
    if status in SERVER_ERRORS:
        vm.health.record_failure(permit.target, "status")
        if call.kind.semantics is Semantics.IDEMPOTENT and status != 500:
            code = ResultCode.ANSWER_LOST
            raise AttemptFailedError(code, f"{permit.target.name} answered {status}")


def _note_success(vm, permit, attempt, seconds):
    if isinstance(permit, LeasedPermit):
        return
    if attempt.response.status_code not in SERVER_ERRORS:
        vm.health.record_success(permit.target, seconds)


def _note_failure(vm, permit, error):
    if isinstance(permit, LeasedPermit):
        # The granter refused, or could not be reached: the lease is worth nothing.
        vm.lease_holder.end(permit.lease)
    elif error.blame is not None:
        vm.health.record_failure(permit.target, error.blame)


def _may_retry(vm, call, error):
    """Return whether another attempt can neither double the work nor lose a part."""
    if call.lease is not None or vm.clock.now() >= call.deadline:
        return False
    if not call.stream.can_respond:
        return False
    if call.body is None and call.stream.has_body_started:
        return False
    if error.code.run is Run.NOT_RUN:
        return error.code is not ResultCode.BODY_TOO_LARGE
    return call.kind.semantics is Semantics.IDEMPOTENT


async def _stream_answer(call, attempt, target, extra_headers):
    """Send an answer on as it arrives; cancel the request if the caller leaves."""
    headers = list(end_to_end(attempt.headers))
    headers.append((SERVED_BY, target))
    headers.append((REQUEST_ID, call.id))
    headers.extend(extra_headers.items())
    response = h11.Response(status_code=attempt.response.status_code, headers=headers)
    await _send_answer(call, attempt, response)


async def _send_answer(call, attempt, response):
    """Send head and body; the last event of a whole answer is its end."""
    pending = [response]
    while True:
        event = await attempt.next_event()
        pending.append(event)
        try:
            await call.stream.send(*pending)
        except CONNECTION_ERRORS:
            raise CallerDisconnectedError from None
        pending = []
        if isinstance(event, h11.EndOfMessage):
            return


async def _watch_caller(call, attempt):
    """Return whether the caller left, after cancelling its request."""
    if not call.stream.is_request_complete:
        return False
    if not await call.stream.wait_closed():
        return False
    attempt.abort()
    return True


async def _read_answer(attempt, target):
    parts, size = [], 0
    while True:
        event = await attempt.next_event()
        if isinstance(event, h11.EndOfMessage):
            break
        size += len(event.data)
        if size > MAX_KEPT_ANSWER:
            code = ResultCode.BAD_ANSWER
            raise AttemptFailedError(code, "the answer is too large", "bad answer")
        parts.append(bytes(event.data))
    headers = [
        (name, value)
        for name, value in end_to_end(attempt.headers)
        if name != b"content-length"
    ]
    headers.append((SERVED_BY.encode(), target.encode()))
    return Outcome(attempt.response.status_code, headers, b"".join(parts))
