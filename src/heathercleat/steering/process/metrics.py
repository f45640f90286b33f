"""Metrics of a VM that steers requests, in the text format of Prometheus."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

LATENCY_BUCKETS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0)


class SteeringMetrics:
    """Counters and histograms; gauges are filled in when the page is read.

    :param read_gauges: returns the current values by name of the gauge.
    """

    def __init__(self, read_gauges):
        self._read_gauges = read_gauges
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "heathercleat_steered_requests",
            "Requests by route and result",
            ("route", "result"),
            registry=self._registry,
        )
        self._seconds = Histogram(
            "heathercleat_steered_seconds",
            "Seconds from the head of a request to its final answer",
            ("route",),
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._state = Gauge(
            "heathercleat_steering_state",
            "Slots, members, versions and ages of beliefs",
            ("name",),
            registry=self._registry,
        )
        self._counters = {}

    def count(self, route, result, seconds):
        """Count a finished request."""
        key = route, result
        counters = self._counters.get(key)
        if counters is None:
            counters = self._counters[key] = (
                self._requests.labels(route, result),
                self._seconds.labels(route),
            )
        counters[0].inc()
        counters[1].observe(seconds)

    def render(self):
        """Return the page as bytes."""
        for name, value in self._read_gauges().items():
            self._state.labels(name).set(value)
        return generate_latest(self._registry)
