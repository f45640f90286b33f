"""Which requests are not run since targets end under them.

A request that makes its target fail does so at each target that it is sent to: it is
known as a *query of death*. Retries, and callers that come back at other VMs, carry it
from one to the next. So every VM remembers the requests under which targets ended, and
VMs tell each other: from the third end on, such a request is refused by all of them.
"""

from itertools import islice
from random import sample

from heathercleat.events import Event
from heathercleat.steering.process.quarantine.policies import (
    REQUEST_POLICY,
    is_group_key,
    is_unknown_senders_key,
)
from heathercleat.steering.process.quarantine.responses import (
    RecentResponses,
    ResponseCredits,
)
from heathercleat.steering.process.quarantine.suspect import Suspect

#: Ends from which a request is quarantined.
CRASHES_TO_QUARANTINE = REQUEST_POLICY.ends
#: Seconds for which ends are laid to a request, and for which it is in quarantine. Each
#: look whether it still ends targets ends one more.
SUSPICION_SECONDS = REQUEST_POLICY.retention_seconds
QUARANTINE_SECONDS = REQUEST_POLICY.max_refusal_seconds
#: Requests with whole answers, groups with some, and suspects that are remembered: a
#: few megabytes.
MAX_REQUESTS_WITH_RESPONSE = 8192
MAX_GROUPS_WITH_RESPONSE = 1024
MAX_SUSPECTS = 10_000
#: Suspects in one heartbeat: the latest changed, and others that may have been missed.
MAX_RECENT_UPDATES = 24
MAX_SAMPLED_UPDATES = 8
#: Ends in one heartbeat, of 14 bytes each: beside other news and reports they fit into
#: a datagram.
MAX_CRASHES_PER_HEARTBEAT = 128
#: Seconds that a suspect has left at least to be told: VMs forget it one after another,
#: and must not learn it again of each other.
MIN_REMAINING_SECONDS = 5.0


