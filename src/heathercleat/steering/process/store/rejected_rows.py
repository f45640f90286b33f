"""Rows of tables that cannot be used, in the log."""

from heathercleat.events import Event

#: Lines that are written in a window, and its seconds: a writer that repeats itself
#: each millisecond fills no log (2 lines a second; an estimate of what a reader needs).
MAX_LINES_PER_WINDOW = 20
WINDOW_SECONDS = 10.0
#: Characters of a key and of a reason that a line shows.
_SHOWN = 200


class RejectedRowLog:
    """Logs rejected rows, a bounded number of lines a window."""

    def __init__(self, journal, clock):
        self._journal = journal
        self._clock = clock
        self._window_until = 0.0
        self._lines = 0
        self._left_out = 0

    def note(self, key, error):
        """Log that the row of a key was rejected."""
        now = self._clock.now()
        if now >= self._window_until:
            self._window_until = now + WINDOW_SECONDS
            self._lines = 0
        if self._lines >= MAX_LINES_PER_WINDOW:
            self._left_out += 1
            return
        self._lines += 1
        self._journal.write(
            Event.ROW_REJECTED,
            key=key[:_SHOWN],
            reason=str(error)[:_SHOWN],
            left_out=self._left_out,
        )
        self._left_out = 0
