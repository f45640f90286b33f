"""Following a table of the store, through other VMs while the store is away."""

from random import uniform

from curio import sleep

from heathercleat.errors import PeerError, PlatformError
from heathercleat.events import Event
from heathercleat.steering.process.store import HistoryLostError, Snapshot

#: Seconds between two tries while the store does not answer: short enough for a
#: configuration to be in force within its bound after the store's return.
RETRY_INTERVAL = 0.3


class TableFollower:
    """Keeps a copy of one table up to date.

    :param table: name of the table.
    :param store: a :class:`Store` of its own.
    :param wait: seconds for which a call waits for a change.
    :param pause: seconds between two calls, to bound their number.
    :param apply: called with the :class:`Snapshot` of changes and whether it is whole.
    :param relay: fetches a newer whole :class:`Snapshot` from another VM, or ``None``;
        a coroutine function of the version known here.
    :param on_return: called when the store answers after it was away.
    """

    def __init__(
        self, table, store, wait, pause, apply, relay, on_return, journal, clock
    ):
        self._table = table
        self._store = store
        self._wait = wait
        self._pause = pause
        self._apply = apply
        self._relay = relay
        self._on_return = on_return
        self._journal = journal
        self._clock = clock
        self._rows = {}
        self._version = 0
        self._loaded = False
        self._lost_at = None
        self._read_at = None

    @property
    def version(self):
        """Return the store's version that the copy is current as of."""
        return self._version

    @property
    def read_at(self):
        """Return the instant of the last answer of the store, or ``None``."""
        return self._read_at

    def snapshot(self):
        """Return all rows known here."""
        return Snapshot(self._version, list(self._rows.values()))

    async def run(self):
        """Follow the table until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryLostError:
                self._loaded = False
                continue
            except PlatformError as error:
                self._note_lost(error)
                await self._ask_peer()
                await sleep(uniform(0.5, 1.5) * RETRY_INTERVAL)
                continue
            await sleep(uniform(0.8, 1.2) * self._pause)

    async def _step(self):
        if not self._loaded:
            snapshot = await self._store.read(self._table)
            self._note_answer()
            self._take_whole(snapshot)
            self._loaded = True
            return
        changes = await self._store.follow(self._table, self._version, self._wait)
        self._note_answer()
        self._take_changes(changes)

    async def _ask_peer(self):
        try:
            snapshot = await self._relay(self._version)
        except PeerError as error:
            self._journal.write(
                Event.STATE_NOT_FETCHED, table=self._table, reason=str(error)
            )
            return
        if snapshot is not None and snapshot.version > self._version:
            self._journal.write(
                Event.STATE_FROM_PEER, table=self._table, version=snapshot.version
            )
            self._take_whole(snapshot)

    def _take_whole(self, snapshot):
        # A peer may have been ahead of the answer that was on its way.
        if snapshot.version < self._version:
            return
        self._version = snapshot.version
        self._rows = {row.key: row for row in snapshot.rows}
        self._apply(snapshot, True)

    def _take_changes(self, changes):
        if changes.version < self._version:
            return
        self._version = changes.version
        for row in changes.rows:
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        if changes.rows or self._lost_at is not None:
            self._apply(changes, False)

    def _note_lost(self, error):
        if self._lost_at is None:
            self._lost_at = self._clock.now()
            self._journal.write(
                Event.STORE_LOST,
                table=self._table,
                version=self._version,
                reason=str(error),
            )

    def _note_answer(self):
        self._read_at = self._clock.now()
        if self._lost_at is None:
            return
        self._journal.write(
            Event.STORE_RETURNED,
            table=self._table,
            away=round(self._read_at - self._lost_at, 3),
        )
        self._lost_at = None
        self._on_return()
