"""Interface of the platform's table service."""

from typing import Protocol


class HistoryLostError(Exception):
    """The store no longer has the requested changes; read the whole table again."""


class StoreRow:
    """A row of a table; ``value`` is ``None`` for a removed row."""

    __slots__ = ("key", "value", "version")

    def __init__(self, key, value, version):
        self.key = key
        self.value = value
        self.version = version


class Snapshot:
    """All rows of a table, or the rows that changed since some version.

    :param version: the store version of the rows.
    :param last_change: the version of the last significant change.
    :param lapsing: seconds for which the sending VM still uses removed rows, by key;
        ``None`` if the snapshot is from the store.
    :param is_whole: whether it has all rows of the table.
    """

    __slots__ = ("version", "rows", "last_change", "lapsing", "is_whole")

    def __init__(self, version, rows, last_change=None, lapsing=None, is_whole=True):
        self.version = version
        self.rows = rows
        self.last_change = version if last_change is None else last_change
        self.lapsing = lapsing
        self.is_whole = is_whole

    def reduce_lapsing(self, seconds):
        """Reduce the remaining times by the seconds that the transfer took."""
        if self.lapsing is not None:
            self.lapsing = {key: each - seconds for key, each in self.lapsing.items()}


class Store(Protocol):
    """A table service; each call raises ``PlatformError`` when it does not answer."""

    async def read(self, table):
        """Return a :class:`Snapshot` of all rows of a table."""

    async def follow(self, table, after, wait):
        """Return the rows changed since version ``after`` as a :class:`Snapshot`.

        :param wait: seconds to wait for a change.
        :raises HistoryLostError: when the changes are no longer available.
        """

    async def write(self, table, key, value):
        """Write a row, or remove it if ``value`` is ``None``."""
