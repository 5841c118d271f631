"""Corrects forecasts of the time to the first event by the recent forecast error.

Load pattern: between two load reports several entries send to the same engines, each with an
estimate of what the others send. If that estimate is low for all of them, all go on sending, every
engine builds a queue, and nearly all first events are late although each was forecast in time.
Conversely, engines may work off a queue faster than their published figures say, and callers are
refused that could have been served in time. Observed errors therefore correct the next forecasts.
Corrections are kept by length of the forecast, because requests that wait in a queue are forecast
less accurately than others.
"""

LENGTH_EDGES_SECONDS = (0.2, 0.35)
SMOOTHING_WEIGHT = 0.2
HALF_LIFE_SECONDS = 1.0
MAX_CORRECTION_SECONDS = 0.3
MIN_CORRECTION_SECONDS = -0.15

Corrections = tuple[float, ...]


def length_class(forecast: float) -> int:
    """Returns the length class of a forecast (short, medium or long), an index of corrections."""
    return sum(forecast > edge for edge in LENGTH_EDGES_SECONDS)


class ForecastBias:
    """Forecast corrections in seconds, by length class; they decay with time."""

    __slots__ = ("_seconds", "_updated_at")

    def __init__(self) -> None:
        self._seconds = [0.0] * (len(LENGTH_EDGES_SECONDS) + 1)
        self._updated_at = [0.0] * (len(LENGTH_EDGES_SECONDS) + 1)

    def corrections(self, now: float) -> Corrections:
        """Returns the seconds to add to short, medium and long forecasts."""
        return tuple(
            seconds * 0.5 ** ((now - updated_at) / HALF_LIFE_SECONDS)
            for seconds, updated_at in zip(self._seconds, self._updated_at, strict=True)
        )

    def record(self, forecast: float, seen: float, now: float) -> None:
        """Records the observed time to a first event, and its forecast without correction."""
        index = length_class(forecast)
        before = self.corrections(now)[index]
        after = before + SMOOTHING_WEIGHT * (seen - forecast - before)
        self._seconds[index] = min(MAX_CORRECTION_SECONDS, max(MIN_CORRECTION_SECONDS, after))
        self._updated_at[index] = now
