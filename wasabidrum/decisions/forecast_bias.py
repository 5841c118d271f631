"""By how much first events come sooner or later than forecast, lately.

Load pattern: several entries fill the same engines between two reports of load, each on a guess
of what the others send. Where the guess is low for all of them, all go on sending, every engine
has a queue, and nearly all first events are late although each was forecast in time. Or engines
get through a queue faster than their figures say, and callers are refused whom they could have
served in time. What was seen corrects the next forecasts, by how long they are: what stands in a
queue is forecast worse than what does not.
"""

EDGES = (0.2, 0.35)
WEIGHT = 0.2
HALF_LIFE_SECONDS = 1.0
MOST_SECONDS = 0.3
LEAST_SECONDS = -0.15

Corrections = tuple[float, ...]


def length_of(forecast: float) -> int:
    """Returns whether a forecast is short, middling or long, as a place in corrections."""
    return sum(forecast > edge for edge in EDGES)


class ForecastBias:
    """Corrections in seconds, by the length of a forecast."""

    __slots__ = ("_seconds", "_at")

    def __init__(self) -> None:
        self._seconds = [0.0] * (len(EDGES) + 1)
        self._at = [0.0] * (len(EDGES) + 1)

    def corrections(self, now: float) -> Corrections:
        """Returns what to add to short, middling and long forecasts."""
        return tuple(
            seconds * 0.5 ** ((now - at) / HALF_LIFE_SECONDS)
            for seconds, at in zip(self._seconds, self._at, strict=True)
        )

    def take(self, forecast: float, seen: float, now: float) -> None:
        """Takes one first event, with the forecast before any correction."""
        place = length_of(forecast)
        before = self.corrections(now)[place]
        after = before + WEIGHT * (seen - forecast - before)
        self._seconds[place] = min(MOST_SECONDS, max(LEAST_SECONDS, after))
        self._at[place] = now
