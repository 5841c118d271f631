"""Chooses when callers come back whom nobody can serve until a rest of endpoints ends.

Load pattern: all endpoints of a service rest for some seconds. Callers that are told to come back
earlier are refused again each time, and have given up by the time that they could be served. Those
that are all told the moment at which the rest ends come back together, more than the endpoints can
take, and are turned away once more.

Each caller gets a turn: the first when the rest ends, the next ones at the pace at which the
endpoints serve. A caller for whom its turn is too late goes before those who can wait for theirs.
One that cannot wait until the rest ends comes back before that, whatever it is told, and takes no
turn from others.
"""

# Callers wait as long as they are told up to this part of the time that they have left.
HONOURED_FRACTION = 1.0 / 3.0


class ReturnTurns:
    """The turns of the callers of one service.

    All times are of one clock.
    """

    __slots__ = ("_next_at",)

    def __init__(self) -> None:
        self._next_at = 0.0

    def assign(
        self, ends_at: float, interval: float, now: float, seconds_left: float, latest: float
    ) -> float:
        """Returns in how many seconds a caller should come back.

        Args:
          ends_at: When the first endpoint takes requests again.
          interval: Seconds between two turns.
          seconds_left: For how long the caller will wait in all.
          latest: In how many seconds it must be back to be served in that time.
        """
        seconds = ends_at - now
        if seconds > seconds_left * HONOURED_FRACTION:
            return seconds
        turn = max(ends_at, self._next_at)
        if turn - now > latest:
            return seconds
        self._next_at = turn + interval
        return turn - now
