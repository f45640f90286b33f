"""Validation of the operators' configuration.

The checks yield faults instead of raising errors, so that all are reported together.
"""

from collections import Counter
from dataclasses import dataclass
from ipaddress import ip_network

from heathercleat.version.schema import text_validator


@dataclass(slots=True, frozen=True)
class Fault:
    """An invalid value, by its JSON pointer."""

    pointer: str
    message: str


def find_schema_faults(document):
    """Yield a fault for each value that violates the JSON schema."""
    for error in text_validator().iter_errors(document):
        yield Fault(_pointer(*error.absolute_path), error.message)


def find_semantic_faults(document):
    """Yield a fault for each inconsistency in a document that fits the schema."""
    for check in _CHECKS:
        yield from check(document)


def _domains(document):
    return [
        domain
        for region in document["regions"].values()
        for domain in region["failure_domains"]
    ]


def _targets(document):
    for service_name, service in document["services"].items():
        for name, target in service["targets"].items():
            yield _pointer("services", service_name, "targets", name), name, target


def _check_domains(document):
    for domain, count in Counter(_domains(document)).items():
        if count > 1:
            yield Fault(
                "/regions", f'failure domain "{domain}" is in {count} regions; keep one'
            )


def _check_targets(document):
    domains = set(_domains(document))
    names = Counter(name for _, name, _ in _targets(document))
    addresses = Counter(target["address"] for _, _, target in _targets(document))
    for pointer, name, target in _targets(document):
        domain, address = target["failure_domain"], target["address"]
        if domain not in domains:
            yield Fault(
                f"{pointer}/failure_domain",
                f'unknown failure domain "{domain}"; list it under regions',
            )
        if not target["slots"]:
            yield Fault(
                f"{pointer}/slots",
                f'target "{name}" has no slots; give one or more, or plan a drain',
            )
        if names[name] > 1:
            yield Fault(
                pointer, f'target name "{name}" is used {names[name]} times; rename one'
            )
        if addresses[address] > 1:
            yield Fault(
                f"{pointer}/address",
                f'address "{address}" belongs to {addresses[address]} targets',
            )
        if not _is_address(address):
            yield Fault(
                f"{pointer}/address", f'"{address}" is not an IP address and port'
            )


def _is_address(address):
    host, _, port = address.rpartition(":")
    numbers = [int(part) for part in host.split(".")]
    return all(number <= 255 for number in numbers) and 0 < int(port) <= 65535


def _check_dependencies(document):
    services = document["services"]
    for name, service in services.items():
        for index, dependency in enumerate(service.get("depends_on", ())):
            pointer = _pointer("services", name, "depends_on", index)
            if dependency not in services:
                yield Fault(pointer, f'unknown dependency "{dependency}"')
            elif name in _reachable(services, dependency):
                yield Fault(pointer, f'"{name}" and "{dependency}" depend in a cycle')


def _reachable(services, start):
    """Return a service and all its direct and indirect dependencies."""
    seen, pending = set(), [start]
    while pending:
        name = pending.pop()
        if name in seen or name not in services:
            continue
        seen.add(name)
        pending.extend(services[name].get("depends_on", ()))
    return seen


def _check_kinds(document):
    for name, service in document["services"].items():
        seen = {}
        for index, kind in enumerate(service["requests"]):
            pointer = _pointer("services", name, "requests", index)
            if kind["run"] == "idempotent" and kind["method"] in ("POST", "PATCH"):
                yield Fault(
                    f"{pointer}/run", f'{kind["method"]} cannot be "idempotent"'
                )
            for earlier, path in seen.items():
                method = earlier[0]
                if method == kind["method"] and kind["path"].startswith(path):
                    yield Fault(
                        f"{pointer}/path", f'"{path}" above matches all these requests'
                    )
            seen[kind["method"], kind["path"]] = kind["path"]


def _check_shift_caps(document):
    for name, service in document["services"].items():
        cap = service.get("shift_cap")
        pointer = _pointer("services", name, "shift_cap")
        if cap and not cap["window_s"]:
            yield Fault(f"{pointer}/window_s", "a window of 0 s has no effect")
        slots = sum(target["slots"] for target in service["targets"].values())
        if cap and cap["slots"] > slots:
            yield Fault(
                f"{pointer}/slots",
                f"a cap of {cap['slots']} slots exceeds the {slots} of the service",
            )


def _check_links(document):
    domains = set(_domains(document))
    for index, link in enumerate(document.get("links", ())):
        for position, domain in enumerate(link["between"]):
            if domain not in domains:
                yield Fault(
                    _pointer("links", index, "between", position),
                    f'unknown failure domain "{domain}"; list it under regions',
                )


def _check_blocks(document):
    domains = set(_domains(document))
    for block, domain in document.get("client_blocks", {}).items():
        pointer = _pointer("client_blocks", block)
        if domain not in domains:
            yield Fault(pointer, f'unknown failure domain "{domain}"')
        try:
            ip_network(block)
        except ValueError as error:
            yield Fault(pointer, f"{error}; write a block as 10.0.0.0/8")


def _check_drains(document):
    targets = {name for _, name, _ in _targets(document)}
    domains = set(_domains(document))
    known = {"target": targets, "failure_domain": domains}
    for id_, drain in document.get("drains", {}).items():
        names = known.get(drain["scope"])
        if names is not None and drain["name"] not in names:
            yield Fault(
                _pointer("drains", id_, "name"),
                f'unknown {drain["scope"]} "{drain["name"]}"',
            )


_CHECKS = (
    _check_domains,
    _check_targets,
    _check_dependencies,
    _check_kinds,
    _check_shift_caps,
    _check_links,
    _check_blocks,
    _check_drains,
)


def _pointer(*parts):
    escaped = (str(part).replace("~", "~0").replace("/", "~1") for part in parts)
    return "".join(f"/{part}" for part in escaped)
