"""Signals to this process, as events that a task waits for."""

import signal
import socket
from collections import deque

from curio.io import Socket


class SignalWatch:
    """Tells of signals as they come.

    Nothing wakes up to look for them: a process without requests rests.

    :param clock: source of instants.
    :param numbers: the signals to take.
    """

    def __init__(self, clock, *numbers):
        self._clock = clock
        self._instants = deque()
        self._came_at = None
        reader, self._writer = socket.socketpair()
        self._reader = Socket(reader)
        self._writer.setblocking(False)
        for number in numbers:
            signal.signal(number, self._on_signal)

    @property
    def received_at(self):
        """Return the instant at which the last signal came that was returned."""
        return self._came_at

    async def next(self):
        """Wait for a signal and return its number."""
        received = await self._reader.recv(1)
        self._came_at = self._instants.popleft()
        return signal.Signals(received[0])

    def _on_signal(self, number, _):
        try:
            self._writer.send(bytes([number]))
            self._instants.append(self._clock.now())
        except BlockingIOError:
            # Hundreds of signals wait to be read; the task has enough to tell it.
            pass
