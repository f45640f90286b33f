"""The ``steer`` command."""

import sys


def add_steer(commands):
    """Add the ``steer`` command to the parser."""
    parser = commands.add_parser(
        "steer",
        help="steer clients' requests to the targets of the platform",
        description="Steer clients' requests to the targets that the platform lists. "
        "On SIGTERM, finish open requests and exit.",
    )
    parser.add_argument(
        "--settings",
        metavar="FILE",
        help="the settings file of the VM (default: $HEATHERCLEAT_SETTINGS)",
    )
    parser.add_argument("--metrics-port", type=int, metavar="PORT")
    parser.add_argument("--log-level", default="INFO", metavar="LEVEL")
    parser.set_defaults(run=_steer)


def _steer(args):
    # Imported here to keep the start of other commands short.
    from curio import run

    from heathercleat.platform.settings import load_node_settings
    from heathercleat.process.logs import LogWriter
    from heathercleat.steering.process.node import SteeringNode

    settings = load_node_settings(args.settings)
    writer = LogWriter(args.log_level, sys.stdout)
    writer.start()
    try:
        run(SteeringNode(settings, args.metrics_port, writer).serve)
    finally:
        writer.stop()
