"""Chooses which chunk a sidecar evicts when its memory for weights is full.

Load pattern: a version is larger than a sidecar's memory for chunks, and replaced instances ask
for it hours after the burst. If each sidecar kept the chunks that came last, a region would hold
some chunks many times and others not at all, and a late instance would go to the origin. So chunks
of no current version are evicted first, then those already sent to all children in the plan's
tree, and among these the chunk for which this sidecar ranks lowest. Together the memories of a
region then keep the whole version.
"""

import collections.abc
import dataclasses


@dataclasses.dataclass(slots=True)
class HeldChunk:
    """A chunk in memory.

    Attributes:
      rank: This sidecar's place in the chunk's rendezvous order within its region.
      wanted: Whether it belongs to a version that is in force or wanted.
      pending_children: How many children in the plan's tree have not fetched it yet.
    """

    digest: str
    size: int
    rank: int = 0
    wanted: bool = True
    pending_children: int = 0


def choose_victim(chunks: collections.abc.Iterable[HeldChunk]) -> HeldChunk:
    """Returns the chunk to evict first."""
    return max(
        chunks,
        key=lambda held: (not held.wanted, held.pending_children <= 0, held.rank, held.digest),
    )
