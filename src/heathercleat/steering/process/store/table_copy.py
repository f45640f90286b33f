"""A VM's local copy of one table of the store."""

from heathercleat.steering.process.store.protocol import Snapshot, StoreRow
from heathercleat.steering.process.store.versions import era_of

#: Maximum remembered removals; enough for a fleet whose targets are all replaced within
#: minutes. A VM that missed more of them gets the whole table.
MAX_REMOVALS = 1024
#: Maximum remembered :class:`Gap` objects.
MAX_GAPS = 16


class Gap:
    """A range of versions skipped by reading the whole table again.

    Rows that were added and removed within the range are unknown.

    :param since: the version before the read.
    :param until: the version that was read.
    """

    __slots__ = ("since", "until")

    def __init__(self, since, until):
        self.since = since
        self.until = until

    def contains(self, version):
        """Return whether a version is inside the range."""
        return self.since < version < self.until


class TableCopy:
    """The rows of a table as of one version of the store.

    Removed rows are dropped at once. If one VM kept such a row, VMs that fetch its copy
    would add the row again and keep it.

    A change to a row is significant if it affects steering, as decided by the code that
    applies the rows. VMs announce only significant changes to each other.
    """

    __slots__ = (
        "_rows",
        "_version",
        "_last_significant_version",
        "_change_versions",
        "_removals",
        "_removals_since",
        "_gaps",
    )

    def __init__(self):
        self._rows = {}
        self._version = 0
        self._last_significant_version = 0
        # By key: version of the last significant change of the row.
        self._change_versions = {}
        # By key: version of the removal of the row.
        self._removals = {}
        # Version since which all removals are remembered.
        self._removals_since = 0
        self._gaps = []

    @property
    def version(self):
        """Return the store version of the rows; 0 before the first read."""
        return self._version

    @property
    def last_significant_version(self):
        """Return the store version of the last significant change."""
        return self._last_significant_version

    @property
    def rows(self):
        """Return a list of all :class:`StoreRow` objects."""
        return list(self._rows.values())

    def replace_all(self, snapshot):
        """Replace all rows, unless the snapshot is older; return whether it was used.

        A snapshot is older if a newer one arrived from another VM during the call.
        """
        if snapshot.version < self._version:
            self._last_significant_version = max(
                self._last_significant_version, snapshot.last_significant_version
            )
            return False
        if self._version:
            self._add_gap(Gap(self._version, snapshot.version))
        else:
            self._removals_since = snapshot.version
        self._version = snapshot.version
        before, self._rows = self._rows, {row.key: row for row in snapshot.rows}
        for key in before.keys() - self._rows.keys():
            self._record_removal(key, snapshot.version)
        for key in self._rows.keys() - before.keys():
            self._removals.pop(key, None)
        return True

    def merge_changes(self, snapshot):
        """Merge changed rows; return a :class:`Snapshot` of those that were new.

        It has only the last change of each row, although the store may report several.
        A whole table is read in pages, so known rows may be newer than the version of
        its snapshot. Older changes must not overwrite them. Changes of an earlier era
        of the store may have been lost since, and are ignored.
        """
        is_outdated = era_of(snapshot.version) < era_of(self._version)
        rows = () if is_outdated else snapshot.rows
        new_rows = {each.key: each for each in rows if self._merge_row(each)}
        self._version = max(self._version, snapshot.version)
        return Snapshot(
            self._version,
            list(new_rows.values()),
            snapshot.last_significant_version,
            snapshot.remaining_use_seconds,
            is_whole=False,
        )

    def record_changes(self, keys, version):
        """Record that the rows with these keys changed significantly.

        :param version: the version of the table's last significant change.
        """
        self._last_significant_version = max(self._last_significant_version, version)
        for key in keys:
            row = self._rows.get(key)
            if row is not None:
                self._change_versions[key] = min(
                    row.version, self._last_significant_version
                )

    def changes_since(self, version, remaining_use_seconds):
        """Return a :class:`Snapshot` of the significant changes since a version.

        The snapshot is whole if the version is 0 or of another era of the store, or if
        removals since then may be unknown.

        :param remaining_use_seconds: see :class:`Snapshot`.
        """
        if self._needs_all_rows(version):
            return Snapshot(
                self._version,
                self.rows,
                self._last_significant_version,
                remaining_use_seconds,
            )
        rows = [
            row
            for key, row in self._rows.items()
            if self._change_versions.get(key, row.version) > version
        ]
        rows.extend(
            StoreRow(key, None, removal_version)
            for key, removal_version in self._removals.items()
            if removal_version > version
        )
        return Snapshot(
            self._version,
            rows,
            self._last_significant_version,
            remaining_use_seconds,
            is_whole=False,
        )

    def _needs_all_rows(self, version):
        """Return whether some changes since a version may be unknown."""
        if not version or era_of(version) != era_of(self._version):
            return True
        if version < self._removals_since:
            return True
        return any(gap.contains(version) for gap in self._gaps)

    def _add_gap(self, gap):
        self._gaps.append(gap)
        if len(self._gaps) > MAX_GAPS:
            self._removals_since = max(self._removals_since, self._gaps.pop(0).until)

    def _merge_row(self, row):
        """Merge one changed row; return whether it changed this copy."""
        known = self._rows.get(row.key)
        if row.version <= (known.version if known else self._removal_version(row.key)):
            return False
        if row.value is None:
            self._rows.pop(row.key, None)
            self._record_removal(row.key, row.version)
            return known is not None
        self._removals.pop(row.key, None)
        self._rows[row.key] = row
        return True

    def _removal_version(self, key):
        """Return the latest version at which the table is known not to have a row."""
        return max(self._removals_since, self._removals.get(key, 0))

    def _record_removal(self, key, version):
        """Record the removal of a row."""
        self._change_versions.pop(key, None)
        # Added again at the end, so that the oldest removal comes first.
        self._removals.pop(key, None)
        self._removals[key] = version
        if len(self._removals) > MAX_REMOVALS:
            oldest = next(iter(self._removals))
            self._removals_since = max(self._removals_since, self._removals.pop(oldest))
