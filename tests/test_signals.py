"""Signals reach the task that waits for them."""

import os
from signal import SIGHUP, SIGTERM, SIGUSR1

import pytest
from curio import run, sleep, spawn

from heathercleat.process.signals import SignalWatch
from tests.fakes import ManualClock


@pytest.mark.parametrize("sent", [[SIGTERM], [SIGHUP, SIGTERM], [SIGTERM] * 3])
def test_signals_come_in_their_order(sent):
    async def main():
        watch = SignalWatch(ManualClock(), SIGTERM, SIGHUP)
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
        watch = SignalWatch(ManualClock(), SIGUSR1)
        for _ in range(2000):
            watch._on_signal(SIGUSR1, None)
        return await watch.next()

    assert run(main) is SIGUSR1


def test_time_in_which_nobody_reads_a_signal_counts():
    clock = ManualClock()
    received_at = clock.now()

    async def main():
        watch = SignalWatch(clock, SIGTERM)
        os.kill(os.getpid(), SIGTERM)
        clock.time += 0.5
        await watch.next()
        return watch.received_at

    assert run(main) == received_at
