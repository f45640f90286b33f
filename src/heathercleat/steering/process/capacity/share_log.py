"""Log lines and counts of requests that are refused for the share of a workspace."""

from heathercleat.events import Event

#: Seconds without a refusal after which a workspace counts as within its share again.
QUIET_SECONDS = 2.0
#: Maximum log lines per second; further changes are only counted in the metrics.
MAX_LINES_PER_SECOND = 10


class ShareLog:
    """Records which workspaces are refused requests for their share, by service."""

    def __init__(self, journal, clock):
        self._journal = journal
        self._clock = clock
        # Service and workspace to the instant of the last refusal.
        self._refused_at = {}
        self._refusal_counts = {}
        self._window_ends_at = 0.0
        self._line_count = 0

    @property
    def refusal_counts(self):
        """Return the number of refused requests by service and workspace."""
        return self._refusal_counts

    def record_refusal(self, service, user, usage, report_age):
        """Record a refused request.

        :param user: the user; see :class:`ShareUsage`.
        :param usage: the :class:`ShareUsage` of the region.
        :param report_age: age of the oldest report of another owner in seconds, or
            ``None`` if there is none.
        """
        key = service, user[1]
        self._refusal_counts[key] = self._refusal_counts.get(key, 0) + 1
        is_new = key not in self._refused_at
        self._refused_at[key] = self._clock.now()
        if is_new:
            self._write(
                Event.WORKSPACE_OVER_SHARE,
                workspace=user[1],
                service=service,
                rank=user[0],
                held=usage.held(user),
                waiting=usage.waiting(user),
                share=round(usage.share(user), 2),
                slots=round(usage.slots, 2),
                report_age=None if report_age is None else round(report_age, 3),
            )

    def expire(self, workspaces):
        """Log the workspaces that are no longer refused requests.

        :param workspaces: names of the workspaces in force; the others are dropped.
        """
        known = {None, *workspaces}
        self._refusal_counts = {
            key: count for key, count in self._refusal_counts.items() if key[1] in known
        }
        now = self._clock.now()
        for key, refused_at in list(self._refused_at.items()):
            if now >= refused_at + QUIET_SECONDS or key[1] not in known:
                del self._refused_at[key]
                self._write(
                    Event.WORKSPACE_WITHIN_SHARE,
                    workspace=key[1],
                    service=key[0],
                    refused=self._refusal_counts.get(key, 0),
                    seconds=round(now - refused_at, 3),
                )

    def _write(self, event, **fields):
        """Write a log line unless the limit for this second is reached."""
        now = self._clock.now()
        if now >= self._window_ends_at:
            self._window_ends_at, self._line_count = now + 1.0, 0
        if self._line_count < MAX_LINES_PER_SECOND:
            self._line_count += 1
            self._journal.write(event, **fields)
