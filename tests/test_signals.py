"""Signals must reach the task that waits for them, in order and without blocking."""

import os
from signal import SIGHUP, SIGTERM, SIGUSR1

import pytest
from curio import run, sleep, spawn

from heathercleat.process.signals import SignalWatch
from tests.fakes import ManualClock


@pytest.mark.parametrize("sent", [[SIGTERM], [SIGHUP, SIGTERM], [SIGTERM] * 3])
def test_signals_are_delivered_in_order(sent):
    async def main():
        watch = SignalWatch(ManualClock(), SIGTERM, SIGHUP)
        received = []

        async def receive():
            while len(received) < len(sent):
                received.append(await watch.next())

        task = await spawn(receive)
        for number in sent:
            await sleep(0.01)
            os.kill(os.getpid(), number)
        await task.join()
        return received

    assert run(main) == sent


def test_unread_signals_do_not_block():
    async def main():
        watch = SignalWatch(ManualClock(), SIGUSR1)
        for _ in range(2000):
            watch._on_signal(SIGUSR1, None)
        return await watch.next()

    assert run(main) is SIGUSR1


def test_received_at_is_the_arrival_of_a_signal_that_waits():
    clock = ManualClock()
    received_at = clock.now()

    async def main():
        watch = SignalWatch(clock, SIGTERM)
        os.kill(os.getpid(), SIGTERM)
        clock.time += 0.5
        await watch.next()
        return watch.received_at

    assert run(main) == received_at
