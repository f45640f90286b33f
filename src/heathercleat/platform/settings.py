"""The settings file that the platform writes for a process.

The template in ``deploy/settings.json`` has it written as JSON; a file in the
platform's own format, YAML, is read as well.
"""

import json
import os

from heathercleat.codes import ResultCode
from heathercleat.errors import Finding, FindingsError, HeathercleatError
from heathercleat.platform.units import parse_duration
from heathercleat.platform.wire_names import SETTINGS_VARIABLE
from heathercleat.steering.process.settings import Address, Bounds, NodeSettings

_MEGABYTE = 1 << 20


def load_node_settings(path=None):
    """Read the settings of this process.

    :param path: the file, or ``None`` for the one that the environment names.
    :raises FindingsError: with every field that is missing or malformed.
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
    """Return the document in a text of JSON or YAML.

    :raises ValueError: when it is neither.
    """
    try:
        return json.loads(text)
    except ValueError:
        pass
    # The library costs a start 0.04 s of processor time, and JSON needs none of it.
    import yaml

    # The C loader takes a tenth of the time; it is missing in some builds.
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        return yaml.load(text, loader)
    except yaml.YAMLError as error:
        raise ValueError(error) from None


def decode_node_settings(document, name="settings"):
    """Return the settings in a parsed file; see :func:`load_node_settings`."""
    reader = _Reader(document if isinstance(document, dict) else {})
    ports = reader.field("internalPorts", _port_range)
    settings = NodeSettings(
        vm=reader.field("node", str),
        ip=reader.field("ip", str),
        failure_domain=reader.field("zone", str),
        region=reader.field("region", str),
        regions=reader.field("zones", dict),
        front=reader.field("listen.front", _address),
        ready=reader.field("listen.ready", _address),
        directory=reader.field("listen.directory", _address),
        first_inner_port=ports[0] if ports else None,
        seeds=reader.field("seeds", _hosts, default=()),
        store=reader.field("platform.address", _address),
        memory=reader.field("limits.memoryMb", _bytes, default=512 * _MEGABYTE),
        # The share of a core, and how many cores' speed that core has.
        cores=reader.field("limits.cpuShare", float, default=1.0)
        * reader.field("limits.cores", float, default=1.0),
        link_mbps=reader.field("limits.linkMbps", float, default=1000.0),
        bounds=reader.field("bounds", _bounds, default=Bounds()),
        path=path_of(name),
    )
    if reader.findings:
        raise FindingsError(str(name), reader.findings)
    return settings


def path_of(name):
    """Return ``name`` if it is the path of a file, else ``None``."""
    return name if os.path.exists(name) else None


class _Reader:
    """Reads fields of a parsed file and collects what is wrong with them."""

    def __init__(self, document):
        self._document = document
        self.findings = []

    def field(self, path, convert, default=None):
        value = self._document
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            if default is None:
                self._report(path, "missing")
            return default
        try:
            return convert(value)
        except (TypeError, ValueError) as error:
            self._report(path, f"{value!r}: {error}")
            return default

    def _report(self, path, problem):
        pointer = "/" + path.replace(".", "/")
        code = ResultCode.SETTINGS_INVALID
        self.findings.append(Finding(problem, pointer, 0, 0, code))


def _address(text):
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def _hosts(addresses):
    return tuple(_address(each).host for each in addresses)


def _port_range(ports):
    first, last = ports
    return int(first), int(last)


def _bytes(megabytes):
    return int(megabytes) * _MEGABYTE


def _bounds(entries):
    """Return the :class:`Bounds` of ``name=value`` texts; unknown ones are ignored."""
    values = dict(entry.split("=", 1) for entry in entries if "=" in entry)
    bounds = Bounds()
    for name, field, convert in _BOUND_FIELDS:
        if name in values:
            setattr(bounds, field, convert(values[name]))
    return bounds


#: Name on the wire, field of :class:`Bounds`, conversion.
_BOUND_FIELDS = (
    ("grace", "stop_grace", parse_duration),
    ("retryBudgetRatio", "retry_ratio", float),
    ("budgetWindow", "retry_window", parse_duration),
    ("budgetSlack", "retry_slack", float),
    ("coldOver", "cold_factor", float),
    ("coldSlack", "cold_slack", float),
    ("ttl_max", "lookup_ttl", parse_duration),
    ("shiftMost", "shift_share", float),
)
