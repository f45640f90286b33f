"""Limit on the ejected targets of a service.

Ejecting a failing target helps only if other targets can serve its requests. When most
targets of a service fail alike, ejection would remove capacity that still works.
"""

#: Share of the targets of a service that may be ejected at the same time.
MAX_EJECTED_SHARE = 1 / 3


class EjectionLimit:
    """Decides whether one more target of a service may be ejected.

    :param view: the :class:`TargetView`.
    """

    def __init__(self, view, clock):
        self._view = view
        self._clock = clock

    def may_eject(self, service):
        """Return whether the ejection of one more target stays within the limit."""
        now = self._clock.now()
        limits = [
            candidate.capacity.limit(now)
            for targets in self._view.regions(service).values()
            for candidate in targets.candidates
            if candidate.capacity.is_known(now)
        ]
        ejected_count = sum(limit == 0 for limit in limits)
        return ejected_count + 1 <= max(1.0, MAX_EJECTED_SHARE * len(limits))
