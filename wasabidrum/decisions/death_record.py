"""The requests that were in progress when the endpoint beside a sidecar died.

Load pattern: see poison.py. Without this record each entry would have to lose two engines to
the same prompt before it knew, and there are hundreds of entries.
"""

import collections

MOST_TOLD = 24
TOLD_SECONDS = 60.0
SAME_DEATH_SECONDS = 2.0


class DeathRecord:
    """Fingerprints by death, the latest kept."""

    __slots__ = ("_told", "_death", "_died_at")

    def __init__(self) -> None:
        self._told: collections.deque[tuple[float, str]] = collections.deque(maxlen=MOST_TOLD)
        self._death = 0
        self._died_at = float("-inf")

    def take_lost(self, fingerprint: str, now: float) -> None:
        """Takes a request whose endpoint went away while it ran."""
        if now - self._died_at > SAME_DEATH_SECONDS:
            self._death += 1
        self._died_at = now
        self._told.append((now, f"{fingerprint}/{self._death}"))

    def suspects(self, now: float) -> tuple[str, ...]:
        """Returns what to tell: fingerprint, slash, number of the death."""
        while self._told and now - self._told[0][0] > TOLD_SECONDS:
            self._told.popleft()
        return tuple(told for _, told in self._told)
