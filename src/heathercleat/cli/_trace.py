"""The ``trace`` command, which collects the log lines of a request."""

import json
import sys
from heapq import nsmallest

from heathercleat.codes import ResultCode
from heathercleat.errors import HeathercleatError
from heathercleat.events import Event

#: Limits on the number and age of state changes shown before a request's last line.
MAX_STATE_CHANGES = 12
STATE_CHANGE_SECONDS = 10.0
#: Events for changes of state that affect routing.
STATE_CHANGE_EVENTS = frozenset(
    event.name.lower()
    for event in (
        Event.CONFIGURATION_ADOPTED,
        Event.EVACUATION_CHANGED,
        Event.MEMBER_DEAD,
        Event.MEMBER_JOINED,
        Event.PROOF_LOST,
        Event.PROOF_RETURNED,
        Event.STORE_LOST,
        Event.STORE_RETURNED,
        Event.TARGET_EJECTED,
        Event.TARGET_GONE,
        Event.TARGET_SLOW,
        Event.VM_LEAVING,
        Event.VM_STARTED,
    )
)
#: Events that refer to all requests with the same fingerprint.
_FINGERPRINT_EVENTS = frozenset(
    event.name.lower()
    for event in (
        Event.QUARANTINE_ENDED,
        Event.REQUEST_QUARANTINED,
        Event.TARGET_ENDED,
    )
)
_LEFT_OUT = Event.LINES_LEFT_OUT.name.lower()


def add_trace(commands):
    """Add the ``trace`` command to the parser."""
    parser = commands.add_parser(
        "trace",
        help="show the log lines of a request",
        description="Print the log lines of a request from all VMs, those on crashes "
        "and quarantines of requests with the same fingerprint, and those on state "
        "changes shortly before its end.",
    )
    parser.add_argument("request", help="the request's id")
    parser.add_argument(
        "logs", nargs="*", metavar="LOG", help="default: standard input"
    )
    parser.add_argument(
        "--json", action="store_true", help="print the log lines as JSON"
    )
    parser.set_defaults(run=_trace)


def _trace(args):
    lines = sorted(_read_all(args.logs), key=lambda line: line["at"])
    request_lines = [line for line in lines if line.get("request") == args.request]
    if not request_lines:
        left_out = sum(line["lines"] for line in lines if line["name"] == _LEFT_OUT)
        message = (
            f'no line on request "{args.request}": it was answered in time, is among '
            f"{left_out} lines left out under load, or is in a log that is missing"
        )
        raise HeathercleatError(ResultCode.UNKNOWN_NAME, message)
    for line in [
        *_fingerprint_lines(lines, request_lines),
        *_state_changes(lines, request_lines),
        *request_lines,
    ]:
        print(json.dumps(line) if args.json else _render(line))


def _read_all(paths):
    """Yield the log lines of files, or of standard input."""
    if not paths:
        yield from _read(sys.stdin)
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from _read(file)
        except OSError as error:
            message = f'cannot read the log "{path}": {error.strerror}'
            raise HeathercleatError(ResultCode.UNKNOWN_NAME, message) from None


def _read(file):
    """Yield the JSON objects in a log, ignoring text before them in a line."""
    for text in file:
        _, brace, rest = text.partition("{")
        try:
            line = json.loads(brace + rest)
        except ValueError:
            continue
        if "at" in line and "name" in line:
            yield line


def _fingerprint_lines(lines, request_lines):
    """Yield the lines on crashes and quarantines with the same fingerprint.

    Lines of the request itself and lines after its last one are left out.
    """
    fingerprints = {line.get("fingerprint") for line in request_lines} - {None, ""}
    for line in lines:
        is_related = (
            line.get("fingerprint") in fingerprints and line not in request_lines
        )
        if (
            is_related
            and line["name"] in _FINGERPRINT_EVENTS
            and line["at"] <= request_lines[-1]["at"]
        ):
            yield line


def _state_changes(lines, request_lines):
    """Return the latest state changes of the VMs that handled a request."""
    ended_at = request_lines[-1]["at"]
    # Without an attempt, a state change of any VM may have affected the request.
    attempted_vms = {
        each.split(" ", 1)[0]
        for line in request_lines
        for each in line.get("tries", ())
    }
    vms = attempted_vms | {line["vm"] for line in request_lines if attempted_vms}
    found = [
        line
        for line in lines
        if line["name"] in STATE_CHANGE_EVENTS
        and (not vms or line["vm"] in vms)
        and ended_at - STATE_CHANGE_SECONDS <= line["at"] <= ended_at
    ]
    latest = nsmallest(MAX_STATE_CHANGES, found, key=lambda line: ended_at - line["at"])
    return sorted(latest, key=lambda line: line["at"])


def _render(line):
    fields = {
        name: value
        for name, value in line.items()
        if name not in ("at", "level", "event", "name", "vm", "tries")
    }
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    tries = "".join(f"\n    try: {each}" for each in line.get("tries", ()))
    return f"{line['at']:.3f} {line['vm']} {line['event']} {line['name']} {text}{tries}"
