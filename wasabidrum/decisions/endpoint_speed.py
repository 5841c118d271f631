"""Learns from the events of running streams how much slower than published an engine works.

Load pattern: an engine runs at half speed for half a second, or at a third of it for seconds. Its
reported pace is known 0.2 to 0.35 s late, so that an entry goes on sending there at the start, and
stays away after the end. The entry's own streams show the change at the next event: all requests of
an engine get their next tokens in the same pass.

A pass may also read prompts, which makes a single gap between two events long. The smallest of the
last gaps, as a ratio to the expected pass, is hardly affected by that, while an engine that is slow
makes all of them long. Without a gap for LIFETIME_SECONDS the reported pace counts alone.
"""

import collections

LIFETIME_SECONDS = 0.4
GAPS = 3
MAX_SLOWDOWN = 8.0
# Below this ratio a gap is explained by prompts that the pass has read.
MIN_SLOWDOWN = 1.3
# The streams of an engine get their events together; gaps of the same pass count once.
SAME_PASS_SECONDS = 0.01


class EndpointSpeed:
    """The slowdown of one engine, as its events show it."""

    __slots__ = ("_gaps",)

    def __init__(self) -> None:
        # The end of each of the last gaps, and its ratio to the expected pass.
        self._gaps: collections.deque[tuple[float, float]] = collections.deque(maxlen=GAPS)

    def record_gap(self, seconds: float, expected: float, now: float) -> None:
        """Records the time between two events of a stream.

        Args:
          expected: Seconds of a pass of the engine at its published speed.
        """
        ratio = seconds / expected
        if self._gaps and now - self._gaps[-1][0] < SAME_PASS_SECONDS:
            ratio = min(ratio, self._gaps.pop()[1])
        self._gaps.append((now, ratio))

    def slowdown(self, reported: float, now: float) -> float:
        """Returns how many times slower than published the engine works.

        Args:
          reported: The slowdown by its last report.
        """
        ratios = [ratio for ended_at, ratio in self._gaps if now - ended_at <= LIFETIME_SECONDS]
        if len(ratios) < GAPS - 1:
            return reported
        seen = min(ratios)
        return min(MAX_SLOWDOWN, seen) if seen >= MIN_SLOWDOWN else min(reported, MIN_SLOWDOWN)
