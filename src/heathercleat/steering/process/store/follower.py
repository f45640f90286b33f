"""Replication of a table, from the store or from other VMs."""

from random import uniform

from curio import Event as Signal
from curio import ignore_after, sleep, spawn

from heathercleat.errors import PeerError, PlatformError
from heathercleat.events import Event
from heathercleat.process.clock import DISTANT_PAST
from heathercleat.process.supervision import locate
from heathercleat.steering.process.store.protocol import HistoryLostError
from heathercleat.steering.process.store.table_copy import TableCopy
from heathercleat.steering.process.store.versions import era_of, number_of

#: Mean seconds between two calls of a reader while the store does not respond; short
#: enough for a configuration to be in force within its bound after the store's return.
RETRY_INTERVAL_SECONDS = 0.3
#: The same for VMs that are not readers; they usually learn of the store's return from
#: a reader first.
IDLE_RETRY_INTERVAL_SECONDS = 2.0
#: Seconds from a VM's first read until it knows the other VMs. Only then does it know
#: whether it is a reader.
SETTLE_SECONDS = 1.0
#: Seconds after a response for which the store counts as available to this VM; longer
#: than the longest time between two responses to a reader.
RESPONSE_TTL_SECONDS = 2.5
#: Seconds after which a call that waits for changes may still miss an earlier one; the
#: store may notify its watches late.
WATCH_LAG_SECONDS = 1.0
#: Seconds between two fetches from other VMs while one of them has a newer change.
PEER_INTERVAL_SECONDS = 0.1
#: Maximum seconds between two checks for newer changes at other VMs.
IDLE_PEER_INTERVAL_SECONDS = 0.5
#: Seconds after a restore of the store in which operators and targets write again
#: what the backup lacks.
REWRITE_SECONDS = 2.0


class RowsNotAppliedError(Exception):
    """Rows are in the copy of a table, but applying them failed."""


class Outage:
    """A period in which the store does not respond to this VM.

    :param began_at: instant at which the outage was detected.
    :param last_attempt_at: start of the last failed call.
    :param is_total: whether the store responded to no other VM either. Only then may
        entries be missing because targets could not report.
    """

    __slots__ = ("began_at", "last_attempt_at", "is_total")

    def __init__(self, began_at):
        self.began_at = began_at
        self.last_attempt_at = began_at
        self.is_total = False


