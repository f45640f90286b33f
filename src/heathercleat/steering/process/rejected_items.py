"""Log lines for invalid table rows, and for reports that cannot be sent."""

from heathercleat.events import Event

#: Maximum lines per window, so that a writer that repeats itself each millisecond does
#: not fill the log.
MAX_LINES_PER_WINDOW = 20
#: Length of a window, in seconds.
WINDOW_SECONDS = 10.0
#: Maximum characters of a key and of a reason in a line.
_MAX_SHOWN_CHARS = 200


class RejectedItemLog:
    """Logs and counts rejected items, with a rate limit of the lines.

    :param event: the :class:`Event` of the lines.
    """

    def __init__(self, journal, clock, event=Event.ROW_REJECTED):
        self._journal = journal
        self._clock = clock
        self._event = event
        self._count = 0
        self._window_ends_at = 0.0
        self._line_count = 0
        self._omitted_count = 0

    @property
    def count(self):
        """Return the number of rejected items so far."""
        return self._count

    def log(self, key, error):
        """Log a rejected item, or count it if the rate limit is reached."""
        self._count += 1
        now = self._clock.now()
        if now >= self._window_ends_at:
            self._window_ends_at = now + WINDOW_SECONDS
            self._line_count = 0
        if self._line_count >= MAX_LINES_PER_WINDOW:
            self._omitted_count += 1
            return
        self._line_count += 1
        self._journal.write(
            self._event,
            key=key[:_MAX_SHOWN_CHARS],
            reason=str(error)[:_MAX_SHOWN_CHARS],
            left_out=self._omitted_count,
        )
        self._omitted_count = 0
