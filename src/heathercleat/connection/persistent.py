"""A persistent HTTP connection to one server."""

from curio import Lock

from heathercleat.connection.http import exchange


class PersistentConnection:
    """Runs one exchange at a time and reconnects when necessary.

    :param connect: coroutine function that returns a client :class:`HttpStream`.
    :param limit: the maximum size of a response body, in bytes.
    """

    def __init__(self, connect, limit):
        self._connect = connect
        self._limit = limit
        self._lock = Lock()
        self._stream = None

    async def exchange(self, message):
        """Send a :class:`Message` and return the response.

        An exchange that fails or is cancelled closes the connection, so that its late
        response is not attributed to a later request.
        """
        async with self._lock:
            stream, self._stream = self._stream, None
            if stream is not None and not stream.is_clean():
                await stream.close()
                stream = None
            if stream is None:
                stream = await self._connect()
            is_reusable = False
            try:
                response = await exchange(stream, message, self._limit)
                is_reusable = stream.next_cycle()
            finally:
                if is_reusable:
                    self._stream = stream
                else:
                    await stream.close()
            return response

    async def close(self):
        """Close the connection, if it is open."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await stream.close()
