"""A connection whose requests are served one after the other."""

from curio import ignore_after

from heathercleat.codes import ResultCode
from heathercleat.connection.http import CONNECTION_ERRORS
from heathercleat.errors import CallerDisconnectedError, RequestError

_HEADERS_TOO_LARGE = 431


class ServerConnection:
    """The loop of a connection; a subclass serves one request at a time.

    :param stream: the :class:`HttpStream`.
    :param linger_seconds: seconds for which the rest of a refused request is read, so
        that a reset does not overtake the answer.
    :param linger_bytes: bytes of it that are read at most.
    """

    def __init__(self, stream, linger_seconds, linger_bytes):
        self._stream = stream
        self._linger_seconds = linger_seconds
        self._linger_bytes = linger_bytes
        self._busy = False

    @property
    def is_busy(self):
        """Return whether a request is under way or has begun to arrive."""
        return self._busy or self._stream.has_partial_head

    def close_if_idle(self):
        """Close the connection unless a request is under way or has begun to arrive."""
        if not self._busy and self._stream.is_clean():
            self._stream.abort()

    async def serve(self):
        """Serve requests one after the other until either side closes."""
        try:
            while await self._serve_next():
                self._busy = False
        except (CallerDisconnectedError, *CONNECTION_ERRORS):
            return
        finally:
            self._busy = False

    async def _serve_next(self):
        """Serve one request; return whether the connection can take another."""
        raise NotImplementedError

    async def _can_go_on(self):
        """Return whether the connection can take another request after this one."""
        if not self._stream.is_request_complete:
            async with ignore_after(self._linger_seconds):
                await self._stream.linger(self._linger_bytes)
            return False
        return self._stream.next_cycle()


def head_error(error):
    """Return the :class:`RequestError` for a head that does not parse.

    :param error: the :class:`h11.RemoteProtocolError`.
    """
    code = ResultCode.BAD_REQUEST
    if error.error_status_hint == _HEADERS_TOO_LARGE:
        code = ResultCode.HEADERS_TOO_LARGE
    return RequestError(code, str(error))
