"""Decoding of the operators' table."""

import json

from heathercleat.platform.names import CONFIG_KEY, EVACUATE_PREFIX
from heathercleat.platform.units import seconds, version_number
from heathercleat.steering.version.routing import (
    Kind,
    Limits,
    Route,
    RoutingTable,
    Service,
    Share,
)

#: Defaults of a route without its own values.
DEFAULT_TIMEOUT = "60s"
DEFAULT_LATENCY_AIM = "1s"


def decode_operator_rows(rows):
    """Return ``(routing table or None, names of evacuated failure domains)``.

    :param rows: each :class:`StoreRow` of the operators' table.
    :raises ValueError: when the configuration is malformed.
    """
    table, evacuated = None, set()
    for row in rows:
        if row.key == CONFIG_KEY:
            table = decode_config(row.value)
        elif row.key.startswith(EVACUATE_PREFIX):
            evacuated.add(row.key.removeprefix(EVACUATE_PREFIX))
    return table, frozenset(evacuated)


def decode_config(value):
    """Return the :class:`RoutingTable` of an operators' configuration.

    :param value: the row's value, JSON as bytes.
    :raises ValueError: when it is malformed.
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
            version=version_number(document["version"]),
            routes=routes,
            services=services,
            limits=_limits(document["limits"]),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a configuration: {error!r}") from None


def _service(document):
    # Requests per second that a target can handle while its cache is cold.
    cold_rate = float(document.get("coldPerS", 0)) or None
    return Service(document["name"], cold_rate)


def _route(host, document):
    return Route(
        name=document["name"],
        host=host,
        prefix=document["prefix"],
        kind=Kind(document["kind"]),
        timeout=seconds(document.get("timeout", DEFAULT_TIMEOUT)),
        latency_aim=seconds(document.get("targetLatency", DEFAULT_LATENCY_AIM)),
        priority=int(document.get("priority", 0)),
        max_attempts=int(document.get("maxAttempts", 1)),
        sticky=bool(document.get("sessionAffinity", False)),
        regions=frozenset(document.get("allowedRegions") or ()),
        shares=tuple(_shares(document)),
    )


def _shares(document):
    if document.get("trafficSplit"):
        for part in document["trafficSplit"]:
            yield Share(part["service"], float(part["weight"]))
    else:
        yield Share(document["service"], 1.0)


def _limits(document):
    return Limits(
        header_bytes=int(document["maxHeaderBytes"]),
        body_bytes=int(document["maxBodyBytes"]),
        header_timeout=seconds(document["headerTimeout"]),
        idle_timeout=seconds(document["idleTimeout"]),
    )
