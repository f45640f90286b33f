"""Mean loss rate of the client requests of each region, as reported by its VMs.

A refused request counts as a full loss, a late response as a partial one.
"""

#: Seconds for which the means are cached; a third of the heartbeat interval.
CACHE_TTL_SECONDS = 0.05


class RegionLossRates:
    """The mean loss rate of the VMs of each region, by service.

    :param members: the live VMs.
    :param reports: the :class:`CapacityReports` with the loss rates of other VMs.
    :param own_loss_rates: the :class:`LossRates` of this VM.
    """

    def __init__(self, members, reports, own_loss_rates, clock):
        self._members = members
        self._reports = reports
        self._own_loss_rates = own_loss_rates
        self._clock = clock
        self._means = {}
        self._means_expire_at = 0.0

    def loss_rate(self, region, service):
        """Return the loss rate of a region, 0 to 1; 1 if no VM reports it."""
        now = self._clock.now()
        if now >= self._means_expire_at:
            self._means.clear()
            self._means_expire_at = now + CACHE_TTL_SECONDS
        means = self._means.get(service)
        if means is None:
            means = self._means[service] = self._compute(service)
        return means.get(region, 1.0)

    def _compute(self, service):
        regions = {}
        for member in self._members.serving():
            loss_rate = self._rate_of(member.vm, service)
            if loss_rate is not None:
                regions.setdefault(member.region, []).append(loss_rate)
        return {region: sum(each) / len(each) for region, each in regions.items()}

    def _rate_of(self, vm, service):
        if vm == self._members.own.vm:
            return self._own_loss_rates.rate(service)
        return self._reports.loss_rate(vm, service)
