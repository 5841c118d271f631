"""How much load retries may add.

Load pattern: every endpoint fails. Each request is tried again, by the entry and by its
caller, and the fleet gets several times the load it already could not carry; it stays down
after the cause has gone, because the retries alone keep it down.

Each request earns a tenth of a retry, and a retry spends a whole one, so that retries add at
most a tenth to the load. Only the entry retries: sidecars, sent one attempt, make one.
"""

EARNED_BY_REQUEST = 0.1
LARGEST_PURSE = 10.0
FIRST_PURSE = LARGEST_PURSE
MOST_RETRIES_OF_ONE = 2


class RetryBudget:
    """Retries that were earned and not yet spent."""

    __slots__ = ("_purse", "_earned", "_largest")

    def __init__(
        self,
        earned: float = EARNED_BY_REQUEST,
        largest: float = LARGEST_PURSE,
        first: float = FIRST_PURSE,
    ) -> None:
        """Takes what a request earns, the largest purse, and the one to begin with."""
        self._purse = first
        self._earned = earned
        self._largest = largest

    def earn(self) -> None:
        """Counts one request that was placed for the first time."""
        self._purse = min(self._largest, self._purse + self._earned)

    def spend(self, retries_so_far: int) -> bool:
        """Takes one retry from the budget; returns whether there was one."""
        if retries_so_far >= MOST_RETRIES_OF_ONE or self._purse < 1.0:
            return False
        self._purse -= 1.0
        return True
