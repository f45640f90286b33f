"""Replication of a table, from the store or from other VMs."""

from random import uniform

from curio import Event as Signal
from curio import ignore_after, sleep, spawn

from heathercleat.errors import PeerError, PlatformError
from heathercleat.events import Event
from heathercleat.steering.process.store.protocol import HistoryLostError
from heathercleat.steering.process.store.table_copy import TableCopy

#: Mean seconds between two calls of a reader while the store does not answer.
RETRY_INTERVAL = 0.3
#: Seconds between two calls of other VMs in that case; a reader tells them earlier.
IDLE_RETRY_INTERVAL = 2.0
#: Seconds after its first read until a VM knows the other VMs, and thus whether it is
#: a reader.
SETTLE_SECONDS = 1.0
#: Seconds for which a response shows that the store answers this VM; more than the
#: longest time between two responses to a reader.
RESPONSE_TTL_SECONDS = 2.5
#: Seconds between two requests to other VMs while one of them has a newer change.
PEER_INTERVAL = 0.1
#: Maximum seconds between two checks for newer changes at other VMs.
IDLE_PEER_INTERVAL = 0.5


class Outage:
    """A period in which the store does not answer this VM.

    :param began_at: instant at which it was detected.
    :param tried_at: start of the last failed call.
    :param is_total: whether no other VM reported responses of the store at that time.
        Only then may missing entries be due to targets that could not report.
    """

    __slots__ = ("began_at", "tried_at", "is_total")

    def __init__(self, began_at):
        self.began_at = began_at
        self.tried_at = began_at
        self.is_total = False


