"""A budget that keeps repeats to a share of the requests, over all VMs together."""

from collections import deque

#: Share of the allowed repeats that the VMs use together: requests that one VM counts
#: and repeats that another sends do not fall into the same window.
USED_SHARE = 0.7


class RetryBudget:
    """Repeats allowed to this VM for one service within a sliding window.

    :param ratio: repeats allowed for each request of the window.
    :param slack: repeats allowed beside, all VMs together.
    :param window: length of the window in seconds.
    :param vm_count: returns the number of VMs that share the slack.
    """

    __slots__ = ("_ratio", "_slack", "_window", "_vm_count", "_requests", "_repeats")

    def __init__(self, ratio, slack, window, vm_count):
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._vm_count = vm_count
        self._requests = deque()
        self._repeats = deque()

    def record_request(self, now):
        """Note a request of a client."""
        self._requests.append(now)
        self._expire(now)

    def left(self, now):
        """Return how many repeats may still be sent in this window."""
        self._expire(now)
        shared = self._slack / max(1, self._vm_count())
        allowed = self._ratio * len(self._requests) + shared
        return USED_SHARE * allowed - len(self._repeats)

    def spend(self, now):
        """Take one repeat; return whether there was one."""
        if self.left(now) < 1:
            return False
        self._repeats.append(now)
        return True

    def refund(self):
        """Give back the last repeat, which was not sent."""
        if self._repeats:
            self._repeats.pop()

    def _expire(self, now):
        for instants in (self._requests, self._repeats):
            while instants and instants[0] <= now - self._window:
                instants.popleft()
