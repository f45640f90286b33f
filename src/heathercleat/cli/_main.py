"""Entry point, argument parser and error output of the command line."""

import sys
from argparse import ArgumentParser, RawDescriptionHelpFormatter

from heathercleat.cli._serve import add_serve
from heathercleat.cli._steer import add_steer
from heathercleat.errors import FindingsError, HeathercleatError

EPILOG = """\
examples:
  heathercleat serve --settings vm.jsonc
  heathercleat steer --settings node.yaml
  heathercleat trace 9c41d07be2a35f68 *.log
  heathercleat quarantine list --settings node.yaml
  heathercleat check text.jsonc
  heathercleat apply text.jsonc --settings vm.jsonc
  heathercleat drain plan d1 failure_domain north-a --dry-run --settings vm.jsonc

Exit status: 0 done, 2 wrong input, 3 not done and safe to repeat,
4 outcome unknown, 5 refused because of another edit or too little headroom.
"""

#: Commands that run a VM; their modules import the dependencies when they run.
_VM_COMMANDS = ("serve", "steer")


def main(argv=None):
    """Run a command; after an error, exit with the status of its result code.

    :param argv: the arguments, or ``None`` for those of the process.
    """
    arguments = sys.argv[1:] if argv is None else argv
    args = build_parser(arguments[0] if arguments else None).parse_args(arguments)
    try:
        args.run(args)
    except (HeathercleatError, FindingsError) as error:
        print(error.render(), file=sys.stderr)
        sys.exit(error.exit_status)


def build_parser(command=None):
    """Return the argument parser.

    :param command: the command to be parsed, or ``None`` if unknown. The parser for a
        command that runs a VM lacks the operators' commands, whose imports would slow
        down the start.
    """
    parser = ArgumentParser(
        prog="heathercleat",
        description="Steer traffic between callers and targets.",
        epilog=EPILOG,
        formatter_class=RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(title="commands", required=True, metavar="COMMAND")
    add_serve(commands)
    add_steer(commands)
    if command not in _VM_COMMANDS:
        _add_operator_commands(commands)
    return parser


def _add_operator_commands(commands):
    from heathercleat.cli._drain import add_drain
    from heathercleat.cli._edit import add_edit_commands
    from heathercleat.cli._inspect import add_inspect_commands
    from heathercleat.cli._quarantine import add_quarantine
    from heathercleat.cli._trace import add_trace

    add_edit_commands(commands)
    add_drain(commands)
    add_inspect_commands(commands)
    add_quarantine(commands)
    add_trace(commands)
