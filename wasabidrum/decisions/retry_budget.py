"""Limits the load that retries add.

Load pattern: all endpoints fail. Each request is retried by the entry and by its caller, and the
fleet gets several times the load that it already could not handle. It stays overloaded after the
cause is gone, because the retries alone keep it so.

Each request earns a tenth of a retry and each retry costs a whole one, so that retries add at
most a tenth to the load. Only the entry retries; a sidecar makes a single attempt.
"""

EARNED_PER_REQUEST = 0.1
MAX_BALANCE = 10.0
INITIAL_BALANCE = MAX_BALANCE
MAX_RETRIES_PER_REQUEST = 2


class RetryBudget:
    """The balance of retries that were earned and not yet spent."""

    __slots__ = ("_balance", "_earned_per_request", "_max_balance")

    def __init__(
        self,
        earned_per_request: float = EARNED_PER_REQUEST,
        max_balance: float = MAX_BALANCE,
        initial_balance: float = INITIAL_BALANCE,
    ) -> None:
        """Creates a budget.

        Args:
          earned_per_request: Retries earned by each request.
          max_balance: Upper limit of the balance.
          initial_balance: Initial balance.
        """
        self._balance = initial_balance
        self._earned_per_request = earned_per_request
        self._max_balance = max_balance

    @property
    def balance(self) -> float:
        """Retries that may be spent now."""
        return self._balance

    def limit(self, max_balance: float) -> None:
        """Replaces the upper limit of the balance, and lowers the balance to it."""
        self._max_balance = max_balance
        self._balance = min(self._balance, max_balance)

    def earn(self) -> None:
        """Adds what one request earns when it is first placed."""
        self._balance = min(self._max_balance, self._balance + self._earned_per_request)

    def spend(self, retries_so_far: int) -> bool:
        """Spends one retry; returns whether the budget allowed it."""
        if retries_so_far >= MAX_RETRIES_PER_REQUEST or self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
