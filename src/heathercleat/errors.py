"""Exceptions that carry a result code."""

from heathercleat.codes import ResultCode


class HeathercleatError(Exception):
    """Base class of errors with a result code.

    :param code: a :class:`ResultCode`.
    :param message: names the bad value and how to correct it.
    """

    def __init__(self, code, message):
        super().__init__(message)
        self._code = code

    @property
    def code(self):
        """Return the :class:`ResultCode`."""
        return self._code

    @property
    def exit_status(self):
        """Return the exit status of the command line."""
        return self._code.exit_status

    def render(self):
        """Return the error as lines for a terminal."""
        return f"error {self._code.number}: {self}\n  next: {self._code.advice}"


class RequestError(HeathercleatError):
    """A request that is rejected with a final response.

    :param retry_at: the earliest time for a retry, or ``None``; in epoch seconds if
        raised by ``serve``, an instant of ``Clock.now()`` if raised by ``steer``.
    """

    def __init__(self, code, message, retry_at=None):
        super().__init__(code, message)
        self._retry_at = retry_at

    @property
    def retry_at(self):
        """Return the earliest time for a retry, or ``None``; see the class."""
        return self._retry_at


class PlatformError(HeathercleatError):
    """The platform did not respond; a write may have taken effect."""

    def __init__(self, message):
        super().__init__(ResultCode.PLATFORM_DOWN, message)


class PeerError(HeathercleatError):
    """A peer VM did not respond in time or refused the connection."""

    def __init__(self, message):
        super().__init__(ResultCode.VM_UNREACHABLE, message)


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the response was complete."""


class Finding(HeathercleatError):  # noqa: N818
    """An error in a configuration or settings file, with its position.

    :param pointer: the JSON pointer of the invalid value.
    :param line: line number, from 1.
    :param column: column number, from 1.
    """

    def __init__(self, message, pointer, line, column, code=ResultCode.TEXT_INVALID):
        super().__init__(code, message)
        self._pointer = pointer
        self._line = line
        self._column = column

    @property
    def pointer(self):
        """Return the JSON pointer of the invalid value."""
        return self._pointer

    @property
    def line(self):
        """Return the line number, from 1."""
        return self._line

    @property
    def column(self):
        """Return the column number, from 1."""
        return self._column

    def render(self):
        """Return ``line:column: message``."""
        return f"{self._line}:{self._column}: {self}"


class FindingsError(ExceptionGroup):
    """All errors of one file, as an exception group of :class:`Finding`."""

    def derive(self, findings):
        """Return a group of the same type for ``findings``."""
        return FindingsError(self.message, findings)

    @property
    def code(self):
        """Return the result code of the first finding."""
        return self.exceptions[0].code

    @property
    def exit_status(self):
        """Return the exit status of the command line."""
        return self.code.exit_status

    def render(self):
        """Return a line for each finding, and the advice of the result code."""
        lines = [f"{self.message}:{finding.render()}" for finding in self.exceptions]
        return "\n".join([*lines, f"  next: {self.code.advice}"])
