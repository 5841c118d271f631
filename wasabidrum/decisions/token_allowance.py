"""Limits how many tokens a workspace may generate, where the configuration sets a limit.

Load pattern: a workspace requests more than its limit, for minutes or in a burst at midnight.
Without this the configured limit would not be enforced, and the workspace with the most requests
would get the engine capacity that was promised to the others.

Each entry enforces its share, the limit divided by the number of entries in service, because the
load balancer distributes the requests of a workspace evenly over them. Entries share no state for
this. While they disagree about their number, a workspace gets slightly more or less than its limit.
"""

import dataclasses

BURST_SECONDS = 5.0
MAX_WORKSPACES = 10_000


@dataclasses.dataclass(slots=True)
class Bucket:
    """The tokens available to a workspace at a given time; negative after overspending."""

    tokens: float
    updated_at: float


class TokenAllowance:
    """One token bucket for each workspace that has a limit."""

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: dict[str, Bucket] = {}

    def take(self, workspace: str, per_second: float, cost: float, now: float) -> float | None:
        """Takes the expected cost of a request from the bucket of its workspace.

        Args:
          per_second: The limit of the workspace at this entry, in tokens per second.

        Returns:
          None if the cost was taken, otherwise the seconds until the bucket is above zero again.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            # Workspaces are added and removed with the configuration; without a limit a daemon
            # that runs for months would keep every name it ever had.
            if len(self._buckets) >= MAX_WORKSPACES:
                self._buckets.pop(next(iter(self._buckets)))
            bucket = self._buckets[workspace] = Bucket(per_second * BURST_SECONDS, now)
        earned = per_second * max(0.0, now - bucket.updated_at)
        bucket.tokens = min(per_second * BURST_SECONDS, bucket.tokens + earned)
        bucket.updated_at = now
        if bucket.tokens <= 0.0:
            return -bucket.tokens / per_second
        bucket.tokens -= cost
        return None

    def correct(self, workspace: str, expected: float, cost: float) -> None:
        """Replaces the expected cost of an admitted request by its actual cost."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.tokens += expected - cost
