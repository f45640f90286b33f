"""Signals to this process, as events that a task waits for."""

import signal
import socket

from curio.io import Socket


class SignalWatch:
    """Tells of signals as they come.

    A task that looked for them every 0.05 s was a quarter of the wake-ups of a process
    without requests (20 of 85 a second, counted over 30 s).

    :param numbers: the signals to take.
    """

    def __init__(self, *numbers):
        reader, self._writer = socket.socketpair()
        self._reader = Socket(reader)
        self._writer.setblocking(False)
        for number in numbers:
            signal.signal(number, self._on_signal)

    async def next(self):
        """Wait for a signal and return its number."""
        received = await self._reader.recv(1)
        return signal.Signals(received[0])

    def _on_signal(self, number, _):
        try:
            self._writer.send(bytes([number]))
        except BlockingIOError:
            # Hundreds of signals wait to be read; the task has enough to tell it.
            pass
