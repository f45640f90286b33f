"""Notices callers that close their connection while their request is under way."""

from contextlib import contextmanager

from curio import sleep

#: Seconds between two looks: a target works on for a fifth of half a second at most.
#: One task looks at all requests, in place of a task for each.
INTERVAL = 0.08
#: The same while no request is under way: one that begins meanwhile is looked at after
#: this time at the latest, half of the time in which its end has to reach the target.
IDLE_INTERVAL = 0.25


class ActiveRequests:
    """The requests under way, each with the stream of its caller."""

    def __init__(self):
        self._calls = set()

    @property
    def count(self):
        """Return the number of requests under way."""
        return len(self._calls)

    def calls(self):
        """Return the requests under way."""
        return list(self._calls)

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
                    if call.on_leave is not None:
                        await call.on_leave.interrupt()
            await sleep(INTERVAL if self._calls else IDLE_INTERVAL)
