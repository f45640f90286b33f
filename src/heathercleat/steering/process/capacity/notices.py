"""What targets ask of their callers in responses.

The owner of a target learns it from each response and passes changes on to the VMs of
the target's region, so that they also hold at the next owner. A notice applies to one
incarnation of a target. If it is outdated, the next response of the target corrects it.
"""

from heapq import nsmallest
from math import inf
from operator import attrgetter

import msgpack

from heathercleat.events import Event
from heathercleat.process.clock import DISTANT_PAST
from heathercleat.steering.process.capacity.notice_update import NoticeUpdate

#: Seconds for which a VM passes a change on after it learned of it.
SPREAD_SECONDS = 2.0
#: Seconds for which the notice of a target without an entry is kept; the entry may have
#: lapsed and return.
RETENTION_SECONDS = 60.0
#: Minimum seconds by which a response seen by another VM, or the end of a rest that it
#: passes on, must be later than the known one; covers the way of the message.
MIN_NEWER_SECONDS = 0.5
#: Longest rest of a target in seconds; a longer one would be malformed.
MAX_REST_SECONDS = 300.0
#: Minimum seconds by which a longer rest is logged and passed on. Rejections of
#: requests that were sent together ask for almost the same time.
MIN_EXTENSION_SECONDS = 0.05
#: Maximum notices in a message; those with the latest responses are included.
MAX_REPORTED = 32


class Notice:
    """What one incarnation of a target asks for.

    :param failure_domain: that of the target.
    :param seen_at: instant of its latest response, as far as this VM knows.
    :param rate: requests per second that it accepts from all VMs together, ``None``
        without a limit.
    :param is_leaving: whether it shuts down soon; never reverted.
    :param rest_until: instant until which it asked for no requests.
    :param changed_at: when this VM learned of the last change.
    """

    __slots__ = (
        "failure_domain",
        "seen_at",
        "rate",
        "is_leaving",
        "rest_until",
        "changed_at",
    )

    def __init__(self, failure_domain):
        self.failure_domain = failure_domain
        self.seen_at = DISTANT_PAST
        self.rate = None
        self.is_leaving = False
        self.rest_until = DISTANT_PAST
        self.changed_at = DISTANT_PAST

    @property
    def closed_until(self):
        """Return the instant until which the target asks for no requests."""
        return inf if self.is_leaving else self.rest_until

    def is_in_force(self, now):
        """Return whether the target asks for anything."""
        return self.rate is not None or now < self.closed_until

    def is_spreading(self, now):
        """Return whether the last change is passed on."""
        return now < self.changed_at + SPREAD_SECONDS


class Notices:
    """The notices of all targets, by incarnation id.

    :param registry: the :class:`TargetRegistry`.
    :param region_of: returns the region of a failure domain.
    :param journal: where changes are logged.
    """

    def __init__(self, registry, region_of, journal, clock):
        self._registry = registry
        self._region_of = region_of
        self._journal = journal
        self._clock = clock
        self._notices = {}

    @property
    def limited_count(self):
        """Return the number of targets that limit their requests."""
        return sum(each.rate is not None for each in self._notices.values())

    @property
    def closed_count(self):
        """Return the number of targets that ask for no requests."""
        now = self._clock.now()
        return sum(now < each.closed_until for each in self._notices.values())

    def rate(self, incarnation):
        """Return the requests per second that a target accepts, or ``None``."""
        notice = self._notices.get(incarnation)
        return notice and notice.rate

    def closed_until(self, incarnation):
        """Return the instant until which a target asks for no requests.

        Infinity if it shuts down, an instant of the past if it accepts requests.
        """
        notice = self._notices.get(incarnation)
        return DISTANT_PAST if notice is None else notice.closed_until

    def record_response(self, entry, head):
        """Record what a response of a target asks for.

        :param entry: the :class:`TargetEntry`.
        :param head: the :class:`TargetResponseHead`.
        """
        incarnation = entry.incarnation_id
        if not head.has_notice and incarnation not in self._notices:
            return
        notice = self._notice(incarnation, entry.failure_domain)
        notice.seen_at = self._clock.now()
        self._set_rate(incarnation, notice, head.rate_limit)
        if head.is_leaving:
            self._set_leaving(incarnation, notice)
        if head.rest_seconds:
            self._extend_rest(incarnation, notice, head.rest_seconds)

    def merge(self, update):
        """Record a :class:`NoticeUpdate` of another VM."""
        notice = self._notice(update.incarnation, update.failure_domain)
        seen_at = self._clock.now() - update.age
        if seen_at > notice.seen_at + MIN_NEWER_SECONDS:
            notice.seen_at = seen_at
            self._set_rate(update.incarnation, notice, update.rate)
        if update.is_leaving:
            self._set_leaving(update.incarnation, notice)
        # Without a minimum, a rest would grow with each VM that passes it on.
        rest_until = self._clock.now() + update.rest_seconds
        if update.rest_seconds and rest_until > notice.rest_until + MIN_NEWER_SECONDS:
            self._extend_rest(update.incarnation, notice, update.rest_seconds)

    def updates(self, region, changes_only=True):
        """Return the :class:`NoticeUpdate` objects for a VM.

        :param region: the region of the VM.
        :param changes_only: whether the VM should have the earlier changes.
        """
        now = self._clock.now()
        updates = [
            NoticeUpdate(
                incarnation,
                notice.failure_domain,
                round(now - notice.seen_at, 2),
                notice.rate,
                notice.is_leaving,
                round(max(0.0, notice.rest_until - now), 2),
            )
            for incarnation, notice in self._notices.items()
            if self._region_of(notice.failure_domain) == region
            and (notice.is_spreading(now) or not changes_only)
        ]
        return nsmallest(MAX_REPORTED, updates, key=attrgetter("age"))

    def pack(self, region, changes_only=True):
        """Return the encoded :meth:`updates`, empty if there are none."""
        fields = [each.fields() for each in self.updates(region, changes_only)]
        return msgpack.packb(fields) if fields else b""

    def expire(self):
        """Drop the notices that are not in force, and those of removed targets."""
        if not self._notices:
            return
        now = self._clock.now()
        incarnations = self._registry.incarnations()
        self._notices = {
            incarnation: notice
            for incarnation, notice in self._notices.items()
            if notice.is_spreading(now)
            or (notice.is_in_force(now) and incarnation in incarnations)
            or (notice.is_in_force(now) and now < notice.seen_at + RETENTION_SECONDS)
        }

    def _notice(self, incarnation, failure_domain):
        notice = self._notices.get(incarnation)
        if notice is None:
            notice = self._notices[incarnation] = Notice(failure_domain)
        return notice

    def _set_rate(self, incarnation, notice, rate):
        if rate == notice.rate:
            return
        before, notice.rate = notice.rate, rate
        notice.changed_at = self._clock.now()
        self._journal.write(
            Event.TARGET_LIMITED, target=incarnation, rate=rate, before=before
        )

    def _set_leaving(self, incarnation, notice):
        if notice.is_leaving:
            return
        notice.is_leaving = True
        notice.changed_at = self._clock.now()
        self._journal.write(
            Event.TARGET_DRAINING, target=incarnation, reason="response"
        )

    def _extend_rest(self, incarnation, notice, seconds):
        now = self._clock.now()
        until = now + min(seconds, MAX_REST_SECONDS)
        before, notice.rest_until = notice.rest_until, max(notice.rest_until, until)
        if until < before + MIN_EXTENSION_SECONDS:
            return
        notice.changed_at = now
        self._journal.write(
            Event.TARGET_RESTING, target=incarnation, seconds=round(until - now, 3)
        )
