"""A retry budget per service, shared by all VMs."""

from collections import deque

#: Share of the allowed retries that the VMs use together; below 1, since requests that
#: one VM counts and retries that another one sends fall into different windows.
USED_SHARE = 0.7


class RetryBudgets:
    """The retry budget of each service, created on first use.

    :param members: the :class:`Members`.
    :param bounds: the :class:`Bounds`.
    """

    def __init__(self, members, bounds):
        self._members = members
        self._bounds = bounds
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
                self._count_vms,
            )
        return budget

    def _count_vms(self):
        """Return the number of VMs that share the slack."""
        return len(self._members.serving_or_stopping())


class RetryBudget:
    """The retries that this VM may send for one service in a sliding window.

    :param ratio: retries allowed per request in the window.
    :param slack: additional retries allowed to all VMs together.
    :param window: length of the window in seconds.
    :param vm_count: returns the number of VMs that share the slack.
    """

    __slots__ = ("_ratio", "_slack", "_window", "_vm_count", "_requests", "_retries")

    def __init__(self, ratio, slack, window, vm_count):
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._vm_count = vm_count
        self._requests = deque()
        self._retries = deque()

    def record_request(self, now):
        """Record a request of a client."""
        self._requests.append(now)
        self._expire(now)

    @property
    def vm_count(self):
        """Return the number of VMs among which this VM divides the slack."""
        return max(1, self._vm_count())

    def remaining(self, now):
        """Return how many retries may still be sent in this window."""
        self._expire(now)
        slack_share = self._slack / self.vm_count
        allowed = self._ratio * len(self._requests) + slack_share
        return USED_SHARE * allowed - len(self._retries)

    def withdraw(self, now):
        """Use up one retry; return whether one was left."""
        if self.remaining(now) < 1:
            return False
        self._retries.append(now)
        return True

    def refund(self):
        """Undo the last :meth:`withdraw`, since its retry was not sent."""
        if self._retries:
            self._retries.pop()

    def _expire(self, now):
        for instants in (self._requests, self._retries):
            while instants and instants[0] <= now - self._window:
                instants.popleft()
