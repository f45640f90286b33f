"""Log lines for invalid table rows."""

from heathercleat.events import Event

#: Maximum lines per window, so that a writer that repeats itself each millisecond does
#: not fill the log.
MAX_LINES_PER_WINDOW = 20
#: Length of a window, in seconds.
WINDOW_SECONDS = 10.0
#: Maximum characters of a key and of a reason in a line.
_MAX_SHOWN_CHARS = 200


class RejectedRowLog:
    """Logs rejected rows, with a rate limit."""

    def __init__(self, journal, clock):
        self._journal = journal
        self._clock = clock
        self._window_ends_at = 0.0
        self._line_count = 0
        self._omitted_count = 0

    def log(self, key, error):
        """Log a rejected row, or count it if the rate limit is reached."""
        now = self._clock.now()
        if now >= self._window_ends_at:
            self._window_ends_at = now + WINDOW_SECONDS
            self._line_count = 0
        if self._line_count >= MAX_LINES_PER_WINDOW:
            self._omitted_count += 1
            return
        self._line_count += 1
        self._journal.write(
            Event.ROW_REJECTED,
            key=key[:_MAX_SHOWN_CHARS],
            reason=str(error)[:_MAX_SHOWN_CHARS],
            left_out=self._omitted_count,
        )
        self._omitted_count = 0
