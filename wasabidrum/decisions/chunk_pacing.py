"""Decides when a sidecar may send a chunk, so that weights leave bandwidth for other traffic.

Load pattern: a burst of weights competes with live requests on the instance's own link, and with
billing traffic on the link between regions. Without pacing, TCP gives many weight streams most of
either link. Between regions weights take at most a fixed fraction of the link, whether or not
others use it, because a sidecar cannot see the other traffic. On the instance's own link they
take that fraction while requests are in progress, and the whole link otherwise.

Each chunk reserves the link for its whole transmission, and the next chunk follows it. If chunks
were interleaved, all would complete late together, and no receiver could pass one on meanwhile.
"""

import dataclasses

BYTES_PER_MEGABIT = 125_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A time slot on a link, by the clock of the process that reserved it."""

    start: float
    seconds: float


class LinkSchedule:
    """The reservations on one link."""

    __slots__ = ("_free_at",)

    def __init__(self) -> None:
        self._free_at = 0.0

    def reserve(self, now: float, size: int, bytes_per_second: float) -> Reservation:
        """Reserves the next free slot for a number of bytes; a rate of zero means no limit."""
        if bytes_per_second <= 0:
            return Reservation(now, 0.0)
        start = max(now, self._free_at)
        seconds = size / bytes_per_second
        self._free_at = start + seconds
        return Reservation(start, seconds)


def instance_rate(link_mbit: float, fraction: float, requests_in_progress: int) -> float:
    """Returns the bytes per second that weights may take of the instance's own link."""
    return link_mbit * BYTES_PER_MEGABIT * (fraction if requests_in_progress else 1.0)


def region_rate(link_mbit: float, fraction: float, senders: int) -> float:
    """Returns one sender's share of the link between regions, in bytes per second.

    The senders are the region's ingress nodes that are alive. Each takes a fixed share, so that all
    together stay within the fraction without any coordination.
    """
    return link_mbit * BYTES_PER_MEGABIT * fraction / max(1, senders)
