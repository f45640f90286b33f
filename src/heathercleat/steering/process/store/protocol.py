"""Interface of the table service that keeps what must last."""

from typing import Protocol


class HistoryLostError(Exception):
    """The store no longer has the changes asked for: read the table again."""


class StoreRow:
    """A row of a table; ``value`` is ``None`` for a row that was removed."""

    __slots__ = ("key", "value", "version")

    def __init__(self, key, value, version):
        self.key = key
        self.value = value
        self.version = version


class Snapshot:
    """Rows of a table: all of them, or those that changed since some version.

    :param version: the store's version that they are current as of.
    :param changed: the version of the last change that mattered.
    :param lapsing: seconds for which the VM that told this goes on using what removed
        rows stood for, by key; ``None`` when the store told it.
    :param is_whole: whether a row that it does not hold does not exist.
    """

    __slots__ = ("version", "rows", "changed", "lapsing", "is_whole")

    def __init__(self, version, rows, changed=None, lapsing=None, is_whole=True):
        self.version = version
        self.rows = rows
        self.changed = version if changed is None else changed
        self.lapsing = lapsing
        self.is_whole = is_whole

    def age(self, seconds):
        """Shorten what is told in seconds by the time that the answer took."""
        if self.lapsing is not None:
            self.lapsing = {key: each - seconds for key, each in self.lapsing.items()}


class Store(Protocol):
    """A table service. Every call raises ``PlatformError`` when it does not answer."""

    async def read(self, table):
        """Return a :class:`Snapshot` of all rows of a table."""

    async def follow(self, table, after, wait):
        """Return the rows changed since ``after`` as a :class:`Snapshot`."""

    async def write(self, table, key, value):
        """Put a value, or remove the row for ``None``."""
