"""The operators' configuration as typed records.

Instants are in epoch seconds. Limits of regions, links and shift caps are divided over
the targets in whole slots, so that the home of each target can enforce its share with a
local counter. The sum of the shares never exceeds the configured limit.
"""

from dataclasses import dataclass, field
from enum import Enum

from heathercleat._jsonc import loads, locate
from heathercleat.errors import Finding, FindingsError
from heathercleat.version.drain_ramp import DrainRamps
from heathercleat.version.hashing import rendezvous_weight
from heathercleat.version.placement import Placement
from heathercleat.version.validation import find_schema_faults, find_semantic_faults

DEFAULT_BODY_LIMIT_BYTES = 1 << 20
DEFAULT_CONNECTIONS = 400
DEFAULT_QUEUE_LIMIT = 64
DEFAULT_QUEUE_WAIT_MS = 500
DEFAULT_DOMAIN_LATENCY_MS = 1.5
DEFAULT_REGION_LATENCY_MS = 50.0


class DeliverySemantics(Enum):
    """Delivery semantics of a request, and whether its body can be resent."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    UPLOAD = "upload"


class DrainScope(Enum):
    """What the name in a drain refers to."""

    TARGET = "target"
    VM = "vm"
    FAILURE_DOMAIN = "failure_domain"


@dataclass(slots=True, frozen=True)
class RequestKind:
    """A type of request that a service accepts.

    ``timeout`` is in seconds and ``body_limit`` in bytes. ``weight`` is the relative
    cost of a lost or late request of this kind.
    """

    name: str
    method: str
    path: str
    semantics: DeliverySemantics
    timeout: float
    weight: int
    body_limit: int

    def matches(self, method, path):
        """Return whether a request has the method and path prefix of this kind."""
        return self.method == method and path.startswith(self.path)


@dataclass(slots=True, frozen=True)
class ShiftCap:
    """Limit on the rise of a target's use by other failure domains.

    Within ``window`` seconds, the number of slots that they use may rise by ``slots``.
    """

    slots: int
    window: float


@dataclass(slots=True, frozen=True)
class Target:
    """A back end of a service, with its shares of the limits in slots."""

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
        """Return the maximum number of slots in use at once."""
        return min(self.slots, self.region_share)


@dataclass(slots=True, frozen=True)
class Service:
    """A service; durations are in seconds."""

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
        """Return the longest timeout of any request kind, in seconds."""
        return max(kind.timeout for kind in self.kinds)

    def find_kind(self, method, path):
        """Return the first :class:`RequestKind` that matches a request, or ``None``."""
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
    """A planned drain; ``drained_name`` names a target, VM or failure domain.

    ``starts_at`` and ``cancelled_at`` are epoch seconds; ``cancelled_at`` is ``None``
    unless the drain was cancelled. A cancelled drain is kept until all callers have
    moved back.
    """

    id: str
    scope: DrainScope
    drained_name: str
    starts_at: float
    cancelled_at: float | None = None

    def in_force(self, now):
        """Return whether the drain has begun and is not cancelled at ``now``."""
        return self.starts_at <= now and (
            self.cancelled_at is None or now < self.cancelled_at
        )

    def covers(self, target, now):
        """Return whether the drain keeps new requests from ``target`` at ``now``."""
        if not self.in_force(now):
            return False
        if self.scope is DrainScope.TARGET:
            return self.drained_name == target.name
        if self.scope is DrainScope.FAILURE_DOMAIN:
            return self.drained_name == target.failure_domain
        return False


@dataclass(slots=True)
class Text:
    """A parsed version of the operators' configuration; latencies are in seconds."""

    regions: dict
    services: dict
    drains: dict
    client_blocks: dict
    failure_domains: dict
    latency_within_region: float
    latency_between_regions: float
    placement: Placement
    ramps: DrainRamps
    links: dict = field(default_factory=dict)

    def region_of(self, failure_domain):
        """Return the region of a failure domain, or ``None``."""
        return self.failure_domains.get(failure_domain)

    def latency_between(self, one, other):
        """Return the one-way latency between two failure domains, in seconds."""
        if one == other:
            return 0.0
        link = self.links.get(frozenset((one, other)))
        if link is not None and link.latency is not None:
            return link.latency
        if self.region_of(one) == self.region_of(other):
            return self.latency_within_region
        return self.latency_between_regions

    def nearest(self, domain, others):
        """Return failure domains in ascending order of latency from ``domain``."""
        return sorted(
            others, key=lambda other: (self.latency_between(domain, other), other)
        )

    def link_limit(self, one, other):
        """Return the maximum number of slots in use across a link, or ``None``."""
        link = self.links.get(frozenset((one, other)))
        return None if link is None else link.limit

    def link_share(self, limit, target):
        """Return a target's share of a link limit, in slots."""
        slots = {
            name: other.slots
            for service in self.services.values()
            for name, other in service.targets.items()
            if other.failure_domain == target.failure_domain
        }
        return _divide_slots(limit, slots).get(target.name, 0)

    def has_region_limit(self, failure_domain):
        """Return whether the region of a failure domain has a limit."""
        region = self.regions.get(self.region_of(failure_domain), {})
        return "limit" in region

    def find_target(self, name):
        """Return the :class:`Target` with this name, or ``None``."""
        for service in self.services.values():
            if name in service.targets:
                return service.targets[name]
        return None

    def find_drain(self, target, now):
        """Return the drain that keeps new requests from ``target``, or ``None``."""
        for drain in self.drains.values():
            if drain.covers(target, now):
                return drain
        return None

    def avoided_domains(self, caller, now):
        """Return the drained failure domains that a caller has moved away from."""
        drains = [
            drain
            for drain in self.drains.values()
            if drain.scope is DrainScope.FAILURE_DOMAIN
        ]
        return self.ramps.avoided_domains(drains, now, caller)

    def drained_vms(self, now):
        """Return the names of the entry VMs with a drain of their own in force.

        They are homes of no targets, unlike the VMs of a drained failure domain.
        """
        return {
            drain.drained_name
            for drain in self.drains.values()
            if drain.scope is DrainScope.VM and drain.in_force(now)
        }

    def find_vm_drain(self, vm, failure_domain, now):
        """Return the drain that removes an entry VM from look-ups, or ``None``."""
        for drain in self.drains.values():
            if not drain.in_force(now):
                continue
            if drain.scope is DrainScope.VM and drain.drained_name == vm:
                return drain
            if (
                drain.scope is DrainScope.FAILURE_DOMAIN
                and drain.drained_name == failure_domain
            ):
                return drain
        return None


