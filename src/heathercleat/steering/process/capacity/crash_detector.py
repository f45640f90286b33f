"""Distinguishes a crashed target from a broken connection."""

from curio import sleep

from heathercleat.connection.http import with_deadline

#: Timeout of connecting to a target, in seconds; shorter than TCP's first
#: retransmission timeout, since a retry at another target is faster.
CONNECT_TIMEOUT_SECONDS = 0.4
#: Seconds in which a terminating process closes all its sockets; until then it may
#: still accept a connection.
SOCKET_CLOSE_SECONDS = 0.03
#: Maximum number of crashed targets to remember; enough for a large service.
MAX_REMEMBERED_CRASHES = 1024


class CrashDetector:
    """Checks whether a target crashed when its connection broke during a request.

    The host refuses connections to a process that has terminated. If the host is
    unreachable, the target does not count as crashed, nor if all targets refuse
    connections of this VM.

    :param pool: the connection pool for targets.
    :param is_any_reachable: coroutine function that returns whether this VM reaches any
        target.
    """

    def __init__(self, pool, is_any_reachable, clock):
        self._pool = pool
        self._is_any_reachable = is_any_reachable
        self._clock = clock
        # Incarnation ids of crashed targets, the latest last.
        self._crashed = {}

    async def has_crashed(self, entry):
        """Return whether a target has crashed, by opening a connection to it.

        An accepted connection is added to the pool for later requests.

        :param entry: the :class:`TargetEntry` of the target.
        """
        if entry.incarnation_id in self._crashed:
            return True
        try:
            # A process that is still terminating during the first attempt refuses the
            # second one.
            if not await self._accepts_connection(entry):
                await self._accepts_connection(entry)
        except ConnectionRefusedError:
            if await self._is_any_reachable():
                self._remember(entry.incarnation_id)
        except (OSError, TimeoutError):
            return False
        return entry.incarnation_id in self._crashed

    async def _accepts_connection(self, entry):
        """Return whether a target accepts a new connection and keeps it open.

        :raises OSError: if the connection cannot be opened.
        """
        deadline = self._clock.now() + CONNECT_TIMEOUT_SECONDS
        opening = self._pool.checkout(entry.host, entry.port, fresh=True)
        stream = await with_deadline(deadline, self._clock, opening)
        await sleep(SOCKET_CLOSE_SECONDS)
        if not stream.is_clean():
            await self._pool.discard(entry.host, entry.port, stream)
            return False
        await self._pool.add_unused(entry.host, entry.port, stream)
        return True

    def _remember(self, incarnation_id):
        self._crashed[incarnation_id] = None
        if len(self._crashed) > MAX_REMEMBERED_CRASHES:
            del self._crashed[next(iter(self._crashed))]
