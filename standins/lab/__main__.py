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
    running = commands.add_parser("run", help="run a scenario and write a report")
    running.add_argument("scenario", type=Path)
    running.add_argument("folder", type=Path, help="where the report goes")
    running.set_defaults(act=_run)
    comparing = commands.add_parser("compare", help="put two reports side by side")
    comparing.add_argument("before", type=Path, metavar="BEFORE.json")
    comparing.add_argument("after", type=Path, metavar="AFTER.json")
    comparing.set_defaults(act=_compare)
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
