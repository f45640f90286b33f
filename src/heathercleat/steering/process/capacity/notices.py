"""What targets ask of their callers in responses.

The owner of a target learns it from each response. A notice applies to one incarnation
of a target.
"""

from heathercleat.events import Event
from heathercleat.process.clock import DISTANT_PAST

#: Seconds for which the notice of a target without an entry is kept; the entry may have
#: lapsed and return.
RETENTION_SECONDS = 60.0


class Notice:
    """What one incarnation of a target asks for.

    :param seen_at: instant of its latest response.
    :param rate: requests per second that it accepts from all VMs together, ``None``
        without a limit.
    """

    __slots__ = ("seen_at", "rate")

    def __init__(self):
        self.seen_at = DISTANT_PAST
        self.rate = None

    def is_in_force(self):
        """Return whether the target asks for anything."""
        return self.rate is not None


class Notices:
    """The notices of all targets, by incarnation id.

    :param registry: the :class:`TargetRegistry`.
    :param journal: where changes are logged.
    """

    def __init__(self, registry, journal, clock):
        self._registry = registry
        self._journal = journal
        self._clock = clock
        self._notices = {}

    def rate(self, incarnation):
        """Return the requests per second that a target accepts, or ``None``."""
        notice = self._notices.get(incarnation)
        return notice and notice.rate

    def record_response(self, entry, head):
        """Record what a response of a target asks for.

        :param entry: the :class:`TargetEntry`.
        :param head: the :class:`TargetResponseHead`.
        """
        incarnation = entry.incarnation_id
        if not head.has_notice and incarnation not in self._notices:
            return
        notice = self._notices.setdefault(incarnation, Notice())
        notice.seen_at = self._clock.now()
        self._set_rate(incarnation, notice, head.rate_limit)

    def expire(self):
        """Drop the notices that are not in force, and those of removed targets."""
        if not self._notices:
            return
        now = self._clock.now()
        incarnations = self._registry.incarnations()
        self._notices = {
            incarnation: notice
            for incarnation, notice in self._notices.items()
            if notice.is_in_force()
            and (
                incarnation in incarnations or now < notice.seen_at + RETENTION_SECONDS
            )
        }

    def _set_rate(self, incarnation, notice, rate):
        if rate == notice.rate:
            return
        before, notice.rate = notice.rate, rate
        self._journal.write(
            Event.TARGET_LIMITED, target=incarnation, rate=rate, before=before
        )
