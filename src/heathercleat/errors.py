"""Errors that carry a result code and render themselves for a terminal."""

from heathercleat.codes import ResultCode


class HeathercleatError(Exception):
    """An error with a numbered result code.

    :param code: the :class:`ResultCode` of the failure.
    :param message: names the bad value and how to mend it.
    """

    def __init__(self, code, message):
        super().__init__(message)
        self._code = code

    @property
    def code(self):
        """Return the result code."""
        return self._code

    @property
    def exit_status(self):
        """Return the exit status for the command line."""
        return self._code.exit_status

    def render(self):
        """Return the lines shown on a terminal."""
        return f"error {self._code.number}: {self}\n  next: {self._code.advice}"


class RequestError(HeathercleatError):
    """A request that gets ``code`` as its final answer.

    :param retry_at: the wall-clock instant, in epoch seconds, from which a repeat is
        welcome, or ``None``.
    """

    def __init__(self, code, message, retry_at=None):
        super().__init__(code, message)
        self._retry_at = retry_at

    @property
    def retry_at(self):
        """Return the instant from which a repeat is welcome, or ``None``."""
        return self._retry_at


class PlatformError(HeathercleatError):
    """The platform did not answer, so the effect of a write is unknown."""

    def __init__(self, message):
        super().__init__(ResultCode.PLATFORM_DOWN, message)


class PeerError(HeathercleatError):
    """A peer VM did not answer in time or refused the connection."""

    def __init__(self, message):
        super().__init__(ResultCode.VM_UNREACHABLE, message)


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its answer was complete."""


class Finding(HeathercleatError):  # noqa: N818
    """One fault in an operators' file, with its place.

    :param pointer: the JSON pointer of the faulty value.
    :param line: line number from 1.
    :param column: column number from 1.
    """

    def __init__(self, message, pointer, line, column, code=ResultCode.TEXT_INVALID):
        super().__init__(code, message)
        self._pointer = pointer
        self._line = line
        self._column = column

    @property
    def pointer(self):
        """Return the JSON pointer of the faulty value."""
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
    """All findings in one file, as an exception group of :class:`Finding`."""

    def derive(self, findings):
        """Return a group of the same type for ``findings``."""
        return FindingsError(self.message, findings)

    @property
    def code(self):
        """Return the result code of the first finding."""
        return self.exceptions[0].code

    @property
    def exit_status(self):
        """Return the exit status for the command line."""
        return self.code.exit_status

    def render(self):
        """Return one line a finding."""
        lines = [f"{self.message}:{finding.render()}" for finding in self.exceptions]
        return "\n".join([*lines, f"  next: {self.code.advice}"])
