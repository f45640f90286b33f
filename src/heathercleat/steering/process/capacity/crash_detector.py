"""Tells targets that have ended from connections that broke."""

from curio import sleep

from heathercleat.connection.http import before

#: Seconds in which a target has to accept a connection: a lost opening packet is sent
#: again after one second, and by then another target has answered.
CONNECT_TIMEOUT_SECONDS = 0.4
#: Seconds in which a process that ends has closed all its sockets, one after another:
#: until then it may still accept a connection.
SOCKET_CLOSE_SECONDS = 0.03
#: Ended targets that are remembered, the latest ones: all of a large service.
MAX_REMEMBERED_CRASHES = 1024


class CrashDetector:
    """Looks whether targets run whose connections broke with a request on them.

    An answer may be lost on its way, or cut by a target that runs on. The system that a
    process ran on refuses connections to it once it has ended; one that is cut off or
    has no power does not answer, and what became of it is not known.

    :param pool: connections to targets.
    """

    def __init__(self, pool, clock):
        self._pool = pool
        self._clock = clock
        # Lives of targets, the one that ended last at the end.
        self._ended = {}

    async def has_crashed(self, entry):
        """Return whether a target has ended, by opening a connection to it.

        The connection that broke has to be replaced in any case: one to a target that
        runs is kept for the next request.

        :param entry: its :class:`TargetEntry`.
        """
        if entry.incarnation_id in self._ended:
            return True
        try:
            # One that was closing when it accepted the first refuses the second.
            if not await self._accepts(entry):
                await self._accepts(entry)
        except ConnectionRefusedError:
            self._remember(entry.incarnation_id)
        except (OSError, TimeoutError):
            return False
        return entry.incarnation_id in self._ended

    async def _accepts(self, entry):
        """Return whether a target takes a new connection and keeps it.

        :raises OSError: when it does not take one.
        """
        deadline = self._clock.now() + CONNECT_TIMEOUT_SECONDS
        opening = self._pool.checkout(entry.host, entry.port, fresh=True)
        stream = await before(deadline, self._clock, opening)
        await sleep(SOCKET_CLOSE_SECONDS)
        if not stream.is_clean():
            await self._pool.discard(entry.host, entry.port, stream)
            return False
        await self._pool.add_unused(entry.host, entry.port, stream)
        return True

    def _remember(self, incarnation_id):
        self._ended[incarnation_id] = None
        if len(self._ended) > MAX_REMEMBERED_CRASHES:
            del self._ended[next(iter(self._ended))]
