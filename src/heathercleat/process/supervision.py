"""Supervision of background loops."""

from pathlib import PurePath
from traceback import extract_tb

from curio import sleep

from heathercleat.events import Event


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
    """Return the file, line and function in which an error was raised."""
    frame = extract_tb(error.__traceback__)[-1]
    return f"{PurePath(frame.filename).name}:{frame.lineno} {frame.name}"
