"""The tables of the store that a VM follows, and how it applies them."""

from math import ceil
from random import uniform

from curio import sleep

from heathercleat.errors import PlatformError
from heathercleat.events import Event
from heathercleat.platform.decode import (
    decode_config,
    decode_evacuations,
    find_configuration,
)
from heathercleat.platform.store import TableStoreClient
from heathercleat.platform.targets import decode_target
from heathercleat.platform.wire_names import OPERATOR_TABLE, TARGET_TABLE
from heathercleat.steering.process.rejected_items import RejectedItemLog
from heathercleat.steering.process.store.configuration_archive import (
    ConfigurationArchive,
)
from heathercleat.steering.process.store.configuration_exchange import (
    IN_FORCE_TABLE,
    ConfigurationExchange,
)
from heathercleat.steering.process.store.follower import TableFollower
from heathercleat.steering.process.store.member_rows import decode_member, encode_member
from heathercleat.steering.process.store.peer_tables import PeerTables
from heathercleat.steering.process.store.versions import era_of
from heathercleat.version.hashing import rank_by_weight

MEMBER_TABLE = "heathercleat-members"
#: Timeout of a call to the store in seconds, in addition to its wait for a change.
STORE_TIMEOUT_SECONDS = 1.0
#: Seconds for which a call waits for a change of the operators' table. With the
#: timeout, it bounds how long a connection that went silent delays a configuration.
OPERATOR_WAIT_SECONDS = 1.0
#: Upper bound of that wait as a share of the time until removed keys are refused, so
#: that proofs of the newest configuration are renewed in time.
PROOF_WAIT_SHARE = 0.2
#: The same for the targets' table, which changes at every heartbeat of a target.
TARGET_WAIT_SECONDS = 1.0
#: Seconds between two calls for the targets' table, to limit their number. A target
#: that leaves is still noticed within half of the shortest drain time.
TARGET_PAUSE_SECONDS = 0.6
#: The same two times for the members' table; it is polled rarely, since it is only
#: needed for the first contact with other VMs.
MEMBER_WAIT_SECONDS = 0.0
MEMBER_PAUSE_SECONDS = 60.0
#: Number of VMs in all regions together that read the store.
READER_COUNT = 3
REGISTER_RETRY_SECONDS = 0.5
#: Seconds between two checks whether this VM has to register again.
REGISTER_CHECK_SECONDS = 1.0
#: Minimum spread in seconds of the writes of VMs that register again, and approximate
#: maximum rate of these writes in a large fleet.
REGISTER_SPREAD_SECONDS = 2.0
MAX_REGISTRATIONS_PER_SECOND = 100


