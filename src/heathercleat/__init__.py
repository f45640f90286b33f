"""Steers traffic between callers and targets in several regions."""

from importlib import import_module

__version__ = "0.1.0"

#: Module of each public name; imported on first use to keep the start of a VM short.
_MODULES = {
    "EntryVM": "heathercleat.process.vm",
    "Finding": "heathercleat.errors",
    "FindingsError": "heathercleat.errors",
    "HeathercleatError": "heathercleat.errors",
    "ResultCode": "heathercleat.codes",
    "Run": "heathercleat.codes",
    "Settings": "heathercleat.process.settings",
    "SteeringNode": "heathercleat.steering.process.node",
    "Text": "heathercleat.version.text",
    "load_node_settings": "heathercleat.platform.settings",
    "load_settings": "heathercleat.process.settings",
    "parse_text": "heathercleat.version.text",
}

__all__ = sorted(_MODULES)


def __getattr__(name):
    """Import a public name on first use."""
    if name not in _MODULES:
        raise AttributeError(f'module "{__name__}" has no attribute "{name}"')
    return getattr(import_module(_MODULES[name]), name)
