"""By how much first events come later than forecast, lately.

Load pattern: several entries fill the same engines between two reports of load, each on a guess
of what the others send. Where the guess is low for all of them, all go on sending, every engine
has a queue, and nearly all first events are late although each was forecast in time. What was
seen corrects the next forecasts, so that an entry refuses sooner until its guesses are right.

Grounds:
- WEIGHT: five first events move it most of the way, which an entry sees within half a second.
- HALF_LIFE_SECONDS: an entry that refuses everything sees no first events. The correction must
  fade, or it would go on refusing.
- MOST_SECONDS: one engine that stands still must not have an entry refuse what others can do.
"""

WEIGHT = 0.2
HALF_LIFE_SECONDS = 1.0
MOST_SECONDS = 0.3


class ForecastBias:
    """A correction in seconds, never below zero: forecasts that were too long cost nothing."""

    __slots__ = ("_seconds", "_at")

    def __init__(self) -> None:
        self._seconds = 0.0
        self._at = 0.0

    def seconds(self, now: float) -> float:
        """Returns what to add to a forecast."""
        return self._seconds * 0.5 ** ((now - self._at) / HALF_LIFE_SECONDS)

    def take(self, forecast: float, seen: float, now: float) -> None:
        """Takes one first event, with the forecast before any correction."""
        before = self.seconds(now)
        after = before + WEIGHT * (seen - forecast - before)
        self._seconds = min(MOST_SECONDS, max(0.0, after))
        self._at = now
