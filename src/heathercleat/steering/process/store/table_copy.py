"""A VM's copy of one table of the store."""

from heathercleat.steering.process.store.protocol import Snapshot, StoreRow

#: Removals that are remembered, to tell other VMs what changed: a fleet whose targets
#: are all replaced within minutes. A VM that missed more is told the whole table.
MAX_REMOVALS = 1024
#: Spans of versions that are remembered of which this VM saw the end only.
MOST_GAPS = 16


class Gap:
    """Versions of which a VM saw the end only, since it read the table again.

    A row that came and went between them left no trace here.

    :param since: the version that was known before.
    :param until: the version that was read.
    """

    __slots__ = ("since", "until")

    def __init__(self, since, until):
        self.since = since
        self.until = until

    def holds(self, version):
        """Return whether rows as of a version may have come and gone unseen."""
        return self.since < version < self.until


class TableCopy:
    """The rows of a table as of one version of the store.

    It holds what the store told, and nothing that a VM believes beyond that. VMs pass
    their copies on, and a removed row that one of them kept for a while would be a row
    of the table at the others, and stay one: they have passed its removal already. So
    a target that had left came back at 3 of 12 VMs after 1.3 s (seen once on a day
    with an outage of the store for all).
    """

    __slots__ = (
        "_rows",
        "_version",
        "_changed",
        "_changed_at",
        "_removals",
        "_floor",
        "_gaps",
    )

    def __init__(self):
        self._rows = {}
        self._version = 0
        self._changed = 0
        # Version of the last change of each row that mattered, and of its removal.
        self._changed_at = {}
        self._removals = {}
        # Version since which every removal is remembered.
        self._floor = 0
        self._gaps = []

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

    def replace_all(self, snapshot):
        """Take all rows of the table; return whether they were not older than these.

        Another VM may have been ahead of an answer of the store that was on its way.
        """
        if snapshot.version < self._version:
            self._changed = max(self._changed, snapshot.changed)
            return False
        if self._version:
            self._note_gap(Gap(self._version, snapshot.version))
        else:
            self._floor = snapshot.version
        self._version = snapshot.version
        before, self._rows = self._rows, {row.key: row for row in snapshot.rows}
        for key in before.keys() - self._rows.keys():
            self._forget(key, snapshot.version)
        for key in self._rows.keys() - before.keys():
            self._removals.pop(key, None)
        return True

    def merge_changes(self, snapshot):
        """Take changed rows; return a :class:`Snapshot` of those that were news.

        A table that is read in pages may hold rows that are newer than its version: an
        earlier change of such a row must not undo the later one.
        """
        news = [each for each in snapshot.rows if self._take(each)]
        self._version = max(self._version, snapshot.version)
        return Snapshot(
            self._version, news, snapshot.changed, snapshot.lapsing, is_whole=False
        )

    def record_changes(self, keys, version):
        """Note that the rows of some keys changed in a way that mattered.

        :param version: the version of the last change of the table that mattered.
        """
        self._changed = max(self._changed, version)
        for key in keys:
            row = self._rows.get(key)
            if row is not None:
                self._changed_at[key] = min(row.version, self._changed)

    def since(self, version, lapsing):
        """Return a :class:`Snapshot` of what changed since a version, and mattered.

        It is whole for a VM that knows nothing (0), or that missed removals that are
        not remembered or were not seen here. Otherwise only the few changed rows are
        told, since every VM decodes what it is told row by row.

        :param lapsing: see :class:`Snapshot`.
        """
        if version < self._floor or not version or self._is_in_gap(version):
            return Snapshot(self._version, self.rows, self._changed, lapsing)
        rows = [
            row
            for key, row in self._rows.items()
            if self._changed_at.get(key, row.version) > version
        ]
        rows.extend(
            StoreRow(key, None, removed)
            for key, removed in self._removals.items()
            if removed > version
        )
        return Snapshot(self._version, rows, self._changed, lapsing, is_whole=False)

    def _is_in_gap(self, version):
        return any(gap.holds(version) for gap in self._gaps)

    def _note_gap(self, gap):
        self._gaps.append(gap)
        if len(self._gaps) > MOST_GAPS:
            self._floor = max(self._floor, self._gaps.pop(0).until)

    def _take(self, row):
        """Take one changed row; return whether it was news."""
        known = self._rows.get(row.key)
        if row.version <= (known.version if known else self._gone_at(row.key)):
            return False
        if row.value is None:
            self._rows.pop(row.key, None)
            self._forget(row.key, row.version)
            return known is not None
        self._removals.pop(row.key, None)
        self._rows[row.key] = row
        return True

    def _gone_at(self, key):
        """Return the version as of which there was no row of a key."""
        return max(self._floor, self._removals.get(key, 0))

    def _forget(self, key, version):
        """Note the removal of a row."""
        self._changed_at.pop(key, None)
        self._removals.pop(key, None)
        self._removals[key] = version
        if len(self._removals) > MAX_REMOVALS:
            oldest = next(iter(self._removals))
            self._floor = max(self._floor, self._removals.pop(oldest))
