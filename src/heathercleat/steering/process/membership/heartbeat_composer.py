"""What a VM tells of itself and its targets in heartbeats."""

from math import ceil

from heathercleat.steering.process.membership.heartbeat import Heartbeat
from heathercleat.steering.process.membership.member import make_update


class HeartbeatComposer:
    """Composes heartbeats from the beliefs of this VM.

    :param members: the known VMs.
    :param tables: the followed tables of the store.
    :param ledger: the owned targets.
    :param admission: the waits at their slots.
    :param pressure: what this VM's clients lose.
    :param suspects: the :class:`Suspects`.
    :param services: returns the names of all services.
    """

    def __init__(
        self,
        members,
        tables,
        ledger,
        admission,
        pressure,
        suspects,
        services,
        clock,
    ):
        self._members = members
        self._tables = tables
        self._ledger = ledger
        self._admission = admission
        self._pressure = pressure
        self._suspects = suspects
        self._services = services
        self._clock = clock

    def compose(self, interval):
        """Return a new :class:`Heartbeat`, which tells of no suspects yet.

        :param interval: seconds until the next one.
        """
        members, tables = self._members, self._tables
        members.set_store_lost(tables.store_lost)
        return Heartbeat(
            make_update(members.own),
            interval,
            tables.operator.told,
            tables.targets.told,
            tables.store_answers,
            members.digest,
            members.news(interval),
            list(self._rooms()),
            list(self._waits()),
            list(self._losses()),
            list(self._held()),
            self._suspects.digest,
            [],
        )

    def _rooms(self):
        """Yield the fields of each owned target."""
        now = self._clock.now()
        for target in self._ledger.all():
            room = self._admission.free_for_peers(target, now)
            yield [target.entry.id, room, target.limit(now), len(target.uses)]

    def _held(self):
        """Yield the fields of each target with requests from here that others own.

        The time that is left is rounded up.
        """
        now = self._clock.now()
        for target_id, _, count, deadline in self._ledger.handed_over_targets():
            yield [target_id, count, ceil(max(0.0, deadline - now) * 100) / 100]

    def _waits(self):
        """Yield the fields of each owned service's :class:`Waits`, in seconds."""
        for service in self._ledger.services():
            waits = self._admission.estimate_wait(service)
            if waits is None:
                yield [service, None, None]
            else:
                yield [service, round(waits.on_time, 3), round(waits.late, 3)]

    def _losses(self):
        """Yield the part of their worth that clients lose, for each service."""
        for service in self._services():
            yield [service, round(self._pressure.rate(service), 3)]
