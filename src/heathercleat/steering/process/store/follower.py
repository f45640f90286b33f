"""Following a table of the store, through other VMs while the store is away."""

from random import uniform

from curio import Event as Signal
from curio import ignore_after, sleep, spawn

from heathercleat.errors import PeerError, PlatformError
from heathercleat.events import Event
from heathercleat.steering.process.store.protocol import HistoryLostError
from heathercleat.steering.process.store.table_copy import TableCopy

#: Seconds between two tries of a reader while the store does not answer: short enough
#: for a configuration to be in force within its bound after the store's return.
RETRY_INTERVAL = 0.3
#: The same for other VMs, which learn of its return from a reader.
IDLE_RETRY_INTERVAL = 2.0
#: Seconds after its first reading of a table from which a VM knows whether it is for it
#: to read: by then it has heard others.
SETTLE_SECONDS = 1.0
#: Seconds for which an answer shows that the store answers a VM: what passes between
#: two answers to one that reads it, in quiet times, is up to 1.8 s.
ANSWER_LIFE = 2.5
#: Seconds between two looks of a VM that does not read the store at what others know,
#: while one of them knows a newer change; of one that knows none until it is told.
PEER_INTERVAL = 0.1
IDLE_PEER_INTERVAL = 0.5


class Outage:
    """The time in which the store does not answer this VM.

    :param began_at: instant at which this was noticed.
    :param tried_at: instant at which the last call that failed was begun.
    :param is_total: whether the store answered no other VM at that instant, as far as
        these told. Only then can targets have failed to report: a VM that the store
        had turned away alone took an entry that was removed for a lapsed one, and sent
        requests to its target for 2.2 s and more.
    """

    __slots__ = ("began_at", "tried_at", "is_total")

    def __init__(self, began_at):
        self.began_at = began_at
        self.tried_at = began_at
        self.is_total = False


