"""A budget that keeps retries to a share of the requests."""

#: Retries earned by each request.
RETRY_RATIO = 0.1
#: Retries that may be saved up.
MAX_BALANCE = 10.0


class RetryBudget:
    """Retries allowed for one service.

    :param share: retries earned by each first attempt.
    :param saved: how many retries may be saved up.
    """

    def __init__(self, share=RETRY_RATIO, saved=MAX_BALANCE):
        self._share = share
        self._limit = saved
        self._balance = saved

    @property
    def balance(self):
        """Return the retries left."""
        return self._balance

    def deposit(self):
        """Note a first attempt."""
        self._balance = min(self._limit, self._balance + self._share)

    def withdraw(self):
        """Take one retry; return whether there was one."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
