"""A connection to one server that is kept from one exchange to the next."""

from curio import Lock

from heathercleat.connection.http import exchange


class PersistentConnection:
    """Runs exchanges one after the other, on a new connection where it must.

    :param connect: opens a client :class:`HttpStream`; a coroutine function.
    :param limit: the largest answer in bytes.
    """

    def __init__(self, connect, limit):
        self._connect = connect
        self._limit = limit
        self._lock = Lock()
        self._stream = None

    async def exchange(self, message):
        """Send a :class:`Message` and return the whole answer.

        An exchange that fails or is cancelled closes the connection, so that a late
        answer is never taken for the answer to a later request.
        """
        async with self._lock:
            stream, self._stream = self._stream, None
            if stream is not None and not stream.is_clean():
                await stream.close()
                stream = None
            if stream is None:
                stream = await self._connect()
            reusable = False
            try:
                answer = await exchange(stream, message, self._limit)
                reusable = stream.next_cycle()
            finally:
                if reusable:
                    self._stream = stream
                else:
                    await stream.close()
            return answer

    async def close(self):
        """Close the connection."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await stream.close()
