"""Gradual move of callers away from a drained failure domain, and back.

Callers of a drained failure domain are redirected to other failure domains. To stay
within the shift caps of the services, they move one after the other: each caller has a
position between 0 and 1, a hash of its address, and moves when the share of callers
that must have moved exceeds its position.
"""

from functools import lru_cache
from math import ceil

from heathercleat.version.hashing import rendezvous_weight

#: Number of possible rendezvous weights.
_WEIGHT_COUNT = 1 << 64


class DrainRamps:
    """Ramps of all failure domains, for one version of the configuration.

    :param services: ``{name: Service}``.
    """

    def __init__(self, services):
        self._services = services
        self._ramp_seconds = {}

    def ramp_seconds(self, failure_domain):
        """Return the duration of a failure domain's ramp, in seconds.

        This is the longest time that any service needs to move its slots of the domain
        to its other targets within their shift caps. Services whose caps allow no slots
        elsewhere are ignored, because their callers cannot be served there.
        """
        cached = self._ramp_seconds.get(failure_domain)
        if cached is None:
            durations = (
                _service_ramp_seconds(each, failure_domain)
                for each in self._services.values()
            )
            cached = self._ramp_seconds[failure_domain] = max(durations, default=0.0)
        return cached

    def avoided_domains(self, drains, wall_time, caller):
        """Return the drained failure domains that a caller has moved away from.

        :param drains: each :class:`Drain` of a failure domain.
        :param wall_time: the current time, in epoch seconds.
        :param caller: the IP address of the caller.
        """
        if not drains:
            return frozenset()
        position = ramp_position(caller)
        return frozenset(
            drain.drained_name
            for drain in drains
            if moved_share(drain, self.ramp_seconds(drain.drained_name), wall_time)
            > position
        )


def moved_share(drain, ramp_seconds, wall_time):
    """Return the share of a domain's callers that must have moved at ``wall_time``.

    It rises linearly to 1 over the ``ramp_seconds`` before the drain begins, and falls
    to 0 at the same rate after the drain was cancelled.
    """
    if drain.cancelled_at is None or wall_time < drain.cancelled_at:
        return _rising_share(drain.starts_at, ramp_seconds, wall_time)
    share_at_cancellation = _rising_share(
        drain.starts_at, ramp_seconds, drain.cancelled_at
    )
    return (
        max(
            0.0, share_at_cancellation - (wall_time - drain.cancelled_at) / ramp_seconds
        )
        if ramp_seconds
        else 0.0
    )


@lru_cache(maxsize=65536)
def ramp_position(caller):
    """Return the position of a caller in all ramps, from 0 to 1."""
    return rendezvous_weight("ramp", caller) / _WEIGHT_COUNT


def _rising_share(starts_at, ramp_seconds, wall_time):
    if wall_time >= starts_at:
        return 1.0
    return (
        max(0.0, 1.0 - (starts_at - wall_time) / ramp_seconds) if ramp_seconds else 0.0
    )


def _service_ramp_seconds(service, failure_domain):
    """Return the seconds that one service needs.

    0 if it has no shift cap, or if the cap allows no slots elsewhere.
    """
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
