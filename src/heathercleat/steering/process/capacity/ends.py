"""Tells targets that have ended from connections that broke."""

from curio import sleep

from heathercleat.connection.http import before

#: Seconds in which a target has to accept a connection: a lost opening packet is sent
#: again after one second, and by then another target has answered.
CONNECT_TIMEOUT = 0.4
#: Seconds in which a process that ends has closed all its sockets, one after another:
#: until then it may still accept a connection.
CLOSE_SECONDS = 0.03
#: Ended targets that are remembered, the latest ones: all of a large service.
MOST_REMEMBERED = 1024


class TargetEnds:
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

    async def has_ended(self, entry):
        """Return whether a target has ended, by opening a connection to it.

        The connection that broke has to be replaced in any case: one to a target that
        runs is kept for the next request.

        :param entry: its :class:`TargetEntry`.
        """
        if entry.life in self._ended:
            return True
        try:
            # One that was closing when it accepted the first refuses the second.
            if not await self._accepts(entry):
                await self._accepts(entry)
        except ConnectionRefusedError:
            self._remember(entry.life)
        except (OSError, TimeoutError):
            return False
        return entry.life in self._ended

    async def _accepts(self, entry):
        """Return whether a target takes a new connection and keeps it.

        :raises OSError: when it does not take one.
        """
        deadline = self._clock.now() + CONNECT_TIMEOUT
        opening = self._pool.checkout(entry.host, entry.port, fresh=True)
        stream = await before(deadline, self._clock, opening)
        await sleep(CLOSE_SECONDS)
        if not stream.is_clean():
            await self._pool.discard(entry.host, entry.port, stream)
            return False
        await self._pool.keep_new(entry.host, entry.port, stream)
        return True

    def _remember(self, life):
        self._ended[life] = None
        if len(self._ended) > MOST_REMEMBERED:
            del self._ended[next(iter(self._ended))]
