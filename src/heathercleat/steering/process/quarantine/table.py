"""Quarantines in the platform's store, which outlive all VMs.

Heartbeats tell VMs of suspects within a second. The store is for what they cannot do:
a fleet whose VMs all lost their memory, and VMs that hear none of the others. A few VMs
read the table, as they do with others, and tell the rest.
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
from heathercleat.steering.process.store.protocol import HistoryLostError
from heathercleat.steering.process.store.rejected_rows import RejectedRowLog

#: Seconds for which a call waits for a change: a quarantine is rare, and is told by
#: heartbeats first.
LONG_POLL_SECONDS = 25.0
#: Seconds after the start from which a VM knows whether it is for it to read, and
#: between two looks whether it is.
READER_CHECK_SECONDS = 1.0
#: Seconds between two tries while the store does not answer, and between two rows that
#: one VM writes.
RETRY_SECONDS = 2.0
WRITE_SECONDS = 1.0
#: Quarantines that wait to be written, the latest ones.
MAX_PENDING_WRITES = 256


class QuarantineTable:
    """Writes the quarantines that this VM found; reads those of others.

    :param suspects: the :class:`Suspects`.
    :param reading: a :class:`Store` for reading, one call at a time.
    :param writing: another one for writing.
    :param is_reader: returns whether this VM reads the store.
    :param vm: name of this VM.
    """

    def __init__(self, suspects, reading, writing, is_reader, vm, journal, clock):
        self._suspects = suspects
        self._reading = reading
        self._writing = writing
        self._is_reader = is_reader
        self._vm = vm
        self._journal = journal
        self._clock = clock
        self._rejections = RejectedRowLog(journal, clock)
        self._waiting = deque(maxlen=MAX_PENDING_WRITES)
        # Version of the table as it was read last, or ``None``.
        self._version = None

    def keep(self, suspect):
        """Have a quarantined :class:`Suspect` written."""
        self._waiting.append(suspect)

    async def follow(self):
        """Read the table until cancelled, while it is for this VM to do so."""
        while True:
            await sleep(READER_CHECK_SECONDS)
            while self._is_reader():
                await self._read()

    async def write(self):
        """Write what waits to be written, until cancelled."""
        while True:
            await sleep(WRITE_SECONDS)
            if self._waiting and not await self._write_next():
                await sleep(RETRY_SECONDS)

    async def _write_next(self):
        """Write the row of a quarantine that is not over; return whether it stands."""
        suspect = self._waiting.popleft()
        until = self._suspects.refused_until(suspect.fingerprint)
        if until is None:
            return True
        value = encode_quarantine(suspect, self._clock, self._vm)
        done = await self._put(suspect.fingerprint, value)
        if not done:
            self._waiting.appendleft(suspect)
        return done

    async def _read(self):
        """Make one call, and take what it tells."""
        try:
            snapshot = await self._next_snapshot()
        except HistoryLostError:
            self._version = None
            await sleep(RETRY_SECONDS)
            return
        except PlatformError as error:
            self._log_failed(error)
            await sleep(RETRY_SECONDS)
            return
        self._version = snapshot.version
        for row in snapshot.rows:
            await self._take(row)

    async def _next_snapshot(self):
        if self._version is None:
            return await self._reading.read(QUARANTINE_TABLE)
        return await self._reading.follow(
            QUARANTINE_TABLE, self._version, LONG_POLL_SECONDS
        )

    async def _take(self, row):
        """Take a row; one that an operator removed lifts its quarantine."""
        if row.value is None:
            self._suspects.lift(row.key)
            return
        try:
            news = decode_quarantine(row, self._clock)
        except ValueError as error:
            self._rejections.log(row.key, error)
            return
        if news is not None:
            self._suspects.told(news)
        else:
            await self._put(row.key, None)

    async def _put(self, fingerprint, value):
        """Write or remove a row; return whether the store took it."""
        try:
            await self._writing.write(QUARANTINE_TABLE, fingerprint, value)
        except PlatformError as error:
            self._log_failed(error)
            return False
        return True

    def _log_failed(self, error):
        self._journal.write(Event.PLATFORM_FAILED, reason=str(error))