class Suspects:
    """The requests under which targets ended, as this VM knows them.

    A whole answer clears a request of all ends that are known then.
    """

    def __init__(self, journal, clock):
        self._journal = journal
        self._clock = clock
        self._on_quarantine = []
        # By fingerprint, the latest changed one at the end.
        self._suspects = {}
        self._answered = RecentResponses(MAX_REQUESTS_WITH_RESPONSE)
        self._senders_answered = RecentResponses(MAX_GROUPS_WITH_RESPONSE)
        self._strangers_answered = ResponseCredits(MAX_GROUPS_WITH_RESPONSE)
        self._digest = 0

    @property
    def digest(self):
        """Return a checksum over all suspects; 0 for none."""
        return self._digest

    @property
    def count(self):
        """Return the number of requests and groups under which targets ended."""
        return len(self._suspects)

    @property
    def quarantined_count(self):
        """Return the number of requests that are refused."""
        return sum(each.is_limited for each in self.all() if not _is_of_group(each))

    @property
    def limited_count(self):
        """Return the number of groups that are limited."""
        return sum(each.is_limited for each in self.all() if _is_of_group(each))

    def all(self):
        """Return a list of every :class:`Suspect`."""
        return list(self._suspects.values())

    def on_quarantine(self, callback):
        """Call ``callback(suspect)`` for one that is quarantined with an end seen here.

        The third end may be the news of another VM, which saw only that one.
        """
        self._on_quarantine.append(callback)

    def refused_until(self, key):
        """Return the instant until which requests of a key are refused, or ``None``."""
        if not self.is_limited(key):
            return None
        until = self._suspects[key].refused_until
        return until if until > self._clock.now() else None

    def is_limited(self, key):
        """Return whether a key has the ends from which its requests are refused."""
        suspect = self._get(key)
        return suspect is not None and suspect.is_limited

    def has_crashes(self, key):
        """Return whether any end is laid to a key."""
        suspect = self._get(key)
        return suspect is not None and suspect.count > 0

    def has_response(self, fingerprint):
        """Return whether a whole answer to a request is remembered."""
        return fingerprint in self._answered

    def may_retry(self, key):
        """Return whether a request may be sent to one more target in one attempt."""
        suspect = self._get(key)
        return suspect is None or suspect.count < suspect.policy.crashes_to_stop_retries

    def ended(self, fingerprint, incarnation_id, route=None, service=None):
        """Note that a target ended while it ran a request, of a group or not.

        :param life: see :attr:`TargetEntry.incarnation_id`.
        :param route: name of the request's route.
        :param service: name of the service that ran it.
        """
        if self._is_excused(fingerprint):
            return
        suspect = self._get(fingerprint) or Suspect(fingerprint)
        suspect.seen_here = True
        suspect.route, suspect.service = route, service
        self._take(suspect, [incarnation_id], [], SUSPICION_SECONDS)

    def answered(self, fingerprint):
        """Note a whole answer of a target to a request, of a group or not.

        It speaks for all ends; an answer to a stranger for one end only.
        """
        suspect = self._get(fingerprint)
        has_crashes = suspect is not None and suspect.count > 0
        if has_crashes and is_unknown_senders_key(fingerprint):
            self._take(suspect, [], [suspect.earliest_crash], 0.0)
            return
        self._answers(fingerprint).note(fingerprint, self._clock.now())
        if has_crashes:
            self.lift(fingerprint)

    def lift(self, fingerprint):
        """Lay no end that is known now to a request."""
        suspect = self._get(fingerprint)
        if suspect is not None and suspect.count:
            self._take(suspect, [], list(suspect.ends), 0.0)

    def told(self, news):
        """Take the :class:`SuspectUpdate` of another VM."""
        suspect = self._get(news.fingerprint) or Suspect(news.fingerprint)
        known = {*suspect.ends, *news.cleared}
        fresh = (
            incarnation_id
            for incarnation_id in news.ends
            if incarnation_id not in known
        )
        excused = [
            incarnation_id
            for incarnation_id in fresh
            if self._is_excused(news.fingerprint)
        ]
        cleared = [*news.cleared, *excused]
        seconds = min(news.remaining, QUARANTINE_SECONDS)
        self._take(suspect, news.ends, cleared, seconds)

    def news(self):
        """Yield the :class:`SuspectUpdate` for one heartbeat."""
        now, room = self._clock.now(), MAX_CRASHES_PER_HEARTBEAT
        for suspect in self._told_next():
            room -= len(suspect.ends) + len(suspect.cleared)
            if room < 0:
                return
            if suspect.until - now > MIN_REMAINING_SECONDS:
                yield suspect.news(now)

    def expire(self):
        """Forget the suspects whose time is over."""
        now = self._clock.now()
        over = [each.fingerprint for each in self.all() if each.until <= now]
        for fingerprint in over:
            self._drop(fingerprint)

    def _told_next(self):
        """Yield suspects to tell of: the latest changed ones, then some others."""
        latest = list(islice(reversed(self._suspects.values()), MAX_RECENT_UPDATES))
        yield from latest
        rest = len(self._suspects) - len(latest)
        others = list(islice(self._suspects.values(), rest))
        yield from sample(others, min(MAX_SAMPLED_UPDATES, rest))

    def _take(self, suspect, ends, cleared, seconds):
        """Add to a suspect.

        Only what is new prolongs the time for which it is remembered: VMs that tell
        each other the same again must not keep it for ever.
        """
        digest, was_limited = suspect.digest, suspect.is_limited
        added = suspect.add(ends, cleared)
        if not added.any:
            return
        now, is_for_group = self._clock.now(), _is_of_group(suspect)
        is_caught = suspect.is_limited and not was_limited
        if is_caught and not is_for_group:
            seconds = max(seconds, QUARANTINE_SECONDS)
        seconds = max(seconds, suspect.until - now)
        if is_for_group:
            seconds = min(seconds, suspect.retention_seconds)
        suspect.until = now + seconds
        if added.ends:
            suspect.ended_at = now
        self._digest ^= digest ^ suspect.digest
        self._suspects.pop(suspect.fingerprint, None)
        self._suspects[suspect.fingerprint] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            self._drop(next(iter(self._suspects)))
        if is_caught:
            self._caught(suspect)
        elif was_limited and not suspect.is_limited:
            self._log_end(suspect)

    def _caught(self, suspect):
        if _is_of_group(suspect):
            self._log(Event.GROUP_LIMITED, suspect)
            return
        self._log(Event.REQUEST_QUARANTINED, suspect)
        if suspect.seen_here:
            for callback in self._on_quarantine:
                callback(suspect)

    def _get(self, fingerprint):
        """Return the :class:`Suspect` of a fingerprint, or ``None``."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.until <= self._clock.now():
            self._drop(fingerprint)
            return None
        return suspect

    def _is_excused(self, fingerprint):
        return self._answers(fingerprint).exempts_crash(fingerprint, self._clock.now())

    def _drop(self, fingerprint):
        suspect = self._suspects.pop(fingerprint)
        self._digest ^= suspect.digest
        if suspect.is_limited:
            self._log_end(suspect)

    def _answers(self, key):
        if not is_group_key(key):
            return self._answered
        if is_unknown_senders_key(key):
            return self._strangers_answered
        return self._senders_answered

    def _log_end(self, suspect):
        is_for_group = _is_of_group(suspect)
        event = Event.GROUP_RELEASED if is_for_group else Event.QUARANTINE_ENDED
        self._log(event, suspect)

    def _log(self, event, suspect):
        self._journal.write(
            event,
            fingerprint=suspect.fingerprint,
            route=suspect.route,
            service=suspect.service,
            ends=suspect.ends,
            cleared=suspect.cleared,
            seconds=round(suspect.until - self._clock.now(), 1),
        )


def _is_of_group(suspect):
    return is_group_key(suspect.fingerprint)
