"""The operators' text as typed records.

Instants are epoch seconds. Limits of a region, a link and a shift are divided over the
targets in whole slots, so that each target's home can keep its part with a local count
and the parts never add up to more than the operators wrote.
"""

from dataclasses import dataclass, field
from enum import Enum

from heathercleat._jsonc import loads, locate
from heathercleat.errors import Finding, FindingsError
from heathercleat.version.drain_ramp import DrainRamps
from heathercleat.version.hashing import weight
from heathercleat.version.placement import Placement
from heathercleat.version.validation import find_schema_faults, find_semantic_faults

DEFAULT_BODY_LIMIT = 1 << 20
DEFAULT_CONNECTIONS = 400
DEFAULT_QUEUE_LIMIT = 64
DEFAULT_QUEUE_WAIT_MS = 500
DEFAULT_FD_LATENCY_MS = 1.5
DEFAULT_REGION_LATENCY_MS = 50.0


class Semantics(Enum):
    """How often a request may run and whether its body can be sent again."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    UPLOAD = "upload"


class DrainScope(Enum):
    """What a drain empties."""

    TARGET = "target"
    VM = "vm"
    FAILURE_DOMAIN = "failure_domain"


@dataclass(slots=True, frozen=True)
class RequestKind:
    """A kind of request that a service takes.

    ``timeout`` is in seconds, ``body_limit`` in bytes; ``weight`` says how much one
    lost or late request of this kind counts.
    """

    name: str
    method: str
    path: str
    semantics: Semantics
    timeout: float
    weight: int
    body_limit: int

    def matches(self, method, path):
        """Return whether a request with this method and path is of this kind."""
        return self.method == method and path.startswith(self.path)


@dataclass(slots=True, frozen=True)
class ShiftCap:
    """How far spill to a target may rise within ``window`` seconds, in slots."""

    slots: int
    window: float


@dataclass(slots=True, frozen=True)
class Target:
    """One back end of a service, with its parts of the shared limits in slots."""

    name: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    connections: int
    region_share: int
    shift_cap: ShiftCap | None

    @property
    def limit(self):
        """Return the slots that may be in use at once."""
        return min(self.slots, self.region_share)


@dataclass(slots=True, frozen=True)
class Service:
    """One service of the text."""

    name: str
    depends_on: tuple
    warm_up: float
    queue_limit: int
    queue_wait: float
    trust_refusals: bool
    min_slots: int | None
    kinds: tuple
    targets: dict

    @property
    def longest_timeout(self):
        """Return the longest time a request may spend at a target, in seconds."""
        return max(kind.timeout for kind in self.kinds)

    def find_kind(self, method, path):
        """Return the :class:`RequestKind` of a request, or ``None``."""
        for kind in self.kinds:
            if kind.matches(method, path):
                return kind
        return None

    def targets_in(self, failure_domain):
        """Return the targets of the service in one failure domain."""
        return [
            target
            for target in self.targets.values()
            if target.failure_domain == failure_domain
        ]


@dataclass(slots=True, frozen=True)
class Drain:
    """A planned drain from ``at`` on, to ``until`` if it was cancelled (epoch seconds).

    A cancelled drain is kept while callers return.
    """

    id: str
    scope: DrainScope
    name: str
    at: float
    until: float | None = None

    def in_force(self, now):
        """Return whether the drain has begun and was not cancelled."""
        return self.at <= now and (self.until is None or now < self.until)

    def covers(self, target, now):
        """Return whether ``target`` takes no new work at ``now`` for this drain."""
        if not self.in_force(now):
            return False
        if self.scope is DrainScope.TARGET:
            return self.name == target.name
        if self.scope is DrainScope.FAILURE_DOMAIN:
            return self.name == target.failure_domain
        return False


@dataclass(slots=True)
class Text:
    """One version of the operators' text."""

    regions: dict
    services: dict
    drains: dict
    client_blocks: dict
    failure_domains: dict
    fd_latency: float
    region_latency: float
    placement: Placement
    ramps: DrainRamps
    links: dict = field(default_factory=dict)

    def region_of(self, failure_domain):
        """Return the region of a failure domain, or ``None``."""
        return self.failure_domains.get(failure_domain)

    def distance(self, one, other):
        """Return the one-way latency between failure domains in seconds."""
        if one == other:
            return 0.0
        link = self.links.get(frozenset((one, other)))
        if link is not None and link.latency is not None:
            return link.latency
        if self.region_of(one) == self.region_of(other):
            return self.fd_latency
        return self.region_latency

    def nearest(self, domain, others):
        """Return failure domains in the order of their distance from ``domain``."""
        return sorted(others, key=lambda other: (self.distance(domain, other), other))

    def link_limit(self, one, other):
        """Return the slots that may be in use across a link, or ``None``."""
        link = self.links.get(frozenset((one, other)))
        return None if link is None else link.limit

    def link_share(self, limit, target):
        """Return the part of a link limit that is kept at one target, in slots."""
        slots = {
            name: other.slots
            for service in self.services.values()
            for name, other in service.targets.items()
            if other.failure_domain == target.failure_domain
        }
        return _divide(limit, slots).get(target.name, 0)

    def has_region_limit(self, failure_domain):
        """Return whether the region of a failure domain has a limit."""
        region = self.regions.get(self.region_of(failure_domain), {})
        return "limit" in region

    def find_target(self, name):
        """Return the :class:`Target` of a name, or ``None``."""
        for service in self.services.values():
            if name in service.targets:
                return service.targets[name]
        return None

    def find_drain(self, target, now):
        """Return the drain that keeps new work from ``target``, or ``None``."""
        for drain in self.drains.values():
            if drain.covers(target, now):
                return drain
        return None

    def avoided(self, caller, now):
        """Return the failure domains that a caller has left for a drain at ``now``."""
        drains = [
            drain
            for drain in self.drains.values()
            if drain.scope is DrainScope.FAILURE_DOMAIN
        ]
        return self.ramps.avoided(drains, now, caller)

    def find_vm_drain(self, vm, failure_domain, now):
        """Return the drain that takes an entry VM out of look-ups, or ``None``."""
        for drain in self.drains.values():
            if not drain.in_force(now):
                continue
            if drain.scope is DrainScope.VM and drain.name == vm:
                return drain
            if (
                drain.scope is DrainScope.FAILURE_DOMAIN
                and drain.name == failure_domain
            ):
                return drain
        return None


