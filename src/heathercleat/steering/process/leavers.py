"""Notices callers that close their connection while their request is under way."""

from contextlib import contextmanager

from curio import Event as Signal
from curio import sleep

#: Seconds between two looks: a target works on for a fifth of half a second at most.
#: One task looks at all requests, in place of a task for each.
INTERVAL = 0.08


class Leavers:
    """The requests under way, each with the stream of its caller."""

    def __init__(self):
        self._calls = set()

    @property
    def count(self):
        """Return the number of requests under way."""
        return len(self._calls)

    @contextmanager
    def watch(self, call):
        """Watch a call's stream for the time of the block."""
        self._calls.add(call)
        try:
            yield
        finally:
            self._calls.discard(call)

    async def run(self):
        """Look at every stream until cancelled."""
        while True:
            for call in list(self._calls):
                if not call.left and call.stream.is_closed():
                    call.left = True
                    await _end(call)
            await sleep(INTERVAL)


async def _end(call):
    """Wake a call that waits for a slot; cut the connection of one that was sent."""
    waiting_for = call.on_leave
    if waiting_for is None:
        return
    if isinstance(waiting_for, Signal):
        await waiting_for.set()
    elif call.route.kind.idempotent:
        waiting_for.abort()
