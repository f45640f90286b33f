"""Fetches tables from other VMs."""

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    Message,
    exchange,
    with_deadline,
)
from heathercleat.errors import PeerError
from heathercleat.steering.connection.forwarded import state_path, unpack_state

#: Timeout for fetching a table from another VM on one connection, in seconds.
PEER_FETCH_TIMEOUT_SECONDS = 0.5
#: Delay before a VM fetches a newer table from another failure domain of its region, in
#: seconds; meanwhile a VM of its own failure domain may get the table. Without delays,
#: at 80 VMs a table can cross between regions 50 times at each change of the targets.
REGION_DELAY_SECONDS = 0.15
#: The same for fetching from another region, to limit traffic between regions.
OTHER_REGION_DELAY_SECONDS = 0.5
MAX_SNAPSHOT_BYTES = 16 << 20


class PeerTables:
    """Fetches a table from the nearest VM that announced a newer version of it.

    :param settings: the :class:`NodeSettings`.
    :param members: the :class:`Members`.
    :param pool: the connection pool for other VMs.
    """

    def __init__(self, settings, members, pool, clock):
        self._settings = settings
        self._members = members
        self._pool = pool
        self._clock = clock

    async def fetch_newer(self, table, version, since, version_of):
        """Return a newer snapshot from the nearest VM that has one, or ``None``.

        :param version: the version known here.
        :param since: instant since which another VM is known to have a newer one.
        :param version_of: returns the version that a :class:`Member` announced.
        :raises PeerError: when the other VM does not respond.
        """
        newer_members = [
            member
            for member in self._members.live_others()
            if version_of(member) > version
        ]
        if not newer_members:
            return None
        waited = self._clock.now() - since
        nearest = min(newer_members, key=self._fetch_delay)
        if waited < self._fetch_delay(nearest):
            return None
        asked_at = self._clock.now()
        try:
            snapshot = await self._fetch_in_time(nearest.ip, table, version)
        except (TimeoutError, ValueError, *CONNECTION_ERRORS) as error:
            raise PeerError(f"{nearest.vm}: {error!r}") from None
        snapshot.reduce_remaining_use(self._clock.now() - asked_at)
        return snapshot

    async def _fetch_in_time(self, ip, table, after):
        """Fetch a table; try a new connection if the pooled one does not respond."""
        for is_fresh in (False, True):
            deadline = self._clock.now() + PEER_FETCH_TIMEOUT_SECONDS
            fetching = self._fetch(ip, table, after, is_fresh)
            try:
                return await with_deadline(deadline, self._clock, fetching)
            except TimeoutError:
                if is_fresh:
                    raise

    def _fetch_delay(self, member):
        """Return the seconds to wait before fetching from a VM.

        The delay allows a nearer VM to get the table first.
        """
        own = self._members.own
        if member.failure_domain == own.failure_domain:
            return 0.0
        return (
            REGION_DELAY_SECONDS
            if member.region == own.region
            else OTHER_REGION_DELAY_SECONDS
        )

    async def _fetch(self, ip, table, after, is_fresh):
        port = self._settings.forward_port
        stream = await self._pool.checkout(ip, port, fresh=is_fresh)
        message = Message(path=state_path(table, after))
        is_complete = False
        try:
            response = await exchange(stream, message, MAX_SNAPSHOT_BYTES)
            is_complete = True
        finally:
            if is_complete:
                await self._pool.checkin(ip, port, stream)
            else:
                await self._pool.discard(ip, port, stream)
        return unpack_state(response.body)