class TableFollower:
    """Keeps a copy of one table up to date.

    Some VMs, the readers, poll the store. The others fetch the table from a VM whose
    heartbeat announces a newer change, which saves calls to the store.

    :param table: name of the table.
    :param store: a :class:`Store` that only this follower uses.
    :param wait: seconds for which a call waits for a change.
    :param pause: mean seconds between two calls.
    :param apply: called with a :class:`Snapshot`; returns the keys of the rows with
        significant changes.
    :param relay: a coroutine function that fetches a newer :class:`Snapshot` from
        another VM, or returns ``None``. Its arguments are the last change known here
        and the instant since which another VM has a newer one.
    :param newest: returns the newest change that another VM announced.
    :param is_reader: returns whether this VM is a reader.
    :param is_answered_elsewhere: returns whether the store answers another VM.
    :param lapsing: returns the seconds for which removed rows are still used, by key.
    :param on_return: called at the end of an outage for all VMs, with the earliest
        instant at which it can have ended.
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
        self._newer_announced = Signal()
        self._behind_since = None
        self._announced_change = 0
        self._first_read_at = None
        self._is_loaded = False
        self._outage = None
        self._read_at = None
        self._retry_at = 0.0
        # Instant until which this VM leaves reading to VMs that called more often.
        self._yields_until = 0.0

    @property
    def last_change(self):
        """Return the store version of the last significant change."""
        return self._copy.last_change

    @property
    def announced_change(self):
        """Return the last change that this VM announces to others.

        The version of the first read at the start is not announced, since it is higher
        without being a change, and every VM would fetch the table. Readers announce it
        after :data:`SETTLE_SECONDS`, in case nobody else can.
        """
        if self._announced_change < self.last_change and self._announces_first_read():
            self._announced_change = self.last_change
        return self._announced_change

    @property
    def is_store_lost(self):
        """Return whether the last call to the store failed."""
        return self._outage is not None

    @property
    def is_answered(self):
        """Return whether the store recently answered a call of this VM."""
        if self.is_store_lost or self._read_at is None:
            return False
        return self._clock.now() <= self._read_at + RESPONSE_TTL_SECONDS

    @property
    def read_at(self):
        """Return the instant of the store's last response, or ``None``."""
        return self._read_at

    def snapshot(self, after=0):
        """Return a :class:`Snapshot` of the changes since a version; 0 for all rows."""
        return self._copy.changes_since(after, self._lapsing())

    async def wake_if_behind(self):
        """Fetch the table from another VM now, if one announced a newer change."""
        if self._is_behind() and not self._newer_announced.is_set():
            await self._newer_announced.set()

    async def run(self):
        """Follow the table until cancelled."""
        while True:
            if self._can_read():
                await sleep(await self._read_and_watch_peers())
            else:
                self._update_outage()
                await self._fetch_from_peer()
                await self._wait_for_peers()

    async def _wait_for_peers(self):
        """Wait until the next check for newer changes at other VMs.

        The wait is longer while none is known, to save wake-ups of an idle process.
        """
        if self.is_store_lost or self._is_behind():
            await sleep(PEER_INTERVAL)
            return
        self._newer_announced.clear()
        async with ignore_after(IDLE_PEER_INTERVAL):
            await self._newer_announced.wait()

    def _can_read(self):
        if not self._is_loaded:
            return True
        if self._is_reader():
            return self._clock.now() >= self._yields_until
        return self.is_store_lost and self._clock.now() >= self._retry_at

    async def _read_and_watch_peers(self):
        """Make one call and return the seconds until the next one.

        Also accept changes from other VMs meanwhile, since a call whose response is
        lost takes until its timeout.
        """
        watch = await spawn(self._watch_peers)
        try:
            return await self._read_store()
        finally:
            await watch.cancel()

    def _is_behind(self):
        """Return whether another VM announced a newer change; record since when."""
        if self._newest() <= self.last_change:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = self._clock.now()
        return self._behind_since is not None

    async def _watch_peers(self):
        while True:
            await self._wait_for_peers()
            await self._fetch_from_peer()

    async def _read_store(self):
        """Make one call and return the seconds until the next one."""
        began_at = self._clock.now()
        is_total = not self._is_answered_elsewhere()
        try:
            await self._call_store()
        except HistoryLostError:
            self._is_loaded = False
            return 0.0
        except PlatformError as error:
            self._record_failure(error, began_at, is_total)
            await self._fetch_from_peer()
            self._retry_at = self._clock.now() + IDLE_RETRY_INTERVAL
            return uniform(0.5, 1.5) * RETRY_INTERVAL
        return uniform(0.8, 1.2) * self._pause

    async def _call_store(self):
        if not self._is_loaded:
            snapshot = await self._store.read(self._table)
            self._record_response()
            self._apply_whole(snapshot)
            return
        # During an outage, a call that waits for changes would detect its end late.
        wait = 0.0 if self.is_store_lost else self._wait
        is_probe = self.is_store_lost and not self._is_reader()
        changes = await self._store.follow(self._table, self._copy.version, wait)
        self._record_response()
        if is_probe:
            # This VM calls rarely, so it cannot tell when the outage ended and for how
            # long removed rows may still be used.
            self._yields_until = self._clock.now() + SETTLE_SECONDS
            return
        self._apply_changes(changes)
        self._announced_change = self.last_change

    async def _fetch_from_peer(self):
        if not self._is_behind():
            return
        try:
            snapshot = await self._relay(self.last_change, self._behind_since)
        except PeerError as error:
            self._journal.write(
                Event.STATE_NOT_FETCHED, table=self._table, reason=str(error)
            )
            return
        if snapshot is not None and snapshot.last_change > self.last_change:
            self._journal.write(
                Event.STATE_FROM_PEER, table=self._table, version=snapshot.last_change
            )
            self._apply_relayed(snapshot)

    def _announces_first_read(self):
        if self._first_read_at is None:
            return False
        is_settled = self._clock.now() >= self._first_read_at + SETTLE_SECONDS
        return is_settled and self._is_reader()

    def _apply_whole(self, snapshot):
        """Apply all rows of the table, as read from the store.

        After a lost history the rows may include a change that no later response
        contains, so the version is announced at once.
        """
        is_first, self._is_loaded = not self._copy.version, True
        if not self._copy.replace_all(snapshot):
            return
        keys = self._apply(snapshot)
        if keys or is_first:
            self._copy.record_changes(keys, snapshot.version)
        if is_first:
            self._first_read_at = self._clock.now()
        else:
            self._announced_change = self.last_change

    def _apply_changes(self, snapshot):
        """Apply changed rows from the store."""
        keys = self._apply(self._copy.merge_changes(snapshot))
        if keys:
            self._copy.record_changes(keys, self._copy.version)

    def _apply_relayed(self, snapshot):
        """Apply all or changed rows from another VM."""
        if not snapshot.is_whole:
            self._apply(self._copy.merge_changes(snapshot))
        elif self._copy.replace_all(snapshot):
            self._apply(snapshot)
        self._is_loaded = True
        keys = [row.key for row in snapshot.rows]
        self._copy.record_changes(keys, snapshot.last_change)
        self._announced_change = self.last_change

    def _record_failure(self, error, began_at, is_total):
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

    def _update_outage(self):
        """Mark the outage as total if the store answers no VM any more.

        Checked between calls too, because other VMs still report responses for
        :data:`RESPONSE_TTL_SECONDS` after an outage began.
        """
        if self.is_store_lost and not self._is_answered_elsewhere():
            self._outage.is_total = True

    def _record_response(self):
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
