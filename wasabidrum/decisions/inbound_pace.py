"""How fast peers may send weights to an instance, and how many at once.

Load pattern: an instance's link is narrower than its settings say. Several chunks that are sent to
it at once stand before its engine's requests for seconds; callers have left by the time that their
requests arrive, and resets come behind them on the same link, so that the engine works for nobody.

Who asks for chunks sees how late they are whole, beyond the time in which their senders sent them.
Where that is more than LATE_SECONDS the link, or the way to it, is narrow: chunks are then asked
for one at a time, and no faster than a part of what has come through. Each that is prompt lets the
next come faster, until the link's own rate is reached again.
"""

# More than peers, their turns and slices of other chunks make a chunk late on a sound link.
LATE_SECONDS = 0.3
# A chunk that is whole this much after its last byte was sent has met no queue worth speaking of:
# a few times the way between regions, and a slice of another chunk.
PROMPT_SECONDS = 0.1
# Of what came through. The rest drains what waits, and is left to requests.
YIELDING_FRACTION = 0.6
GROWTH = 1.6
RETREAT = 0.9
LEAST_BYTES_PER_SECOND = 8_192.0


class InboundPace:
    """The rate of one instance's link, as far as chunks show it."""

    __slots__ = ("_link_rate", "_rate")

    def __init__(self, link_rate: float) -> None:
        """Takes the bytes a second that weights may take of the link by its settings."""
        self._link_rate = link_rate
        self._rate = link_rate

    @property
    def narrow(self) -> bool:
        """Whether less comes through than the settings say."""
        return self._rate < self._link_rate

    @property
    def link_rate(self) -> float:
        """The bytes a second that weights may take of the link by its settings."""
        return self._link_rate

    @property
    def rate(self) -> float:
        """The bytes a second that peers may send here, all together."""
        return self._rate

    def record(self, size: int, at_once: int, seconds: float, late: float) -> None:
        """Records a chunk that came whole.

        Args:
          at_once: How many chunks were on their way here, this one included.
          seconds: In which its sender sent it.
          late: How much later it was whole.
        """
        if late <= PROMPT_SECONDS:
            self._rate = min(self._link_rate, GROWTH * self._rate)
        elif late > LATE_SECONDS:
            through = at_once * size / (seconds + late)
            self._rate = max(LEAST_BYTES_PER_SECOND, min(self._rate, YIELDING_FRACTION * through))
        elif self.narrow:
            self._rate = max(LEAST_BYTES_PER_SECOND, RETREAT * self._rate)
