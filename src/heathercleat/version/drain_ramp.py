"""DrainRamps: how callers leave a failure domain that is drained, and how they return.

The callers of a drained failure domain become callers of others. If all of them moved
at once, the others would meet more new work, on colder caches, than the shift caps of
the services allow. They move one after the other instead: each has a position from 0 to
1, fixed by its address, and moves when the share that has to be away passes its
position.
"""

from functools import lru_cache
from math import ceil

from heathercleat.version.hashing import weight

_POSITIONS = 1 << 64


class DrainRamps:
    """The lengths of ramps, for one version of the text.

    :param services: ``{name: Service}`` of the text.
    """

    def __init__(self, services):
        self._services = services
        self._leads = {}

    def ramp_seconds(self, failure_domain):
        """Return the seconds within which the callers of a domain can move away.

        It is the longest time that any service needs to move all slots of the domain
        with as many in each window as its shift cap allows at its other targets. A cap
        that allows none elsewhere adds nothing: these callers cannot be served there.
        """
        known = self._leads.get(failure_domain)
        if known is None:
            leads = (_lead(each, failure_domain) for each in self._services.values())
            known = self._leads[failure_domain] = max(leads, default=0.0)
        return known

    def avoided(self, drains, wall, caller):
        """Return the drained failure domains that a caller does not go to now.

        :param drains: every planned :class:`Drain` of a failure domain.
        :param wall: epoch seconds.
        :param caller: the caller's IP number.
        """
        if not drains:
            return frozenset()
        position = ramp_position(caller)
        return frozenset(
            drain.name
            for drain in drains
            if departed_share(drain, self.ramp_seconds(drain.name), wall) > position
        )


def departed_share(drain, ramp_seconds, wall):
    """Return the share of a domain's callers that have to be elsewhere at ``wall``.

    It rises to 1 within ``ramp_seconds`` seconds before the drain begins, and falls to
    0 within
    as long after it was cancelled.
    """
    if drain.until is None or wall < drain.until:
        return _risen(drain.at, ramp_seconds, wall)
    left = _risen(drain.at, ramp_seconds, drain.until)
    return max(0.0, left - (wall - drain.until) / ramp_seconds) if ramp_seconds else 0.0


@lru_cache(maxsize=65536)
def ramp_position(caller):
    """Return the position of a caller in every ramp, from 0 up to 1."""
    return weight("ramp", caller) / _POSITIONS


def _risen(at, ramp_seconds, wall):
    if wall >= at:
        return 1.0
    return max(0.0, 1.0 - (at - wall) / ramp_seconds) if ramp_seconds else 0.0


def _lead(service, failure_domain):
    slots, allowed, window = 0, 0, 0.0
    for target in service.targets.values():
        if target.shift_cap is None:
            return 0.0
        if target.failure_domain == failure_domain:
            slots += target.limit
        else:
            allowed += target.shift_cap.slots
            window = target.shift_cap.window
    return ceil(slots / allowed) * window if allowed else 0.0