class Tables:
    """Follows the operators', the targets' and the members' tables.

    :param settings: the :class:`NodeSettings`.
    :param registry: the :class:`TargetRegistry` for targets and evacuations.
    :param members: the :class:`Members`.
    :param pool: the connection pool for other VMs.
    :param routing_table: returns the :class:`RoutingTable` in force, or ``None``.
    :param adopt: called with each new :class:`RoutingTable`.
    :param freshness: the :class:`ConfigurationFreshness`.
    """

    def __init__(
        self,
        settings,
        registry,
        members,
        pool,
        routing_table,
        adopt,
        freshness,
        journal,
        clock,
    ):
        self._settings = settings
        self._registry = registry
        self._members = members
        self._adopt = adopt
        self._journal = journal
        self._clock = clock
        self._rejections = RejectedItemLog(journal, clock)
        self._peer_tables = PeerTables(settings, members, pool, clock)
        self.configuration_exchange = ConfigurationExchange(
            self._peer_tables, freshness, routing_table, adopt, journal, clock
        )
        self.configuration_archive = ConfigurationArchive(
            self.new_store(),
            self.is_reader,
            routing_table,
            adopt,
            self._rejections,
            journal,
        )
        self._own_store = self.new_store()
        # Era of the store to which this VM's row was written, or ``None``.
        self._registered_era = None
        self.operator_rows = self._follow(
            OPERATOR_TABLE,
            _operator_wait(settings.bounds),
            0.0,
            self._apply_operator_rows,
            lambda member: member.operator_version,
            lambda: members.newest_operator_version,
            on_current=freshness.record_read,
            on_restored=freshness.require_newer_proof,
        )
        self.target_rows = self._follow(
            TARGET_TABLE,
            TARGET_WAIT_SECONDS,
            TARGET_PAUSE_SECONDS,
            self._apply_target_rows,
            lambda member: member.target_version,
            lambda: members.newest_target_version,
            remaining_use_seconds=registry.remaining_use_seconds,
            on_store_return=registry.record_store_return,
        )
        self.member_rows = self._follow(
            MEMBER_TABLE,
            MEMBER_WAIT_SECONDS,
            MEMBER_PAUSE_SECONDS,
            self._apply_member_rows,
            lambda _: 0,
            lambda: 0,
            is_reader=self.reads_member_table,
        )

    @property
    def store_era(self):
        """Return the latest era of the store that any VM has announced or read."""
        members = self._members
        return era_of(
            max(
                self.operator_rows.version,
                self.target_rows.version,
                self.member_rows.version,
                members.newest_operator_version,
                members.newest_target_version,
            )
        )

    @property
    def is_store_answering(self):
        """Return whether the store recently responded to a call for targets."""
        return self.target_rows.has_recent_response

    @property
    def is_store_lost(self):
        """Return whether the last call for targets or for operators' rows failed."""
        return self.operator_rows.is_store_lost or self.target_rows.is_store_lost

    def snapshot(self, table, after):
        """Return a :class:`Snapshot` of a table's changes since a version.

        :param table: name of the operators' or of the targets' table, or
            :data:`IN_FORCE_TABLE`.
        :param after: the version, or 0 for all rows.
        """
        if table == IN_FORCE_TABLE:
            return self.configuration_exchange.snapshot()
        followers = {OPERATOR_TABLE: self.operator_rows, TARGET_TABLE: self.target_rows}
        return followers[table].snapshot(after)

    async def fetch_if_behind(self):
        """Fetch newer tables now, if heartbeats announced any."""
        await self.operator_rows.fetch_if_behind()
        await self.target_rows.fetch_if_behind()

    async def follow_members(self):
        """Register this VM, then follow the members' table until cancelled.

        Since each VM registers before it reads the table, at least one of two VMs that
        start together finds the other.
        """
        await self._register()
        await self.member_rows.run()

    async def keep_registered(self):
        """Register this VM again after each restore of the store from a backup.

        The backup may lack this VM's row.
        """
        while True:
            await sleep(REGISTER_CHECK_SECONDS)
            registered_era = self._registered_era
            if registered_era is not None and registered_era < self.store_era:
                await sleep(uniform(0.0, self._register_spread_seconds()))
                await self._register()

    def _register_spread_seconds(self):
        vm_count = len(self._members.live_others()) + 1
        return max(REGISTER_SPREAD_SECONDS, vm_count / MAX_REGISTRATIONS_PER_SECOND)

    async def _register(self):
        """Write this VM's row; retry until it succeeds or this VM shuts down."""
        settings = self._settings
        value = encode_member(settings.ip, settings.failure_domain, settings.region)
        while not self._members.own.is_stopping:
            try:
                self._registered_era = await self._own_store.write(
                    MEMBER_TABLE, settings.vm, value
                )
                return
            except PlatformError as error:
                self._journal.write(Event.PLATFORM_FAILED, reason=str(error))
                await sleep(REGISTER_RETRY_SECONDS)

    async def deregister(self):
        """Remove this VM's row; a failure is only logged."""
        try:
            await self._own_store.write(MEMBER_TABLE, self._settings.vm, None)
        except PlatformError as error:
            self._journal.write(Event.PLATFORM_FAILED, reason=str(error))

    def new_store(self):
        """Return a new :class:`TableStoreClient`."""
        settings = self._settings
        return TableStoreClient(
            settings.store, self._clock, STORE_TIMEOUT_SECONDS, settings.ip
        )

    def _follow(
        self,
        table,
        wait,
        pause,
        apply,
        version_of,
        newest_announced_version,
        is_reader=None,
        remaining_use_seconds=dict,
        on_store_return=lambda earliest_end: None,
        on_current=lambda instant: None,
        on_restored=lambda instant: None,
    ):
        async def fetch_newer(version, since):
            return await self._peer_tables.fetch_newer(
                table, version, since, version_of
            )

        return TableFollower(
            table,
            self.new_store(),
            wait,
            pause,
            apply,
            fetch_newer,
            newest_announced_version,
            is_reader or self.is_reader,
            self._is_store_answering_elsewhere,
            remaining_use_seconds,
            on_store_return,
            on_current,
            on_restored,
            self._journal,
            self._clock,
        )

    def is_reader(self):
        """Return whether this VM is one of its region's readers of the store.

        VMs whose calls to the store fail are readers only if no others are available.
        """
        own = self._members.own
        serving = self._members.strong_serving() or [own, *self._members.live_others()]
        in_region = [
            member
            for member in serving
            if member.region == own.region and member is not own
        ]
        candidates = [member.vm for member in in_region if not member.store_lost]
        if not self.is_store_lost and (own in serving or not in_region):
            candidates.append(own.vm)
        names = candidates or [own.vm, *(member.vm for member in in_region)]
        regions = len(set(self._settings.regions.values()))
        return own.vm in rank_by_weight("reader", names)[: ceil(READER_COUNT / regions)]

    def reads_member_table(self):
        """Return whether this VM keeps reading the members' table after its start.

        In a large fleet only readers do so; other VMs learn of new VMs by gossip.
        """
        return self._members.topology.is_mesh or self.is_reader()

    def _is_store_answering_elsewhere(self):
        return any(each.store_answers for each in self._members.live_others())

    def _apply_operator_rows(self, snapshot):
        """Apply the operators' table.

        All rows are decoded and not only the changed ones, since the table is small.
        """
        changed = [row.key for row in snapshot.rows]
        if not snapshot.is_whole and not changed:
            return changed
        rows = self.operator_rows.snapshot().rows
        self._registry.evacuate(
            decode_evacuations(rows),
            decode_evacuations(row for row in snapshot.rows if row.value is None),
            self.operator_rows.rows_missing_until,
        )
        row = find_configuration(rows)
        if row is not None:
            self._apply_configuration(row)
        return changed

    def _apply_configuration(self, row):
        try:
            routing_table = decode_config(row.value)
        except ValueError as error:
            self.configuration_archive.record_invalid_row(row.value)
            self._journal.write(
                Event.CONFIGURATION_REJECTED, version=row.version, reason=str(error)
            )
            return
        self.configuration_archive.record_valid_row()
        self._adopt(routing_table)

    def _apply_target_rows(self, snapshot):
        rows = [row for row in snapshot.rows if row.value is not None]
        entries = list(self._decode(rows, self._decode_target))
        decoded = {entry.id for entry in entries}
        rejected = self._registry.reject(
            row.key for row in rows if row.key not in decoded
        )
        if snapshot.is_whole:
            changed = self._registry.replace(entries, snapshot.remaining_use_seconds)
        else:
            removed = [row.key for row in snapshot.rows if row.value is None]
            changed = self._registry.update(
                entries, removed, snapshot.remaining_use_seconds
            )
        return [*rejected, *changed]

    def _decode_target(self, row):
        known = self._registry.entry(row.key)
        if known is not None and known.version == row.version:
            return known
        entry = decode_target(row)
        if entry.failure_domain not in self._settings.regions:
            raise ValueError(f"unknown failure domain {entry.failure_domain!r}")
        return entry

    def _apply_member_rows(self, snapshot):
        rows = [row for row in snapshot.rows if row.value is not None]
        for member in self._decode(rows, decode_member):
            if member.vm != self._settings.vm:
                self._members.add_known(
                    member.vm, member.ip, member.failure_domain, member.region
                )
        return [row.key for row in snapshot.rows]

    def _decode(self, rows, decode):
        """Yield the decoded rows; log invalid ones.

        Any error is that of one row, so that no row keeps the others from being used.
        """
        for row in rows:
            try:
                yield decode(row)
            except Exception as error:  # noqa: BLE001
                self._rejections.log(row.key, error)


def _operator_wait(bounds):
    """Return the seconds for which a call for the operators' table waits."""
    if bounds.revocation is None:
        return OPERATOR_WAIT_SECONDS
    return min(OPERATOR_WAIT_SECONDS, PROOF_WAIT_SHARE * bounds.revocation)
