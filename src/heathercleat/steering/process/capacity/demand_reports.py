"""Reports of VMs on the demand of their clients, as sent in heartbeats."""

import msgpack

from heathercleat.steering.process.capacity.demand_meter import Demand
from heathercleat.steering.process.membership.extensions import MAX_REPORT_BYTES

#: Seconds for which the report of another VM is valid.
REPORT_TTL_SECONDS = 1.5
#: Units of slots, requests per second, fractions and seconds in a report, so that
#: numbers take 1 to 3 bytes.
SLOT_UNITS = 100
RATE_UNITS = 100
FRACTION_UNITS = 10_000
SECOND_UNITS = 10
#: Total demand in a report of a VM that has not observed its clients for long enough.
UNKNOWN_DEMAND = -1


class ServiceReport:
    """The report of a VM on one service.

    :param demand: the :class:`Demand` of its clients, ``None`` if not known yet.
    :param fractions: fraction of its region's objects that go to each other region.
    :param speed_seconds: seconds for which reports of the speed of targets' machines
        still count.
    """

    __slots__ = ("demand", "fractions", "speed_seconds")

    def __init__(self, demand, fractions, speed_seconds):
        self.demand = demand
        self.fractions = fractions
        self.speed_seconds = speed_seconds


class VmReport:
    """The last report of one VM.

    :param services: a :class:`ServiceReport` for each service.
    """

    __slots__ = ("services", "reported_at")

    def __init__(self, services, reported_at):
        self.services = services
        self.reported_at = reported_at

    def is_valid(self, now):
        """Return whether the report is recent enough to use."""
        return now < self.reported_at + REPORT_TTL_SECONDS

    def demand(self, service):
        """Return the :class:`Demand`, ``None`` if not known yet.

        A service without an entry has no demand, or too little to be reported.
        """
        report = self.services.get(service)
        return report.demand if report else Demand()

    def fractions(self, service):
        """Return the fraction of the objects that go to each other region."""
        report = self.services.get(service)
        return report.fractions if report else {}


def pack_report(services):
    """Return the entries to send, those with the least demand omitted as needed.

    :param services: a :class:`ServiceReport` for each service.
    """
    entries = [_pack_entry(service, each) for service, each in services.items()]
    entries.sort(key=lambda entry: -entry[1])
    while len(msgpack.packb(entries)) > MAX_REPORT_BYTES:
        entries.pop()
    return entries


def unpack_report(entries):
    """Return the :class:`ServiceReport` of each service.

    :raises ValueError: when it is malformed; :exc:`TypeError` likewise.
    """
    return {service: _unpack_entry(service, *fields) for service, *fields in entries}


def _pack_entry(service, report):
    total, movable, rate = UNKNOWN_DEMAND, 0, 0
    if report.demand is not None:
        total = round(report.demand.total * SLOT_UNITS)
        movable = min(total, round(report.demand.movable * SLOT_UNITS))
        rate = round(report.demand.rate * RATE_UNITS)
    fractions = {
        region: round(fraction * FRACTION_UNITS)
        for region, fraction in report.fractions.items()
    }
    speed_seconds = int(report.speed_seconds * SECOND_UNITS)
    return [service, total, movable, rate, speed_seconds, fractions]


def _unpack_entry(service, total, movable, rate, speed_seconds, fractions):
    if not isinstance(service, str):
        raise ValueError(f"service {service!r}")
    if total != UNKNOWN_DEMAND and not 0 <= movable <= total < float("inf"):
        raise ValueError(f"demand for {service}: {total!r}, {movable!r}")
    if not 0 <= rate < float("inf"):
        raise ValueError(f"rate of {service}: {rate!r}")
    if not 0 <= speed_seconds < float("inf"):
        raise ValueError(f"speed reports for {service}: {speed_seconds!r}")
    if not isinstance(fractions, dict) or not all(
        isinstance(region, str) and 0 <= each <= FRACTION_UNITS
        for region, each in fractions.items()
    ):
        raise ValueError(f"fractions for {service}: {fractions!r}")
    demand = Demand(total / SLOT_UNITS, movable / SLOT_UNITS, rate / RATE_UNITS)
    return ServiceReport(
        None if total == UNKNOWN_DEMAND else demand,
        {region: each / FRACTION_UNITS for region, each in fractions.items()},
        speed_seconds / SECOND_UNITS,
    )
