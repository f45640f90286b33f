"""Claims of at-most-once requests in the platform's table.

A process writes a claim before it runs a request, on condition that the row is missing.
A VM that has to find out whether an unreachable process ran a request writes a closing
row on the same condition, so exactly one of the two writes succeeds. Concurrent writes
share a transaction.
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

#: Seconds for which the first write of a batch waits for others.
BATCH_WAIT_SECONDS = 0.003
#: Maximum number of writes in a transaction.
MAX_BATCH_WRITES = 64
#: Tickets that expire within the same period of this length share a bucket.
BUCKET_SECONDS = 3600
#: Zero-padded width of a bucket in a key, so that keys sort by time.
BUCKET_DIGITS = 8
CLAIM_PREFIX = "once/"
#: Maximum size of a stored response body, in bytes.
MAX_STORED_BODY_BYTES = 16 * 1024


class RowState(Enum):
    """The state of a claim row.

    ``CLAIMED`` means that the writer may run the request, ``CLOSED`` that it will never
    run, and ``DONE`` that its outcome is stored.
    """

    CLAIMED = "claimed"
    CLOSED = "closed"
    DONE = "done"


@dataclass(slots=True)
class ClaimRow:
    """A claim row.

    ``writer`` is the id of the process that wrote the row. ``outcome`` is ``None``
    until the state is ``DONE``.
    """

    state: RowState
    writer: str
    outcome: Outcome | None = None


@dataclass(slots=True)
class PendingWrite:
    """A queued write of a row, on condition that the row is at ``version``.

    ``done`` is set after the transaction, once ``has_conflict`` or ``error`` is known.
    """

    key: str
    value: bytes
    version: int
    done: Signal
    has_conflict: bool = False
    error: PlatformError | None = None


class ClaimTable:
    """Writes and reads claim rows.

    :param platform: the platform client.
    :param instance_id: the id of this process, as in its tickets.
    """

    def __init__(self, platform, instance_id):
        self._platform = platform
        self._instance_id = instance_id
        self._pending = deque()
        self._has_pending = Signal()
        self._transactions = 0

    @property
    def transactions(self):
        """Return the number of transactions attempted so far."""
        return self._transactions

    async def claim(self, ticket, key):
        """Claim a key for this process.

        :return: the row in the table; the request may run if it is a claim of this
            process.
        :raises PlatformError: if the row can't be determined; the request must not run.
        """
        return await self._insert(ticket, key, RowState.CLAIMED)

    async def close_out(self, ticket, key):
        """Close a key permanently unless it was claimed.

        :return: the row in the table.
        :raises PlatformError: if the row can't be determined.
        """
        return await self._insert(ticket, key, RowState.CLOSED)

    async def record(self, ticket, key, outcome):
        """Store the outcome of a claimed key, so that other VMs can return it.

        An outcome that is too large or can't be written is not stored.
        """
        if len(outcome.body) > MAX_STORED_BODY_BYTES:
            return
        row = ClaimRow(RowState.DONE, self._instance_id, outcome)
        try:
            await self._write(_row_key(ticket, key), _pack(row), 1)
        except PlatformError:
            return

    async def run(self):
        """Write queued rows in batches, forever."""
        while True:
            await self._has_pending.wait()
            self._has_pending.clear()
            await sleep(BATCH_WAIT_SECONDS)
            while self._pending:
                batch = [self._pending.popleft() for _ in self._next_batch()]
                await self._write_batch(batch)

    def _next_batch(self):
        return range(min(MAX_BATCH_WRITES, len(self._pending)))

    async def _insert(self, ticket, key, state):
        row_key = _row_key(ticket, key)
        new_row = ClaimRow(state, self._instance_id)
        try:
            if not await self._write(row_key, _pack(new_row), ABSENT):
                return new_row
        except PlatformError:
            # The write may have succeeded although its response was lost.
            row = await self._platform.read(row_key)
            if row is None:
                raise
            return _unpack(row.value)
        row = await self._platform.read(row_key)
        if row is None:
            raise PlatformError("the claim row exists but could not be read")
        return _unpack(row.value)

    async def _write(self, key, value, version):
        """Queue a write, wait for it and return whether there was a conflict."""
        pending = PendingWrite(key, value, version, Signal())
        self._pending.append(pending)
        await self._has_pending.set()
        await pending.done.wait()
        if pending.error is not None:
            raise pending.error
        return pending.has_conflict

    async def _write_batch(self, batch):
        while batch:
            conflicts = await self._transact(batch)
            if conflicts is None:
                return
            for pending in batch:
                pending.has_conflict = pending.key in conflicts
                if pending.has_conflict or not conflicts:
                    await pending.done.set()
            if not conflicts:
                return
            batch = [pending for pending in batch if not pending.has_conflict]

    async def _transact(self, batch):
        """Send one transaction.

        :return: the keys in conflict, or ``None`` after an error, which is set on every
            write of the batch.
        """
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
    """Return when all tickets of a row's bucket have expired, in epoch seconds.

    :param row_key: the key of a claim row.
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
