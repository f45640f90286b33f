"""What this process has run under its own tickets, to run each key at most once."""

from dataclasses import dataclass, field
from enum import Enum

from curio import Event as Signal

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError

#: Seconds for which an outcome is kept after its ticket has expired.
RETENTION = 600.0
#: Seconds after a ticket's expiry from which nothing is said about its keys any more.
#: It is shorter than the retention, since clocks differ and may be set.
ANSWERABLE = 300.0
MAX_ENTRIES = 100_000


class EntryState(Enum):
    """The state of a ticket and key."""

    RUNNING = "running"
    NOT_RUN = "not-run"
    DONE = "done"
    UNKNOWN = "unknown"
    CLOSED = "closed"
    GONE = "gone"


@dataclass(slots=True)
class Entry:
    """One ticket and key; ``keep_until`` is epoch seconds."""

    digest: bytes
    keep_until: float
    state: EntryState = EntryState.RUNNING
    outcome: object = None
    claimed: bool = False
    finished: Signal = field(default_factory=Signal)


class DeduplicationTable:
    """Entries by ticket id and key.

    :param clock: source of instants.
    """

    def __init__(self, clock):
        self._clock = clock
        self._entries = {}
        self._sweep_at = 0.0

    def __len__(self):
        return len(self._entries)

    def begin(self, ticket, key, digest):
        """Start a run, or return the entry of an earlier one.

        :param digest: of the whole request, to refuse a key used for another one.
        :return: ``(entry, first)``; the caller runs the request only if ``first``.
        :raises RequestError: when the key may not run.
        """
        now = self._clock.wall()
        self._sweep(now)
        known = self._entries.get((ticket.id, key))
        if known is None:
            return self._begin_new(ticket, key, digest, now), True
        if known.state is EntryState.CLOSED:
            raise RequestError(
                ResultCode.TICKET_CLOSED, "another VM closed this ticket and key"
            )
        if known.digest != digest:
            raise RequestError(
                ResultCode.KEY_REUSED, f'key "{key}" came with another request before'
            )
        if known.state is EntryState.NOT_RUN:
            if now >= ticket.expires_at:
                raise RequestError(ResultCode.TICKET_EXPIRED, "the ticket has expired")
            known.state = EntryState.RUNNING
            known.finished = Signal()
            return known, True
        return known, False

    async def finish(self, entry, state, outcome=None):
        """Note how a run ended and wake the repeats that wait for it."""
        entry.state = state
        entry.outcome = outcome
        await entry.finished.set()

    def close_out(self, ticket_id, key, expires_at):
        """Return the entry of a key, closed for good if it has not run.

        :param expires_at: when the ticket expires, in epoch seconds.
        :raises RequestError: when the ticket is too old to know what it has run.
        """
        entry = self._entries.get((ticket_id, key))
        if entry is None:
            check_age(expires_at, self._clock.wall())
            entry = Entry(b"", expires_at + RETENTION, EntryState.CLOSED)
            self._entries[ticket_id, key] = entry
        elif entry.state is EntryState.NOT_RUN:
            entry.state = EntryState.CLOSED
        return entry

    def _begin_new(self, ticket, key, digest, now):
        check_age(ticket.expires_at, now)
        if now >= ticket.expires_at:
            raise RequestError(ResultCode.TICKET_EXPIRED, "the ticket has expired")
        if len(self._entries) >= MAX_ENTRIES:
            raise RequestError(ResultCode.NO_ROOM, "too many outcomes are kept")
        entry = Entry(digest, ticket.expires_at + RETENTION)
        self._entries[ticket.id, key] = entry
        return entry

    def _sweep(self, now):
        if now < self._sweep_at:
            return
        self._sweep_at = now + 1.0
        old = [
            place
            for place, entry in self._entries.items()
            if entry.keep_until <= now and entry.state is not EntryState.RUNNING
        ]
        for place in old:
            del self._entries[place]


def check_age(expires_at, now):
    """Refuse to say what became of the keys of an old ticket.

    Its entries may be forgotten, and a key without an entry would seem not to have run.

    :param expires_at: when the ticket expired, and ``now``, in epoch seconds.
    :raises RequestError: when the ticket is too old.
    """
    if now >= expires_at + ANSWERABLE:
        message = "the ticket is too old to know its outcome"
        raise RequestError(ResultCode.OUTCOME_UNKNOWN, message)