class TableFollower:
    """Keeps a copy of one table up to date.

    Some VMs read the store; the others fetch the table from a VM whose heartbeat tells
    of a newer change. With 10 to 16 VMs that saved 58% of the calls to the store.

    :param table: name of the table.
    :param store: a :class:`Store` of its own.
    :param wait: seconds for which a call waits for a change.
    :param pause: seconds between two calls, to bound their number.
    :param apply: called with a :class:`Snapshot`; returns the keys of the rows that
        mattered.
    :param relay: fetches a :class:`Snapshot` with a newer change from another VM, or
        returns ``None``; a coroutine function of the last change known here and the
        instant since which others know a newer one.
    :param newest: returns the newest change of which another VM has told.
    :param is_reader: returns whether this VM reads the store.
    :param is_answered_elsewhere: returns whether the store answers another VM.
    :param lapsing: returns the seconds for which what a removed row stood for is still
        used, by key.
    :param on_return: called when the store answers after it was away for all, with the
        earliest instant at which it can have returned.
    """

    def __init__(
        self,
        table,
        store,
        wait,
        pause,
        apply,
        relay,
        newest,
        is_reader,
        is_answered_elsewhere,
        lapsing,
        on_return,
        journal,
        clock,
    ):
        self._table = table
        self._store = store
        self._wait = wait
        self._pause = pause
        self._apply = apply
        self._relay = relay
        self._newest = newest
        self._is_reader = is_reader
        self._is_answered_elsewhere = is_answered_elsewhere
        self._lapsing = lapsing
        self._on_return = on_return
        self._journal = journal
        self._clock = clock
        self._copy = TableCopy()
        self._newer_heard = Signal()
        self._behind_since = None
        self._told_changed = 0
        self._first_read_at = None
        self._loaded = False
        self._outage = None
        self._read_at = None
        self._try_at = 0.0
        # Instant until which the changes are left to VMs that called more often.
        self._yields_until = 0.0

    @property
    def changed(self):
        """Return the store's version of the last change that mattered."""
        return self._copy.changed

    @property
    def told(self):
        """Return the last change of which this VM tells others.

        What it read as a whole at its start is newer than what they know, but hardly
        ever tells them of a change: each start would have every other VM fetch the
        table. A VM whose task it is to read tells it all the same, a little later: the
        others may have no one else to learn it from.
        """
        if self._told_changed < self.changed and self._reads_for_others():
            self._told_changed = self.changed
        return self._told_changed

    @property
    def lost(self):
        """Return whether the store did not answer the last call."""
        return self._outage is not None

    @property
    def answered(self):
        """Return whether the store answers this VM's calls."""
        if self.lost or self._read_at is None:
            return False
        return self._clock.now() <= self._read_at + ANSWER_LIFE

    @property
    def read_at(self):
        """Return the instant of the last answer of the store, or ``None``."""
        return self._read_at

    def snapshot(self, after=0):
        """Return what changed since a version, for another VM; all rows by default."""
        return self._copy.since(after, self._lapsing())

    async def wake_if_behind(self):
        """Look at once at what others know, if one of them knows a newer change."""
        if self._is_behind() and not self._newer_heard.is_set():
            await self._newer_heard.set()

    async def run(self):
        """Follow the table until cancelled."""
        while True:
            if self._may_read():
                await sleep(await self._read_beside_peers())
            else:
                self._reconsider_outage()
                await self._ask_peer()
                await self._pause_for_peers()

    async def _pause_for_peers(self):
        """Wait until it is time to look again at what others know.

        Two tables that looked each 0.1 s were a quarter of the wake-ups of a process
        without requests (20 of 85 a second, counted over 30 s).
        """
        if self.lost or self._is_behind():
            await sleep(PEER_INTERVAL)
            return
        self._newer_heard.clear()
        async with ignore_after(IDLE_PEER_INTERVAL):
            await self._newer_heard.wait()

    def _may_read(self):
        if not self._loaded:
            return True
        if self._is_reader():
            return self._clock.now() >= self._yields_until
        return self.lost and self._clock.now() >= self._try_at

    async def _read_beside_peers(self):
        """Make one call and return the seconds until the next one.

        Meanwhile take what other VMs know: a call whose answer is lost lasts up to six
        seconds, in which this VM was the only one without the new configuration.
        """
        watch = await spawn(self._watch_peers)
        try:
            return await self._read_store()
        finally:
            await watch.cancel()

    def _is_behind(self):
        """Return whether another VM has told of a newer change; note since when."""
        if self._newest() <= self.changed:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = self._clock.now()
        return self._behind_since is not None

    async def _watch_peers(self):
        while True:
            await self._pause_for_peers()
            await self._ask_peer()

    async def _read_store(self):
        """Make one call and return the seconds until the next one."""
        began_at = self._clock.now()
        is_total = not self._is_answered_elsewhere()
        try:
            await self._step()
        except HistoryLostError:
            self._loaded = False
            return 0.0
        except PlatformError as error:
            self._note_lost(error, began_at, is_total)
            await self._ask_peer()
            self._try_at = self._clock.now() + IDLE_RETRY_INTERVAL
            return uniform(0.5, 1.5) * RETRY_INTERVAL
        return uniform(0.8, 1.2) * self._pause

    async def _step(self):
        if not self._loaded:
            snapshot = await self._store.read(self._table)
            self._note_answer()
            self._take_whole(snapshot)
            return
        # To wait for a change would tell of the store's return a second later.
        wait = 0.0 if self.lost else self._wait
        only_asks = self.lost and not self._is_reader()
        changes = await self._store.follow(self._table, self._copy.version, wait)
        self._note_answer()
        if only_asks:
            # This VM called rarely: of the store's return it knows too little to say
            # for how long what the removed rows stood for may still be used.
            self._yields_until = self._clock.now() + SETTLE_SECONDS
            return
        self._take_changes(changes)
        self._told_changed = self.changed

    async def _ask_peer(self):
        if not self._is_behind():
            return
        try:
            snapshot = await self._relay(self.changed, self._behind_since)
        except PeerError as error:
            self._journal.write(
                Event.STATE_NOT_FETCHED, table=self._table, reason=str(error)
            )
            return
        if snapshot is not None and snapshot.changed > self.changed:
            self._journal.write(
                Event.STATE_FROM_PEER, table=self._table, version=snapshot.changed
            )
            self._take_relayed(snapshot)

    def _reads_for_others(self):
        if self._first_read_at is None:
            return False
        settled = self._clock.now() >= self._first_read_at + SETTLE_SECONDS
        return settled and self._is_reader()

    def _take_whole(self, snapshot):
        """Take all rows, as the store told them.

        What is read again since the history was gone may hold a change that no answer
        tells of any more. Told only with the next one, up to five seconds later, it
        was in force at other VMs too late (two of eight drawn days).
        """
        first, self._loaded = not self._copy.version, True
        if not self._copy.replace_all(snapshot):
            return
        keys = self._apply(snapshot)
        if keys or first:
            self._copy.record_changes(keys, snapshot.version)
        if first:
            self._first_read_at = self._clock.now()
        else:
            self._told_changed = self.changed

    def _take_changes(self, snapshot):
        """Take changed rows, as the store told them."""
        keys = self._apply(self._copy.merge_changes(snapshot))
        if keys:
            self._copy.record_changes(keys, self._copy.version)

    def _take_relayed(self, snapshot):
        """Take what another VM told, all rows or the changed ones."""
        if not snapshot.is_whole:
            self._apply(self._copy.merge_changes(snapshot))
        elif self._copy.replace_all(snapshot):
            self._apply(snapshot)
        self._loaded = True
        keys = [row.key for row in snapshot.rows]
        self._copy.record_changes(keys, snapshot.changed)
        self._told_changed = self.changed

    def _note_lost(self, error, began_at, is_total):
        if self._outage is None:
            self._outage = Outage(self._clock.now())
            self._journal.write(
                Event.STORE_LOST,
                table=self._table,
                version=self._copy.version,
                reason=str(error),
            )
        self._outage.tried_at = began_at
        self._outage.is_total = is_total

    def _reconsider_outage(self):
        """Note that the store answers nobody, between two calls of this VM.

        Others are taken for answered for some time after their last answer. A VM whose
        calls all fell into that time took an outage of 3 s for its own, and dropped a
        target whose entry had lapsed.
        """
        if self.lost and not self._is_answered_elsewhere():
            self._outage.is_total = True

    def _note_answer(self):
        self._read_at = self._clock.now()
        outage, self._outage = self._outage, None
        if outage is None:
            return
        self._journal.write(
            Event.STORE_RETURNED,
            table=self._table,
            away=round(self._read_at - outage.began_at, 3),
            for_all=outage.is_total,
        )
        if outage.is_total:
            self._on_return(outage.tried_at)
