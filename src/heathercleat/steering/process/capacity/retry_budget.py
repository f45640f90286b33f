"""A retry budget per service, shared by all VMs."""

from collections import deque

from heathercleat.process.clock import DISTANT_PAST

#: Seconds for which a VM that is no longer live counts among those that share the slack
#: of a budget. It may only be cut off, and regions lose each other for minutes.
LOST_VM_SECONDS = 600.0
#: Share of the allowed retries that the VMs use together; below 1, since requests that
#: one VM counts and retries that another one sends fall into different windows.
USED_SHARE = 0.7


class RetryBudgets:
    """The retry budget of each service, created on first use.

    :param members: the :class:`Members`.
    :param settings: the :class:`NodeSettings`.
    """

    def __init__(self, members, settings, clock):
        self._bounds = settings.bounds
        self._sharing_vms = SharingVms(members, clock)
        # The process before may have used up the slack of the last window.
        window_ends_at = clock.now() + settings.bounds.retry_window
        self._slack_from = DISTANT_PAST if settings.is_first_start else window_ends_at
        self._budgets = {}

    def of(self, service):
        """Return the :class:`RetryBudget` of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = self._budgets[service] = RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
                self._sharing_vms.count,
                self._slack_from,
            )
        return budget


class SharingVms:
    """Counts the VMs that may send retries, including those that were lost.

    VMs that are cut off from each other go on sending retries, so that a lost VM keeps
    its part of the budget for :data:`LOST_VM_SECONDS`.

    :param members: the :class:`Members`.
    """

    def __init__(self, members, clock):
        self._members = members
        self._clock = clock
        self._live_count = 0
        # Pairs of an earlier number of live VMs and the instant until which it counts.
        self._earlier_counts = deque()
        members.on_change(self._record_change)

    def count(self):
        """Return the highest number of live VMs in the last seconds."""
        self._record_change()
        now = self._clock.now()
        while self._earlier_counts and self._earlier_counts[0][1] <= now:
            self._earlier_counts.popleft()
        earlier = (count for count, _ in self._earlier_counts)
        return max(self._live_count, *earlier, 1)

    def _record_change(self):
        before = self._live_count
        self._live_count = len(self._members.serving_or_stopping())
        if self._live_count < before:
            counts_until = self._clock.now() + LOST_VM_SECONDS
            self._earlier_counts.append((before, counts_until))


class RetryBudget:
    """The retries that this VM may send for one service in a sliding window.

    :param ratio: retries allowed per request in the window.
    :param slack: additional retries allowed to all VMs together.
    :param window: length of the window in seconds.
    :param vm_count: returns the number of VMs that share the slack.
    :param slack_from: instant from which this VM uses its part of the slack.
    """

    __slots__ = (
        "_ratio",
        "_slack",
        "_window",
        "_vm_count",
        "_slack_from",
        "_requests",
        "_retries",
    )

    def __init__(self, ratio, slack, window, vm_count, slack_from=DISTANT_PAST):
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._vm_count = vm_count
        self._slack_from = slack_from
        self._requests = deque()
        self._retries = deque()

    def record_request(self, now):
        """Record a request of a client."""
        self._requests.append(now)
        self._expire(now)

    @property
    def vm_count(self):
        """Return the number of VMs among which this VM divides the slack."""
        return self._vm_count()

    def remaining(self, now):
        """Return how many retries may still be sent in this window."""
        self._expire(now)
        slack_share = self._slack / self.vm_count if now >= self._slack_from else 0.0
        allowed = self._ratio * len(self._requests) + slack_share
        return USED_SHARE * allowed - len(self._retries)

    def withdraw(self, now):
        """Use up one retry; return whether one was left."""
        if self.remaining(now) < 1:
            return False
        self._retries.append(now)
        return True

    def refund(self, withdrawn_at):
        """Undo a :meth:`withdraw`, since its retry was not sent.

        :param withdrawn_at: the instant that was passed to it.
        """
        if withdrawn_at in self._retries:
            self._retries.remove(withdrawn_at)

    def _expire(self, now):
        for instants in (self._requests, self._retries):
            while instants and instants[0] <= now - self._window:
                instants.popleft()
