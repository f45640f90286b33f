"""How many targets of a service may rest at the same time.

A target whose answers fail rests, so that others serve its requests. Where most targets
of a service fail alike there are no others: resting them takes away what still works.
On a day on which all targets of a service turned away 45% of the requests, resting each
of them left 40% of the requests refused.
"""

#: Part of the targets of a service that may rest for failed answers at the same time.
MAX_EJECTED_SHARE = 1 / 3


class EjectionLimit:
    """Decides whether one more target of a service may rest.

    :param view: the :class:`TargetView`.
    """

    def __init__(self, view, clock):
        self._view = view
        self._clock = clock

    def may_eject(self, service):
        """Return whether enough of the known targets of a service are at work."""
        now = self._clock.now()
        limits = [
            candidate.capacity.limit(now)
            for targets in self._view.regions(service).values()
            for candidate in targets.candidates
            if candidate.capacity.is_known(now)
        ]
        resting = sum(limit == 0 for limit in limits)
        return resting + 1 <= max(1.0, MAX_EJECTED_SHARE * len(limits))
