"""The ``quarantine`` command, which reads and edits the platform's store."""

import time

from curio import run

from heathercleat.cli._output import format_instant, format_table, print_result
from heathercleat.codes import ResultCode
from heathercleat.errors import HeathercleatError
from heathercleat.platform.settings import load_node_settings
from heathercleat.platform.store import TableStoreClient
from heathercleat.process.clock import SystemClock
from heathercleat.steering.process.quarantine.rows import (
    QUARANTINE_TABLE,
    QuarantineRow,
)

#: Timeout of a call to the store.
STORE_TIMEOUT_SECONDS = 5.0


def add_quarantine(commands):
    """Add the ``quarantine`` command to the parser."""
    parser = commands.add_parser(
        "quarantine",
        help="show and lift quarantines of requests that crash targets",
        description="Show and lift the quarantines in the platform's store.",
    )
    actions = parser.add_subparsers(title="actions", required=True, metavar="ACTION")
    listing = actions.add_parser("list", help="list the quarantines in force")
    listing.set_defaults(run=_list)
    showing = actions.add_parser(
        "show", help="show a quarantine and the targets that crashed"
    )
    showing.set_defaults(run=_show)
    lifting = actions.add_parser(
        "lift", help="lift a quarantine, so that the request is accepted again"
    )
    lifting.set_defaults(run=_lift)
    for each in (showing, lifting):
        each.add_argument("fingerprint", help="as in refusals, logs and the list")
    for each in (listing, showing, lifting):
        each.add_argument(
            "--settings", metavar="FILE", help="the platform's settings file of a VM"
        )
        each.add_argument("--json", action="store_true", help="print JSON for machines")


def _list(args):
    now = time.time()
    quarantines = [
        _describe(fingerprint, quarantine)
        for fingerprint, quarantine in _read(args).items()
        if not isinstance(quarantine, QuarantineRow) or quarantine.until > now
    ]
    print_result(args, quarantines, _list_lines)


def _list_lines(quarantines):
    rows = (
        [
            each["fingerprint"],
            each["route"],
            each["service"],
            len(each["ends"]),
            each["until"] or each["damage"],
            each["seen_by"],
        ]
        for each in quarantines
    )
    headings = ["FINGERPRINT", "ROUTE", "SERVICE", "ENDS", "UNTIL", "SEEN BY"]
    yield from format_table(headings, rows)


def _show(args):
    found = _find(args, _read(args))
    print_result(args, _describe(args.fingerprint, found), _show_lines)


def _show_lines(quarantine):
    for name, value in quarantine.items():
        if name != "ends" and value is not None:
            yield f"{name.replace('_', ' ')}: {value}"
    yield from (f"ended: {incarnation}" for incarnation in quarantine["ends"])


def _lift(args):
    _find(args, _read(args))
    _call_store(
        args, lambda store: store.write(QUARANTINE_TABLE, args.fingerprint, None)
    )
    result = {"lifted": args.fingerprint}
    print_result(
        args,
        result,
        lambda _: [f"{args.fingerprint}: lifted; VMs accept it within seconds"],
    )


def _describe(fingerprint, quarantine):
    """Return a quarantine, or a row that cannot be decoded, as JSON values."""
    if isinstance(quarantine, ValueError):
        quarantine, error = QuarantineRow(None, []), f"cannot be read: {quarantine}"
    else:
        error = None
    return {
        "fingerprint": fingerprint,
        "route": quarantine.route,
        "service": quarantine.service,
        "ends": quarantine.ends,
        "since": quarantine.since and format_instant(quarantine.since),
        "until": quarantine.until and format_instant(quarantine.until),
        "seen_by": quarantine.vm,
        "damage": error,
    }


def _find(args, quarantines):
    """Return the quarantine with the fingerprint that the arguments name.

    :raises HeathercleatError: when there is none.
    """
    if args.fingerprint not in quarantines:
        message = (
            f'no quarantine of "{args.fingerprint}" in the store: it has expired, was '
            "lifted, or is not written yet; list those in force"
        )
        raise HeathercleatError(ResultCode.UNKNOWN_NAME, message)
    return quarantines[args.fingerprint]


def _read(args):
    """Return each :class:`QuarantineRow`, or its ``ValueError``, by fingerprint.

    :raises PlatformError: when the store does not respond.
    """
    snapshot = _call_store(args, lambda store: store.read(QUARANTINE_TABLE))
    return {row.key: _unpack_row(row) for row in snapshot.rows if row.value is not None}


def _unpack_row(row):
    try:
        return QuarantineRow.unpack(row.value)
    except ValueError as error:
        return error


def _call_store(args, make_call):
    """Return the result of one call to the store named in the settings."""
    settings = load_node_settings(args.settings)

    async def main():
        store = TableStoreClient(settings.store, SystemClock(), STORE_TIMEOUT_SECONDS)
        try:
            return await make_call(store)
        finally:
            await store.close()

    return run(main)
