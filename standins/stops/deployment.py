"""The deployments of the load: VMs, targets, routes and clients."""

from standins.stops.records import ONCE, SAFE, UPLOAD

SERVICE = "s1"
SLOTS = 10
GRACE_SECONDS = 6.0
#: Seconds that a request has, and within which its answer is in aim.
WAIT_SECONDS = 8.0
AIM_SECONDS = 4.0
#: Seconds that a target works on an object that it remembers, and how many those are.
KNOWN_SECONDS = 1.0
REMEMBERED = 24
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 1 << 20,
    "headerTimeout": "3000ms",
    "idleTimeout": "15000ms",
}
#: The operators' kinds of routes.
ROUTE_KINDS = {SAFE: "safe", ONCE: "unsafe", UPLOAD: "upload"}


class Size:
    """A deployment and its clients.

    :param domains: ``{failure domain: region}``.
    :param vms: VMs in each failure domain.
    :param targets: targets in each failure domain.
    :param ahead: clients that send ahead on one connection.
    :param kept: clients that send one request after another on one connection.
    :param single: requests a second that come on a connection of their own.
    :param objects: number of objects that are asked for again and again.
    """

    __slots__ = ("domains", "vms", "targets", "ahead", "kept", "single", "objects")

    def __init__(self, domains, vms, targets, ahead, kept, single, objects):
        self.domains = domains
        self.vms = vms
        self.targets = targets
        self.ahead = ahead
        self.kept = kept
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
    ahead=6,
    kept=8,
    single=10.0,
    objects=24,
)
FULL = Size(
    {"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south"},
    vms=3,
    targets=8,
    ahead=12,
    kept=32,
    single=40.0,
    objects=96,
)
SIZES = {"small": SMALL, "full": FULL}


def configuration():
    """Return the operators' document."""
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
        "timeout": f"{WAIT_SECONDS}s",
        "targetLatency": f"{AIM_SECONDS}s",
    }
