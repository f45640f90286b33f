"""Reports of owners on their targets whose machines are slow."""

import msgpack

from heathercleat.steering.process.capacity.machine_speed import SLOW_PERIOD_SECONDS
from heathercleat.steering.process.membership.extensions import MAX_REPORT_BYTES

#: Upper bound of a reported slowdown; see
#: :data:`heathercleat.platform.headers.MAX_SLOWDOWN`.
MAX_PERCENT = 2000
#: Seconds within which a report arrives after it was composed: the longest way between
#: regions and the interval of heartbeats.
MAX_REPORT_DELAY_SECONDS = 0.2
#: Bytes of a report without its items, at most.
_LIST_BYTES = 3


class SpeedReports:
    """The :class:`HeartbeatExtension` for the speed of machines.

    A report lists the slow targets of the sender: id, start of the target in Unix
    milliseconds or ``None``, slowdown in percent, its age and the expected remaining
    time of the slow period, both in milliseconds. There is no report unless some
    targets of the sender report the speed of their machine.

    :param ledger: the :class:`SlotLedger` of own targets.
    :param capacity_reports: the :class:`CapacityReports` on targets of other VMs.
    :param registry: the :class:`TargetRegistry`.
    """

    name = "speeds"

    def __init__(self, ledger, capacity_reports, registry, clock):
        self._ledger = ledger
        self._capacity_reports = capacity_reports
        self._registry = registry
        self._clock = clock

    @property
    def slow_count(self):
        """Return the number of own targets whose machine is slow."""
        now = self._clock.now()
        return sum(each.speed.is_slow(now) for each in self._ledger.all())

    def report(self):
        """Return the slow targets of this VM, ``None`` if none reports its speed."""
        now, targets = self._clock.now(), self._ledger.all()
        if not any(each.speed.is_reported(now) for each in targets):
            return None
        slow = [each for each in targets if each.speed.is_slow(now)]
        slow.sort(key=lambda each: -each.speed.remaining_seconds(now))
        return list(_fitting(_item(each, now) for each in slow))

    def merge(self, vm, report):
        """Record the report of another VM; targets that it omits are not slow."""
        now = self._clock.now()
        speeds = dict(_parse_item(item, now) for item in report)
        for target_id, capacity in self._capacity_reports.capacities(vm).items():
            if not capacity.speed.is_reported(now) and not speeds:
                continue
            entry = self._registry.entry(target_id)
            speed = entry and speeds.get((target_id, entry.started_ms))
            if speed is None:
                # The report may have been sent before the response that this VM saw.
                if capacity.speed.age(now) > MAX_REPORT_DELAY_SECONDS:
                    capacity.speed.end_slow_period(now)
            else:
                capacity.speed.keep_for(entry.incarnation_id)
                capacity.speed.record_report(*speed)


def _item(target, now):
    speed, entry = target.speed, target.entry
    return [
        entry.id,
        entry.started_ms,
        round(100 * speed.last_slowdown),
        round(1000 * speed.age(now)),
        round(1000 * speed.remaining_seconds(now)),
    ]


def _fitting(items):
    """Yield items while they fit in a report."""
    size = _LIST_BYTES
    for item in items:
        size += len(msgpack.packb(item))
        if size > MAX_REPORT_BYTES:
            return
        yield item


def _parse_item(item, now):
    """Return ``(id, start)`` and the arguments of :meth:`MachineSpeed.record_report`.

    :raises ValueError: if the item is malformed; :exc:`TypeError` likewise.
    """
    target_id, started_ms, percent, age_ms, remaining_ms = item
    remaining = remaining_ms / 1000
    is_valid = (
        100 <= percent <= MAX_PERCENT
        and age_ms >= 0
        and 0 <= remaining <= SLOW_PERIOD_SECONDS
    )
    if not is_valid:
        raise ValueError(f"speed of {target_id!r}: {item!r}")
    key = target_id, started_ms
    return key, (percent / 100, now - age_ms / 1000, now + remaining)
