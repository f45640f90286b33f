"""What the clients of each region lose, from what their VMs report."""

#: Seconds for which the means are kept: a third of the interval of heartbeats.
CACHE_TTL_SECONDS = 0.05


class RegionLossRates:
    """The mean loss of the clients of each region's VMs, by service.

    :param members: the live VMs.
    :param rooms: what other VMs' clients lose, a :class:`CapacityReports`.
    :param pressure: what this VM's clients lose, a :class:`LossRates`.
    """

    def __init__(self, members, rooms, pressure, clock):
        self._members = members
        self._rooms = rooms
        self._pressure = pressure
        self._clock = clock
        self._means = {}
        self._until = 0.0

    def of(self, region, service):
        """Return the part of their worth that clients lose; 1 where no VM reports."""
        now = self._clock.now()
        if now >= self._until:
            self._means.clear()
            self._until = now + CACHE_TTL_SECONDS
        means = self._means.get(service)
        if means is None:
            means = self._means[service] = self._compute(service)
        return means.get(region, 1.0)

    def _compute(self, service):
        regions = {}
        for member in self._members.serving():
            loss_rate = self._loss(member.vm, service)
            if loss_rate is not None:
                regions.setdefault(member.region, []).append(loss_rate)
        return {region: sum(each) / len(each) for region, each in regions.items()}

    def _loss(self, vm, service):
        if vm == self._members.own.vm:
            return self._pressure.rate(service)
        return self._rooms.loss_rate(vm, service)
