"""Decides how long a process may act on the configuration that it holds.

Load pattern: an operator revokes a key while some entries cannot reach the store. They continue
with the configuration they have, in which the key is valid, for as long as the outage lasts. The
revoked workspace is still served, while its operator believes that it is not.

The configuration is therefore held under a lease. A response without a newer configuration, from
the store or from a peer that asked the store, renews the lease from the time at which the store was
asked, not from the response: a change that was made while the response was in transit is not
in it. The lease ends before the bound for revoked keys. After that, requests with keys are
refused until the store, or a peer that asked it, has responded again.
"""

MARGIN_SECONDS = 0.25
READY_FRACTION = 0.6
REPLY_TOLERANCE_SECONDS = 0.1


class ConfigurationLease:
    """The time at which the configuration in force was last known to be the newest.

    All times are of a clock that keeps counting while the instance is suspended.
    """

    __slots__ = ("_bound", "_confirmed_at")

    def __init__(self, bound: float) -> None:
        """Creates a lease that was never renewed.

        Args:
          bound: Seconds after which a revoked key must be refused everywhere.
        """
        self._bound = bound
        self._confirmed_at = float("-inf")

    @property
    def confirmed_at(self) -> float:
        """When the configuration was last known to be the newest; minus infinity if never."""
        return self._confirmed_at

    def renew(self, asked_at: float) -> None:
        """Renews the lease from the time a request was sent whose response had nothing newer."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def age(self, now: float) -> float:
        """Returns the seconds since the configuration was last known to be the newest."""
        return now - self._confirmed_at

    def is_valid(self, now: float) -> bool:
        """Returns whether keys may still be checked against the configuration in force."""
        return self.age(now) <= self._bound - MARGIN_SECONDS

    def is_ready(self, now: float) -> bool:
        """Returns whether the load balancer may send new callers to this process."""
        return self.age(now) <= self._bound * READY_FRACTION


def unchanged_until(asked_at: float, answered_at: float, wait: float, paused: bool) -> float:
    """Returns a time until which nothing had changed, for a watch that ended without changes.

    The store holds the request for the whole wait, which starts after the request was sent. Dated
    by the time of the request, a change from the next watch would appear older by one wait. The
    result applies only to changes from the next watch: when the store drops its history, watches
    may have missed changes for a moment before.

    Args:
      wait: Seconds for which the store was to hold the request.
      paused: Whether this process was paused between request and response.
    """
    waited = answered_at - asked_at
    return asked_at + wait if waited >= wait and not paused else asked_at


def earliest_change_at(asked_at: float, answered_at: float, wait: float, paused: bool) -> float:
    """Returns a time before which the changes in a response were not made, or minus infinity.

    The store responds to a waiting request as soon as something changes. An immediate response
    contains changes from before the request, so their time is unknown. It is also unknown if the
    response took longer than the wait, or if this process was paused before it read the response.

    Args:
      wait: Seconds for which the store was to hold the request.
      paused: Whether this process was paused between request and response.
    """
    waited = answered_at - asked_at
    if not paused and REPLY_TOLERANCE_SECONDS <= waited <= wait + REPLY_TOLERANCE_SECONDS:
        return answered_at - REPLY_TOLERANCE_SECONDS
    return float("-inf")
