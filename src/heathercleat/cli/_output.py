"""Output of results as tables or JSON."""

import json
from datetime import UTC, datetime


def print_result(args, value, render):
    """Print ``value`` as JSON if ``--json`` is set, else the lines of ``render``."""
    if args.json:
        print(json.dumps(value, indent=2))
        return
    for line in render(value):
        print(line)


def format_table(headings, rows):
    """Yield the lines of a table with aligned columns."""
    cells = [headings, *([_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headings))]
    for row in cells:
        padded = (value.ljust(width) for value, width in zip(row, widths, strict=True))
        yield "  ".join(padded).rstrip()


def format_instant(seconds):
    """Return epoch seconds as a UTC date and time."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


def _cell(value):
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.4g}" if isinstance(value, float) else str(value)
