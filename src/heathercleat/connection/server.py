"""Base class of server connections without pipelining."""

from curio import ignore_after

from heathercleat.codes import ResultCode
from heathercleat.connection.http import CONNECTION_ERRORS
from heathercleat.errors import CallerDisconnectedError, RequestError

_HEADERS_TOO_LARGE = 431


class ServerConnection:
    """Serves requests one after the other; subclasses implement ``_serve_next``.

    :param stream: the :class:`HttpStream`.
    :param linger_seconds: the longest time that the rest of a rejected request is read,
        so that a connection reset does not discard the response.
    :param linger_bytes: the maximum number of bytes read after a rejected request.
    """

    def __init__(self, stream, linger_seconds, linger_bytes):
        self._stream = stream
        self._linger_seconds = linger_seconds
        self._linger_bytes = linger_bytes
        self._is_busy = False

    @property
    def is_busy(self):
        """Return whether a request is in progress or partially received."""
        return self._is_busy or self._stream.has_partial_head

    def close_if_idle(self):
        """Close the connection unless it is busy."""
        if not self._is_busy and self._stream.is_clean():
            self._stream.abort()

    async def serve(self):
        """Serve requests until either side closes the connection."""
        try:
            while await self._serve_next():
                self._is_busy = False
        except (CallerDisconnectedError, *CONNECTION_ERRORS):
            return
        finally:
            self._is_busy = False

    async def _serve_next(self):
        """Serve one request; return whether the connection can be reused."""
        raise NotImplementedError

    async def _can_reuse_connection(self):
        """Return whether the connection can be reused after the current request."""
        if not self._stream.is_request_complete:
            async with ignore_after(self._linger_seconds):
                await self._stream.linger(self._linger_bytes)
            return False
        return self._stream.next_cycle()


def head_error(error):
    """Return the :class:`RequestError` for a malformed request head.

    :param error: the :class:`h11.RemoteProtocolError`.
    """
    code = ResultCode.BAD_REQUEST
    if error.error_status_hint == _HEADERS_TOO_LARGE:
        code = ResultCode.HEADERS_TOO_LARGE
    return RequestError(code, str(error))
