"""Metrics of a VM that steers requests, in the Prometheus text format."""

from bisect import bisect_left

#: Upper bounds of the histogram buckets, in seconds.
LATENCY_BUCKETS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0)


class SteeringMetrics:
    """Counts finished requests; reads gauges when the metrics are scraped.

    ``prometheus_client`` is imported on the first scrape, to keep the start fast.

    :param read_gauges: returns the current gauge values by name.
    :param read_regions: yields the service, region, demand, usable slots and overflow
        fraction of each service and region; see :meth:`RegionalDemand.gauges`.
    :param shares: the :class:`WorkspaceShares`; ``None`` if slots are not divided among
        workspaces.
    """

    def __init__(self, read_gauges, read_regions=tuple, shares=None):
        self._read_gauges = read_gauges
        self._read_regions = read_regions
        self._shares = shares
        self._requests = {}
        self._workspace_requests = {}
        self._latencies = {}

    def count(self, route, result, seconds):
        """Count a finished request.

        :param seconds: time from the request head to the final response.
        """
        key = route, result
        self._requests[key] = self._requests.get(key, 0) + 1
        latencies = self._latencies.get(route)
        if latencies is None:
            latencies = self._latencies[route] = LatencyHistogram()
        latencies.observe(seconds)

    def count_workspace(self, workspace, result):
        """Count a finished request of a workspace.

        The names are those of the configuration, which bounds the number of labels.
        """
        key = workspace, result
        self._workspace_requests[key] = self._workspace_requests.get(key, 0) + 1

    def collect(self):
        """Yield the metric families; called by the Prometheus registry."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        requests = CounterMetricFamily(
            "heathercleat_steered_requests",
            "Requests by route and result",
            labels=("route", "result"),
        )
        for key, number in self._requests.items():
            requests.add_metric(key, number)
        yield requests
        by_workspace = CounterMetricFamily(
            "heathercleat_workspace_requests",
            "Requests by workspace and result",
            labels=("workspace", "result"),
        )
        for key, number in self._workspace_requests.items():
            by_workspace.add_metric(key, number)
        yield by_workspace
        yield from self._share_families()
        seconds = HistogramMetricFamily(
            "heathercleat_steered_seconds",
            "Seconds from the head of a request to its final answer",
            labels=("route",),
        )
        for route, latencies in self._latencies.items():
            seconds.add_metric((route,), latencies.buckets(), latencies.sum)
        yield seconds
        state = GaugeMetricFamily(
            "heathercleat_steering_state",
            "Slots, members, versions and ages of beliefs",
            labels=("name",),
        )
        for name, value in self._read_gauges().items():
            state.add_metric((name,), value)
        yield state
        yield from self._region_gauges()

    def _region_gauges(self):
        """Yield the metric families by service and region."""
        from prometheus_client.core import GaugeMetricFamily

        labels = ("service", "region")
        families = (
            GaugeMetricFamily(
                "heathercleat_region_demand_slots",
                "Slots that the requests of a region's clients need",
                labels=labels,
            ),
            GaugeMetricFamily(
                "heathercleat_region_usable_slots",
                "Usable slots of a region's targets",
                labels=labels,
            ),
            GaugeMetricFamily(
                "heathercleat_region_overflow",
                "Fraction of a region's objects that other regions serve",
                labels=labels,
            ),
        )
        for service, region, *values in self._read_regions():
            for family, value in zip(families, values, strict=True):
                family.add_metric((service, region), value)
        yield from families

    def _share_families(self):
        """Yield the metric families of :class:`WorkspaceShares`."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        slots = GaugeMetricFamily(
            "heathercleat_workspace_slots",
            "Slots of the region by workspace: held, waited for, share",
            labels=("workspace", "service", "rank", "name"),
        )
        refusals = CounterMetricFamily(
            "heathercleat_workspace_share_refusals",
            "Requests refused since their workspace was over its share",
            labels=("workspace", "service"),
        )
        shares = self._shares
        for workspace, service, rank, *values in shares.usages() if shares else ():
            names = ("held", "waiting", "share")
            for name, value in zip(names, values, strict=True):
                slots.add_metric((workspace or "", service, str(rank), name), value)
        for key, count in shares.refusal_counts.items() if shares else ():
            service, workspace = key
            refusals.add_metric((workspace or "", service), count)
        yield slots
        yield refusals

    def render(self):
        """Return the metrics page as bytes."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)


class LatencyHistogram:
    """A histogram of latencies in seconds over :data:`LATENCY_BUCKETS`."""

    __slots__ = ("_counts", "_sum")

    def __init__(self):
        self._counts = [0] * (len(LATENCY_BUCKETS) + 1)
        self._sum = 0.0

    @property
    def sum(self):
        """Return the sum of all observations, in seconds."""
        return self._sum

    def observe(self, seconds):
        """Add one observation."""
        self._counts[bisect_left(LATENCY_BUCKETS, seconds)] += 1
        self._sum += seconds

    def buckets(self):
        """Return ``(upper bound as text, cumulative count)`` of each bucket."""
        bounds = [*map(str, LATENCY_BUCKETS), "+Inf"]
        total, buckets = 0, []
        for bound, count in zip(bounds, self._counts, strict=True):
            total += count
            buckets.append((bound, total))
        return buckets
