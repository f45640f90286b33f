"""Loops of a process that go on after an unexpected error."""

from curio import sleep

from heathercleat.events import Event


async def run_supervised(run, journal, pause):
    """Run a loop; an error in it is logged and the loop starts again.

    :param run: the loop, a coroutine function.
    :param pause: seconds until it starts again.
    """
    while True:
        try:
            await run()
        except Exception as error:  # noqa: BLE001
            journal.write(Event.TASK_FAILED, task=run.__qualname__, reason=repr(error))
            await sleep(pause)
