"""The ``serve`` command."""


def add_serve(commands):
    """Add the ``serve`` command to the parser."""
    parser = commands.add_parser(
        "serve",
        help="run an entry VM",
        description="Run an entry VM. On SIGTERM, finish open requests and exit.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.set_defaults(run=_serve)


def _serve(args):
    # Imported here to keep the start of other commands short.
    from curio import run

    from heathercleat.process.logs import LogWriter
    from heathercleat.process.settings import load_settings
    from heathercleat.process.vm import EntryVM

    settings = load_settings(args.settings)
    writer = LogWriter(settings.log_level)
    writer.start()
    try:
        run(EntryVM(settings, log_writer=writer).serve)
    finally:
        writer.stop()
