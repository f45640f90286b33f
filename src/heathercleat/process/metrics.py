"""Metrics of one process, in the Prometheus text format."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

LATENCY_BUCKETS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    60.0,
)


class Metrics:
    """Counters that are updated by events, and gauges that are read on each scrape.

    :param vm: the process whose state the gauges report.
    """

    def __init__(self, vm):
        self._vm = vm
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self._requests = self._counter(
            "requests", "Requests by result", ("service", "kind", "result", "run")
        )
        self._late = self._counter(
            "late_requests",
            "Requests answered after their deadline",
            ("service", "kind"),
        )
        self._latency = Histogram(
            "heathercleat_request_seconds",
            "Seconds from the request head to the end of the answer",
            ("service", "kind"),
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._lookups = self._counter("lookups", "Look-ups answered", ("service",))
        self._free = self._gauge("free_slots", "Free slots homed here", ("service",))
        self._used = self._gauge("used_slots", "Used slots homed here", ("service",))
        self._foreign = self._gauge(
            "foreign_slots", "Slots leased to other failure domains", ("service",)
        )
        self._ready = self._gauge(
            "ready_share",
            "Share of the callers that the failure domain serves",
            ("service",),
        )
        self._slow = self._gauge(
            "slow_targets", "Slow targets homed here", ("service",)
        )
        self._waiting = self._gauge("waiting_requests", "Queue length", ("service",))
        self._version = self._gauge("version", "Version in force")
        self._control_bytes = self._gauge(
            "control_bytes", "Bytes between VMs for control"
        )
        self._dropped = self._gauge("dropped_log_lines", "Log lines dropped")
        self._live = self._gauge("live_vms", "Live VMs of the failure domain")
        self._may_act = self._gauge("may_act", "Whether this VM may act as a home")
        self._platform = self._gauge("platform_answers", "Whether the platform answers")

    def count_request(self, call, result, run, seconds, late):
        """Count one finished request.

        :param seconds: latency of the request.
        :param late: whether it finished after its deadline.
        """
        service, kind = call.service.name, call.kind.name
        self._requests.labels(service, kind, result, run).inc()
        self._latency.labels(service, kind).observe(seconds)
        if late:
            self._late.labels(service, kind).inc()

    def count_lookup(self, service_name):
        """Count one answered look-up."""
        self._lookups.labels(service_name).inc()

    def render(self):
        """Read the gauges and return the exposition format as bytes."""
        self._read_gauges()
        return generate_latest(self._registry)

    def _read_gauges(self):
        vm = self._vm
        now = vm.clock.now()
        for name, service in vm.text.services.items() if vm.text else ():
            entries = vm.ledger.of_service(name)
            self._free.labels(name).set(sum(entry.free(now) for entry in entries))
            self._used.labels(name).set(sum(entry.used(now) for entry in entries))
            self._foreign.labels(name).set(sum(entry.foreign(now) for entry in entries))
            self._ready.labels(name).set(vm.readiness.ready_share(service))
            self._slow.labels(name).set(sum(map(vm.health.is_slow, entries)))
            self._waiting.labels(name).set(vm.admission.waiting_count(name))
        self._version.set(vm.version)
        self._control_bytes.set(vm.control_bytes)
        self._dropped.set(vm.dropped_log_lines)
        self._live.set(len(vm.membership.live_names()))
        self._may_act.set(vm.membership.may_act_as_home())
        self._platform.set(vm.configuration.is_platform_available)

    def _counter(self, name, description, labels):
        return Counter(
            f"heathercleat_{name}", description, labels, registry=self._registry
        )

    def _gauge(self, name, description, labels=()):
        return Gauge(
            f"heathercleat_{name}", description, labels, registry=self._registry
        )