class TableFollower:
    """Keeps a copy of one table up to date.

    Some VMs, the readers, poll the store. The others fetch the table from a VM whose
    heartbeat announces a newer change, to limit the number of calls to the store.

    :param table: name of the table.
    :param store: a :class:`Store` that only this follower uses.
    :param wait: seconds for which a call waits for a change.
    :param pause: mean seconds between two calls.
    :param apply: called with a :class:`Snapshot`; returns the keys of the rows with
        significant changes.
    :param fetch_newer: a coroutine function that fetches a newer :class:`Snapshot` from
        another VM, or returns ``None``. Its arguments are the version of the last
        change known to this VM and the instant since which another VM has a newer one.
    :param newest_announced_version: returns the version of the newest change that
        another VM announced.
    :param is_reader: returns whether this VM is a reader.
    :param is_store_answering_elsewhere: returns whether the store responds to another
        VM.
    :param remaining_use_seconds: returns the seconds for which removed rows are still
        used, by key.
    :param on_store_return: called at the end of an outage for all VMs, with the
        earliest instant at which the outage can have ended, and when a read shows that
        the store was restored from a backup, with the instant of that read.
    :param on_current: called after each response with an instant, up to which all
        changes of the table are applied.
    :param on_restored: called with the instant at which this VM learns, from the store
        or from another VM, that the store was restored from a backup.
    """

    def __init__(
        self,
        table,
        store,
        wait,
        pause,
        apply,
        fetch_newer,
        newest_announced_version,
        is_reader,
        is_store_answering_elsewhere,
        remaining_use_seconds,
        on_store_return,
        on_current,
        on_restored,
        journal,
        clock,
    ):
        self._table = table
        self._store = store
        self._wait = wait
        self._pause = pause
        self._apply = apply
        self._fetch_newer = fetch_newer
        self._newest_announced_version = newest_announced_version
        self._is_reader = is_reader
        self._is_store_answering_elsewhere = is_store_answering_elsewhere
        self._remaining_use_seconds = remaining_use_seconds
        self._on_store_return = on_store_return
        self._on_current = on_current
        self._on_restored = on_restored
        self._journal = journal
        self._clock = clock
        self._copy = TableCopy()
        self._newer_announced = Signal()
        self._behind_since = None
        self._announced_change_version = 0
        self._first_read_at = None
        self._is_loaded = False
        # Whether the copy may have rows that were not applied.
        self._has_unapplied_rows = False
        self._outage = None
        self._read_at = None
        # Instant from which a read of the table has all acknowledged changes.
        self._complete_from = DISTANT_PAST
        # Whether the whole table is read again at that instant.
        self._reads_again = False
        self._retry_at = 0.0
        # Instant until which this VM does not act as a reader.
        self._yields_until = 0.0
        # Whether the next call repeats the first one that failed.
        self._retries_at_once = False

    @property
    def version(self):
        """Return the store version of the copy; 0 before the first read."""
        return self._copy.version

    @property
    def last_significant_version(self):
        """Return the store version of the last significant change."""
        return self._copy.last_significant_version

    @property
    def announced_change_version(self):
        """Return the version of the last change, as announced to other VMs.

        The version of the first read is not announced at once. It may be higher
        although nothing changed, and every VM would fetch the table. Readers announce
        it after :data:`SETTLE_SECONDS`, in case no other VM can.
        """
        if (
            self._announced_change_version < self.last_significant_version
            and self._announces_first_read()
        ):
            self._announced_change_version = self.last_significant_version
        return self._announced_change_version

    @property
    def is_store_lost(self):
        """Return whether the last call to the store failed."""
        return self._outage is not None

    @property
    def has_recent_response(self):
        """Return whether the store recently responded to this VM."""
        if self.is_store_lost or self._read_at is None:
            return False
        return self._clock.now() <= self._read_at + RESPONSE_TTL_SECONDS

    @property
    def read_at(self):
        """Return the instant of the store's last response, or ``None``."""
        return self._read_at

    @property
    def rows_missing_until(self):
        """Return the instant until which rows may be missing; ``None`` if none are.

        The store was restored from a backup, and is expected to have all rows then.
        """
        is_complete = self._clock.now() >= self._complete_from
        return None if is_complete else self._complete_from

    def snapshot(self, after=0):
        """Return a :class:`Snapshot` of the changes since a version; 0 for all rows."""
        return self._copy.changes_since(after, self._remaining_use_seconds())

    async def fetch_if_behind(self):
        """Fetch the table from another VM now, if one announced a newer change."""
        if self._update_behind_since() and not self._newer_announced.is_set():
            await self._newer_announced.set()

    async def run(self):
        """Follow the table until cancelled."""
        while True:
            if self._should_read_store():
                await sleep(await self._read_and_watch_peers())
            else:
                self._update_outage()
                await self._fetch_from_peer()
                await self._wait_for_peers()

    async def _wait_for_peers(self):
        """Wait until the next check for newer changes at other VMs.

        The wait is longer while no newer change is known, so that an idle process wakes
        up rarely.
        """
        if self.is_store_lost or self._update_behind_since():
            await sleep(PEER_INTERVAL_SECONDS)
            return
        self._newer_announced.clear()
        async with ignore_after(IDLE_PEER_INTERVAL_SECONDS):
            await self._newer_announced.wait()

    def _should_read_store(self):
        if not self._is_loaded or self._retries_at_once:
            return True
        if self._is_reader():
            return self._clock.now() >= self._yields_until
        return self.is_store_lost and self._clock.now() >= self._retry_at

    async def _read_and_watch_peers(self):
        """Make one call and return the seconds until the next one.

        Changes from other VMs are fetched during the call, since a call whose response
        is lost blocks until its timeout.
        """
        watch = await spawn(self._watch_peers)
        try:
            return await self._read_store()
        finally:
            await watch.cancel()

    def _update_behind_since(self):
        """Record since when another VM has a newer change; return whether one does."""
        if self._newest_announced_version() <= self.last_significant_version:
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
        is_total = not self._is_store_answering_elsewhere()
        try:
            await self._call_store()
        except HistoryLostError:
            self._is_loaded = False
            return 0.0
        except RowsNotAppliedError:
            return uniform(0.5, 1.5) * RETRY_INTERVAL_SECONDS
        except PlatformError as error:
            was_lost = self.is_store_lost
            self._record_failure(error, began_at, is_total)
            if not was_lost:
                # Perhaps only the connection failed; the next call opens a new one.
                self._retries_at_once = True
                return 0.0
            await self._fetch_from_peer()
            self._retry_at = self._clock.now() + IDLE_RETRY_INTERVAL_SECONDS
            return uniform(0.5, 1.5) * RETRY_INTERVAL_SECONDS
        return uniform(0.8, 1.2) * self._pause

    async def _call_store(self):
        began_at = self._clock.now()
        is_retry, self._retries_at_once = self._retries_at_once, False
        if self._is_second_read_due(began_at):
            self._reads_again = self._is_loaded = False
        if not self._is_loaded:
            snapshot = await self._store.read(self._table)
            self._record_response()
            self._record_era(snapshot)
            self._apply_whole(snapshot)
            self._record_current(began_at)
            return
        wait = self._wait
        if self.is_store_lost or self._has_unapplied_rows:
            # A call that waits for changes would detect the end of an outage late, and
            # delay the rows that are not applied.
            wait = 0.0
        elif self._reads_again:
            wait = min(wait, self._complete_from - began_at)
        is_probe = self.is_store_lost and not is_retry and not self._is_reader()
        changes = await self._store.follow(self._table, self._copy.version, wait)
        self._record_response()
        if is_probe:
            # This VM calls rarely and does not know when the outage ended. Readers call
            # more often and know for how long removed rows may still be used.
            self._yields_until = self._clock.now() + SETTLE_SECONDS
            return
        self._apply_changes(changes)
        self._record_current(began_at - WATCH_LAG_SECONDS)
        self._announced_change_version = self.last_significant_version

    def _is_second_read_due(self, now):
        """Return whether changes that were lost are to be read now."""
        if self.is_store_lost or not self._reads_again:
            return False
        return now >= self._complete_from

    async def _fetch_from_peer(self):
        if not self._update_behind_since():
            return
        try:
            snapshot = await self._fetch_newer(
                self.last_significant_version, self._behind_since
            )
        except PeerError as error:
            self._journal.write(
                Event.STATE_NOT_FETCHED, table=self._table, reason=str(error)
            )
            return
        if (
            snapshot is not None
            and snapshot.last_significant_version > self.last_significant_version
        ):
            self._journal.write(
                Event.STATE_FROM_PEER,
                table=self._table,
                version=number_of(snapshot.last_significant_version),
                era=era_of(snapshot.last_significant_version),
            )
            try:
                self._apply_from_peer(snapshot)
            except RowsNotAppliedError:
                await sleep(uniform(0.5, 1.5) * RETRY_INTERVAL_SECONDS)

    def _announces_first_read(self):
        if self._first_read_at is None:
            return False
        is_settled = self._clock.now() >= self._first_read_at + SETTLE_SECONDS
        return is_settled and self._is_reader()

    def _apply_whole(self, snapshot):
        """Apply all rows of the table, as read from the store.

        If the table was read again because the history was lost, the rows may include
        a change that no later response contains, so the version is announced at once.
        """
        is_first, self._is_loaded = not self._copy.last_significant_version, True
        if not self._copy.replace_all(snapshot):
            self._journal.write(
                Event.READ_IGNORED,
                table=self._table,
                era=era_of(self._copy.version),
                version=number_of(self._copy.version),
                read_era=era_of(snapshot.version),
                read=number_of(snapshot.version),
            )
            return
        keys = self._apply_rows(snapshot)
        if keys or is_first:
            self._copy.record_changes(keys, snapshot.version)
        if is_first:
            self._first_read_at = self._clock.now()
        else:
            self._announced_change_version = self.last_significant_version

    def _apply_changes(self, snapshot):
        """Apply changed rows from the store."""
        keys = self._apply_rows(self._copy.merge_changes(snapshot))
        if keys:
            self._copy.record_changes(keys, self._copy.version)

    def _apply_from_peer(self, snapshot):
        """Apply all or changed rows from another VM.

        A restore of the store that this VM learns of here delays the proofs of its own
        next reads, too. The snapshot tells for how long lost rows are still used.
        """
        self._check_completeness(snapshot)
        if not snapshot.is_whole:
            self._apply_rows(self._copy.merge_changes(snapshot))
        elif self._copy.replace_all(snapshot):
            self._apply_rows(snapshot)
        self._is_loaded = True
        keys = [row.key for row in snapshot.rows]
        self._copy.record_changes(keys, snapshot.last_significant_version)
        self._announced_change_version = self.last_significant_version

    def _apply_rows(self, snapshot):
        """Apply rows that the copy has; return the keys of significant changes.

        After a failure all rows of the copy are applied, since no response of the store
        or of another VM repeats those that failed.

        :raises RowsNotAppliedError: when it fails; the error is logged.
        """
        if self._has_unapplied_rows:
            snapshot = self._copy.changes_since(0, snapshot.remaining_use_seconds)
        self._has_unapplied_rows = True
        try:
            keys = self._apply(snapshot)
        except Exception as error:
            self._journal.write(
                Event.ROWS_NOT_APPLIED,
                table=self._table,
                version=number_of(snapshot.version),
                rows=len(snapshot.rows),
                reason=repr(error),
                where=locate(error),
            )
            raise RowsNotAppliedError(self._table) from error
        self._has_unapplied_rows = False
        return keys

    def _record_failure(self, error, began_at, is_total):
        if self._outage is None:
            self._outage = Outage(self._clock.now())
            self._journal.write(
                Event.STORE_LOST,
                table=self._table,
                version=number_of(self._copy.version),
                reason=str(error),
            )
        self._outage.last_attempt_at = began_at
        self._outage.is_total = is_total

    def _update_outage(self):
        """Mark the outage as total if the store no longer responds to any VM.

        This is also checked between calls, since other VMs still report that the store
        responds for :data:`RESPONSE_TTL_SECONDS` after the start of an outage.
        """
        if self.is_store_lost and not self._is_store_answering_elsewhere():
            self._outage.is_total = True

    def _record_era(self, snapshot):
        """Record that the store was restored from a backup, if it was.

        Rows that the backup lacks are written again, so a row that is missing now may
        be lost rather than removed.
        """
        self._check_completeness(snapshot)
        if not self._is_of_later_era(snapshot):
            return
        known = self._copy.version
        self._journal.write(
            Event.STORE_RESTORED,
            table=self._table,
            era_before=era_of(known),
            version_before=number_of(known),
            era=era_of(snapshot.version),
            version=number_of(snapshot.version),
        )
        self._on_store_return(self._clock.now())

    def _is_of_later_era(self, snapshot):
        """Return whether the store was restored between this copy and a snapshot."""
        known = self._copy.version
        return bool(known) and era_of(snapshot.version) > era_of(known)

    def _check_completeness(self, snapshot):
        """Count no read as complete until lost changes are written again.

        A process that starts does not know when the store was last restored.
        """
        known, now = self._copy.version, self._clock.now()
        if era_of(snapshot.version) <= era_of(known):
            return
        self._complete_from = now + REWRITE_SECONDS
        self._reads_again = True
        if known:
            self._on_restored(now)

    def _record_current(self, instant):
        """Report that all changes up to an instant are applied.

        Not while rows are not applied, or changes may be missing because the store was
        restored from a backup.
        """
        if instant >= self._complete_from and not self._has_unapplied_rows:
            self._on_current(instant)

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
            self._on_store_return(outage.last_attempt_at)
