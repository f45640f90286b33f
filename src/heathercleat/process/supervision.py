"""Supervision of background loops."""

from pathlib import PurePath
from traceback import extract_tb

from curio import sleep

from heathercleat.events import Event

#: Name of the folder of this package, in the paths of its files.
PACKAGE = "heathercleat"


async def run_supervised(run, journal, pause):
    """Run a loop and restart it after an unexpected error, which is logged.

    :param run: the loop, a coroutine function.
    :param pause: seconds to wait before a restart.
    """
    while True:
        try:
            await run()
        except Exception as error:  # noqa: BLE001
            journal.write(
                Event.TASK_FAILED,
                task=run.__qualname__,
                reason=repr(error),
                where=locate(error),
            )
            await sleep(pause)


def locate(error):
    """Return the file, line and function in which an error was raised.

    This is the innermost frame of this package below the one that caught the error; the
    innermost of all if only libraries are below.
    """
    frames = extract_tb(error.__traceback__)
    below = [each for each in frames[1:] if PACKAGE in PurePath(each.filename).parts]
    frame = below[-1] if below else frames[-1]
    return f"{PurePath(frame.filename).name}:{frame.lineno} {frame.name}"
