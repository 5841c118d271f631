"""Limits how fast peers may send weights to an instance, and how many chunks at once.

Load pattern: an instance's link is narrower than its settings say. Several chunks that are sent to
it at once delay its engine's requests by seconds. Callers have left by the time that their
requests arrive, and the resets follow on the same link, so that the engine works without a
caller waiting for the result.

The receiver of a chunk knows its lateness: how long after the end of the sender's transmission
the chunk was complete. A lateness above LATE_SECONDS means that the link, or the path to it, is
narrow: chunks are then requested one at a time, at a fraction of the measured throughput. Each
chunk that is on time raises the rate again, up to the link's own rate; one between the two
thresholds lowers it a little.
"""

# More than the lateness that peers' scheduling and slices of other chunks cause on a healthy link.
LATE_SECONDS = 0.3
# A chunk that is complete this soon after its last byte was sent has met no relevant queue: this
# is a few times the latency between regions, and a slice of another chunk.
ON_TIME_SECONDS = 0.1
# Of the measured throughput. The rest drains the queue, and is left to requests.
REDUCED_FRACTION = 0.6
INCREASE_FACTOR = 1.6
DECREASE_FACTOR = 0.9
MIN_BYTES_PER_SECOND = 8_192.0


class InboundRateLimit:
    """The rate at which peers may send to one instance, adapted to the lateness of chunks."""

    __slots__ = ("_link_rate", "_rate")

    def __init__(self, link_rate: float) -> None:
        """Creates a limit, initially the given rate.

        Args:
          link_rate: The bytes per second that weights may use of the link by its settings.
        """
        self._link_rate = link_rate
        self._rate = link_rate

    @property
    def narrow(self) -> bool:
        """Whether the link carries less than its settings say."""
        return self._rate < self._link_rate

    @property
    def link_rate(self) -> float:
        """The bytes per second that weights may use of the link by its settings."""
        return self._link_rate

    @property
    def rate(self) -> float:
        """The bytes per second that peers may send here, all together."""
        return self._rate

    def record(self, size: int, at_once: int, seconds: float, late: float) -> None:
        """Records a chunk that arrived complete.

        Args:
          at_once: How many chunks were in flight to this instance, this one included.
          seconds: How long its sender took to send it.
          late: How many seconds after that it was complete.
        """
        if late <= ON_TIME_SECONDS:
            self._rate = min(self._link_rate, INCREASE_FACTOR * self._rate)
        elif late > LATE_SECONDS:
            throughput = at_once * size / (seconds + late)
            self._rate = max(MIN_BYTES_PER_SECOND, min(self._rate, REDUCED_FRACTION * throughput))
        elif self.narrow:
            self._rate = max(MIN_BYTES_PER_SECOND, DECREASE_FACTOR * self._rate)
