"""Which chunk a sidecar gives up when its memory for weights is full.

Load pattern: a version is larger than what a sidecar may hold, and replaced instances ask
for it hours after the burst. If everyone kept what came last, the region would hold some
chunks many times and others nowhere, and a late joiner would go to the origin. So a chunk
of no current version goes first, then one already passed on to all who wait for it, and
among those the one for which this sidecar ranks lowest: the region's memories together
keep the whole version.
"""

import collections.abc
import dataclasses


@dataclasses.dataclass(slots=True)
class HeldChunk:
    """A chunk in memory.

    Attributes:
      rank: This sidecar's place in the chunk's rendezvous order within its region.
      wanted: Whether a version that is in force or wanted has it.
      serves_left: How many children in the plan's tree have not fetched it yet.
    """

    digest: str
    size: int
    rank: int = 0
    wanted: bool = True
    serves_left: int = 0


def choose_victim(chunks: collections.abc.Iterable[HeldChunk]) -> HeldChunk:
    """Returns the chunk to give up first."""
    return max(
        chunks,
        key=lambda held: (not held.wanted, held.serves_left <= 0, held.rank, held.digest),
    )
