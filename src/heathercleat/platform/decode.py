"""Rows of the operators' table as types of the product."""

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

#: Seconds until the answer to a request of a route that names no timeout.
DEFAULT_TIMEOUT = "60s"
DEFAULT_LATENCY_AIM = "1s"


def decode_operator_rows(rows):
    """Return ``(routing table or None, names of evacuated failure domains)``.

    :param rows: the rows of the operators' table, a :class:`StoreRow` each.
    :raises ValueError: when the configuration does not decode.
    """
    table, evacuated = None, set()
    for row in rows:
        if row.key == CONFIG_KEY:
            table = decode_config(row.value)
        elif row.key.startswith(EVACUATE_PREFIX):
            evacuated.add(row.key.removeprefix(EVACUATE_PREFIX))
    return table, frozenset(evacuated)


def decode_config(value):
    """Return the :class:`RoutingTable` of an operator's configuration.

    :param value: the bytes of the row.
    :raises ValueError: when it does not decode.
    """
    try:
        document = json.loads(value)
        services = {each["name"]: _service(each) for each in document["services"]}
        routes = [
            _route(host["host"], path)
            for host in document["hosts"]
            for path in host["paths"]
        ]
        return RoutingTable(
            version=parse_version(document["version"]),
            routes=routes,
            services=services,
            limits=_limits(document["limits"]),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a configuration: {error!r}") from None


def _service(document):
    # Requests a second that a cold target stands.
    cold_requests_per_second = float(document.get("coldPerS", 0)) or None
    return Service(document["name"], cold_requests_per_second)


def _route(host, document):
    return Route(
        name=document["name"],
        host=host,
        prefix=document["prefix"],
        kind=RequestKind(document["kind"]),
        timeout=parse_duration(document.get("timeout", DEFAULT_TIMEOUT)),
        latency_objective=parse_duration(
            document.get("targetLatency", DEFAULT_LATENCY_AIM)
        ),
        priority=int(document.get("priority", 0)),
        max_attempts=int(document.get("maxAttempts", 1)),
        sticky=bool(document.get("sessionAffinity", False)),
        regions=frozenset(document.get("allowedRegions") or ()),
        shares=tuple(_shares(document)),
    )


def _shares(document):
    if document.get("trafficSplit"):
        for part in document["trafficSplit"]:
            yield ServiceShare(part["service"], float(part["weight"]))
    else:
        yield ServiceShare(document["service"], 1.0)


def _limits(document):
    return Limits(
        header_bytes=int(document["maxHeaderBytes"]),
        body_bytes=int(document["maxBodyBytes"]),
        header_timeout=parse_duration(document["headerTimeout"]),
        idle_timeout=parse_duration(document["idleTimeout"]),
    )
