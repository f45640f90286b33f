"""Requests with at-most-once semantics: tickets, claims and client retries."""

from hashlib import sha256

from heathercleat.codes import ResultCode, Run
from heathercleat.connection.http import with_deadline
from heathercleat.connection.messages import CloseOut
from heathercleat.errors import PeerError, PlatformError, RequestError
from heathercleat.events import Event
from heathercleat.process.at_most_once.claims import RowState
from heathercleat.process.at_most_once.deduplication import EntryState, check_ticket_age
from heathercleat.request.call import Outcome
from heathercleat.request.proxying import proxy_buffered


async def run_at_most_once(vm, call):
    """Run a non-idempotent request at most once and return its :class:`Outcome`.

    A request without a ticket is also sent to a target at most once, but a client retry
    counts as another request.

    :raises RequestError: if there is no outcome; the code says whether the request ran.
    """
    if call.ticket is None:
        return await proxy_buffered(vm, call)
    if call.key is None:
        raise RequestError(ResultCode.KEY_MISSING, "a ticket needs an Idempotency-Key")
    if call.ticket.service != call.service.name:
        message = f'the ticket is for "{call.ticket.service}"'
        raise RequestError(ResultCode.TICKET_INVALID, message)
    if call.ticket.instance_id != vm.instance_id:
        return await _resolve_at_issuer(vm, call)
    return await _run_as_issuer(vm, call)


async def _run_as_issuer(vm, call):
    entry, is_first = vm.deduplication.begin(call.ticket, call.key, _digest(call))
    if not is_first:
        return await _answer_client_retry(vm, call, entry)
    state, outcome = EntryState.UNKNOWN, None
    try:
        await _claim(vm, call, entry)
        outcome = await proxy_buffered(vm, call)
        state = EntryState.DONE
    except RequestError as error:
        if error.code is ResultCode.TICKET_CLOSED:
            state = EntryState.CLOSED
        elif error.code.run is Run.NOT_RUN:
            state = EntryState.NOT_RUN
        raise
    finally:
        await vm.deduplication.finish(entry, state, outcome)
    vm.journal.write(
        Event.TICKET_RUN,
        request=call.id,
        ticket=call.ticket.id,
        key=call.key,
        claims=call.ticket.requires_claims,
        status=outcome.status,
    )
    if call.ticket.requires_claims:
        await vm.record_outcome(call.ticket, call.key, outcome)
    return outcome


async def _claim(vm, call, entry):
    """Write the claim if the ticket requires one.

    :raises RequestError: if the request must not run.
    """
    if not call.ticket.requires_claims or entry.is_claimed:
        return
    try:
        claim = vm.claim_table.claim(call.ticket, call.key)
        row = await with_deadline(call.deadline, vm.clock, claim)
    except (PlatformError, TimeoutError) as error:
        vm.journal.write(Event.CLAIM_FAILED, request=call.id, reason=str(error))
        message = "the claim could not be written, so the request was not run"
        raise RequestError(ResultCode.CLAIM_FAILED, message) from None
    if row.state is RowState.CLAIMED and row.writer == vm.instance_id:
        entry.is_claimed = True
        return
    message = "another VM closed this ticket and key"
    raise RequestError(ResultCode.TICKET_CLOSED, message)


async def _answer_client_retry(vm, call, entry):
    """Return the outcome of the first run, waiting for it if necessary.

    :raises RequestError: if there is none.
    """
    if entry.state is EntryState.RUNNING:
        try:
            await with_deadline(call.deadline, vm.clock, entry.finished.wait())
        except TimeoutError:
            raise RequestError(
                ResultCode.STILL_RUNNING, "the first run has not ended"
            ) from None
    vm.journal.write(
        Event.TICKET_REPEATED,
        request=call.id,
        ticket=call.ticket.id,
        key=call.key,
        state=entry.state.value,
    )
    if entry.state is EntryState.DONE:
        return entry.outcome
    if entry.state is EntryState.NOT_RUN:
        raise RequestError(ResultCode.NO_ROOM, "the first request was not run")
    raise RequestError(ResultCode.OUTCOME_UNKNOWN, "the first run had no answer")


async def _resolve_at_issuer(vm, call):
    """Return the outcome of a request whose ticket was issued by another process.

    :raises RequestError: if there is none.
    """
    check_ticket_age(call.ticket.expires_at, vm.clock.wall())
    state, outcome = await _fetch_state(vm, call)
    vm.journal.write(
        Event.TICKET_CLOSED_OUT,
        request=call.id,
        ticket=call.ticket.id,
        key=call.key,
        owner=call.ticket.vm,
        state=state.value,
    )
    if state is EntryState.DONE:
        if outcome is None:
            message = "the request has run; its answer was not kept"
            raise RequestError(ResultCode.ANSWER_NOT_KEPT, message)
        return outcome
    if state is EntryState.CLOSED:
        message = f'"{call.ticket.vm}" did not run the request and never will'
        raise RequestError(ResultCode.TICKET_CLOSED, message)
    if state is EntryState.RUNNING:
        message = f'"{call.ticket.vm}" runs the request'
        raise RequestError(ResultCode.STILL_RUNNING, message)
    message = f'"{call.ticket.vm}" cannot be asked whether it ran the request'
    raise RequestError(ResultCode.OUTCOME_UNKNOWN, message)


async def _fetch_state(vm, call):
    """Return ``(EntryState, Outcome or None)`` from the issuer or the claim table."""
    state, outcome = await _query_issuer(vm, call.ticket, call.key)
    if state is not EntryState.GONE or not call.ticket.requires_claims:
        return state, outcome
    try:
        row = await vm.claim_table.close_out(call.ticket, call.key)
    except PlatformError:
        return EntryState.UNKNOWN, None
    if row.state is RowState.CLOSED:
        return EntryState.CLOSED, None
    if row.state is RowState.DONE:
        return EntryState.DONE, row.outcome
    return EntryState.UNKNOWN, None


async def _query_issuer(vm, ticket, key):
    entry = vm.vm_directory.find(ticket.vm)
    if entry is None or entry.name == vm.name:
        return EntryState.GONE, None
    try:
        request = CloseOut(ticket.id, key, ticket.instance_id, ticket.expires_at)
        response = await vm.links.call(entry.host, request)
    except PeerError:
        return EntryState.GONE, None
    outcome = None
    if response.status:
        headers = [tuple(pair) for pair in response.headers]
        outcome = Outcome(response.status, headers, response.body)
    return EntryState(response.state), outcome


def _digest(call):
    parts = sha256(f"{call.method} {call.path}\n".encode())
    parts.update(call.body)
    return parts.digest()
