"""Selects other targets for requests whose usual target has a slow machine."""

from heathercleat.steering.process.capacity.machine_speed import (
    is_clearly_earlier,
    select_earliest,
)


class SpeedChoice:
    """Compares the expected times to finish at a slow target and at others.

    Nothing is compared unless the usual target is slow.

    :param estimates: the :class:`Estimates`.
    :param shift: the :class:`RegionShiftLimit`.
    :param log: the :class:`SpeedLog`, or ``None``.
    """

    def __init__(self, estimates, shift, log):
        self._estimates = estimates
        self._shift = shift
        self._log = log

    def affinity_target(self, call, ranked, now):
        """Return the :class:`AffinityTarget` to use, ``None`` if there is none.

        This is the first one, unless it is slow and a later one is expected to finish
        clearly earlier.

        :param ranked: the affinity targets of the request, best first.
        """
        first = next(iter(ranked), None)
        if first is None or not first.candidate.capacity.speed.is_slow(now):
            return first

        def finish_seconds(affinity_target):
            # Objects that overflow to another region are not cached in the own one.
            is_cached = affinity_target.is_remote or not first.is_remote
            return self._estimates.finish_seconds(
                call, affinity_target.candidate, is_cached, now
            )

        others = [
            each
            for each in ranked[1:]
            if not each.is_remote
            or first.is_remote
            or self._may_leave_region(
                call, finish_seconds(first), finish_seconds(each), now
            )
        ]
        best = select_earliest(first, others, finish_seconds)
        if best is not first:
            self._log_choice(
                call,
                first.candidate,
                best.candidate,
                finish_seconds(first),
                finish_seconds(best),
                now,
            )
        return best

    def free_target(self, call, candidates, is_cached, now):
        """Return the :class:`Candidate` to use of those with a free slot.

        This is the first one, unless it is slow and another one is expected to finish
        clearly earlier.

        :param candidates: one or more candidates, best first.
        :param is_cached: ``False`` if none of them has the object of the request
            cached.
        """
        first, *others = candidates
        if not first.capacity.speed.is_slow(now):
            return first

        def finish_seconds(candidate):
            return self._estimates.finish_seconds(call, candidate, is_cached, now)

        best = select_earliest(first, others, finish_seconds)
        if best is not first:
            seconds = finish_seconds(first), finish_seconds(best)
            self._log_choice(call, first, best, *seconds, now)
        return best

    def target_without_affinity(self, call, affinity_target, candidates, now):
        """Return a free :class:`Candidate` to use in place of a slow affinity target.

        It is expected to finish clearly earlier though its object is not cached there.
        ``None`` if there is none.

        :param candidates: returns the candidates with enough free slots.
        """
        slow = affinity_target.candidate
        if not slow.capacity.speed.is_slow(now):
            return None
        seconds = self._estimates.finish_seconds(call, slow, True, now)
        usual = self._estimates.usual_run_seconds(call, False)
        if not is_clearly_earlier(usual, seconds):
            return None

        def finish_seconds(candidate):
            return self._estimates.finish_seconds(
                call, candidate, candidate is slow, now
            )

        best = select_earliest(slow, candidates(), finish_seconds)
        if best is slow:
            return None
        self._log_choice(call, slow, best, seconds, finish_seconds(best), now)
        return best

    def _may_leave_region(self, call, seconds, remote_seconds, now):
        """Return whether a request may go to the affinity target of another region.

        A response in time is worth the same whenever it arrives, and bytes between
        regions are the largest cost.
        """
        is_late_here = now + seconds > call.soft_deadline
        is_in_time_there = now + remote_seconds <= call.soft_deadline
        return is_late_here and is_in_time_there and self._shift.may_move()

    def _log_choice(self, call, slow, chosen, slow_seconds, chosen_seconds, now):
        """Log a choice and the expected seconds that were compared."""
        if self._log is not None:
            self._log.record_choice(
                call, slow, chosen, slow_seconds, chosen_seconds, now
            )