@dataclass(slots=True, frozen=True)
class Link:
    """The link between two failure domains; latency in seconds, limit in slots."""

    latency: float | None
    limit: int | None


def parse_text(source, name="text"):
    """Parse and check the operators' text.

    :param source: JSON with comments.
    :param name: the file name for error messages.
    :raises FindingsError: with every finding, each with its line and column.
    """
    document = loads(source, name)
    faults = list(find_schema_faults(document)) or list(find_semantic_faults(document))
    if faults:
        raise FindingsError(name, _with_places(source, faults))
    return _build(document)


def _with_places(source, faults):
    places = locate(source, [fault.pointer for fault in faults])
    findings = [
        Finding(fault.message, fault.pointer, *places[fault.pointer])
        for fault in faults
    ]
    return sorted(findings, key=lambda finding: (finding.line, finding.column))


def _build(document):
    regions = document["regions"]
    latency = document.get("latency", {})
    services = dict(_services(document))
    return Text(
        regions=regions,
        services=services,
        placement=Placement(services),
        ramps=DrainRamps(services),
        drains={
            id_: Drain(id_, DrainScope(entry["scope"]), entry["name"], entry["at"])
            for id_, entry in document.get("drains", {}).items()
        },
        client_blocks=document.get("client_blocks", {}),
        failure_domains={
            domain: region
            for region, entry in regions.items()
            for domain in entry["failure_domains"]
        },
        fd_latency=latency.get("failure_domains_ms", DEFAULT_FD_LATENCY_MS) / 1000,
        region_latency=latency.get("regions_ms", DEFAULT_REGION_LATENCY_MS) / 1000,
        links={
            frozenset(entry["between"]): Link(
                _seconds(entry.get("one_way_ms")), entry.get("limit")
            )
            for entry in document.get("links", [])
        },
    )


def _services(document):
    region_shares = _region_shares(document)
    for name, entry in document["services"].items():
        queue = entry.get("queue", {})
        yield (
            name,
            Service(
                name=name,
                depends_on=tuple(entry.get("depends_on", ())),
                warm_up=entry.get("warm_up_s", 0),
                queue_limit=queue.get("limit", DEFAULT_QUEUE_LIMIT),
                queue_wait=queue.get("wait_ms", DEFAULT_QUEUE_WAIT_MS) / 1000,
                min_slots=entry.get("min_slots"),
                trust_refusals=entry.get("trust_refusals", False),
                kinds=tuple(_kinds(entry["requests"])),
                targets=dict(_targets(name, entry, region_shares)),
            ),
        )


def _kinds(entries):
    for entry in entries:
        yield RequestKind(
            name=entry["kind"],
            method=entry["method"],
            path=entry["path"],
            semantics=Semantics(entry["run"]),
            timeout=entry["timeout_ms"] / 1000,
            weight=entry.get("weight", 1),
            body_limit=entry.get("body_limit", DEFAULT_BODY_LIMIT),
        )


def _targets(service, entry, region_shares):
    shift = entry.get("shift_cap")
    shares = _divide(
        shift["slots"] if shift else 0,
        {name: target["slots"] for name, target in entry["targets"].items()},
    )
    for name, target in entry["targets"].items():
        host, _, port = target["address"].rpartition(":")
        yield (
            name,
            Target(
                name=name,
                service=service,
                host=host,
                port=int(port),
                failure_domain=target["failure_domain"],
                slots=target["slots"],
                connections=target.get("connections", DEFAULT_CONNECTIONS),
                region_share=region_shares.get(name, target["slots"]),
                shift_cap=ShiftCap(shares[name], shift["window_s"]) if shift else None,
            ),
        )


def _region_shares(document):
    shares = {}
    for entry in document["regions"].values():
        if "limit" not in entry:
            continue
        slots = {
            name: target["slots"]
            for service in document["services"].values()
            for name, target in service["targets"].items()
            if target["failure_domain"] in entry["failure_domains"]
        }
        shares.update(_divide(entry["limit"], slots))
    return shares


def _divide(total, weights):
    """Divide whole slots by weight, with the largest remainders rounded up."""
    whole = sum(weights.values())
    if not whole:
        return dict.fromkeys(weights, 0)
    shares = {name: total * part // whole for name, part in weights.items()}
    left = total - sum(shares.values())
    order = sorted(
        weights,
        key=lambda name: (total * weights[name] % whole, weight("share", name)),
        reverse=True,
    )
    for name in order[:left]:
        shares[name] += 1
    return shares


def _seconds(milliseconds):
    return None if milliseconds is None else milliseconds / 1000
