"""Capacity reports in pieces, for a VM whose reports do not fit into its heartbeats.

Each heartbeat has one piece. Reports that changed come first, and a part of each piece
is for those that were not sent for the longest time.
"""

from heapq import nsmallest

import msgpack

from heathercleat.steering.process.membership.extensions import MAX_REPORT_BYTES

#: Bytes of a piece for everything but its items.
_OVERHEAD_BYTES = 32
#: Maximum bytes of an item, so that several fit into a piece.
_MAX_ITEM_BYTES = 240
#: Number of pieces with a change, in case a datagram is lost.
CHANGE_REPEATS = 3
#: Number of pieces in a row with a report that is refreshed, since VMs of other regions
#: get every second heartbeat.
REFRESH_REPEATS = 2
#: Fraction of a piece for changed reports, while others are to be refreshed.
CHANGES_SHARE = 0.75
#: Maximum number of reports that are considered for one piece.
_MAX_CANDIDATES = 256
#: Number of refreshes within which one has to arrive for a report to stay valid.
VALID_REFRESHES = 3
#: Bounds of the time for which a report is valid, in seconds.
MIN_VALID_SECONDS = 1.5
MAX_VALID_SECONDS = 60.0


class SentReport:
    """A report as it was sent last.

    :param values: its values.
    :param remaining: number of pieces that still have to repeat it.
    :param piece: number of the last piece that had it.
    """

    __slots__ = ("values", "remaining", "piece")

    def __init__(self, values, remaining):
        self.values = values
        self.remaining = remaining
        self.piece = 0


class ReportPieces:
    """Sends and receives capacity reports in pieces; a :class:`HeartbeatExtension`.

    A piece is a list of the seconds for which it is valid, the slots in use at targets
    of other VMs, and items on targets, waits and losses. An item begins with the id of
    a target or the name of a service; without further fields, the report ended. A
    service without an item has a loss rate of 0.

    :param capacity_reports: the :class:`CapacityReports`.
    :param held_slots: the :class:`HeldSlots`.
    :param failures: the :class:`RejectedItemLog` for items that cannot be encoded.
    """

    name = "capacity"

    def __init__(self, capacity_reports, held_slots, failures):
        self._capacity_reports = capacity_reports
        self._held_slots = held_slots
        self._failures = failures
        self._interval = 0.0
        self._held = ()
        # The :class:`SentReport` by section of a piece and name; its values are ``()``
        # if the report ended.
        self._sent = {}
        self._piece = 0
        self._is_due = False

    def offer(self, heartbeat):
        """Take the reports of a :class:`Heartbeat` for the next piece."""
        reports = dict(_reports_of(heartbeat))
        for key, sent in self._sent.items():
            if key not in reports and (sent.values or sent.remaining):
                reports[key] = ()
        for key, values in reports.items():
            sent = self._sent.get(key)
            if sent is None:
                self._sent[key] = SentReport(values, REFRESH_REPEATS)
            elif sent.values != values:
                sent.values, sent.remaining = values, CHANGE_REPEATS
        self._sent = {key: self._sent[key] for key in reports}
        self._held = heartbeat.held
        self._interval = heartbeat.interval
        self._is_due = True

    def report(self):
        """Return the next piece; ``None`` if nothing was offered since the last."""
        if not self._is_due:
            return None
        self._is_due = False
        self._piece += 1
        held, room = self._select_held(MAX_REPORT_BYTES - _OVERHEAD_BYTES)
        sections = ([], [], [])
        count = 0
        for (section, name), sent in self._select(room):
            sections[section].append([name, *sent.values])
            count += 1
        return [self._valid_seconds(count), held, *sections]

    def merge(self, vm, report):
        """Record a piece of another VM.

        :raises ValueError: when it is malformed; :exc:`TypeError` likewise.
        """
        valid_seconds, held, targets, waits, losses = report
        if not 0.0 <= valid_seconds <= MAX_VALID_SECONDS:
            raise ValueError(f"{valid_seconds!r} is not a valid number of seconds")
        self._capacity_reports.merge_piece(vm, targets, waits, losses, valid_seconds)
        self._held_slots.record_report(vm, held)

    def _select_held(self, room):
        """Return the items on slots in use that fit, and the bytes that remain."""
        selected = []
        for item in self._held:
            size = self._encoded_size(item)
            if size is not None and size <= room:
                selected.append(item)
                room -= size
        return selected, room

    def _select(self, room):
        """Yield the key and the :class:`SentReport` of each item of the next piece.

        :param room: the bytes for the items.
        """
        due = [each for each in self._sent.items() if each[1].remaining]
        changes_room = int(CHANGES_SHARE * room)
        for item in self._fitting(due, changes_room, _slots_first):
            item[1].remaining -= 1
            room -= self._item_size(item)
            yield item
        for item in self._fitting(self._sent.items(), room, _oldest_first):
            sent = item[1]
            sent.remaining = (sent.remaining or REFRESH_REPEATS) - 1
            yield item

    def _fitting(self, items, room, rank):
        """Yield the items that fit, those of the lowest rank first."""
        unsent = (each for each in items if each[1].piece < self._piece)
        for item in nsmallest(_MAX_CANDIDATES, unsent, key=rank):
            size = self._item_size(item)
            if size is None:
                # It is tried again after all others.
                item[1].piece = self._piece
                continue
            if size > room:
                return
            room -= size
            item[1].piece = self._piece
            yield item

    def _item_size(self, item):
        (_, name), sent = item
        return self._encoded_size([name, *sent.values])

    def _encoded_size(self, fields):
        """Return the bytes of an item; ``None`` if it cannot be sent."""
        try:
            size = len(msgpack.packb(fields))
        except (ValueError, TypeError, OverflowError) as error:
            self._failures.log(repr(fields[0]), error)
            return None
        if size > _MAX_ITEM_BYTES:
            self._failures.log(repr(fields[0]), f"{size} bytes are too many")
            return None
        return size

    def _valid_seconds(self, count):
        """Return for how long the reports of a piece are valid.

        :param count: the number of its items.
        """
        refreshed = max(1.0, (1.0 - CHANGES_SHARE) * count / REFRESH_REPEATS)
        rotation = len(self._sent) / refreshed * self._interval
        seconds = VALID_REFRESHES * rotation
        return min(MAX_VALID_SECONDS, max(MIN_VALID_SECONDS, seconds))


def _oldest_first(item):
    """Return the rank of an item by when it was sent last."""
    return item[1].piece


def _slots_first(item):
    """Return the same rank, but with all reports on targets first."""
    (section, _), sent = item
    return section, sent.piece


def _reports_of(heartbeat):
    """Yield the key and the values of each report of a heartbeat."""
    sections = heartbeat.rooms, heartbeat.waits, heartbeat.losses
    for section, reports in enumerate(sections):
        for name, *values in reports:
            if reports is not heartbeat.losses or any(values):
                yield (section, name), values
