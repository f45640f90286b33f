"""Commands that read and edit the operators' configuration."""

import sys
from difflib import unified_diff
from getpass import getuser
from pathlib import Path
from secrets import token_hex

from heathercleat.cli._client import add_client_options, make_client
from heathercleat.cli._output import format_instant, format_table, print_result
from heathercleat.codes import ResultCode
from heathercleat.errors import HeathercleatError
from heathercleat.version.text import parse_text

EXIT_DIFFERENT = 1


def add_edit_commands(commands):
    """Add ``check``, ``diff``, ``apply``, ``history`` and ``show`` to the parser."""
    check = _add_command(commands, "check", "check a text without sending it", _check)
    check.add_argument("text", metavar="TEXT")
    diff = _add_command(commands, "diff", "compare a text with the one in force", _diff)
    diff.add_argument("text", metavar="TEXT")
    add_client_options(diff)
    apply = _add_command(commands, "apply", "make a text the next version", _apply)
    apply.add_argument("text", metavar="TEXT")
    apply.add_argument(
        "--base",
        type=int,
        metavar="VERSION",
        help="the version that the edit is based on; required once a version exists",
    )
    apply.add_argument("--edit-id", help="the id of an earlier edit, to retry it")
    add_client_options(apply)
    history = _add_command(commands, "history", "list the versions", _history)
    add_client_options(history)
    show = _add_command(commands, "show", "print the text of a version", _show)
    show.add_argument("version", type=int, metavar="VERSION")
    add_client_options(show)


def _add_command(commands, name, summary, run):
    parser = commands.add_parser(
        name, help=summary, description=f"{summary.capitalize()}."
    )
    parser.set_defaults(run=run)
    return parser


def _read(path):
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        message = f'cannot read the text "{path}": {error.strerror}'
        raise HeathercleatError(ResultCode.TEXT_INVALID, message) from None


def _check(args):
    text = parse_text(_read(args.text), args.text)
    targets = sum(len(service.targets) for service in text.services.values())
    print(
        f"{args.text}: {len(text.services)} services, {targets} targets, "
        f"{len(text.failure_domains)} failure domains, no findings"
    )


def _diff(args):
    source = _read(args.text)
    parse_text(source, args.text)
    current = make_client(args).get("/v1/text")
    lines = list(
        unified_diff(
            current["text"].splitlines(),
            source.splitlines(),
            f"version {current['version']}",
            args.text,
            lineterm="",
        )
    )
    difference = {"version": current["version"], "difference": lines}
    print_result(args, difference, lambda value: value["difference"])
    if lines:
        sys.exit(EXIT_DIFFERENT)


def _apply(args):
    source = _read(args.text)
    parse_text(source, args.text)
    client = make_client(args)
    edit_id = args.edit_id or token_hex(8)
    call = {
        "text": source,
        "edit_id": edit_id,
        "author": getuser(),
        "base_version": args.base or 0,
    }
    try:
        result = client.post("/v1/apply", call)
    except HeathercleatError as error:
        if error.code is ResultCode.EDIT_UNKNOWN:
            print(f"repeat with --edit-id {edit_id}", file=sys.stderr)
        raise
    print_result(
        args, result, lambda value: [f"version {value['version']} is accepted"]
    )


def _history(args):
    print_result(args, make_client(args).get("/v1/history"), _history_lines)


def _history_lines(heads):
    rows = (
        [head["version"], format_instant(head["at"]), head["author"], head["edit_id"]]
        for head in heads
    )
    return format_table(["VERSION", "AT", "AUTHOR", "EDIT"], rows)


def _show(args):
    result = make_client(args).get("/v1/version", version=args.version)
    print_result(args, result, lambda value: [value["text"]])
