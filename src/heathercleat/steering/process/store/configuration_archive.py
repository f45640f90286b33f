"""Keeps the last valid configuration in the store while the operators' row is invalid.

The configuration in force passes between VMs. Without a copy in the store it would be
lost if all VMs were started again before operators corrected their row.
"""

import zlib
from hashlib import blake2b

import msgpack
from curio import sleep

from heathercleat.errors import PlatformError
from heathercleat.events import Event
from heathercleat.platform.decode import decode_config
from heathercleat.steering.process.store.protocol import HistoryLostError

#: Its rows have the version of a configuration as their key.
ARCHIVE_TABLE = "heathercleat-configurations"
#: Seconds between two attempts to keep or to restore a configuration.
RETRY_SECONDS = 0.5
_DIGEST_BYTES = 16


class ArchivedConfiguration:
    """A valid configuration, and the invalid row beside which it was in force.

    :param invalid_digest: digest of the value of that row. Beside any other row the
        configuration may be outdated.
    :param version: version of the configuration.
    :param document: the encoded configuration.
    """

    __slots__ = ("invalid_digest", "version", "document")

    def __init__(self, invalid_digest, version, document):
        self.invalid_digest = invalid_digest
        self.version = version
        self.document = document

    def pack(self):
        """Return the value of its row."""
        document = zlib.compress(self.document)
        return msgpack.packb([self.invalid_digest, self.version, document])

    @classmethod
    def unpack(cls, value):
        """Return the configuration in the value of a row.

        :raises ValueError: if the row is not one that a VM wrote.
        """
        fields = msgpack.unpackb(value)
        is_valid = isinstance(fields, list) and list(map(type, fields)) == [
            bytes,
            int,
            bytes,
        ]
        if not is_valid:
            raise ValueError(f"{fields!r} is not a list of digest, version, document")
        invalid_digest, version, document = fields
        try:
            return cls(invalid_digest, version, zlib.decompress(document))
        except zlib.error as error:
            raise ValueError(f"not compressed: {error}") from None


class ConfigurationArchive:
    """Writes the configuration in force to the store, or restores it from there.

    :param store: a :class:`Store` that only this object uses.
    :param is_reader: returns whether this VM is a reader of the store; others write
        nothing.
    :param routing_table: returns the :class:`RoutingTable` in force, or ``None``.
    :param adopt: called with the restored :class:`RoutingTable`.
    :param rejections: the :class:`RejectedItemLog` for invalid rows.
    """

    def __init__(self, store, is_reader, routing_table, adopt, rejections, journal):
        self._store = store
        self._is_reader = is_reader
        self._routing_table = routing_table
        self._adopt = adopt
        self._rejections = rejections
        self._journal = journal
        self._invalid_digest = None
        self._kept_version = None

    def record_valid_row(self):
        """Record that the operators' row is valid, so that no copy is needed."""
        self._invalid_digest = None

    def record_invalid_row(self, value):
        """Record that the operators' row cannot be decoded.

        :param value: its value, as bytes.
        """
        self._invalid_digest = blake2b(value, digest_size=_DIGEST_BYTES).digest()
        self._kept_version = None

    async def run(self):
        """Keep or restore a configuration when necessary, until cancelled."""
        while True:
            await sleep(RETRY_SECONDS)
            if self._invalid_digest is None:
                continue
            try:
                await self._synchronize()
            except (PlatformError, HistoryLostError) as error:
                self._journal.write(Event.PLATFORM_FAILED, reason=str(error))

    async def _synchronize(self):
        in_force = self._routing_table()
        if in_force is None:
            await self._restore()
        elif self._is_reader() and self._kept_version != in_force.version:
            await self._keep(in_force)

    async def _keep(self, in_force):
        """Write the configuration in force, and remove those that are outdated."""
        invalid_digest = self._invalid_digest
        kept = ArchivedConfiguration(
            invalid_digest, in_force.version, in_force.document
        )
        found = await self._read()
        if not any(_is_as_new(each, kept) for each in found.values()):
            await self._store.write(ARCHIVE_TABLE, str(kept.version), kept.pack())
            self._journal.write(Event.CONFIGURATION_KEPT, version=kept.version)
        for key, each in found.items():
            if each.version < kept.version:
                await self._store.write(ARCHIVE_TABLE, key, None)
        if invalid_digest == self._invalid_digest:
            self._kept_version = in_force.version

    async def _restore(self):
        found = [
            each
            for each in (await self._read()).values()
            if each.invalid_digest == self._invalid_digest
        ]
        newest = max(found, key=lambda each: each.version, default=None)
        if newest is None or self._routing_table() is not None:
            return
        self._journal.write(Event.CONFIGURATION_RESTORED, version=newest.version)
        self._adopt(decode_config(newest.document))

    async def _read(self):
        """Return each :class:`ArchivedConfiguration` by the key of its row."""
        snapshot = await self._store.read(ARCHIVE_TABLE)
        return dict(self._decode(snapshot.rows))

    def _decode(self, rows):
        """Yield the key and the configuration of each valid row; log the others."""
        for row in rows:
            try:
                yield row.key, ArchivedConfiguration.unpack(row.value)
            except ValueError as error:
                self._rejections.log(row.key, error)


def _is_as_new(archived, other):
    """Return whether an archived configuration can take the place of another one."""
    return (
        archived.invalid_digest == other.invalid_digest
        and archived.version >= other.version
    )
