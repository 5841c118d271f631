"""Who fetches each chunk of a version from whom, computed alike by every sidecar.

Load pattern: a new version is wanted by hundreds of instances within minutes, while the
origin's link carries about four copies, an instance's link about two and the link of a
region less than that. Without a plan every instance asks the origin; with a coordinator
the burst hangs on one process. Here each sidecar computes the same plan from what the
configuration publishes (names, regions, the version's root) and needs no message for it.

Inside a region a chunk travels along a binary tree, so that an instance sends about one copy in
all; the inner places are dealt out evenly, because the busiest uplink sets the time of the whole.
A region with relays has these bring chunks in and give them to every instance (RELAY_CHILDREN):
a relay has a far wider link than an instance beside an engine, so that nobody's uplink is left
to set the time. The tree remains for those that a relay does not serve, and for all once relays
are gone.
"""

import collections.abc
import hashlib

CARRIERS_PER_REGION = 4
CHILDREN = 2
# How many instances a relay gives a chunk to, before these pass it on along the tree.
RELAY_CHILDREN = 8
SCORE_BYTES = 8


def score(subject: str, name: str) -> bytes:
    """Returns the rendezvous score of a name for a subject; the lowest ranks first."""
    return hashlib.blake2b(f"{subject}/{name}".encode(), digest_size=SCORE_BYTES).digest()


def rank_names(subject: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Returns names in their rendezvous order for a subject.

    A name that comes or goes moves no other past another, so sidecars whose lists differ
    a little still agree on nearly everything.
    """
    return sorted(names, key=lambda name: (score(subject, name), name))


class RegionPlan:
    """The order of one region's instances for each chunk, worked out as far as asked."""

    __slots__ = ("_names", "_relays", "_heads", "_others", "_duties", "_rows", "_chunks", "_turns")

    def __init__(
        self,
        root: str,
        names: collections.abc.Iterable[str],
        chunks: tuple[str, ...],
        turns: int,
        relays: collections.abc.Iterable[str] = (),
    ) -> None:
        self._names = tuple(rank_names(root, names))
        self._relays = tuple(rank_names(root, relays))
        self._heads = self._names[:CARRIERS_PER_REGION]
        self._others = self._names[CARRIERS_PER_REGION:]
        self._duties = dict.fromkeys(self._others, 0)
        self._rows: list[tuple[str, ...]] = []
        self._chunks = chunks
        self._turns = turns

    @property
    def names(self) -> tuple[str, ...]:
        """Every instance of the region that wants the version."""
        return self._names

    @property
    def carriers(self) -> tuple[str, ...]:
        """The instances that bring chunks into the region."""
        return self._relays[:CARRIERS_PER_REGION] or self._heads

    @property
    def relays(self) -> tuple[str, ...]:
        """The relays of the region, which hold chunks for its instances."""
        return self._relays

    def order(self, index: int) -> tuple[str, ...]:
        """Returns the order for a chunk: who brings it in, then the tree's places by level."""
        while len(self._rows) <= index:
            self._rows.append(self._make_row(len(self._rows)))
        return self._rows[index]

    def carrier(self, index: int) -> str:
        """Returns who brings a chunk into the region while all is well."""
        carriers = self.carriers
        return carriers[(index // self._turns) % len(carriers)]

    def _make_row(self, index: int) -> tuple[str, ...]:
        carriers = self._relays[:CARRIERS_PER_REGION]
        spare = self._relays[CARRIERS_PER_REGION:]
        return self._turn(carriers, index) + spare + self._make_tree(index)

    def _turn(self, names: tuple[str, ...], index: int) -> tuple[str, ...]:
        """Returns carriers with the one first whose turn a chunk is.

        The turn advances once per round of regions, so that each pair of region order and
        carrier comes up equally often.
        """
        if not names:
            return ()
        first = (index // self._turns) % len(names)
        return names[first:] + names[:first]

    def _make_tree(self, index: int) -> tuple[str, ...]:
        ring = self._turn(self._heads, index)
        # Two carriers stand at the top, so that the next in line is a carrier as well;
        # the other two come last, as leaves. Over all chunks each carrier sends a copy.
        top, last = ring[:CHILDREN], ring[CHILDREN:]
        ranked = rank_names(self._chunks[index], self._others)
        inner = self._choose_inner(ranked, index)
        chosen = set(inner)
        leaves = tuple(name for name in ranked if name not in chosen)
        return top + inner + leaves + last

    def _choose_inner(self, ranked: list[str], index: int) -> tuple[str, ...]:
        places = max(0, len(self._names) // CHILDREN - CHILDREN)
        if not places:
            return ()
        most = -(-(index + 1) * places // len(ranked))
        free = [name for name in ranked if self._duties[name] < most]
        inner = tuple(free[:places])
        for name in inner:
            self._duties[name] += 1
        return inner


class ChunkPlan:
    """The plan of one version: an order of regions and, in each, of instances, per chunk."""

    __slots__ = ("_regions", "_names", "_origin_region", "_index_of", "_chunk_count")

    def __init__(
        self,
        root: str,
        chunks: tuple[str, ...],
        region_of: collections.abc.Mapping[str, str],
        origin_region: str = "",
        relays: collections.abc.Mapping[str, str] | None = None,
    ) -> None:
        """Takes the regions of all instances that want the version, and of relays, by name."""
        by_region: dict[str, list[str]] = {}
        for name, region in region_of.items():
            by_region.setdefault(region, []).append(name)
        self._names = tuple(rank_names(root, by_region))
        self._origin_region = origin_region if origin_region in by_region else ""
        turns = len(self._names)
        relays_in: dict[str, list[str]] = {}
        for name, region in (relays or {}).items():
            relays_in.setdefault(region, []).append(name)
        self._regions = {
            region: RegionPlan(root, names, chunks, turns, relays_in.get(region, ()))
            for region, names in by_region.items()
        }
        self._chunk_count = len(chunks)
        self._index_of = {digest: index for index, digest in reversed(list(enumerate(chunks)))}

    @property
    def regions(self) -> collections.abc.Mapping[str, RegionPlan]:
        """The plan within each region."""
        return self._regions

    @property
    def chunk_count(self) -> int:
        """How many chunks the version has."""
        return self._chunk_count

    def index_of(self, digest: str) -> int:
        """Returns the place of a chunk in the version."""
        return self._index_of[digest]

    def region_order(self, index: int) -> tuple[str, ...]:
        """Returns the chain of regions for a chunk: the first draws it from the origin.

        Where the files say in which region the origin stands, that region draws every
        chunk, for a draw from elsewhere would cross the thin link; otherwise regions take
        turns. Each next region takes the chunk from the one before it.
        """
        first = index % len(self._names)
        ring = self._names[first:] + self._names[:first]
        if not self._origin_region:
            return ring
        return (self._origin_region, *(name for name in ring if name != self._origin_region))
