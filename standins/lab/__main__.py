"""The command line of the lab."""

import json
import sys
from argparse import ArgumentParser
from pathlib import Path

from heathercleat.errors import FindingsError
from standins.lab.experiment import run_scenario
from standins.lab.report import Report, compare
from standins.lab.scenario import ScenarioError, load_scenario


def main():
    """Run a scenario, or compare two reports."""
    parser = ArgumentParser(prog="standins.lab", description=main.__doc__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    run_parser = commands.add_parser("run", help="run a scenario and write a report")
    run_parser.add_argument("scenario", type=Path)
    run_parser.add_argument("folder", type=Path, help="directory of the report")
    run_parser.set_defaults(act=_run)
    compare_parser = commands.add_parser("compare", help="compare two reports")
    compare_parser.add_argument("before", type=Path, metavar="BEFORE.json")
    compare_parser.add_argument("after", type=Path, metavar="AFTER.json")
    compare_parser.set_defaults(act=_compare)
    args = parser.parse_args()
    try:
        args.act(args)
    except ScenarioError as error:
        sys.exit(str(error))
    except FindingsError as error:
        sys.exit(error.render())


def _run(args):
    scenario = load_scenario(args.scenario)
    report = Report(scenario, run_scenario(scenario))
    report.write(args.folder)
    print(report.markdown())


def _compare(args):
    before, after = (json.loads(path.read_text()) for path in (args.before, args.after))
    print(compare(before, after))


if __name__ == "__main__":
    main()
