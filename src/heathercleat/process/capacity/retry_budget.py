"""A retry budget: limits retries to a fraction of the requests."""

#: Retries added to the budget by each first attempt.
RETRY_RATIO = 0.1
#: Maximum number of retries in the budget.
MAX_BALANCE = 10.0


class RetryBudget:
    """The retry budget of one service.

    :param ratio: retries added by each first attempt.
    :param max_balance: maximum balance, which is also the initial one.
    """

    def __init__(self, ratio=RETRY_RATIO, max_balance=MAX_BALANCE):
        self._ratio = ratio
        self._max_balance = max_balance
        self._balance = max_balance

    @property
    def balance(self):
        """Return the number of retries left; it need not be whole."""
        return self._balance

    def deposit(self):
        """Add ``ratio`` retries to the budget, for a first attempt."""
        self._balance = min(self._max_balance, self._balance + self._ratio)

    def withdraw(self):
        """Spend one retry and return whether the budget allowed it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
