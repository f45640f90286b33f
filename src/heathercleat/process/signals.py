"""Delivery of process signals to a task."""

import signal
import socket
from collections import deque

from curio.io import Socket


class SignalWatch:
    """Queues signals for a task, which needs no polling to receive them.

    :param numbers: the signals to handle.
    """

    def __init__(self, clock, *numbers):
        self._clock = clock
        self._receive_times = deque()
        self._received_at = None
        reader, self._writer = socket.socketpair()
        self._reader = Socket(reader)
        self._writer.setblocking(False)
        for number in numbers:
            signal.signal(number, self._on_signal)

    @property
    def received_at(self):
        """Return when the signal last returned by :meth:`next` was received.

        It is ``None`` before the first one.
        """
        return self._received_at

    async def next(self):
        """Wait for the next signal and return it."""
        received = await self._reader.recv(1)
        self._received_at = self._receive_times.popleft()
        return signal.Signals(received[0])

    def _on_signal(self, number, _):
        try:
            self._writer.send(bytes([number]))
            self._receive_times.append(self._clock.now())
        except BlockingIOError:
            # The buffer is full of unread signals, so another one adds nothing.
            pass
