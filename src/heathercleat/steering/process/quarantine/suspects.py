"""Requests that are refused because they crash targets.

A *query of death* crashes each target that runs it, and each retry sends it to another
target. VMs therefore gossip which requests crashed targets, and refuse a request after
enough crashes.
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

#: Number of crashes at which a request is quarantined.
CRASHES_TO_QUARANTINE = REQUEST_POLICY.refusal_threshold
#: Seconds for which crashes count against a request, and for which a request is
#: quarantined; the second is long, since another run may crash another target.
SUSPICION_SECONDS = REQUEST_POLICY.retention_seconds
QUARANTINE_SECONDS = REQUEST_POLICY.max_refusal_seconds
#: Maximum number of requests and of groups with complete responses, and of suspects.
MAX_REQUESTS_WITH_RESPONSE = 8192
MAX_GROUPS_WITH_RESPONSE = 1024
MAX_SUSPECTS = 10_000
#: Maximum suspects in one heartbeat: the last changed, and a sample of the others.
MAX_RECENT_UPDATES = 24
MAX_SAMPLED_UPDATES = 8
#: Maximum crashes in one heartbeat, so that the heartbeat fits into a datagram.
MAX_CRASHES_PER_HEARTBEAT = 128
#: Minimum seconds until its expiry for which a suspect is gossiped. Otherwise VMs that
#: already dropped the suspect would add it again.
MIN_REMAINING_SECONDS = 5.0


class Suspects:
    """The requests and groups that crashed targets, detected here or by other VMs.

    A complete response clears all known crashes of a request.
    """

    def __init__(self, journal, clock):
        self._journal = journal
        self._clock = clock
        self._on_quarantine = []
        # Fingerprint to suspect, the last changed one last.
        self._suspects = {}
        self._request_responses = RecentResponses(MAX_REQUESTS_WITH_RESPONSE)
        self._sender_responses = RecentResponses(MAX_GROUPS_WITH_RESPONSE)
        self._unknown_sender_responses = ResponseCredits(MAX_GROUPS_WITH_RESPONSE)
        self._digest = 0

    @property
    def digest(self):
        """Return a checksum over all suspects, 0 if there are none."""
        return self._digest

    @property
    def count(self):
        """Return the number of requests and groups that crashed targets."""
        return len(self._suspects)

    @property
    def quarantined_count(self):
        """Return the number of quarantined requests."""
        return sum(each.is_limited for each in self.all() if not _is_group(each))

    @property
    def limited_count(self):
        """Return the number of groups that are limited."""
        return sum(each.is_limited for each in self.all() if _is_group(each))

    def all(self):
        """Return a list of every :class:`Suspect`."""
        return list(self._suspects.values())

    def on_quarantine(self, callback):
        """Call ``callback(suspect)`` when a request is quarantined.

        Only requests of which this VM detected a crash are reported; this VM may have
        learned of the other crashes from other VMs.
        """
        self._on_quarantine.append(callback)

    def refused_until(self, key):
        """Return the instant until which requests of a key are refused, or ``None``."""
        if not self.is_limited(key):
            return None
        until = self._suspects[key].refused_until
        return until if until > self._clock.now() else None

    def quarantined(self):
        """Return each :class:`Suspect` of a quarantined request."""
        return [
            each
            for each in self.all()
            if not _is_group(each) and self.refused_until(each.fingerprint) is not None
        ]

    def is_cleared(self, key):
        """Return whether all known crashes of a key were cleared."""
        suspect = self._get(key)
        return suspect is not None and not suspect.crash_count

    def is_limited(self, key):
        """Return whether a key has enough crashes for its requests to be refused."""
        suspect = self._get(key)
        return suspect is not None and suspect.is_limited

    def has_crashes(self, key):
        """Return whether any crash counts against a key."""
        suspect = self._get(key)
        return suspect is not None and suspect.crash_count > 0

    def has_response(self, fingerprint):
        """Return whether a complete response to a request is remembered."""
        return fingerprint in self._request_responses

    def may_retry(self, key):
        """Return whether a request may still be retried at another target."""
        suspect = self._get(key)
        return (
            suspect is None or suspect.crash_count < suspect.policy.no_retry_threshold
        )

    def record_crash(self, fingerprint, incarnation_id, route=None, service=None):
        """Record that a target crashed while it ran a request.

        :param fingerprint: fingerprint of the request, or key of its group.
        :param incarnation_id: see :attr:`TargetEntry.incarnation_id`.
        :param route: name of the request's route.
        :param service: name of the service that ran the request.
        """
        if self._claim_exemption(fingerprint):
            return
        suspect = self._get(fingerprint) or Suspect(fingerprint)
        suspect.seen_here = True
        suspect.route, suspect.service = route, service
        self._merge(suspect, [incarnation_id], [], SUSPICION_SECONDS)

    def record_response(self, fingerprint):
        """Record a complete response of a target to a request.

        The response clears all crashes of the request or sender, but only one crash of
        the unknown senders.

        :param fingerprint: fingerprint of the request, or key of its group.
        """
        suspect = self._get(fingerprint)
        has_crashes = suspect is not None and suspect.crash_count > 0
        if has_crashes and is_unknown_senders_key(fingerprint):
            self._merge(suspect, [], [suspect.earliest_crash], 0.0)
            return
        self._history_for(fingerprint).record(fingerprint, self._clock.now())
        if has_crashes:
            self.lift(fingerprint)

    def lift(self, fingerprint):
        """Clear all known crashes of a request or group."""
        suspect = self._get(fingerprint)
        if suspect is not None and suspect.crash_count:
            self._merge(suspect, [], list(suspect.ends), 0.0)

    def merge(self, update):
        """Merge the :class:`SuspectUpdate` of another VM."""
        suspect = self._get(update.fingerprint) or Suspect(update.fingerprint)
        known = {*suspect.ends, *update.cleared}
        new = (
            incarnation_id
            for incarnation_id in update.ends
            if incarnation_id not in known
        )
        exempt = [
            incarnation_id
            for incarnation_id in new
            if self._claim_exemption(update.fingerprint)
        ]
        cleared = [*update.cleared, *exempt]
        seconds = min(update.remaining, QUARANTINE_SECONDS)
        self._merge(suspect, update.ends, cleared, seconds)

    def updates(self):
        """Yield the :class:`SuspectUpdate` to send with one heartbeat."""
        now, budget = self._clock.now(), MAX_CRASHES_PER_HEARTBEAT
        for suspect in self._select_for_gossip():
            budget -= len(suspect.ends) + len(suspect.cleared)
            if budget < 0:
                return
            if suspect.until - now > MIN_REMAINING_SECONDS:
                yield suspect.to_update(now)

    def expire(self):
        """Drop the suspects that have expired."""
        now = self._clock.now()
        expired = [each.fingerprint for each in self.all() if each.until <= now]
        for fingerprint in expired:
            self._drop(fingerprint)

    def _select_for_gossip(self):
        """Yield the last changed suspects and a sample of the others."""
        latest = list(islice(reversed(self._suspects.values()), MAX_RECENT_UPDATES))
        yield from latest
        other_count = len(self._suspects) - len(latest)
        others = list(islice(self._suspects.values(), other_count))
        yield from sample(others, min(MAX_SAMPLED_UPDATES, other_count))

    def _merge(self, suspect, incarnation_ids, cleared, seconds):
        """Merge crashes and cleared crashes into a suspect.

        Only changes extend the retention; otherwise gossip would retain the suspect
        forever.

        :param seconds: minimum seconds until the suspect expires; at most its
            ``retention_seconds`` for a group.
        """
        digest, was_limited = suspect.digest, suspect.is_limited
        change = suspect.add(incarnation_ids, cleared)
        if not change.any_changed:
            return
        now, is_group = self._clock.now(), _is_group(suspect)
        is_newly_limited = suspect.is_limited and not was_limited
        if is_newly_limited and not is_group:
            seconds = max(seconds, QUARANTINE_SECONDS)
        seconds = max(seconds, suspect.until - now)
        if is_group:
            seconds = min(seconds, suspect.retention_seconds)
        suspect.until = now + seconds
        if change.crashes_changed:
            suspect.ended_at = now
        self._digest ^= digest ^ suspect.digest
        self._suspects.pop(suspect.fingerprint, None)
        self._suspects[suspect.fingerprint] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            self._drop(next(iter(self._suspects)))
        if is_newly_limited:
            self._report_limited(suspect)
        elif was_limited and not suspect.is_limited:
            self._log_release(suspect)

    def _report_limited(self, suspect):
        if _is_group(suspect):
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

    def _claim_exemption(self, fingerprint):
        return self._history_for(fingerprint).claim_exemption(
            fingerprint, self._clock.now()
        )

    def _drop(self, fingerprint):
        suspect = self._suspects.pop(fingerprint)
        self._digest ^= suspect.digest
        if suspect.is_limited:
            self._log_release(suspect)

    def _history_for(self, key):
        if not is_group_key(key):
            return self._request_responses
        if is_unknown_senders_key(key):
            return self._unknown_sender_responses
        return self._sender_responses

    def _log_release(self, suspect):
        is_group = _is_group(suspect)
        event = Event.GROUP_RELEASED if is_group else Event.QUARANTINE_ENDED
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


def _is_group(suspect):
    return is_group_key(suspect.fingerprint)
