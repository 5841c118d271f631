"""Limits the retries that all entries together send to one service, without shared state.

Load pattern: endpoints fail while entries are killed and start again, or cannot reach each other.
A share of a fixed allowance that each process is given at its start is granted anew at every
restart, several times within one window. Divided by the entries known at that moment, it is too
large by any factor, because a process that has just started knows no other.

The platform allows, in each window, a fraction of the requests and a fixed number of extra retries.
An entry earns its retries from the requests that it receives, and starts with none, so that a
restart only loses what was earned. What it may hold is its share of the extra retries, by the
number of entries known now. The sum over all entries is thus bounded at the start of each window
by the extra retries, and grows within it only by what requests earn.

An only entry at the first start of the whole system follows no process and shares with none, so
that it holds its share at once. An entry that does not know the number of entries holds no share;
one retry at a time is covered by the unused part of what its own requests allow. The same covers
one retry at a time where the entries are so many that a share is less than one.
"""

from .retry_budget import RetryBudget

# The part of the allowed retries that entries use. Callers of one service may send to endpoints of
# others, and entries know their number only roughly.
USED_PART = 0.7
# The extra retries are divided by at least this many entries.
MIN_ENTRIES = 3
SINGLE_RETRY = 1.0


class RetryAllowance:
    """What the platform allows for a service, for all entries together.

    Attributes:
      fraction: Retries for each request.
      extra: Additional retries in each window.
      window: The length of a window in seconds.
    """

    __slots__ = ("fraction", "extra", "window")

    def __init__(self, fraction: float, extra: float, window: float) -> None:
        self.fraction = fraction
        self.extra = extra
        self.window = window

    def share(self, entries: int | None) -> float:
        """Returns the extra retries of one entry.

        Args:
          entries: The number of entries; None if it is not known.
        """
        if entries is None:
            return 0.0
        return USED_PART * self.extra / max(MIN_ENTRIES, entries)


class SharedRetryBudget:
    """One entry's part of the retries to one service."""

    __slots__ = ("_allowance", "_budget", "_requests", "_requests_before", "_half_began_at")

    def __init__(self, allowance: RetryAllowance, only_entry: bool = False) -> None:
        """Creates a budget.

        Args:
          only_entry: No process has sent requests before this one, and none does beside it.
        """
        self._allowance = allowance
        initial = allowance.share(MIN_ENTRIES) if only_entry else 0.0
        self._budget = RetryBudget(USED_PART * allowance.fraction, initial, initial)
        # Requests in the current half of a window, and in the one before it.
        self._requests = 0
        self._requests_before = 0
        self._half_began_at = float("-inf")

    @property
    def balance(self) -> float:
        """Retries that may be spent now."""
        return self._budget.balance

    def earn(self, now: float, entries: int | None) -> None:
        """Adds what one request earns when it is first placed.

        Args:
          entries: The number of entries; None if it is not known.
        """
        self._update(now, entries)
        self._requests += 1
        self._budget.earn()

    def spend(self, retries_so_far: int, now: float, entries: int | None) -> bool:
        """Spends one retry; returns whether the budget allowed it.

        Args:
          entries: The number of entries; None if it is not known.
        """
        self._update(now, entries)
        return self._budget.spend(retries_so_far)

    def _update(self, now: float, entries: int | None) -> None:
        self._advance(now)
        self._budget.limit(self._max_balance(entries))

    def _max_balance(self, entries: int | None) -> float:
        unused = (1.0 - USED_PART) * self._allowance.fraction
        single = min(SINGLE_RETRY, unused * (self._requests + self._requests_before))
        return max(self._allowance.share(entries), single)

    def _advance(self, now: float) -> None:
        half = self._allowance.window / 2.0
        if now - self._half_began_at < half:
            return
        recent = now - self._half_began_at < 2.0 * half
        self._requests_before = self._requests if recent else 0
        self._requests = 0
        self._half_began_at = now
