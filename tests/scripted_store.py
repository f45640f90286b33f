"""A store in memory for tests of what follows its tables."""

from curio import sleep

from heathercleat.errors import PlatformError
from heathercleat.steering.process.store.protocol import (
    HistoryLostError,
    Snapshot,
    StoreRow,
)

SILENT_SECONDS = 60.0


class ScriptedStore:
    """A table in memory whose calls can fail."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.down = False
        self.failures = 0
        self.on_failure = lambda: None
        self.is_history_lost = False
        self.is_silent = False
        self.waits = []
        self.reads = 0
        self.calls = 0

    def put(self, key, value):
        self.version += 1
        row = StoreRow(key, value, self.version)
        self.changes.append(row)
        self.rows[key] = row
        if value is None:
            del self.rows[key]

    async def read(self, table):
        self._call()
        self.reads += 1
        return Snapshot(self.version, list(self.rows.values()))

    async def follow(self, table, after, wait):
        self.waits.append(wait)
        self._call()
        if self.is_silent:
            await sleep(SILENT_SECONDS)
            raise PlatformError("no answer")
        if self.is_history_lost:
            self.is_history_lost = False
            raise HistoryLostError("gone")
        changes = [row for row in self.changes if row.version > after]
        return Snapshot(self.version, changes, is_whole=False)

    async def hang(self, table, after, wait):
        """Report a lost history once, then wait for a change for a long time."""
        if self.is_history_lost:
            self.is_history_lost = False
            raise HistoryLostError("gone")
        await sleep(SILENT_SECONDS)

    def _call(self):
        self.calls += 1
        if self.failures:
            self.failures -= 1
            self.on_failure()
            raise PlatformError("connection lost")
        if self.down:
            raise PlatformError("down")
