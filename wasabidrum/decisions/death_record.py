"""Requests that were in progress when the endpoint beside a sidecar crashed.

Load pattern: see poison.py. Without this record each entry would have to lose two engines to the
same prompt before it blocked the prompt, and there are hundreds of entries.
"""

import collections

MAX_REPORTED = 24
REPORTED_SECONDS = 60.0
SAME_CRASH_SECONDS = 2.0


class DeathRecord:
    """The latest fingerprints of lost requests, each with the number of the crash."""

    __slots__ = ("_reported", "_crash", "_crashed_at")

    def __init__(self) -> None:
        self._reported: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=MAX_REPORTED
        )
        self._crash = 0
        self._crashed_at = float("-inf")

    def record_lost(self, fingerprint: str, now: float) -> None:
        """Records a request that was running when its endpoint disconnected."""
        if now - self._crashed_at > SAME_CRASH_SECONDS:
            self._crash += 1
        self._crashed_at = now
        self._reported.append((now, f"{fingerprint}/{self._crash}"))

    def suspects(self, now: float) -> tuple[str, ...]:
        """Returns what the sidecar reports, each as fingerprint, slash, number of the crash."""
        while self._reported and now - self._reported[0][0] > REPORTED_SECONDS:
            self._reported.popleft()
        return tuple(report for _, report in self._reported)
