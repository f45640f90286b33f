"""How fast the machine of a target is, as reported in the target's responses."""

from heathercleat.process.clock import DISTANT_PAST

#: Usual length of a slow period of a machine, in seconds.
SLOW_PERIOD_SECONDS = 0.6
#: Slowdown from which a machine counts as slow; smaller ones are within the usual
#: variation of response times.
MIN_SLOWDOWN = 1.25
#: Seconds for which a slow period is expected to go on after a report beyond its usual
#: length; reports come every 50 to 150 ms.
MIN_REMAINING_SECONDS = 0.1
#: Seconds after a report for which a target counts as one that reports its speed.
REPORTED_TTL_SECONDS = 10.0
#: Factor by which a request takes longer if its object is not cached: a target that
#: has it cached does 0.3 of the work.
UNCACHED_FACTOR = 3.3
#: Minimum difference for one target to be expected to finish clearly earlier, as a
#: share of the time at the other one and in seconds. Response times vary by a tenth,
#: and reports of other VMs are up to 0.15 s old.
MIN_GAIN_SHARE = 0.1
MIN_GAIN_SECONDS = 0.02


class MachineSpeed:
    """The last reported slowdown of one target's machine.

    A slowdown of 1.0 means that work takes as long as usual. It falls to 1.0 until the
    expected end of the slow period, so that an old report has no effect.
    """

    __slots__ = ("_slowdown", "_seen_at", "_ends_at", "_incarnation_id")

    def __init__(self):
        self._incarnation_id = None
        self._reset()

    @property
    def last_slowdown(self):
        """Return the last reported slowdown, whatever its age."""
        return self._slowdown

    def record(self, slowdown, now):
        """Record the slowdown that a response reports now."""
        if slowdown < MIN_SLOWDOWN:
            self._slowdown, self._ends_at = 1.0, now
        else:
            self._ends_at = self._expected_end(now)
            self._slowdown = slowdown
        self._seen_at = now

    def record_report(self, slowdown, seen_at, ends_at):
        """Record what another VM knows, unless this VM saw a newer response.

        :param seen_at: instant at which the other VM saw the slowdown.
        :param ends_at: expected end of the slow period.
        """
        if seen_at > self._seen_at:
            self._slowdown, self._seen_at, self._ends_at = slowdown, seen_at, ends_at

    def end_slow_period(self, now):
        """Record that the owner of the target does not report it as slow now."""
        self._slowdown, self._ends_at = 1.0, min(self._ends_at, now)

    def keep_for(self, incarnation_id):
        """Drop the slowdown if it is of another incarnation of the target."""
        if self._incarnation_id not in (None, incarnation_id):
            self._reset()
        self._incarnation_id = incarnation_id

    def slowdown(self, now):
        """Return the factor by which work takes longer than usual, 1.0 or more."""
        if now >= self._ends_at:
            return 1.0
        remaining_share = (self._ends_at - now) / (self._ends_at - self._seen_at)
        return 1.0 + (self._slowdown - 1.0) * min(1.0, remaining_share)

    def is_slow(self, now):
        """Return whether the machine is slow."""
        return self.slowdown(now) >= MIN_SLOWDOWN

    def is_reported(self, now):
        """Return whether responses of the target report the speed of its machine."""
        return now - self._seen_at < REPORTED_TTL_SECONDS

    def age(self, now):
        """Return the seconds since the last report; infinite if there was none."""
        return now - self._seen_at

    def remaining_seconds(self, now):
        """Return for how many seconds the slow period is expected to go on."""
        return max(0.0, self._ends_at - now)

    def run_seconds(self, usual_seconds, now):
        """Return how long a request is expected to take if it starts now.

        :param usual_seconds: how long it takes if the machine is not slow.
        """
        slow_seconds = self.remaining_seconds(now)
        run_seconds = usual_seconds * self._slowdown
        if run_seconds <= slow_seconds:
            return run_seconds
        return usual_seconds + slow_seconds * (1.0 - 1.0 / self._slowdown)

    def _reset(self):
        self._slowdown = 1.0
        self._seen_at = self._ends_at = DISTANT_PAST

    def _expected_end(self, now):
        """Return the expected end of a slow period that a response reports now."""
        gap = min(now - self._seen_at, SLOW_PERIOD_SECONDS)
        if self._slowdown > 1.0 and gap < SLOW_PERIOD_SECONDS:
            return max(self._ends_at, now + MIN_REMAINING_SECONDS)
        # The period started since the last report, on average halfway.
        return now - gap / 2 + SLOW_PERIOD_SECONDS


def is_clearly_earlier(seconds, other_seconds):
    """Return whether an expected time is shorter by more than noise."""
    gain = max(MIN_GAIN_SECONDS, MIN_GAIN_SHARE * other_seconds)
    return seconds + gain <= other_seconds


def select_earliest(first, others, finish_seconds):
    """Return the candidate that finishes clearly before ``first``, or ``first``.

    :param others: further candidates; the first of those with equal times is taken.
    :param finish_seconds: returns the expected seconds until a candidate finishes.
    """
    best = min(others, key=finish_seconds, default=first)
    is_earlier = is_clearly_earlier(finish_seconds(best), finish_seconds(first))
    return best if is_earlier else first