@dataclass(slots=True, frozen=True)
class Link:
    """Link between two failure domains; ``latency`` in seconds, ``limit`` in slots."""

    latency: float | None
    limit: int | None


def parse_text(source, name="text"):
    """Parse and validate the operators' configuration.

    :param source: JSON with comments.
    :param name: the file name in error messages.
    :raises FindingsError: with all findings and their positions.
    """
    document = loads(source, name)
    faults = list(find_schema_faults(document)) or list(find_semantic_faults(document))
    if faults:
        raise FindingsError(name, _locate_faults(source, faults))
    return _build_configuration(document)


def _locate_faults(source, faults):
    positions = locate(source, [fault.pointer for fault in faults])
    findings = [
        Finding(fault.message, fault.pointer, *positions[fault.pointer])
        for fault in faults
    ]
    return sorted(findings, key=lambda finding: (finding.line, finding.column))


def _build_configuration(document):
    regions = document["regions"]
    latency = document.get("latency", {})
    services = dict(_build_services(document))
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
        latency_within_region=latency.get(
            "failure_domains_ms", DEFAULT_DOMAIN_LATENCY_MS
        )
        / 1000,
        latency_between_regions=latency.get("regions_ms", DEFAULT_REGION_LATENCY_MS)
        / 1000,
        links={
            frozenset(entry["between"]): Link(
                _seconds(entry.get("one_way_ms")), entry.get("limit")
            )
            for entry in document.get("links", [])
        },
    )


def _build_services(document):
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
                kinds=tuple(_build_kinds(entry["requests"])),
                targets=dict(_build_targets(name, entry, region_shares)),
            ),
        )


def _build_kinds(entries):
    for entry in entries:
        yield RequestKind(
            name=entry["kind"],
            method=entry["method"],
            path=entry["path"],
            semantics=DeliverySemantics(entry["run"]),
            timeout=entry["timeout_ms"] / 1000,
            weight=entry.get("weight", 1),
            body_limit=entry.get("body_limit", DEFAULT_BODY_LIMIT_BYTES),
        )


def _build_targets(service, entry, region_shares):
    shift = entry.get("shift_cap")
    shares = _divide_slots(
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
        shares.update(_divide_slots(entry["limit"], slots))
    return shares


def _divide_slots(total, weights):
    """Divide ``total`` slots in proportion to weights (largest remainder method)."""
    total_weight = sum(weights.values())
    if not total_weight:
        return dict.fromkeys(weights, 0)
    shares = {
        name: total * target_slots // total_weight
        for name, target_slots in weights.items()
    }
    unassigned = total - sum(shares.values())
    by_remainder = sorted(
        weights,
        key=lambda name: (
            total * weights[name] % total_weight,
            rendezvous_weight("share", name),
        ),
        reverse=True,
    )
    for name in by_remainder[:unassigned]:
        shares[name] += 1
    return shares


def _seconds(milliseconds):
    return None if milliseconds is None else milliseconds / 1000
