"""Stored quarantines of requests that crash targets.

VMs learn of such requests by heartbeats. The table, in the platform's store, keeps
quarantines when all VMs restart, and reaches VMs that get no heartbeats. A few reader
VMs follow the table and gossip its contents.
"""

from collections import deque

from curio import sleep

from heathercleat.errors import PlatformError
from heathercleat.events import Event
from heathercleat.steering.process.quarantine.rows import (
    QUARANTINE_TABLE,
    decode_quarantine,
    encode_quarantine,
)
from heathercleat.steering.process.rejected_items import RejectedItemLog
from heathercleat.steering.process.store.protocol import HistoryLostError
from heathercleat.steering.process.store.versions import era_of

#: Seconds for which a read waits for a change; long, since quarantines are rare.
LONG_POLL_SECONDS = 25.0
#: Seconds between checks whether this VM is a reader, and before the first one.
READER_CHECK_SECONDS = 1.0
#: Seconds until a failed call is retried, and between two rows that one VM writes.
RETRY_SECONDS = 2.0
#: Seconds between two writes.
WRITE_INTERVAL_SECONDS = 1.0
#: Maximum number of quarantines queued for writing; the oldest is dropped.
MAX_PENDING_WRITES = 256


class QuarantineTable:
    """Writes the quarantines that this VM detected, and reads those of all VMs.

    :param suspects: the :class:`Suspects`.
    :param read_store: a :class:`Store` for reading, one call at a time.
    :param write_store: another :class:`Store` for writing.
    :param is_reader: returns whether this VM is a reader of the store.
    :param vm: name of this VM.
    """

    def __init__(
        self, suspects, read_store, write_store, is_reader, vm, journal, clock
    ):
        self._suspects = suspects
        self._read_store = read_store
        self._write_store = write_store
        self._is_reader = is_reader
        self._vm = vm
        self._journal = journal
        self._clock = clock
        self._rejected_rows = RejectedItemLog(journal, clock)
        self._pending = deque(maxlen=MAX_PENDING_WRITES)
        # Version of the table at the last read, ``None`` to read all rows.
        self._version = None
        # Era of the store at the last read, or ``None``.
        self._era = None

    def enqueue(self, suspect):
        """Queue a quarantined :class:`Suspect` for writing."""
        self._pending.append(suspect)

    async def follow(self):
        """Read the table while this VM is a reader, until cancelled."""
        while True:
            await sleep(READER_CHECK_SECONDS)
            while self._is_reader():
                await self._read()

    async def write(self):
        """Write queued quarantines until cancelled."""
        while True:
            await sleep(WRITE_INTERVAL_SECONDS)
            if self._pending and not await self._write_next():
                await sleep(RETRY_SECONDS)

    async def _write_next(self):
        """Write the next quarantine; return ``False`` if it has to be retried."""
        suspect = self._pending.popleft()
        until = self._suspects.refused_until(suspect.fingerprint)
        if until is None:
            return True
        value = encode_quarantine(suspect, self._clock, self._vm)
        done = await self._write_row(suspect.fingerprint, value)
        if not done:
            self._pending.appendleft(suspect)
        return done

    async def _read(self):
        """Make one call to the store and merge its rows."""
        try:
            snapshot = await self._next_snapshot()
        except HistoryLostError:
            self._version = None
            await sleep(RETRY_SECONDS)
            return
        except PlatformError as error:
            self._log_failure(error)
            await sleep(RETRY_SECONDS)
            return
        for row in snapshot.rows:
            await self._merge_row(row)
        era = era_of(snapshot.version)
        if self._era is not None and self._era < era:
            await self._write_lost_changes({row.key for row in snapshot.rows})
        # After an error in between, the same rows are read and merged again.
        self._era, self._version = era, snapshot.version

    async def _next_snapshot(self):
        if self._version is None:
            return await self._read_store.read(QUARANTINE_TABLE)
        return await self._read_store.follow(
            QUARANTINE_TABLE, self._version, LONG_POLL_SECONDS
        )

    async def _write_lost_changes(self, keys):
        """Write again what the store lost when it was restored from a backup.

        :param keys: fingerprints of all rows in the store.
        """
        for suspect in self._suspects.quarantined():
            if suspect.fingerprint not in keys:
                self.enqueue(suspect)
        for key in filter(self._suspects.is_cleared, keys):
            await self._write_row(key, None)

    async def _merge_row(self, row):
        """Merge a row; a deleted row lifts its quarantine."""
        if row.value is None:
            self._suspects.lift(row.key)
            return
        try:
            update = decode_quarantine(row, self._clock)
        except ValueError as error:
            self._rejected_rows.log(row.key, error)
            return
        if update is not None:
            self._suspects.merge(update)
        else:
            await self._write_row(row.key, None)

    async def _write_row(self, fingerprint, value):
        """Write a row, or delete it for ``None``; return ``False`` if this failed."""
        try:
            await self._write_store.write(QUARANTINE_TABLE, fingerprint, value)
        except PlatformError as error:
            self._log_failure(error)
            return False
        return True

    def _log_failure(self, error):
        self._journal.write(Event.PLATFORM_FAILED, reason=str(error))
