"""The settings of the daemon: JSON with comments, validated by a JSON schema."""

from dataclasses import dataclass
from functools import cache
from pathlib import Path

from heathercleat._jsonc import loads, locate
from heathercleat.codes import ResultCode
from heathercleat.errors import Finding, FindingsError, HeathercleatError

DEFAULT_PORTS = {"caller": 8080, "forward": 8081, "peer": 8082, "operator": 8083}
DEFAULT_PLATFORM_TIMEOUT_MS = 1000
DEFAULT_LOOKUP_TTL_MS = 2000
DEFAULT_TICKET_TTL_S = 60
MIN_KEY_LENGTH = 16

_IP = {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}$"}
_PORT = {"type": "integer", "minimum": 1, "maximum": 65535}
_NAME = {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"}

SETTINGS_SCHEMA = {
    "type": "object",
    "required": ["vm", "address", "failure_domain", "platform", "keys"],
    "additionalProperties": False,
    "properties": {
        "vm": _NAME,
        "address": _IP,
        "failure_domain": _NAME,
        "platform": {
            "type": "object",
            "required": ["address", "port"],
            "additionalProperties": False,
            "properties": {
                "address": _IP,
                "port": _PORT,
                "timeout_ms": {"type": "integer", "minimum": 10},
            },
        },
        "keys": {
            "type": "array",
            "items": {"type": "string", "minLength": MIN_KEY_LENGTH},
            "minItems": 1,
        },
        "ports": {
            "type": "object",
            "additionalProperties": False,
            "properties": dict.fromkeys(DEFAULT_PORTS, _PORT),
        },
        "seeds": {"type": "array", "items": _IP},
        "fenced": {
            "type": "array",
            "items": {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}/\d{1,2}$"},
        },
        "lookup_ttl_ms": {"type": "integer", "minimum": 100, "maximum": 60_000},
        "ticket_ttl_s": {"type": "integer", "minimum": 1, "maximum": 3600},
        "log_level": {"enum": ["DEBUG", "INFO", "WARNING", "ERROR"]},
    },
}


@dataclass(slots=True, frozen=True)
class Ports:
    """TCP ports, the same on every VM."""

    caller: int
    forward: int
    peer: int
    operator: int


@dataclass(slots=True)
class Settings:
    """Settings of one entry VM; times are in seconds.

    ``keys`` are the shared keys: the first one signs, all of them verify. ``path`` is
    that of the settings file, or ``None`` if they were not read from a file.
    """

    vm: str
    address: str
    failure_domain: str
    platform_host: str
    platform_port: int
    platform_timeout: float
    keys: list
    ports: Ports
    seeds: list
    lookup_ttl: float
    ticket_ttl: float
    log_level: str
    fenced: list
    path: str | None = None


def load_settings(path):
    """Read a settings file.

    :raises FindingsError: if the settings are invalid; each finding has its line and
        column.
    :raises HeathercleatError: if the file can't be read.
    """
    try:
        source = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        message = f'cannot read the settings "{path}": {error.strerror}'
        raise HeathercleatError(ResultCode.SETTINGS_INVALID, message) from None
    settings = parse_settings(source, str(path))
    settings.path = str(path)
    return settings


def parse_settings(source, name="settings"):
    """Parse the source text of settings.

    :param name: name of the source in findings.
    :raises FindingsError: see :func:`load_settings`.
    """
    document = loads(source, name, ResultCode.SETTINGS_INVALID)
    errors = list(_validator().iter_errors(document))
    if errors:
        raise FindingsError(name, list(_findings(source, errors)))
    platform = document["platform"]
    timeout = platform.get("timeout_ms", DEFAULT_PLATFORM_TIMEOUT_MS)
    return Settings(
        vm=document["vm"],
        address=document["address"],
        failure_domain=document["failure_domain"],
        platform_host=platform["address"],
        platform_port=platform["port"],
        platform_timeout=timeout / 1000,
        keys=document["keys"],
        ports=Ports(**{**DEFAULT_PORTS, **document.get("ports", {})}),
        seeds=document.get("seeds", []),
        lookup_ttl=document.get("lookup_ttl_ms", DEFAULT_LOOKUP_TTL_MS) / 1000,
        ticket_ttl=document.get("ticket_ttl_s", DEFAULT_TICKET_TTL_S),
        log_level=document.get("log_level", "INFO"),
        fenced=document.get("fenced", []),
    )


def _findings(source, errors):
    pointers = ["".join(f"/{part}" for part in error.path) for error in errors]
    positions = locate(source, pointers)
    for error, pointer in zip(errors, pointers, strict=True):
        message = (
            "a key is too short; use at least 16 characters"
            if "keys" in error.path
            else error.message
        )
        position = positions[pointer]
        yield Finding(message, pointer, *position, ResultCode.SETTINGS_INVALID)


@cache
def _validator():
    """Return the validator of settings; its library is slow to import."""
    from jsonschema import Draft7Validator

    return Draft7Validator(SETTINGS_SCHEMA)
