"""Assembly of a VM's heartbeats."""

from math import ceil

from heathercleat.steering.process.membership.heartbeat import Heartbeat
from heathercleat.steering.process.membership.member import make_update


class HeartbeatComposer:
    """Builds heartbeats from the current state of this VM.

    :param members: the :class:`Members`.
    :param tables: the :class:`Tables`.
    :param ledger: the :class:`SlotLedger` of the owned targets.
    :param admission: the :class:`Admission` with the queues for their slots.
    :param loss_rates: the :class:`LossRates` of this VM's clients.
    :param suspects: the :class:`Suspects`.
    :param services: returns the names of all services.
    """

    def __init__(
        self,
        members,
        tables,
        ledger,
        admission,
        loss_rates,
        suspects,
        services,
        clock,
    ):
        self._members = members
        self._tables = tables
        self._ledger = ledger
        self._admission = admission
        self._loss_rates = loss_rates
        self._suspects = suspects
        self._services = services
        self._clock = clock

    def compose(self, interval):
        """Return a new :class:`Heartbeat`, with an empty list of suspects.

        :param interval: seconds until the next heartbeat.
        """
        members, tables = self._members, self._tables
        members.set_store_lost(tables.is_store_lost)
        return Heartbeat(
            make_update(members.own),
            interval,
            tables.operator_rows.announced_change_version,
            tables.target_rows.announced_change_version,
            tables.is_store_answering,
            members.digest,
            members.updates_to_send(interval),
            list(self._capacities()),
            list(self._waits()),
            list(self._losses()),
            list(self._held()),
            self._suspects.digest,
            [],
        )

    def _capacities(self):
        """Yield the id, free capacity, limit and used slots of each owned target."""
        now = self._clock.now()
        for target in self._ledger.all():
            free = self._admission.free_for_peers(target, now)
            limit = target.announced_limit(now)
            yield [target.entry.id, free, limit, len(target.uses)]

    def _held(self):
        """Yield the slots that requests of this VM still use at targets of other VMs.

        The fields are the target id, the number of slots and the seconds until the
        latest deadline of these requests, rounded up to hundredths.
        """
        now = self._clock.now()
        for target_id, _, count, deadline in self._ledger.handed_over_targets():
            yield [target_id, count, ceil(max(0.0, deadline - now) * 100) / 100]

    def _waits(self):
        """Yield the name and the expected waits of each service with owned targets.

        See :class:`WaitEstimate`. The waits are ``None`` if no slot is usable.
        """
        for service in self._ledger.services():
            waits = self._admission.wait_estimate(service)
            if waits is None:
                yield [service, None, None]
            else:
                yield [service, round(waits.on_time, 3), round(waits.late, 3)]

    def _losses(self):
        """Yield the name and the mean loss rate of each service."""
        for service in self._services():
            yield [service, round(self._loss_rates.rate(service), 3)]
