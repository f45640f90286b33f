"""Reader of the settings file that the platform writes for a process.

The format is JSON, as in the template ``deploy/settings.json``, or YAML.
"""

import json
import os

from heathercleat.codes import ResultCode
from heathercleat.errors import Finding, FindingsError, HeathercleatError
from heathercleat.platform.units import parse_duration
from heathercleat.platform.wire_names import CONTENTION_CONTRACT, SETTINGS_VARIABLE
from heathercleat.steering.process.settings import Address, Bounds, NodeSettings

_MEGABYTE = 1 << 20


def load_node_settings(path=None):
    """Return the :class:`NodeSettings` of this process.

    :param path: the file, or ``None`` to use the environment variable.
    :raises FindingsError: for missing or malformed fields.
    :raises HeathercleatError: when the file cannot be read or is neither JSON nor YAML.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        message = f"no settings: set {SETTINGS_VARIABLE} or pass --settings"
        raise HeathercleatError(ResultCode.SETTINGS_INVALID, message)
    try:
        with open(path, encoding="utf-8") as file:
            document = _parse(file.read())
    except (OSError, ValueError) as error:
        message = f'cannot read the settings "{path}": {error}'
        raise HeathercleatError(ResultCode.SETTINGS_INVALID, message) from None
    return decode_node_settings(document, path)


def _parse(text):
    """Parse JSON or YAML.

    :raises ValueError: when ``text`` is neither.
    """
    try:
        return json.loads(text)
    except ValueError:
        pass
    # Imported only for YAML, to keep the start with JSON settings short.
    import yaml

    # The C loader is much faster but missing in some builds.
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        return yaml.load(text, loader)
    except yaml.YAMLError as error:
        raise ValueError(error) from None


def decode_node_settings(document, name="settings"):
    """Return the :class:`NodeSettings` of a parsed file.

    :param name: the file name in error messages.
    :raises FindingsError: for missing or malformed fields.
    """
    reader = _Reader(document if isinstance(document, dict) else {})
    ports = reader.read_field("internalPorts", _parse_port_range)
    settings = NodeSettings(
        vm=reader.read_field("node", str),
        ip=reader.read_field("ip", str),
        failure_domain=reader.read_field("zone", str),
        region=reader.read_field("region", str),
        regions=reader.read_field("zones", dict),
        front=reader.read_field("listen.front", _parse_address),
        ready=reader.read_field("listen.ready", _parse_address),
        directory=reader.read_field("listen.directory", _parse_address),
        first_inner_port=ports[0] if ports else None,
        seeds=reader.read_field("seeds", _parse_hosts, default=()),
        is_first_start=reader.read_field("bootstrap", bool, default=False),
        store=reader.read_field("platform.address", _parse_address),
        memory=reader.read_field(
            "limits.memoryMb", _megabytes_to_bytes, default=512 * _MEGABYTE
        ),
        # cpuShare is the share of one core; cores is the relative speed of that core.
        cores=reader.read_field("limits.cpuShare", float, default=1.0)
        * reader.read_field("limits.cores", float, default=1.0),
        link_mbps=reader.read_field("limits.linkMbps", float, default=1000.0),
        is_contended=CONTENTION_CONTRACT
        in reader.read_field("contracts", _parse_names, default=()),
        bounds=reader.read_field("bounds", _parse_bounds, default=Bounds()),
        path=existing_path(name),
    )
    if reader.findings:
        raise FindingsError(str(name), reader.findings)
    return settings


def existing_path(name):
    """Return ``name`` if it is an existing path, else ``None``."""
    return name if os.path.exists(name) else None


class _Reader:
    """Reads fields of a parsed file and collects findings."""

    def __init__(self, document):
        self._document = document
        self.findings = []

    def read_field(self, path, convert, default=None):
        value = self._document
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            if default is None:
                self._add_finding(path, "missing")
            return default
        try:
            return convert(value)
        except (TypeError, ValueError) as error:
            self._add_finding(path, f"{value!r}: {error}")
            return default

    def _add_finding(self, path, problem):
        pointer = "/" + path.replace(".", "/")
        code = ResultCode.SETTINGS_INVALID
        self.findings.append(Finding(problem, pointer, 0, 0, code))


def _parse_address(text):
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def _parse_names(names):
    if not isinstance(names, list) or not all(isinstance(each, str) for each in names):
        raise ValueError("not a list of names")
    return tuple(names)


def _parse_hosts(addresses):
    return tuple(_parse_address(each).host for each in addresses)


def _parse_port_range(ports):
    first, last = ports
    return int(first), int(last)


def _megabytes_to_bytes(megabytes):
    return int(megabytes) * _MEGABYTE


def _parse_bounds(entries):
    """Return the :class:`Bounds` of the settings, ignoring unknown names.

    :param entries: ``name=value`` texts, or a table of values by name, as which a
        template renders them.
    :raises ValueError: when a value is malformed.
    """
    values = entries
    if not isinstance(entries, dict):
        values = dict(entry.split("=", 1) for entry in entries if "=" in entry)
    bounds = Bounds()
    for name, field, convert in _BOUND_FIELDS:
        if name in values:
            setattr(bounds, field, convert(values[name]))
    if values.get("strictRevoke") in (True, "true") and "revoke" in values:
        bounds.revocation = parse_duration(values["revoke"])
    return bounds


#: Name in the settings file, attribute of :class:`Bounds`, and conversion.
_BOUND_FIELDS = (
    ("grace", "stop_grace", parse_duration),
    ("retryBudgetRatio", "retry_ratio", float),
    ("budgetWindow", "retry_window", parse_duration),
    ("budgetSlack", "retry_slack", float),
    ("coldOver", "cold_factor", float),
    ("coldSlack", "cold_slack", float),
    ("ttl_max", "lookup_ttl", parse_duration),
    ("shiftMost", "shift_share", float),
    ("quotaWindow", "quota_window", parse_duration),
    ("quotaOver", "quota_over", float),
    ("quotaSlack", "quota_slack", float),
)
