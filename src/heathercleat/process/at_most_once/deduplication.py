"""Deduplication of the requests that carry tickets of this process."""

from dataclasses import dataclass, field
from enum import Enum

from curio import Event as Signal

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError

#: Seconds for which an outcome is kept after its ticket has expired.
RETENTION_SECONDS = 600.0
#: Seconds after the expiry of a ticket during which its outcomes are reported; shorter
#: than the retention to allow for clock skew and adjustments.
MAX_REPORTED_AGE_SECONDS = 300.0
MAX_ENTRIES = 100_000


class EntryState(Enum):
    """The state of a ticket and key.

    ``CLOSED`` means that the request will never run, ``GONE`` that the process named in
    the ticket is unreachable or has exited.
    """

    RUNNING = "running"
    NOT_RUN = "not-run"
    DONE = "done"
    UNKNOWN = "unknown"
    CLOSED = "closed"
    GONE = "gone"


@dataclass(slots=True)
class Entry:
    """The run of one ticket and key.

    ``digest`` identifies the content of the request; ``keep_until`` is epoch seconds;
    ``is_claimed`` is whether this process has written the claim row; ``finished`` is
    set when the run has ended.
    """

    digest: bytes
    keep_until: float
    state: EntryState = EntryState.RUNNING
    outcome: object = None
    is_claimed: bool = False
    finished: Signal = field(default_factory=Signal)


class DeduplicationTable:
    """The runs of this process by ticket id and key."""

    def __init__(self, clock):
        self._clock = clock
        self._entries = {}
        self._next_removal_at = 0.0

    def __len__(self):
        return len(self._entries)

    def begin(self, ticket, key, digest):
        """Start a run, or return the entry of an earlier run.

        :param digest: digest of the request, to reject a key reused for another one.
        :return: ``(entry, is_first)``; the request must run only if ``is_first``.
        :raises RequestError: if the request must not run.
        """
        now = self._clock.wall()
        self._remove_expired(now)
        entry = self._entries.get((ticket.id, key))
        if entry is None:
            return self._begin_new(ticket, key, digest, now), True
        if entry.state is EntryState.CLOSED:
            raise RequestError(
                ResultCode.TICKET_CLOSED, "another VM closed this ticket and key"
            )
        if entry.digest != digest:
            raise RequestError(
                ResultCode.KEY_REUSED,
                f'key "{key}" came with another request before',
            )
        if entry.state is EntryState.NOT_RUN:
            if now >= ticket.expires_at:
                raise RequestError(ResultCode.TICKET_EXPIRED, "the ticket has expired")
            entry.state = EntryState.RUNNING
            entry.finished = Signal()
            return entry, True
        return entry, False

    async def finish(self, entry, state, outcome=None):
        """Record the end of a run and wake the client retries that wait for it."""
        entry.state = state
        entry.outcome = outcome
        await entry.finished.set()

    def close_out(self, ticket_id, key, expires_at):
        """Return the entry of a key, closing it permanently if it has not run.

        :param expires_at: expiry of the ticket, in epoch seconds.
        :raises RequestError: if the outcomes of the ticket are no longer kept.
        """
        entry = self._entries.get((ticket_id, key))
        if entry is None:
            check_ticket_age(expires_at, self._clock.wall())
            entry = Entry(b"", expires_at + RETENTION_SECONDS, EntryState.CLOSED)
            self._entries[ticket_id, key] = entry
        elif entry.state is EntryState.NOT_RUN:
            entry.state = EntryState.CLOSED
        return entry

    def _begin_new(self, ticket, key, digest, now):
        check_ticket_age(ticket.expires_at, now)
        if now >= ticket.expires_at:
            raise RequestError(ResultCode.TICKET_EXPIRED, "the ticket has expired")
        if len(self._entries) >= MAX_ENTRIES:
            raise RequestError(ResultCode.NO_ROOM, "too many outcomes are kept")
        entry = Entry(digest, ticket.expires_at + RETENTION_SECONDS)
        self._entries[ticket.id, key] = entry
        return entry

    def _remove_expired(self, now):
        if now < self._next_removal_at:
            return
        self._next_removal_at = now + 1.0
        expired = [
            entry_key
            for entry_key, entry in self._entries.items()
            if entry.keep_until <= now and entry.state is not EntryState.RUNNING
        ]
        for entry_key in expired:
            del self._entries[entry_key]


def check_ticket_age(expires_at, now):
    """Reject a ticket whose entries may already have been removed.

    A key without an entry would otherwise appear not to have run.

    :param expires_at: expiry of the ticket, in epoch seconds, as is ``now``.
    :raises RequestError: if the ticket is too old.
    """
    if now >= expires_at + MAX_REPORTED_AGE_SECONDS:
        message = "the ticket is too old to know its outcome"
        raise RequestError(ResultCode.OUTCOME_UNKNOWN, message)
