"""Requests in progress, watched for callers that disconnect."""

from contextlib import contextmanager

from curio import sleep

#: Seconds between two checks for disconnected callers. A target should work on for half
#: a second at most, of which this is a fifth. One task checks all requests.
CHECK_SECONDS = 0.08
#: The same while no request is in progress. A request that begins meanwhile is checked
#: after this time at the latest: half of that in which a disconnect has to reach its
#: target.
IDLE_CHECK_SECONDS = 0.25


class ActiveRequests:
    """The requests in progress, each with the stream of its caller."""

    def __init__(self):
        self._calls = set()

    @property
    def count(self):
        """Return the number of requests in progress."""
        return len(self._calls)

    def calls(self):
        """Return the requests in progress."""
        return list(self._calls)

    @contextmanager
    def watch(self, call):
        """Watch a call for the duration of the block."""
        self._calls.add(call)
        try:
            yield
        finally:
            self._calls.discard(call)

    async def run(self):
        """Interrupt calls whose stream is closed, until cancelled."""
        while True:
            for call in list(self._calls):
                if not call.is_disconnected and call.stream.is_closed():
                    call.is_disconnected = True
                    if call.on_disconnect is not None:
                        await call.on_disconnect.interrupt()
            await sleep(CHECK_SECONDS if self._calls else IDLE_CHECK_SECONDS)
