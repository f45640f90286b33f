"""A request under which targets ended, and what VMs tell each other of it."""

from hashlib import blake2b
from heapq import nsmallest
from typing import NamedTuple

from heathercleat.steering.process.quarantine.policies import DIGEST_BYTES, policy_for

#: Ends of targets that are remembered of one request: five times what decides on it.
MAX_CRASHES = 16
#: Seconds in which all VMs learn that the ends of a group are cleared.
CLEARED_RETENTION_SECONDS = 10.0


class SuspectUpdate:
    """What a VM tells of a suspect.

    :param fingerprint: the request, see
        :mod:`heathercleat.steering.request.fingerprint`, or the key of a group.
    :param remaining: seconds for which it is remembered.
    :param ends: the lives of the targets that ended under it.
    :param cleared: those of them that are not laid to it.
    """

    __slots__ = ("fingerprint", "remaining", "ends", "cleared")

    def __init__(self, fingerprint, remaining, ends, cleared):
        self.fingerprint = fingerprint
        self.remaining = remaining
        self.ends = ends
        self.cleared = cleared

    def fields(self):
        """Return the values in the order of the slots, for the wire."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def of(cls, fields):
        """Return the news of the fields on the wire.

        :raises ValueError: when they are not those of a suspect.
        """
        if not isinstance(fields, list) or len(fields) != len(cls.__slots__):
            raise ValueError(f"{fields!r} is no news of a suspect")
        news = cls(*fields)
        if not isinstance(news.fingerprint, str):
            raise ValueError(f"{news.fingerprint!r} is no fingerprint")
        if not isinstance(news.remaining, int | float) or news.remaining < 0:
            raise ValueError(f"{news.remaining!r} is no number of seconds")
        if not (_are_lives(news.ends) and _are_lives(news.cleared)):
            raise ValueError(f"{fields!r} does not list lives of targets")
        return news


class SuspectChange(NamedTuple):
    """What is new of a suspect.

    :param ends: whether other ends are known than before.
    :param any: whether ends or clearances are.
    """

    ends: bool
    any: bool


class Suspect:
    """A request, or a group of them, under which targets ended.

    Both sets are united until the suspect is forgotten, and of too many ends all VMs
    keep the same, so that they agree once they have told each other, in whatever order
    and however often.

    :param ends: the lives of these targets, the earliest known one first.
    :param cleared: the lives that are not laid to it.
    :param until: instant from which it is forgotten.
    :param seen_here: whether this VM saw one of the ends.
    :param route: name of the route of its requests, ``None`` without an end seen here.
    :param service: name of the service that ran them, the same.
    :param ended_at: instant at which the latest end came to be known here.
    """

    __slots__ = (
        "fingerprint",
        "ends",
        "cleared",
        "seen_here",
        "route",
        "service",
        "until",
        "ended_at",
    )

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint
        self.ends = []
        self.cleared = []
        self.seen_here = False
        self.route = None
        self.service = None
        self.until = 0.0
        self.ended_at = 0.0

    @property
    def count(self):
        """Return the number of ends that are laid to it."""
        return len(self.ends) - len(self.cleared)

    @property
    def earliest_crash(self):
        """Return the earliest known life that is laid to it."""
        return next(each for each in self.ends if each not in self.cleared)

    @property
    def policy(self):
        """Return the :class:`CrashPolicy` for it."""
        return policy_for(self.fingerprint)

    @property
    def is_limited(self):
        """Return whether it has the ends from which requests are refused."""
        return self.count >= self.policy.ends

    @property
    def is_full(self):
        """Return whether no more ends are remembered of it."""
        return len(self.ends) >= MAX_CRASHES

    @property
    def retention_seconds(self):
        """Return the seconds for which a group is remembered at most.

        One that is not limited and holds no end, or can take no more, is soon begun
        anew: ends that were cleared must not make room for others.
        """
        is_over = not self.count or (self.is_full and not self.is_limited)
        return CLEARED_RETENTION_SECONDS if is_over else self.policy.retention_seconds

    @property
    def refused_until(self):
        """Return the instant until which its requests are refused."""
        if self.is_full:
            return self.until
        return min(self.until, self.ended_at + self.policy.refusal_seconds(self.count))

    @property
    def digest(self):
        """Return a checksum over what is known of it."""
        digest = 0
        for incarnation_id in self.ends:
            digest ^= _digest(f"{self.fingerprint} {incarnation_id}")
        for incarnation_id in self.cleared:
            digest ^= _digest(f"{self.fingerprint} {incarnation_id} cleared")
        return digest

    def add(self, lives, cleared=()):
        """Add ends, some of which are not laid to it; return an
        :class:`SuspectChange`."""
        ends, count = list(self.ends), len(self.cleared)
        for incarnation_id in lives:
            if incarnation_id not in self.ends:
                self.ends.append(incarnation_id)
        self._drop_most()
        for incarnation_id in cleared:
            if incarnation_id in self.ends and incarnation_id not in self.cleared:
                self.cleared.append(incarnation_id)
        has_ends = self.ends != ends
        return SuspectChange(has_ends, has_ends or len(self.cleared) > count)

    def _drop_most(self):
        """Keep :data:`MAX_CRASHES`, the same of the same at all VMs."""
        if len(self.ends) <= MAX_CRASHES:
            return
        kept = nsmallest(MAX_CRASHES, self.ends, key=self._order)
        self.ends = [
            incarnation_id for incarnation_id in self.ends if incarnation_id in kept
        ]
        self.cleared = [
            incarnation_id for incarnation_id in self.cleared if incarnation_id in kept
        ]

    def _order(self, incarnation_id):
        return _digest(f"{self.fingerprint} {incarnation_id}")

    def news(self, now):
        """Return what to tell of it."""
        return SuspectUpdate(
            self.fingerprint, round(self.until - now), self.ends, self.cleared
        )


def _digest(text):
    """Return 64 bits of a hash that is not linear.

    With a linear one, as a CRC, the sums over names that differ in a digit are equal.
    """
    digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def _are_lives(value):
    if not isinstance(value, list) or len(value) > MAX_CRASHES:
        return False
    return all(isinstance(each, str) for each in value)
