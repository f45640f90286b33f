"""The ``heathercleat`` command line."""

from heathercleat.cli._main import main

__all__ = ["main"]
