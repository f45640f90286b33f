"""Responses that were written to a connection and that its peer has not taken yet.

The kernel buffers data that the peer has not acknowledged. It counts toward the memory
of the VM, so it stays reserved.
"""

import socket
import struct
from fcntl import ioctl
from termios import TIOCOUTQ

from curio import sleep

from heathercleat.connection.http import RESET_ON_CLOSE
from heathercleat.events import Event
from heathercleat.steering.process.memory.budget import SMALL_BYTES

#: Seconds in which a peer must take at least one byte of a response. Callers wait for 3
#: to 8 s. Over a lossy link a byte may need four transmissions, 4.5 s in all. A caller
#: that reads 12 KB/s opens its receive window once every 5 s over the loopback
#: interface, which has packets of 64 KB.
PROGRESS_SECONDS = 6.0
#: Seconds without progress after which a response is expected to be dropped.
IDLE_SECONDS = 1.0
#: Seconds between two checks while responses or waiting requests are pending.
CHECK_SECONDS = 0.05
#: The same while there are none; shorter than the wait of a request for memory.
IDLE_CHECK_SECONDS = 0.1
#: A longer time between two checks is a pause of this process, in which the kernel may
#: have dropped what peers sent.
MAX_CHECK_GAP_SECONDS = 0.5
#: State of a closed connection in the first byte of ``TCP_INFO``.
_TCP_CLOSE = 7


class SendBuffer:
    """The send buffer of a connection.

    :param sock: the curio socket.
    """

    __slots__ = ("_sock",)

    def __init__(self, sock):
        self._sock = sock

    def unacknowledged(self):
        """Return the bytes that the peer has not acknowledged."""
        return struct.unpack("i", ioctl(self._sock.fileno(), TIOCOUTQ, b"\0" * 4))[0]

    def is_disconnected(self):
        """Return whether the connection was reset."""
        info = self._sock._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[0] == _TCP_CLOSE

    def reset(self):
        """Reset the connection, which wakes the task that writes to it."""
        try:
            sock = self._sock._socket
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


class ResponseOutput:
    """What a peer has not taken yet of the responses on one connection.

    :param buffer: the :class:`SendBuffer`.
    :param budget: the :class:`MemoryBudget`.
    :param peer: description of the peer, for the log.
    """

    __slots__ = (
        "_buffer",
        "_budget",
        "_peer",
        "_clock",
        "_held",
        "_unwritten",
        "_written",
        "_taken",
        "_progress_deadline",
        "_is_closed",
    )

    def __init__(self, buffer, budget, peer, clock):
        self._buffer = buffer
        self._budget = budget
        self._peer = peer
        self._clock = clock
        self._held = 0
        self._unwritten = 0
        self._written = 0
        self._taken = 0
        self._progress_deadline = 0.0
        self._is_closed = False

    @property
    def peer(self):
        """Return the description of the peer."""
        return self._peer

    @property
    def held(self):
        """Return the reserved bytes."""
        return self._held

    @property
    def progress_deadline(self):
        """Return until when the peer must take the next byte."""
        return self._progress_deadline

    @property
    def is_pending(self):
        """Return whether there are bytes that the peer has not taken."""
        return not self._is_closed and (
            self._unwritten > 0 or self._taken < self._written
        )

    def begin(self, reserved, size):
        """Take over the memory of a response that is written from now on.

        :param reserved: its reserved bytes.
        :param size: its body in bytes.
        :raises EOFError: if the connection was reset.
        """
        if self._is_closed:
            self._budget.release_response(reserved)
            raise EOFError("the connection was reset")
        if not self.is_pending:
            self._progress_deadline = self._clock.now() + PROGRESS_SECONDS
        self._held += reserved
        self._unwritten += size

    def finish(self):
        """Record that the response has been written."""
        self._unwritten = 0
        self.update()

    def record_written(self, count):
        """Record that the kernel has accepted bytes, of heads or bodies."""
        self._written += count
        self.update()

    def record_consumed(self, count):
        """Record that bytes of a body were written and their memory was freed."""
        self._unwritten -= count

    def update(self):
        """Record what the peer has taken, and release its memory."""
        if self._is_closed:
            return
        unacknowledged = self._buffer.unacknowledged()
        taken = self._written - unacknowledged
        if taken > self._taken:
            self._taken = taken
            self._progress_deadline = self._clock.now() + PROGRESS_SECONDS
        excess = self._held - self._unwritten - unacknowledged
        if excess > 0:
            self._held -= excess
            self._budget.release_response(excess)

    def postpone(self, seconds):
        """Move the deadline by a pause of this process."""
        self._progress_deadline += seconds

    def close(self):
        """Release all memory; the connection ends."""
        self._is_closed = True
        self._budget.release_response(self._held)
        self._held = 0

    def drop(self):
        """Reset the connection, which wakes the task that writes to it."""
        self.close()
        self._buffer.reset()

    async def wait_taken(self):
        """Wait until the peer has taken all, or the connection is closed."""
        while self.is_pending and not self._buffer.is_disconnected():
            await sleep(CHECK_SECONDS)
            self.update()


class OutputMonitor:
    """Checks all outputs; drops the responses of peers that do not read.

    :param budget: the :class:`MemoryBudget`.
    """

    def __init__(self, budget, journal, clock):
        self._budget = budget
        self._journal = journal
        self._clock = clock
        self._outputs = set()
        self._dropped_count = 0
        self._checked_at = clock.now()

    @property
    def dropped_count(self):
        """Return the number of responses dropped since the start."""
        return self._dropped_count

    def new_output(self, sock, peer):
        """Return the :class:`ResponseOutput` of a new connection."""
        return ResponseOutput(SendBuffer(sock), self._budget, peer, self._clock)

    def watch(self, output):
        """Check an output until the peer has taken all."""
        self._outputs.add(output)

    def forget(self, output):
        """Release the memory of an output whose connection ends."""
        self._outputs.discard(output)
        output.close()

    def next_drop_at(self, now):
        """Return when the next response will probably be dropped, or ``None``."""
        idle_from = now + PROGRESS_SECONDS - IDLE_SECONDS
        deadlines = [
            each.progress_deadline for each in self._outputs if each.held > SMALL_BYTES
        ]
        return min((each for each in deadlines if each < idle_from), default=None)

    def check(self):
        """Update all outputs, and drop those whose peer takes nothing."""
        now = self._clock.now()
        pause = now - self._checked_at - MAX_CHECK_GAP_SECONDS
        self._checked_at = now
        for output in list(self._outputs):
            if pause > 0:
                output.postpone(pause + MAX_CHECK_GAP_SECONDS)
            output.update()
            if not output.is_pending:
                self._outputs.discard(output)
            elif now >= output.progress_deadline:
                self._drop(output)

    async def run(self):
        """Check until cancelled."""
        while True:
            self.check()
            await self._budget.grant_waiting()
            is_active = self._outputs or self._budget.has_waiters
            await sleep(CHECK_SECONDS if is_active else IDLE_CHECK_SECONDS)

    def _drop(self, output):
        self._outputs.discard(output)
        self._dropped_count += 1
        self._journal.write(
            Event.RESPONSE_DROPPED,
            peer=output.peer,
            bytes=output.held,
            seconds=PROGRESS_SECONDS,
            requests=self._budget.request_bytes,
            responses=self._budget.response_bytes,
            limit=int(self._budget.limit),
        )
        output.drop()
