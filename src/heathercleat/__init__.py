"""Global traffic steering between callers and targets."""

from heathercleat.codes import ResultCode, Run
from heathercleat.errors import Finding, FindingsError, HeathercleatError
from heathercleat.process.settings import Settings, load_settings
from heathercleat.process.vm import EntryVM
from heathercleat.version.text import Text, parse_text

__version__ = "0.1.0"

__all__ = [
    "EntryVM",
    "Finding",
    "FindingsError",
    "HeathercleatError",
    "ResultCode",
    "Run",
    "Settings",
    "Text",
    "load_settings",
    "parse_text",
]
