"""Proxying of a request: permits, attempts, retries and the response to the caller."""

import h11
from curio import disable_cancellation, spawn

from heathercleat.codes import ResultCode, Run
from heathercleat.connection.http import CONNECTION_ERRORS, with_deadline
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
    LEASE_HEADER,
    PEER_HEADER,
    REQUEST_ID_HEADER,
    TARGET_HEADER,
    end_to_end,
)
from heathercleat.version.text import DeliverySemantics

#: Maximum number of attempts for one request, including the first.
MAX_ATTEMPTS = 3
#: Maximum size in bytes of a response to an at-most-once request. It is buffered, so
#: that a caller that disconnected gets it when it retries the request.
MAX_BUFFERED_RESPONSE_BYTES = 1 << 20
SERVER_ERRORS = (500, 502, 503, 504)


async def proxy_request(vm, call, extra_headers):
    """Run a request and stream the response to the caller.

    :param extra_headers: mapping of headers to add to the response.
    :raises RequestError: if there is no response from a target.
    :raises CallerDisconnectedError: if the caller disconnects, which cancels the
        request.
    """

    async def deliver(attempt, target):
        await _stream_response(call, attempt, target, extra_headers)

    await _run_attempts(vm, call, deliver)


async def proxy_buffered(vm, call):
    """Run a request and return the buffered response as an :class:`Outcome`.

    :raises RequestError: if there is no response from a target.
    """
    return await _run_attempts(vm, call, _read_response)


async def _run_attempts(vm, call, deliver):
    """Run attempts until one succeeds or no further one is allowed."""
    tried = set()
    uncertain_error = None
    budget = vm.retry_budget(call.service.name)
    budget.deposit()
    for number in range(1, MAX_ATTEMPTS + 1):
        target = None
        try:
            permit = await _acquire_permit(vm, call, frozenset(tried))
            target = _target_name(permit)
            return await _run_attempt(vm, call, permit, deliver)
        except RequestError as error:
            # If the request may have run, report that rather than a later refusal.
            if uncertain_error is None and error.code.run is not Run.NOT_RUN:
                uncertain_error = error
            is_last = number == MAX_ATTEMPTS or target is None
            if is_last or not _may_retry(vm, call, error) or not budget.withdraw():
                raise uncertain_error or error from None
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


async def _acquire_permit(vm, call, tried):
    if call.lease_id is None:
        return await vm.admission.acquire(call, tried)
    permit = None if tried else vm.admission.admit_leased(call.lease_id, call.deadline)
    if permit is None:
        raise RequestError(ResultCode.NO_ROOM, "the lease has no room here")
    return permit


async def _run_attempt(vm, call, permit, deliver):
    """Run one attempt and return what ``deliver(attempt, target name)`` returns."""
    started_at = vm.stalls.active_time()
    has_response_ended = False
    is_finished = False

    async def finish_response():
        # Release the slot before the caller receives the end of the response: the
        # caller may send its next request before this task runs again.
        nonlocal has_response_ended
        has_response_ended = True
        _record_success(vm, permit, attempt, vm.stalls.active_time() - started_at)
        await _release(vm, call, permit, attempt, is_finished=True)

    upstream = _upstream(vm, call, permit)
    attempt = Attempt(call, upstream, vm.pool, vm.clock, finish_response)
    await _announce_occupancy(vm, call, permit)
    try:
        exchange = _exchange(vm, call, permit, attempt, deliver)
        return await with_deadline(call.deadline, vm.clock, exchange)
    except (AttemptFailedError, TimeoutError) as failure:
        error = failure
        if isinstance(failure, TimeoutError):
            error = attempt.timeout_error()
        # If the target did not run the request, it has certainly finished with it.
        is_finished = error.not_run
        if not has_response_ended:
            _record_failure(vm, permit, error)
        raise error from None
    finally:
        if not has_response_ended:
            await _release(vm, call, permit, attempt, is_finished, is_complete=False)


async def _release(vm, call, permit, attempt, is_finished, is_complete=True):
    """Release the connection and the slot, even if a deadline passes meanwhile."""
    async with disable_cancellation():
        await attempt.finish(is_complete)
        await vm.admission.release(call, permit, is_finished)


