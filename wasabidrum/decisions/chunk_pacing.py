"""When a sidecar may send a chunk, so that weights leave room for what goes before them.

Load pattern: a burst of weights meets live requests on the instance's own link and billing
traffic on the link between regions. Without pacing TCP gives many weight streams most of
either link. The rule: between regions weights take at most a fixed fraction of the link,
whether or not others use it, because a sidecar cannot see the others; on the instance's
own link they take that fraction while requests are in progress, and all of it otherwise.

A chunk reserves its whole time on the link at once and the next follows it. Were chunks
sent in turns, all would end late together, and nobody could pass any of them on meanwhile.
"""

import dataclasses

BYTES_PER_MEGABIT = 125_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A time on a link, by the clock that made it."""

    start: float
    seconds: float


class LinkSchedule:
    """The reservations on one link."""

    __slots__ = ("_free_at",)

    def __init__(self) -> None:
        self._free_at = 0.0

    def reserve(self, now: float, size: int, bytes_per_second: float) -> Reservation:
        """Reserves the next free time for some bytes; a rate of zero means no limit."""
        if bytes_per_second <= 0:
            return Reservation(now, 0.0)
        start = max(now, self._free_at)
        seconds = size / bytes_per_second
        self._free_at = start + seconds
        return Reservation(start, seconds)


def instance_rate(link_mbit: float, fraction: float, requests_in_progress: int) -> float:
    """Returns the bytes a second that weights may take of the instance's own link."""
    return link_mbit * BYTES_PER_MEGABIT * (fraction if requests_in_progress else 1.0)


def region_rate(link_mbit: float, fraction: float, senders: int) -> float:
    """Returns one sender's part of the region's link, in bytes a second.

    The senders are the region's carriers that are alive. Each takes a fixed part, so that
    all together keep within the fraction without a word between them.
    """
    return link_mbit * BYTES_PER_MEGABIT * fraction / max(1, senders)
