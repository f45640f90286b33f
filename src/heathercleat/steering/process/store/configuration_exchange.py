"""Exchange of the configuration in force between VMs.

A VM usually gets a configuration with the operators' table. That table may have none
that can be used, or an older one than others have in force: operators wrote an invalid
one, or the store was restored from a backup.
"""

from curio import sleep

from heathercleat.errors import PeerError
from heathercleat.events import Event
from heathercleat.platform.decode import decode_config
from heathercleat.platform.wire_names import CONFIG_KEY
from heathercleat.steering.process.store.protocol import Snapshot, StoreRow

#: Name under which VMs fetch the configuration in force from each other.
IN_FORCE_TABLE = "configuration-in-force"
#: Seconds between two checks whether another VM has a newer configuration.
CHECK_SECONDS = 0.2
#: Seconds for which a VM waits for the newer configuration with the operators' table,
#: unless it has none.
TABLE_WAIT_SECONDS = 0.8


class ConfigurationExchange:
    """Fetches the configuration in force at other VMs if it is newer.

    :param peer_tables: the :class:`PeerTables`.
    :param freshness: the :class:`ConfigurationFreshness`, for their versions.
    :param routing_table: returns the :class:`RoutingTable` in force, or ``None``.
    :param adopt: called with each fetched :class:`RoutingTable`.
    """

    def __init__(self, peer_tables, freshness, routing_table, adopt, journal, clock):
        self._peer_tables = peer_tables
        self._freshness = freshness
        self._routing_table = routing_table
        self._adopt = adopt
        self._journal = journal
        self._clock = clock
        self._behind_since = None
        # Newest version that this VM could not decode.
        self._rejected_version = 0

    @property
    def _version(self):
        in_force = self._routing_table()
        return in_force.version if in_force is not None else 0

    def snapshot(self):
        """Return the configuration in force as a :class:`Snapshot`, for other VMs."""
        in_force = self._routing_table()
        if in_force is None:
            return Snapshot(0, [])
        row = StoreRow(CONFIG_KEY, in_force.document, in_force.version)
        return Snapshot(in_force.version, [row])

    async def run(self):
        """Fetch newer configurations until cancelled."""
        while True:
            await sleep(CHECK_SECONDS)
            if self._is_fetch_due():
                await self._fetch()

    def _is_fetch_due(self):
        _, newest = self._freshness.newest_elsewhere
        known = max(self._version, self._rejected_version)
        if newest is None or newest <= known:
            self._behind_since = None
            return False
        now = self._clock.now()
        if self._behind_since is None:
            self._behind_since = now
        waits_for_table = (
            self._version and now < self._behind_since + TABLE_WAIT_SECONDS
        )
        return not waits_for_table

    async def _fetch(self):
        known = max(self._version, self._rejected_version)
        try:
            snapshot = await self._peer_tables.fetch_newer(
                IN_FORCE_TABLE,
                known,
                self._behind_since,
                lambda member: self._freshness.version_at(member.vm),
            )
        except PeerError as error:
            self._journal.write(
                Event.STATE_NOT_FETCHED, table=IN_FORCE_TABLE, reason=str(error)
            )
            return
        for row in snapshot.rows if snapshot is not None else ():
            self._apply(row)

    def _apply(self, row):
        """Adopt a fetched configuration, unless it cannot be decoded.

        VMs of another build may accept what this one does not.
        """
        try:
            routing_table = decode_config(row.value)
        except ValueError as error:
            self._rejected_version = row.version
            self._journal.write(
                Event.CONFIGURATION_REJECTED, version=row.version, reason=str(error)
            )
            return
        self._journal.write(
            Event.STATE_FROM_PEER, table=IN_FORCE_TABLE, version=row.version, era=None
        )
        self._adopt(routing_table)
