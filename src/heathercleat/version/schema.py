"""JSON Schema of the operators' configuration."""

from functools import cache

_NAME = "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
_ADDRESS = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
_COUNT = {"type": "integer", "minimum": 0}
_POSITIVE = {"type": "integer", "minimum": 1}
_SECONDS = {"type": "number", "minimum": 0}


def _record(required, **properties):
    return {
        "type": "object",
        "required": required,
        "properties": properties,
        "additionalProperties": False,
    }


def _named(value, minimum=0):
    return {
        "type": "object",
        "propertyNames": {"pattern": _NAME},
        "additionalProperties": value,
        "minProperties": minimum,
    }


_REQUEST = _record(
    ["kind", "method", "path", "run", "timeout_ms"],
    kind={"type": "string", "pattern": _NAME},
    method={"enum": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]},
    path={"type": "string", "pattern": "^/"},
    run={"enum": ["idempotent", "at-most-once", "upload"]},
    timeout_ms={"type": "integer", "minimum": 10, "maximum": 600_000},
    weight=_POSITIVE,
    body_limit=_POSITIVE,
)
_TARGET = _record(
    ["address", "failure_domain", "slots"],
    address={"type": "string", "pattern": _ADDRESS},
    failure_domain={"type": "string"},
    slots=_COUNT,
    connections=_POSITIVE,
)
_SERVICE = _record(
    ["requests", "targets"],
    depends_on={"type": "array", "items": {"type": "string"}, "uniqueItems": True},
    shift_cap=_record(["slots", "window_s"], slots=_COUNT, window_s=_SECONDS),
    warm_up_s=_SECONDS,
    queue=_record(["limit", "wait_ms"], limit=_COUNT, wait_ms=_COUNT),
    trust_refusals={"type": "boolean"},
    min_slots=_COUNT,
    requests={"type": "array", "items": _REQUEST, "minItems": 1},
    targets=_named(_TARGET),
)
_REGION = _record(
    ["failure_domains"],
    failure_domains={
        "type": "array",
        "items": {"type": "string", "pattern": _NAME},
        "minItems": 1,
        "uniqueItems": True,
    },
    limit=_POSITIVE,
)
_LINK = _record(
    ["between"],
    between={
        "type": "array",
        "items": {"type": "string"},
        "minItems": 2,
        "maxItems": 2,
        "uniqueItems": True,
    },
    one_way_ms=_SECONDS,
    limit=_COUNT,
)
_DRAIN = _record(
    ["scope", "name", "at"],
    scope={"enum": ["target", "vm", "failure_domain"]},
    name={"type": "string"},
    at={"type": "number"},
)

TEXT_SCHEMA = _record(
    ["regions", "services"],
    regions=_named(_REGION, minimum=1),
    latency=_record([], failure_domains_ms=_SECONDS, regions_ms=_SECONDS),
    links={"type": "array", "items": _LINK},
    services=_named(_SERVICE, minimum=1),
    client_blocks={"type": "object", "additionalProperties": {"type": "string"}},
    drains=_named(_DRAIN),
)


@cache
def text_validator():
    """Return the validator of configurations, importing its library on first use."""
    from jsonschema import Draft7Validator

    return Draft7Validator(TEXT_SCHEMA)
