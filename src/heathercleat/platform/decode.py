"""Decoding and validation of the operators' table."""

from heathercleat.platform.fields import MAX_COUNT, parse_object
from heathercleat.platform.units import parse_version
from heathercleat.platform.wire_names import CONFIG_KEY, EVACUATE_PREFIX
from heathercleat.steering.version.routing import (
    Limits,
    RequestKind,
    Route,
    RoutingTable,
    Service,
    ServiceShare,
)
from heathercleat.steering.version.workspaces import Workspace, WorkspaceIndex

#: Defaults of a route without its own values.
DEFAULT_TIMEOUT = "60s"
DEFAULT_LATENCY_OBJECTIVE = "1s"
#: The kind of a route by its name.
_KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "upload": RequestKind.UPLOAD,
    # Large responses; the requests are safe.
    "download": RequestKind.SAFE,
}


def find_configuration(rows):
    """Return the :class:`StoreRow` with the configuration, or ``None``.

    :param rows: each :class:`StoreRow` of the operators' table.
    """
    return next((row for row in rows if row.key == CONFIG_KEY), None)


def decode_evacuations(rows):
    """Return the names of the failure domains whose evacuation has a row."""
    return frozenset(
        row.key.removeprefix(EVACUATE_PREFIX)
        for row in rows
        if row.key.startswith(EVACUATE_PREFIX)
    )


def decode_config(value):
    """Return the :class:`RoutingTable` of an operators' configuration.

    :param value: the row's value, JSON as bytes.
    :raises ValueError: when it is malformed; names the field, its value and what it has
        to be.
    """
    fields = parse_object(value)
    return RoutingTable(
        version=_decode_version(fields),
        routes=list(_decode_routes(fields)),
        services=_decode_services(fields),
        limits=_decode_limits(fields.object("limits")),
        workspaces=_decode_workspaces(fields),
        document=value,
    )


def _decode_version(fields):
    text = fields.text("version")
    try:
        version = parse_version(text)
    except ValueError:
        version = MAX_COUNT
    if version >= MAX_COUNT:
        raise fields.error("version", f"a version such as r12, below r{MAX_COUNT}")
    return version


def _decode_services(fields):
    services = {}
    for each in fields.objects("services"):
        name = each.text("name")
        if name in services:
            raise each.error("name", "unique among the services")
        # Requests per second that a target can handle while its cache is cold.
        services[name] = Service(name, each.quantity("coldPerS", default=0.0) or None)
    return services


def _decode_routes(fields):
    """Yield each :class:`Route`."""
    hosts, names = set(), set()
    for each in fields.objects("hosts"):
        # Names of hosts do not depend on case.
        host = each.text("host").lower()
        if host in hosts:
            raise each.error("host", "unique among the hosts")
        hosts.add(host)
        prefixes = set()
        for path in each.objects("paths"):
            route = _decode_route(host, path)
            if route.name in names:
                raise path.error("name", "unique among the routes")
            if route.prefix in prefixes:
                raise path.error("prefix", "unique among the routes of its host")
            names.add(route.name)
            prefixes.add(route.prefix)
            yield route


def _decode_route(host, fields):
    return Route(
        name=fields.text("name"),
        host=host,
        prefix=_decode_prefix(fields),
        kind=_decode_kind(fields),
        timeout=fields.duration("timeout", default=DEFAULT_TIMEOUT),
        latency_objective=fields.duration(
            "targetLatency", default=DEFAULT_LATENCY_OBJECTIVE
        ),
        priority=fields.integer("priority", default=0),
        max_attempts=fields.integer("maxAttempts", minimum=1, default=1),
        sticky=fields.flag("sessionAffinity"),
        regions=frozenset(fields.texts("allowedRegions")),
        shares=tuple(_decode_shares(fields)),
        is_public=fields.flag("public"),
    )


def _decode_prefix(fields):
    prefix = fields.text("prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise fields.error("prefix", "a path that begins and ends with a slash")
    return prefix


def _decode_kind(fields):
    kind = _KINDS.get(fields.text("kind"))
    if kind is None:
        raise fields.error("kind", f"one of {', '.join(_KINDS)}")
    return kind


def _decode_shares(fields):
    """Return the :class:`ServiceShare` of each service of a route."""
    split = fields.objects("trafficSplit") if fields.has_value("trafficSplit") else []
    if not split:
        return [ServiceShare(fields.text("service"), 1.0)]
    shares = [
        ServiceShare(each.text("service"), each.quantity("weight")) for each in split
    ]
    if not any(each.weight for each in shares):
        raise fields.error("trafficSplit", "a list with a weight of more than 0")
    return shares


def _decode_limits(fields):
    return Limits(
        header_bytes=fields.integer("maxHeaderBytes", minimum=1),
        body_bytes=fields.integer("maxBodyBytes"),
        header_timeout=fields.duration("headerTimeout"),
        idle_timeout=fields.duration("idleTimeout"),
    )


def _decode_workspaces(fields):
    """Return the :class:`WorkspaceIndex`, or ``None`` if requests need no key."""
    if not fields.has_value("tenants"):
        return None
    workspaces = WorkspaceIndex()
    for each in fields.objects("tenants"):
        keys = [key.encode() for key in each.texts("apiKeys", is_secret=True)]
        workspaces.add(_decode_workspace(each), keys)
    return workspaces


def _decode_workspace(fields):
    name = fields.text("name")
    if not (name.isascii() and name.isprintable()) or name != name.strip():
        raise fields.error("name", "a valid header value")
    return Workspace(
        name,
        # A rate of 0 means that there is no limit.
        rate=fields.quantity("ratePerS", default=0.0) or None,
        burst=fields.quantity("burst", default=0.0),
        priority=fields.integer("priority", default=None),
        regions=frozenset(fields.texts("allowedRegions")),
    )
