"""Suspects: requests, or groups of them, that crashed targets."""

from hashlib import blake2b
from heapq import nsmallest
from typing import NamedTuple

from heathercleat.steering.process.quarantine.policies import DIGEST_BYTES, policy_for

#: Maximum number of crashes remembered of one suspect; well above the thresholds of
#: the policies.
MAX_CRASHES = 16
#: Seconds within which all VMs learn that the crashes of a group were cleared.
CLEARED_RETENTION_SECONDS = 10.0


class SuspectUpdate:
    """The state of a suspect as gossiped between VMs.

    :param fingerprint: fingerprint of a request, see
        :mod:`heathercleat.steering.request.fingerprint`, or key of a group.
    :param remaining: seconds until the suspect expires.
    :param ends: incarnation ids of the crashed targets.
    :param cleared: the ids in ``ends`` whose crashes no longer count.
    """

    __slots__ = ("fingerprint", "remaining", "ends", "cleared")

    def __init__(self, fingerprint, remaining, ends, cleared):
        self.fingerprint = fingerprint
        self.remaining = remaining
        self.ends = ends
        self.cleared = cleared

    def fields(self):
        """Return the values in wire order, which is that of the slots."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def of(cls, fields):
        """Return the update that a list of values in wire order encodes.

        :raises ValueError: if the values are invalid.
        """
        if not isinstance(fields, list) or len(fields) != len(cls.__slots__):
            raise ValueError(f"{fields!r} is not a list of the fields of a suspect")
        update = cls(*fields)
        if not isinstance(update.fingerprint, str):
            raise ValueError(f"{update.fingerprint!r} is not a string: fingerprint")
        if not isinstance(update.remaining, int | float) or update.remaining < 0:
            raise ValueError(
                f"{update.remaining!r} is not a number of seconds, 0 or more"
            )
        if not (
            _are_incarnation_ids(update.ends) and _are_incarnation_ids(update.cleared)
        ):
            raise ValueError(f"{fields!r} has no valid lists of incarnation ids")
        return update


class SuspectChange(NamedTuple):
    """How an update changed a suspect.

    :param crashes_changed: whether its crashes changed.
    :param any_changed: whether its crashes or cleared crashes changed.
    """

    crashes_changed: bool
    any_changed: bool


class Suspect:
    """A request, or a group of them, that crashed targets.

    ``ends`` and ``cleared`` only grow, and all VMs truncate them in the same way. The
    state of the VMs therefore converges for any order and number of updates.

    :param ends: incarnation ids of the crashed targets, in the order in which this VM
        learned of the crashes.
    :param cleared: the ids in ``ends`` whose crashes no longer count.
    :param until: instant at which the suspect expires.
    :param seen_here: whether this VM detected one of the crashes.
    :param route: name of the route of the requests; ``None`` unless ``seen_here``.
    :param service: name of the service that ran them; ``None`` unless ``seen_here``.
    :param ended_at: instant at which this VM learned of the latest crash.
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
    def crash_count(self):
        """Return the number of crashes that count."""
        return len(self.ends) - len(self.cleared)

    @property
    def earliest_crash(self):
        """Return the incarnation id of the first crash in ``ends`` that counts.

        At least one crash has to count.
        """
        return next(each for each in self.ends if each not in self.cleared)

    @property
    def policy(self):
        """Return the :class:`CrashPolicy` of the request or group."""
        return policy_for(self.fingerprint)

    @property
    def is_limited(self):
        """Return whether the number of crashes has reached the threshold of refusal."""
        return self.crash_count >= self.policy.refusal_threshold

    @property
    def is_full(self):
        """Return whether no further crashes are recorded."""
        return len(self.ends) >= MAX_CRASHES

    @property
    def retention_seconds(self):
        """Return the maximum seconds for which a group is retained.

        A group without crashes that count expires soon, as does a full group that is
        not limited. Otherwise no new crashes could be recorded.
        """
        expires_early = not self.crash_count or (self.is_full and not self.is_limited)
        return (
            CLEARED_RETENTION_SECONDS
            if expires_early
            else self.policy.retention_seconds
        )

    @property
    def refused_until(self):
        """Return the instant until which requests are refused.

        Valid only if :attr:`is_limited` is true.
        """
        if self.is_full:
            return self.until
        return min(
            self.until, self.ended_at + self.policy.refusal_seconds(self.crash_count)
        )

    @property
    def digest(self):
        """Return a checksum over its crashes and cleared crashes."""
        digest = 0
        for incarnation_id in self.ends:
            digest ^= _digest(f"{self.fingerprint} {incarnation_id}")
        for incarnation_id in self.cleared:
            digest ^= _digest(f"{self.fingerprint} {incarnation_id} cleared")
        return digest

    def add(self, incarnation_ids, cleared=()):
        """Merge crashes and cleared crashes; return a :class:`SuspectChange`."""
        ends, cleared_count = list(self.ends), len(self.cleared)
        for incarnation_id in incarnation_ids:
            if incarnation_id not in self.ends:
                self.ends.append(incarnation_id)
        self._truncate()
        for incarnation_id in cleared:
            if incarnation_id in self.ends and incarnation_id not in self.cleared:
                self.cleared.append(incarnation_id)
        has_new_crashes = self.ends != ends
        return SuspectChange(
            has_new_crashes, has_new_crashes or len(self.cleared) > cleared_count
        )

    def _truncate(self):
        """Truncate to :data:`MAX_CRASHES` crashes, in the same way at all VMs."""
        if len(self.ends) <= MAX_CRASHES:
            return
        kept = nsmallest(MAX_CRASHES, self.ends, key=self._sort_key)
        self.ends = [
            incarnation_id for incarnation_id in self.ends if incarnation_id in kept
        ]
        self.cleared = [
            incarnation_id for incarnation_id in self.cleared if incarnation_id in kept
        ]

    def _sort_key(self, incarnation_id):
        return _digest(f"{self.fingerprint} {incarnation_id}")

    def to_update(self, now):
        """Return the :class:`SuspectUpdate` to send."""
        return SuspectUpdate(
            self.fingerprint, round(self.until - now), self.ends, self.cleared
        )


def _digest(text):
    """Return 64 bits of a non-linear hash.

    The XOR of linear hashes, such as CRCs, may be the same for different sets of names
    that differ in a digit.
    """
    digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def _are_incarnation_ids(value):
    if not isinstance(value, list) or len(value) > MAX_CRASHES:
        return False
    return all(isinstance(each, str) for each in value)
