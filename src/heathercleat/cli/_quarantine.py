"""The ``quarantine`` command: requests that end targets, as the store keeps them."""

import time

from curio import run

from heathercleat.cli._output import instant, show, table
from heathercleat.codes import ResultCode
from heathercleat.errors import HeathercleatError
from heathercleat.platform.settings import load_node_settings
from heathercleat.platform.store import TableStoreClient
from heathercleat.process.clock import SystemClock
from heathercleat.steering.process.quarantine.rows import (
    QUARANTINE_TABLE,
    QuarantineRow,
)

#: Seconds in which the store has to answer.
STORE_SECONDS = 5.0


def add_quarantine(commands):
    """Add the command to the parser."""
    parser = commands.add_parser(
        "quarantine",
        help="requests that are refused since they end targets",
        description="Show and lift quarantines as the platform's store keeps them.",
    )
    actions = parser.add_subparsers(title="actions", required=True, metavar="ACTION")
    listing = actions.add_parser("list", help="all that are in force")
    listing.set_defaults(run=_list)
    showing = actions.add_parser("show", help="one, with the targets that ended")
    showing.set_defaults(run=_show)
    lifting = actions.add_parser(
        "lift", help="end one, so that the request is run again"
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
        _described(fingerprint, quarantine)
        for fingerprint, quarantine in _read(args).items()
        if not isinstance(quarantine, QuarantineRow) or quarantine.until > now
    ]
    show(args, quarantines, _list_lines)


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
    yield from table(headings, rows)


def _show(args):
    found = _find(args, _read(args))
    show(args, _described(args.fingerprint, found), _show_lines)


def _show_lines(quarantine):
    for name, value in quarantine.items():
        if name != "ends" and value is not None:
            yield f"{name.replace('_', ' ')}: {value}"
    yield from (f"ended: {life}" for life in quarantine["ends"])


def _lift(args):
    _find(args, _read(args))
    _on_store(args, lambda store: store.write(QUARANTINE_TABLE, args.fingerprint, None))
    result = {"lifted": args.fingerprint}
    show(args, result, lambda _: [f"{args.fingerprint}: lifted; VMs follow in seconds"])


def _described(fingerprint, quarantine):
    """Return what is shown of a quarantine, or of a row that cannot be read."""
    if isinstance(quarantine, ValueError):
        quarantine, damage = QuarantineRow(None, []), f"cannot be read: {quarantine}"
    else:
        damage = None
    return {
        "fingerprint": fingerprint,
        "route": quarantine.route,
        "service": quarantine.service,
        "ends": quarantine.ends,
        "since": quarantine.since and instant(quarantine.since),
        "until": quarantine.until and instant(quarantine.until),
        "seen_by": quarantine.vm,
        "damage": damage,
    }


def _find(args, quarantines):
    """Return the quarantine that was asked for.

    :raises HeathercleatError: when there is none.
    """
    if args.fingerprint not in quarantines:
        message = (
            f'no quarantine of "{args.fingerprint}" in the store: it is over, lifted, '
            "or the VM that found it could not write it yet"
        )
        raise HeathercleatError(ResultCode.UNKNOWN_NAME, message)
    return quarantines[args.fingerprint]


def _read(args):
    """Return each :class:`QuarantineRow` by fingerprint, or why it cannot be read.

    :raises PlatformError: when the store does not answer.
    """
    snapshot = _on_store(args, lambda store: store.read(QUARANTINE_TABLE))
    return {row.key: _unpacked(row) for row in snapshot.rows if row.value is not None}


def _unpacked(row):
    try:
        return QuarantineRow.unpack(row.value)
    except ValueError as error:
        return error


def _on_store(args, make_call):
    """Return the result of one call to the store that the settings name."""
    settings = load_node_settings(args.settings)

    async def main():
        store = TableStoreClient(settings.store, SystemClock(), STORE_SECONDS)
        try:
            return await make_call(store)
        finally:
            await store.close()

    return run(main)
