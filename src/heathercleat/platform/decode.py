"""Decoding of the operators' table."""

import json

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

#: Defaults of a route without its own values.
DEFAULT_TIMEOUT = "60s"
DEFAULT_LATENCY_OBJECTIVE = "1s"


def decode_operator_rows(rows):
    """Return ``(routing table or None, names of evacuated failure domains)``.

    :param rows: each :class:`StoreRow` of the operators' table.
    :raises ValueError: when the configuration is malformed.
    """
    routing_table, evacuated = None, set()
    for row in rows:
        if row.key == CONFIG_KEY:
            routing_table = decode_config(row.value)
        elif row.key.startswith(EVACUATE_PREFIX):
            evacuated.add(row.key.removeprefix(EVACUATE_PREFIX))
    return routing_table, frozenset(evacuated)


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
