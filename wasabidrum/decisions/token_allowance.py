"""How many tokens a workspace may generate, where the files limit it.

Load pattern: a workspace with a limit asks for more than the limit, for minutes or by a burst
at midnight. Without this the limit stands in the files and is not in force: what the others
were promised of the engines goes to whoever asks most.

Each entry enforces its part, the limit divided by the entries in service, since the balancer
spreads a workspace's requests evenly over them; nothing is shared between entries. While
entries disagree about their number, a workspace gets a little more or less than its limit.
"""

import dataclasses

BURST_SECONDS = 5.0
MOST_WORKSPACES = 10_000


@dataclasses.dataclass(slots=True)
class Level:
    """The tokens that a workspace may take now, as of a moment."""

    tokens: float
    as_of: float


class TokenAllowance:
    """A bucket of tokens for each workspace that has a limit."""

    __slots__ = ("_levels",)

    def __init__(self) -> None:
        self._levels: dict[str, Level] = {}

    def take(self, workspace: str, per_second: float, cost: float, now: float) -> float | None:
        """Takes a request's expected cost from its workspace's allowance.

        Args:
          per_second: What the workspace may generate at this entry, in tokens a second.

        Returns:
          None where it was taken, or the seconds until the allowance is above zero again.
        """
        level = self._levels.get(workspace)
        if level is None:
            # Workspaces come and go with the configuration; without a bound a daemon that
            # lives for months would keep every name that ever was.
            if len(self._levels) >= MOST_WORKSPACES:
                self._levels.pop(next(iter(self._levels)))
            level = self._levels[workspace] = Level(per_second * BURST_SECONDS, now)
        earned = per_second * max(0.0, now - level.as_of)
        level.tokens = min(per_second * BURST_SECONDS, level.tokens + earned)
        level.as_of = now
        if level.tokens <= 0.0:
            return -level.tokens / per_second
        level.tokens -= cost
        return None

    def correct(self, workspace: str, expected: float, cost: float) -> None:
        """Takes what a request that was let in did cost."""
        level = self._levels.get(workspace)
        if level is not None:
            level.tokens += expected - cost
