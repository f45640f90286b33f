"""Which requests are not run since targets end under them.

A request that makes its target fail does so at each target that it is sent to: it is
known as a *query of death*. Retries, and callers that come back at other VMs, carry it
from one to the next. So every VM remembers the requests under which targets ended, and
VMs tell each other: from the third end on, such a request is refused by all of them.
"""

from itertools import islice
from random import sample

from heathercleat.events import Event
from heathercleat.steering.process.quarantine.suspect import Suspect

#: Ends from which a request is quarantined, and from which it is sent to another target
#: only when its caller comes back: one end may be chance.
ENDS_TO_QUARANTINE = 3
ENDS_TO_RETURN = 2
#: Seconds for which ends are laid to a request, and for which it is in quarantine. Each
#: look whether it still ends targets ends one more.
SUSPICION_SECONDS = 600.0
QUARANTINE_SECONDS = 86_400.0
#: Seconds after a whole answer in which an end is not laid to its request: a request
#: that many callers send is under way at most targets that end by another cause. Not
#: longer, since a request may begin to end targets that answered it before.
ANSWERED_SECONDS = 3.0
#: Requests with whole answers, and suspects, that are remembered: a few megabytes.
MOST_ANSWERED = 8192
MOST_SUSPECTS = 10_000
#: Suspects in one heartbeat: the latest changed, and others that may have been missed.
LATEST_TOLD = 24
OTHERS_TOLD = 8
#: Ends in one heartbeat, of 14 bytes each: beside other news and reports they fit into
#: a datagram.
MOST_ENDS_TOLD = 128
#: Seconds that a suspect has left at least to be told: VMs forget it one after another,
#: and must not learn it again of each other.
LEAST_TOLD_SECONDS = 5.0


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
        # Instants of whole answers by fingerprint, the latest one at the end.
        self._answered = {}
        self._digest = 0

    @property
    def digest(self):
        """Return a checksum over all suspects; 0 for none."""
        return self._digest

    @property
    def count(self):
        """Return the number of requests under which targets ended."""
        return len(self._suspects)

    @property
    def quarantined(self):
        """Return the number of requests that are refused."""
        return sum(each.count >= ENDS_TO_QUARANTINE for each in self.all())

    def all(self):
        """Return a list of every :class:`Suspect`."""
        return list(self._suspects.values())

    def on_quarantine(self, callback):
        """Call ``callback(suspect)`` for one that an end seen here quarantined."""
        self._on_quarantine.append(callback)

    def quarantined_until(self, fingerprint):
        """Return the instant until which a request is refused, or ``None``."""
        suspect = self._get(fingerprint)
        if suspect is None or suspect.count < ENDS_TO_QUARANTINE:
            return None
        return suspect.until

    def may_go_on(self, fingerprint):
        """Return whether a request may be sent to one more target in one attempt."""
        suspect = self._get(fingerprint)
        return suspect is None or suspect.count < ENDS_TO_RETURN

    def ended(self, fingerprint, life):
        """Note that a target ended while it ran a request.

        :param life: see :attr:`TargetEntry.life`.
        """
        if self._is_answered(fingerprint):
            return
        suspect = self._get(fingerprint) or Suspect(fingerprint)
        if self._take(suspect, [life], [], SUSPICION_SECONDS):
            for callback in self._on_quarantine:
                callback(suspect)

    def answered(self, fingerprint):
        """Note a whole answer of a target to a request."""
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = self._clock.now()
        if len(self._answered) > MOST_ANSWERED:
            del self._answered[next(iter(self._answered))]
        self.lift(fingerprint)

    def lift(self, fingerprint):
        """Lay no end that is known now to a request."""
        suspect = self._get(fingerprint)
        if suspect is not None and suspect.count:
            self._take(suspect, [], list(suspect.ends), 0.0)

    def told(self, news):
        """Take the :class:`SuspectNews` of another VM."""
        cleared = news.cleared
        if self._is_answered(news.fingerprint):
            cleared = news.ends
        suspect = self._get(news.fingerprint) or Suspect(news.fingerprint)
        seconds = min(news.remaining, QUARANTINE_SECONDS)
        self._take(suspect, news.ends, cleared, seconds)

    def news(self):
        """Yield the :class:`SuspectNews` for one heartbeat."""
        now, room = self._clock.now(), MOST_ENDS_TOLD
        for suspect in self._told_next():
            room -= len(suspect.ends) + len(suspect.cleared)
            if room < 0:
                return
            if suspect.until - now > LEAST_TOLD_SECONDS:
                yield suspect.news(now)

    def expire(self):
        """Forget the suspects whose time is over."""
        now = self._clock.now()
        over = [each.fingerprint for each in self.all() if each.until <= now]
        for fingerprint in over:
            self._drop(fingerprint)

    def _told_next(self):
        """Yield suspects to tell of: the latest changed ones, then some others."""
        latest = list(islice(reversed(self._suspects.values()), LATEST_TOLD))
        yield from latest
        rest = len(self._suspects) - len(latest)
        others = list(islice(self._suspects.values(), rest))
        yield from sample(others, min(OTHERS_TOLD, rest))

    def _take(self, suspect, ends, cleared, seconds):
        """Add to a suspect; return whether it is quarantined by that.

        Only what is new prolongs the time for which it is remembered: VMs that tell
        each other the same again must not keep it for ever.
        """
        digest, count = suspect.digest, suspect.count
        if not suspect.add(ends, cleared):
            return False
        now = self._clock.now()
        is_caught = count < ENDS_TO_QUARANTINE <= suspect.count
        if is_caught:
            seconds = max(seconds, QUARANTINE_SECONDS)
        suspect.until = max(suspect.until, now + seconds)
        self._digest ^= digest ^ suspect.digest
        self._suspects.pop(suspect.fingerprint, None)
        self._suspects[suspect.fingerprint] = suspect
        if len(self._suspects) > MOST_SUSPECTS:
            self._drop(next(iter(self._suspects)))
        if is_caught:
            self._log(Event.REQUEST_QUARANTINED, suspect)
        elif suspect.count < ENDS_TO_QUARANTINE <= count:
            self._log(Event.QUARANTINE_ENDED, suspect)
        return is_caught

    def _get(self, fingerprint):
        """Return the :class:`Suspect` of a fingerprint, or ``None``."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.until <= self._clock.now():
            self._drop(fingerprint)
            return None
        return suspect

    def _is_answered(self, fingerprint):
        answered_at = self._answered.get(fingerprint)
        if answered_at is None:
            return False
        return self._clock.now() - answered_at <= ANSWERED_SECONDS

    def _drop(self, fingerprint):
        suspect = self._suspects.pop(fingerprint)
        self._digest ^= suspect.digest
        if suspect.count >= ENDS_TO_QUARANTINE:
            self._log(Event.QUARANTINE_ENDED, suspect)

    def _log(self, event, suspect):
        self._journal.write(
            event,
            fingerprint=suspect.fingerprint,
            ends=suspect.ends,
            cleared=suspect.cleared,
            seconds=round(suspect.until - self._clock.now(), 1),
        )
