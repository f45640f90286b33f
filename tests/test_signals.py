"""Signals reach the task that waits for them."""

import os
from signal import SIGHUP, SIGTERM, SIGUSR1

import pytest
from curio import run, sleep, spawn

from heathercleat.process.signals import SignalWatch


@pytest.mark.parametrize("sent", [[SIGTERM], [SIGHUP, SIGTERM], [SIGTERM] * 3])
def test_signals_come_in_their_order(sent):
    async def main():
        watch = SignalWatch(SIGTERM, SIGHUP)
        taken = []

        async def take():
            while len(taken) < len(sent):
                taken.append(await watch.next())

        task = await spawn(take)
        for number in sent:
            await sleep(0.01)
            os.kill(os.getpid(), number)
        await task.join()
        return taken

    assert run(main) == sent


def test_more_signals_than_are_read_do_not_block():
    async def main():
        watch = SignalWatch(SIGUSR1)
        for _ in range(2000):
            watch._on_signal(SIGUSR1, None)
        return await watch.next()

    assert run(main) is SIGUSR1
