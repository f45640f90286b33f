"""Interface of the platform's table service."""

from typing import Protocol


class HistoryLostError(Exception):
    """The store no longer has the requested changes; read the whole table again."""


class StoreRow:
    """A row of a table; ``value`` is ``None`` for a removed row.

    :param version: version of its last change, in the era in which it was read; see
        :mod:`heathercleat.steering.process.store.versions`.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key, value, version):
        self.key = key
        self.value = value
        self.version = version


class Snapshot:
    """All rows of a table, or the rows that changed since some version.

    :param version: the version of the table that the snapshot reflects.
    :param last_significant_version: the version of the last significant change.
    :param remaining_use_seconds: seconds for which the sending VM still uses removed
        rows, by key; ``None`` if the snapshot is from the store.
    :param is_whole: whether it has all rows of the table.
    """

    __slots__ = (
        "version",
        "rows",
        "last_significant_version",
        "remaining_use_seconds",
        "is_whole",
    )

    def __init__(
        self,
        version,
        rows,
        last_significant_version=None,
        remaining_use_seconds=None,
        is_whole=True,
    ):
        self.version = version
        self.rows = rows
        self.last_significant_version = (
            version if last_significant_version is None else last_significant_version
        )
        self.remaining_use_seconds = remaining_use_seconds
        self.is_whole = is_whole

    def reduce_remaining_use(self, seconds):
        """Reduce the remaining times by the seconds that the transfer took."""
        if self.remaining_use_seconds is not None:
            self.remaining_use_seconds = {
                key: each - seconds for key, each in self.remaining_use_seconds.items()
            }


class Store(Protocol):
    """A table service; calls raise ``PlatformError`` if it does not respond."""

    async def read(self, table):
        """Return a :class:`Snapshot` of all rows of a table."""

    async def follow(self, table, after, wait):
        """Return the rows changed since version ``after`` as a :class:`Snapshot`.

        :param wait: seconds to wait for a change.
        :raises HistoryLostError: when the changes are not available: they are too old,
            or the store was restored from a backup since.
        """

    async def write(self, table, key, value):
        """Write a row, or remove it if ``value`` is ``None``.

        Return the era of the store to which the row was written.
        """
