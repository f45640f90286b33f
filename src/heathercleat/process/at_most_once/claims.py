"""Claims in the platform's table: what has run, for when the process is gone.

A claim is written, only if the row is missing, before a run. Another VM that is asked
about the key writes a closing row the same way; whichever comes first decides. Claims
that arrive together share one transaction.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum
from hashlib import sha256

import msgpack
from curio import Event as Signal
from curio import sleep

from heathercleat.errors import PlatformError
from heathercleat.process.configuration.platform import ABSENT, Condition, Write
from heathercleat.request.call import Outcome

BATCH_WAIT = 0.003
MAX_BATCH = 64
BUCKET_SECONDS = 3600
#: Digits of a bucket in a key, so that keys are in the order of time.
BUCKET_DIGITS = 8
CLAIM_PREFIX = "once/"
#: Largest answer body that an outcome row keeps, in bytes.
MAX_KEPT_BODY = 16 * 1024


class RowState(Enum):
    """The state of a claim row."""

    CLAIMED = "claimed"
    CLOSED = "closed"
    DONE = "done"


@dataclass(slots=True)
class ClaimRow:
    """A claim row: its state, the writer, and the outcome once it is known."""

    state: RowState
    writer: str
    outcome: Outcome | None = None


@dataclass(slots=True)
class PendingWrite:
    """A row to be written if it stands at ``version``."""

    key: str
    value: bytes
    version: int
    done: Signal
    conflict: bool = False
    error: PlatformError | None = None


class Claims:
    """Writes and reads claim rows.

    :param platform: the platform client.
    :param birth: the name of this process, as in its tickets.
    """

    def __init__(self, platform, birth):
        self._platform = platform
        self._birth = birth
        self._pending = deque()
        self._arrived = Signal()
        self._transactions = 0

    @property
    def transactions(self):
        """Return the number of transactions sent."""
        return self._transactions

    async def claim(self, ticket, key):
        """Claim a key for this process.

        :return: the row that stands: a claim of this process means it may run.
        :raises PlatformError: when nothing can be known; the request must not run.
        """
        return await self._insert(ticket, key, RowState.CLAIMED)

    async def close_out(self, ticket, key):
        """Close a key for good unless it was claimed, and return the row."""
        return await self._insert(ticket, key, RowState.CLOSED)

    async def record(self, ticket, key, outcome):
        """Keep the outcome of a claimed key, so that other VMs can repeat it."""
        if len(outcome.body) > MAX_KEPT_BODY:
            return
        row = ClaimRow(RowState.DONE, self._birth, outcome)
        try:
            await self._write(_row_key(ticket, key), _pack(row), 1)
        except PlatformError:
            return

    async def run(self):
        """Write what is pending, together, as it arrives."""
        while True:
            await self._arrived.wait()
            self._arrived.clear()
            await sleep(BATCH_WAIT)
            while self._pending:
                batch = [self._pending.popleft() for _ in self._next_batch()]
                await self._write_batch(batch)

    def _next_batch(self):
        return range(min(MAX_BATCH, len(self._pending)))

    async def _insert(self, ticket, key, state):
        row_key = _row_key(ticket, key)
        mine = ClaimRow(state, self._birth)
        try:
            if not await self._write(row_key, _pack(mine), ABSENT):
                return mine
        except PlatformError:
            # The write may have taken effect although its reply was lost.
            row = await self._platform.read(row_key)
            if row is None:
                raise
            return _unpack(row.value)
        row = await self._platform.read(row_key)
        if row is None:
            raise PlatformError("a row that stands could not be read")
        return _unpack(row.value)

    async def _write(self, key, value, version):
        """Write one row with others; return whether there was a conflict."""
        pending = PendingWrite(key, value, version, Signal())
        self._pending.append(pending)
        await self._arrived.set()
        await pending.done.wait()
        if pending.error is not None:
            raise pending.error
        return pending.conflict

    async def _write_batch(self, batch):
        while batch:
            conflicts = await self._transact(batch)
            if conflicts is None:
                return
            for pending in batch:
                pending.conflict = pending.key in conflicts
                if pending.conflict or not conflicts:
                    await pending.done.set()
            if not conflicts:
                return
            batch = [pending for pending in batch if not pending.conflict]

    async def _transact(self, batch):
        """Return the keys in conflict, or ``None`` after an error told to all."""
        conditions = [Condition(pending.key, pending.version) for pending in batch]
        writes = [Write(pending.key, pending.value) for pending in batch]
        self._transactions += 1
        try:
            commit = await self._platform.transact(conditions, writes)
            return set(commit.conflicts)
        except PlatformError as error:
            for pending in batch:
                pending.error = error
                await pending.done.set()
            return None


def bucket_end(row_key):
    """Return the instant before which every ticket of a row's bucket has expired.

    :param row_key: the key of a claim row.
    :return: epoch seconds.
    """
    bucket = row_key.removeprefix(CLAIM_PREFIX).partition("/")[0]
    return (int(bucket) + 1) * BUCKET_SECONDS


def _row_key(ticket, key):
    bucket = int(ticket.expires_at // BUCKET_SECONDS)
    name = sha256(key.encode()).hexdigest()[:32]
    return f"{CLAIM_PREFIX}{bucket:0{BUCKET_DIGITS}d}/{ticket.id}/{name}"


def _pack(row):
    outcome = row.outcome
    fields = None
    if outcome is not None:
        fields = [
            outcome.status,
            [list(pair) for pair in outcome.headers],
            outcome.body,
        ]
    return msgpack.packb([row.state.value, row.writer, fields])


def _unpack(data):
    state, writer, fields = msgpack.unpackb(data)
    outcome = None
    if fields is not None:
        status, headers, body = fields
        outcome = Outcome(status, [tuple(pair) for pair in headers], body)
    return ClaimRow(RowState(state), writer, outcome)