async def _announce_occupancy(vm, call, permit):
    """Ensure that the announced occupancy bound of the target covers the deadline."""
    if isinstance(permit, LeasedPermit):
        return
    try:
        await vm.occupancy_publisher.ensure_announced(permit.target.name, call.deadline)
    except BaseException:
        await vm.admission.release(call, permit, is_finished=True)
        raise


async def _exchange(vm, call, permit, attempt, deliver):
    at_most_once = call.kind.semantics is DeliverySemantics.AT_MOST_ONCE
    if not at_most_once and call.stream.is_request_complete and call.stream.is_closed():
        raise CallerDisconnectedError
    await attempt.send(fresh=at_most_once)
    if at_most_once and call.lease_id is None:
        # Continue if the caller disconnects: a client retry returns the outcome.
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
    headers = ((LEASE_HEADER, str(lease.id)), (PEER_HEADER, vm.tokens.current()))
    port = vm.settings.ports.forward
    return Upstream(lease.granter, lease.host, port, headers, None, True)


def _target_name(permit):
    if isinstance(permit, LeasedPermit):
        return permit.lease.target
    return permit.target.name


def _check_status(vm, call, permit, response):
    """Raise an error for a refusal or server error that may be retried.

    Records the status for the health of the target.
    """
    if isinstance(permit, LeasedPermit):
        return
    status = response.status_code
    if status in REFUSAL_STATUSES:
        vm.health.record_refusal(permit.target)
        trusted = call.service.trust_refusals
        if trusted or call.kind.semantics is DeliverySemantics.IDEMPOTENT:
            code = ResultCode.TARGET_REFUSED if trusted else ResultCode.ANSWER_LOST
            raise AttemptFailedError(code, f"{permit.target.name} answered {status}")
    if status in SERVER_ERRORS:
        vm.health.record_failure(permit.target, "status")
        if call.kind.semantics is DeliverySemantics.IDEMPOTENT and status != 500:
            code = ResultCode.ANSWER_LOST
            raise AttemptFailedError(code, f"{permit.target.name} answered {status}")


def _record_success(vm, permit, attempt, seconds):
    if isinstance(permit, LeasedPermit):
        return
    if attempt.response.status_code not in SERVER_ERRORS:
        vm.health.record_success(permit.target, seconds)


def _record_failure(vm, permit, error):
    if isinstance(permit, LeasedPermit):
        # The granter refused the request or is unreachable.
        vm.lease_holder.discard(permit.lease)
    elif error.health_failure is not None:
        vm.health.record_failure(permit.target, error.health_failure)


def _may_retry(vm, call, error):
    """Return whether a retry is safe and can still send the complete request."""
    if call.lease_id is not None or vm.clock.now() >= call.deadline:
        return False
    if not call.stream.can_respond:
        return False
    if call.body is None and call.stream.has_body_started:
        return False
    if error.code.run is Run.NOT_RUN:
        return error.code is not ResultCode.BODY_TOO_LARGE
    return call.kind.semantics is DeliverySemantics.IDEMPOTENT


async def _stream_response(call, attempt, target, extra_headers):
    """Stream the response to the caller."""
    headers = list(end_to_end(attempt.headers))
    headers.append((TARGET_HEADER, target))
    headers.append((REQUEST_ID_HEADER, call.id))
    headers.extend(extra_headers.items())
    response = h11.Response(status_code=attempt.response.status_code, headers=headers)
    await _send_response(call, attempt, response)


async def _send_response(call, attempt, response):
    """Send the head and the body until the end of the response."""
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
    """Cancel the attempt when the caller disconnects.

    :return: whether that happened.
    """
    if not call.stream.is_request_complete:
        return False
    if not await call.stream.wait_closed():
        return False
    attempt.abort()
    return True


async def _read_response(attempt, target):
    parts, size = [], 0
    while True:
        event = await attempt.next_event()
        if isinstance(event, h11.EndOfMessage):
            break
        size += len(event.data)
        if size > MAX_BUFFERED_RESPONSE_BYTES:
            code = ResultCode.BAD_ANSWER
            raise AttemptFailedError(code, "the answer is too large", "bad answer")
        parts.append(bytes(event.data))
    headers = [
        (name, value)
        for name, value in end_to_end(attempt.headers)
        if name != b"content-length"
    ]
    headers.append((TARGET_HEADER.encode(), target.encode()))
    return Outcome(attempt.response.status_code, headers, b"".join(parts))
