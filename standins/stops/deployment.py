"""The deployments of the load test: VMs, targets, routes and clients."""

from standins.stops.records import ONCE, SAFE, UPLOAD

SERVICE = "s1"
SLOTS = 10
GRACE_SECONDS = 6.0
#: Deadline and latency objective of a request.
DEADLINE_SECONDS = 8.0
LATENCY_OBJECTIVE_SECONDS = 4.0
#: Seconds of work for an object that a target has cached, and the size of the cache.
CACHED_WORK_SECONDS = 1.0
CACHED_OBJECTS = 24
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 1 << 20,
    "headerTimeout": "3000ms",
    "idleTimeout": "15000ms",
}
#: Kind of the route in the configuration, by kind of request.
ROUTE_KINDS = {SAFE: "safe", ONCE: "unsafe", UPLOAD: "upload"}


class Size:
    """The size of a deployment and its load.

    :param domains: ``{failure domain: region}``.
    :param vms: VMs in each failure domain.
    :param targets: targets in each failure domain.
    :param pipelining: number of pipelining clients.
    :param persistent: number of other clients with a persistent connection.
    :param single: requests per second with a connection of their own.
    :param objects: number of objects that are requested repeatedly.
    """

    __slots__ = (
        "domains",
        "vms",
        "targets",
        "pipelining",
        "persistent",
        "single",
        "objects",
    )

    def __init__(self, domains, vms, targets, pipelining, persistent, single, objects):
        self.domains = domains
        self.vms = vms
        self.targets = targets
        self.pipelining = pipelining
        self.persistent = persistent
        self.single = single
        self.objects = objects

    def vm_counts(self):
        """Return ``{failure domain: number of VMs}``."""
        return dict.fromkeys(self.domains, self.vms)

    def target_specs(self):
        """Return ``{id: (service, failure domain, slots)}``."""
        return {
            f"t-{domain}-{number}": (SERVICE, domain, SLOTS)
            for domain in self.domains
            for number in range(1, self.targets + 1)
        }


SMALL = Size(
    {"north-a": "north", "north-b": "north"},
    vms=2,
    targets=4,
    pipelining=6,
    persistent=8,
    single=10.0,
    objects=24,
)
FULL = Size(
    {"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south"},
    vms=3,
    targets=8,
    pipelining=12,
    persistent=32,
    single=40.0,
    objects=96,
)
SIZES = {"small": SMALL, "full": FULL}


def configuration():
    """Return the configuration document."""
    paths = [_route(kind, name) for kind, name in ROUTE_KINDS.items()]
    return {
        "version": "r1",
        "services": [{"name": SERVICE, "maxConnections": 400}],
        "limits": LIMITS,
        "hosts": [{"host": "a.example", "paths": paths}],
    }


def _route(kind, route_kind):
    return {
        "name": kind.name,
        "prefix": kind.prefix,
        "kind": route_kind,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "sessionAffinity": True,
        "allowedRegions": [],
        "timeout": f"{DEADLINE_SECONDS}s",
        "targetLatency": f"{LATENCY_OBJECTIVE_SECONDS}s",
    }
