"""The ``drain`` command."""

import time
from getpass import getuser
from secrets import token_hex

from heathercleat.cli._client import add_client_options, make_client
from heathercleat.cli._output import format_instant, format_table, print_result
from heathercleat.version.text import DrainScope


def add_drain(commands):
    """Add the ``drain`` command to the parser."""
    parser = commands.add_parser(
        "drain",
        help="plan, list and cancel drains",
        description="Take targets, entry VMs or failure domains out of service.",
    )
    verbs = parser.add_subparsers(title="verbs", required=True, metavar="VERB")
    plan = verbs.add_parser("plan", help="show the remaining slots, and plan a drain")
    plan.add_argument("id", help="a new name for the drain")
    plan.add_argument("scope", choices=[scope.value for scope in DrainScope])
    plan.add_argument("name", help="the target, entry VM or failure domain")
    plan.add_argument(
        "--in", dest="after", type=float, default=0.0, metavar="SECONDS", help="start"
    )
    plan.add_argument("--dry-run", action="store_true", help="show the headroom only")
    plan.set_defaults(run=_plan)
    listing = verbs.add_parser("list", help="list planned drains")
    listing.set_defaults(run=_list)
    cancel = verbs.add_parser("cancel", help="cancel a drain")
    cancel.add_argument("id")
    cancel.set_defaults(run=_cancel)
    for verb in (plan, listing, cancel):
        add_client_options(verb)


def _plan(args):
    call = {
        "id": args.id,
        "scope": args.scope,
        "name": args.name,
        "at": time.time() + args.after,
        "dry_run": args.dry_run,
        "edit_id": token_hex(8),
        "author": getuser(),
    }
    print_result(args, make_client(args).post("/v1/drain/plan", call), _plan_lines)


def _plan_lines(result):
    rows = (
        [
            entry["service"],
            entry["slots"],
            entry["left"],
            entry["least"],
            entry["enough"],
        ]
        for entry in result["headroom"]
    )
    yield from format_table(["SERVICE", "SLOTS", "LEFT", "LEAST", "ENOUGH"], rows)
    yield f"no new work from {format_instant(result['at'])} on"
    if "version" in result:
        yield f"planned in version {result['version']}"


def _list(args):
    print_result(args, make_client(args).get("/v1/drains"), _list_lines)


def _list_lines(drains):
    rows = (
        [
            drain["id"],
            drain["scope"],
            drain["name"],
            format_instant(drain["at"]),
            format_instant(drain["until"]) if drain["until"] else "",
            drain["in_force"],
        ]
        for drain in drains
    )
    return format_table(["ID", "SCOPE", "NAME", "FROM", "CANCELLED", "IN FORCE"], rows)


def _cancel(args):
    call = {"id": args.id, "edit_id": token_hex(8), "author": getuser()}
    result = make_client(args).post("/v1/drain/cancel", call)
    print_result(
        args, result, lambda value: [f"cancelled in version {value['version']}"]
    )
