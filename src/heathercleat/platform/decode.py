"""Decoding of the operators' table."""

import json
from math import isfinite

from heathercleat.platform.units import parse_duration, parse_version
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
    :raises ValueError: when it is malformed.
    """
    try:
        document = json.loads(value)
        services = {
            each["name"]: _decode_service(each) for each in document["services"]
        }
        routes = [
            _decode_route(host["host"], path)
            for host in document["hosts"]
            for path in host["paths"]
        ]
        return RoutingTable(
            version=parse_version(document["version"]),
            routes=routes,
            services=services,
            limits=_decode_limits(document["limits"]),
            workspaces=_decode_workspaces(document.get("tenants")),
            document=value,
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a configuration: {error!r}") from None


def _decode_service(document):
    # Requests per second that a target can handle while its cache is cold.
    cold_requests_per_second = float(document.get("coldPerS", 0)) or None
    return Service(document["name"], cold_requests_per_second)


def _decode_route(host, document):
    return Route(
        name=document["name"],
        host=host,
        prefix=document["prefix"],
        kind=RequestKind(document["kind"]),
        timeout=parse_duration(document.get("timeout", DEFAULT_TIMEOUT)),
        latency_objective=parse_duration(
            document.get("targetLatency", DEFAULT_LATENCY_OBJECTIVE)
        ),
        priority=int(document.get("priority", 0)),
        max_attempts=int(document.get("maxAttempts", 1)),
        sticky=bool(document.get("sessionAffinity", False)),
        regions=frozenset(document.get("allowedRegions") or ()),
        shares=tuple(_decode_shares(document)),
        is_public=bool(document.get("public", False)),
    )


def _decode_shares(document):
    if document.get("trafficSplit"):
        for entry in document["trafficSplit"]:
            yield ServiceShare(entry["service"], float(entry["weight"]))
    else:
        yield ServiceShare(document["service"], 1.0)


def _decode_limits(document):
    return Limits(
        header_bytes=int(document["maxHeaderBytes"]),
        body_bytes=int(document["maxBodyBytes"]),
        header_timeout=parse_duration(document["headerTimeout"]),
        idle_timeout=parse_duration(document["idleTimeout"]),
    )


def _decode_workspaces(documents):
    """Return the :class:`WorkspaceIndex`, or ``None`` if requests need no key."""
    if documents is None:
        return None
    workspaces = WorkspaceIndex()
    for document in documents:
        keys = [key.encode() for key in document["apiKeys"]]
        workspaces.add(_decode_workspace(document), keys)
    return workspaces


def _decode_workspace(document):
    name = document["name"]
    if not (isinstance(name, str) and name.isascii() and name.isprintable()) or (
        name != name.strip() or not name
    ):
        raise ValueError(f"the workspace name {name!r} is not a valid header value")
    priority = document.get("priority")
    return Workspace(
        name,
        # A rate of 0 means that there is no limit.
        rate=_decode_quantity(document, "ratePerS", name) or None,
        burst=_decode_quantity(document, "burst", name),
        priority=None if priority is None else int(priority),
        regions=frozenset(document.get("allowedRegions") or ()),
    )


def _decode_quantity(document, field, workspace):
    """Return a number of 0 or more; 0 if the field is missing."""
    value = document.get(field) or 0
    number = float(value)
    if not (isfinite(number) and number >= 0):
        raise ValueError(
            f'workspace "{workspace}": {field} is {value!r}; it has to be 0 or more'
        )
    return number
