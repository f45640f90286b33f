"""Supervision of background loops."""

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
            journal.write(Event.TASK_FAILED, task=run.__qualname__, reason=repr(error))
            await sleep(pause)
