"""A VM's copy of one table of the store."""

from heathercleat.steering.process.store.protocol import Snapshot


class TableCopy:
    """The rows of a table as of one version of the store.

    It holds what the store told, and nothing that a VM believes beyond that. VMs pass
    their copies on, and a removed row that one of them kept for a while would be a row
    of the table at the others, and stay one: they have passed its removal already. So
    a target that had left came back at 3 of 12 VMs after 1.3 s (seen once on a day
    with an outage of the store for all).
    """

    __slots__ = ("_rows", "_version", "_changed")

    def __init__(self):
        self._rows = {}
        self._version = 0
        self._changed = 0

    @property
    def version(self):
        """Return the store's version that the rows are current as of."""
        return self._version

    @property
    def changed(self):
        """Return the store's version of the last change that mattered."""
        return self._changed

    @property
    def rows(self):
        """Return a list of all rows."""
        return list(self._rows.values())

    def take_whole(self, snapshot):
        """Take all rows of the table; return whether they were not older than these.

        Another VM may have been ahead of an answer of the store that was on its way.
        """
        self._changed = max(self._changed, snapshot.changed)
        if snapshot.version < self._version:
            return False
        self._version = snapshot.version
        self._rows = {row.key: row for row in snapshot.rows}
        return True

    def take_changes(self, snapshot):
        """Take changed rows; return a :class:`Snapshot` of those that were news.

        A table that is read in pages may hold rows that are newer than its version: an
        earlier change of such a row must not undo the later one.
        """
        if snapshot.version < self._version:
            return Snapshot(self._version, [])
        self._version = snapshot.version
        return Snapshot(
            snapshot.version, [each for each in snapshot.rows if self._take(each)]
        )

    def note_change(self):
        """Note that the last change mattered."""
        self._changed = self._version

    def _take(self, row):
        """Take one changed row; return whether it was news."""
        known = self._rows.get(row.key)
        if known is not None and row.version <= known.version:
            return False
        if row.value is not None:
            self._rows[row.key] = row
            return True
        return self._rows.pop(row.key, None) is not None
