"""The distribution plan of a version: which instance gets each chunk from which other.

Load pattern: hundreds of instances want a new version within minutes, while the origin's link
carries about four copies, an instance's link about two and the link of a region less than that.
Without a plan every instance asks the origin; with a coordinator the burst depends on one
process. Here each sidecar computes the same plan from what the configuration publishes (names,
regions, the version's root), without exchanging messages.

Inside a region a chunk travels along a binary tree, so that an instance sends about one copy in
total. The inner nodes of the trees are spread evenly over the instances, because the busiest
uplink determines how long the whole transfer takes.

In a region with relays, the relays bring chunks in and send each chunk to the region's instances.
A relay has a far wider link than an instance beside an engine, so that no instance's uplink
determines the time. Links of relays differ; those with the widest bring the chunks in. The tree is
used by the instances beyond what these links carry, and by all instances once the relays are gone.
"""

import collections.abc
import hashlib

INGRESS_NODES_PER_REGION = 4
TREE_FANOUT = 2
# How many instances a relay sends a chunk to at least; the others get it along the tree.
RELAY_FANOUT = 8
# The fraction of a relay's link that weights may take while it serves callers.
RELAY_LINK_FRACTION = 0.5
SCORE_BYTES = 8


def rendezvous_score(subject: str, name: str) -> bytes:
    """Returns the rendezvous hash of a name for a subject; the lowest ranks first."""
    return hashlib.blake2b(f"{subject}/{name}".encode(), digest_size=SCORE_BYTES).digest()


def rank_names(subject: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Returns names in their rendezvous order for a subject.

    Adding or removing a name does not reorder the others, so sidecars whose lists differ a
    little still agree on nearly everything.
    """
    return sorted(names, key=lambda name: (rendezvous_score(subject, name), name))


def rank_relays(
    root: str,
    relays: collections.abc.Iterable[str],
    links: collections.abc.Mapping[str, float],
) -> tuple[str, ...]:
    """Returns relays in the order in which they bring chunks in, those with wide links first."""
    return tuple(sorted(rank_names(root, relays), key=lambda name: -links.get(name, 0.0)))


def choose_ingress_relays(
    ranked: tuple[str, ...], links: collections.abc.Mapping[str, float]
) -> tuple[str, ...]:
    """Returns the relays that bring chunks in, of those ranked by their links.

    Each of them sends an equal part of a version, so that the narrowest determines the time: as
    many are chosen as send the most together.
    """
    count = min(INGRESS_NODES_PER_REGION, len(ranked))
    rates = [place * links.get(ranked[place - 1], 0.0) for place in range(1, count + 1)]
    if not any(rates):
        return ranked[:count]
    return ranked[: len(rates) - rates[::-1].index(max(rates))]


def relay_fanout(
    ingress_nodes: collections.abc.Sequence[str],
    links: collections.abc.Mapping[str, float],
    instance_mbit: float,
) -> int:
    """Returns how many instances the links of a region's ingress nodes can feed at once.

    Args:
      instance_mbit: The rate of such an instance's link; zero if unknown.
    """
    narrowest = min((links.get(node, 0.0) for node in ingress_nodes), default=0.0)
    total = narrowest * len(ingress_nodes) * RELAY_LINK_FRACTION
    return max(RELAY_FANOUT, int(total / instance_mbit) if instance_mbit else 0)


class RegionPlan:
    """The order of one region's instances for each chunk, computed lazily.

    Ingress nodes are the instances that bring chunks into the region, taking turns by chunk.
    """

    __slots__ = (
        "_names",
        "_relays",
        "_relay_ingress_nodes",
        "_relay_fanout",
        "_tree_heads",
        "_non_ingress_nodes",
        "_inner_counts",
        "_orders",
        "_chunks",
        "_region_count",
    )

    def __init__(
        self,
        root: str,
        names: collections.abc.Iterable[str],
        chunks: tuple[str, ...],
        region_count: int,
        relays: collections.abc.Iterable[str] = (),
        relay_links: collections.abc.Mapping[str, float] | None = None,
        instance_mbit: float = 0.0,
    ) -> None:
        self._names = tuple(rank_names(root, names))
        links = relay_links or {}
        self._relays = rank_relays(root, relays, links)
        self._relay_ingress_nodes = choose_ingress_relays(self._relays, links)
        self._relay_fanout = relay_fanout(self._relay_ingress_nodes, links, instance_mbit)
        self._tree_heads = self._names[:INGRESS_NODES_PER_REGION]
        self._non_ingress_nodes = self._names[INGRESS_NODES_PER_REGION:]
        self._inner_counts = dict.fromkeys(self._non_ingress_nodes, 0)
        self._orders: list[tuple[str, ...]] = []
        self._chunks = chunks
        self._region_count = region_count

    @property
    def names(self) -> tuple[str, ...]:
        """All instances of the region that want the version, in rendezvous order."""
        return self._names

    @property
    def ingress_nodes(self) -> tuple[str, ...]:
        """The instances that bring chunks into the region."""
        return self._relay_ingress_nodes or self._tree_heads

    @property
    def relay_fanout(self) -> int:
        """How many instances the relays send each chunk to."""
        return self._relay_fanout

    @property
    def relays(self) -> tuple[str, ...]:
        """The region's relays, which hold chunks for its instances."""
        return self._relays

    def order(self, index: int) -> tuple[str, ...]:
        """Returns a chunk's order: the nodes that bring it into the region, then the tree."""
        while len(self._orders) <= index:
            self._orders.append(self._make_order(len(self._orders)))
        return self._orders[index]

    def ingress_node(self, index: int) -> str:
        """Returns which ingress node brings a chunk into the region when there are no faults."""
        ingress_nodes = self.ingress_nodes
        return ingress_nodes[(index // self._region_count) % len(ingress_nodes)]

    def _make_order(self, index: int) -> tuple[str, ...]:
        ingress_nodes = self._relay_ingress_nodes
        other_relays = self._relays[len(ingress_nodes) :]
        return self._rotate(ingress_nodes, index) + other_relays + self._make_tree(index)

    def _rotate(self, names: tuple[str, ...], index: int) -> tuple[str, ...]:
        """Returns the ingress nodes, rotated so that the one whose turn it is comes first.

        The rotation advances once per round of regions, so that each pair of region order and
        ingress node comes up equally often.
        """
        if not names:
            return ()
        first = (index // self._region_count) % len(names)
        return names[first:] + names[:first]

    def _make_tree(self, index: int) -> tuple[str, ...]:
        ring = self._rotate(self._tree_heads, index)
        # Two ingress nodes are at the top, so that the first to take over is an ingress node as
        # well; the other two come last, as leaves. Over all chunks each ingress node sends one
        # copy.
        top, last = ring[:TREE_FANOUT], ring[TREE_FANOUT:]
        ranked = rank_names(self._chunks[index], self._non_ingress_nodes)
        inner = self._choose_inner_nodes(ranked, index)
        inner_names = set(inner)
        leaves = tuple(name for name in ranked if name not in inner_names)
        return top + inner + leaves + last

    def _choose_inner_nodes(self, ranked: list[str], index: int) -> tuple[str, ...]:
        inner_count = max(0, len(self._names) // TREE_FANOUT - TREE_FANOUT)
        if not inner_count:
            return ()
        max_count = -(-(index + 1) * inner_count // len(ranked))
        available = [name for name in ranked if self._inner_counts[name] < max_count]
        inner = tuple(available[:inner_count])
        for name in inner:
            self._inner_counts[name] += 1
        return inner


class ChunkPlan:
    """The plan of one version: for each chunk, an order of regions and of instances in each."""

    __slots__ = ("_regions", "_ranked_regions", "_origin_region", "_index_of", "_chunk_count")

    def __init__(
        self,
        root: str,
        chunks: tuple[str, ...],
        region_of: collections.abc.Mapping[str, str],
        origin_region: str = "",
        relays: collections.abc.Mapping[str, str] | None = None,
        relay_links: collections.abc.Mapping[str, float] | None = None,
        instance_mbit: float = 0.0,
    ) -> None:
        """Creates a plan.

        Args:
          region_of: The region of each instance that wants the version, by name.
          origin_region: The origin's region, or empty where it is unknown.
          relays: The region of each relay, by name.
          relay_links: The rates of their links in megabits per second, as far as known.
          instance_mbit: The rate of the link of an instance that is no relay; zero if unknown.
        """
        by_region: dict[str, list[str]] = {}
        for name, region in region_of.items():
            by_region.setdefault(region, []).append(name)
        self._ranked_regions = tuple(rank_names(root, by_region))
        self._origin_region = origin_region if origin_region in by_region else ""
        region_count = len(self._ranked_regions)
        relays_by_region: dict[str, list[str]] = {}
        for name, region in (relays or {}).items():
            relays_by_region.setdefault(region, []).append(name)
        self._regions = {
            region: RegionPlan(
                root,
                names,
                chunks,
                region_count,
                relays_by_region.get(region, ()),
                relay_links,
                instance_mbit,
            )
            for region, names in by_region.items()
        }
        self._chunk_count = len(chunks)
        self._index_of = {digest: index for index, digest in reversed(list(enumerate(chunks)))}

    @property
    def regions(self) -> collections.abc.Mapping[str, RegionPlan]:
        """The plan within each region, by region."""
        return self._regions

    @property
    def chunk_count(self) -> int:
        """The number of chunks of the version."""
        return self._chunk_count

    def index_of(self, digest: str) -> int:
        """Returns the index of a chunk in the version."""
        return self._index_of[digest]

    def region_order(self, index: int) -> tuple[str, ...]:
        """Returns the chain of regions for a chunk: the first fetches it from the origin.

        If the configuration states the origin's region, that region fetches every chunk, because
        a fetch from elsewhere would cross the thin link between regions. Otherwise regions take
        turns. Each further region gets the chunk from the one before it.
        """
        first = index % len(self._ranked_regions)
        ring = self._ranked_regions[first:] + self._ranked_regions[:first]
        if not self._origin_region:
            return ring
        return (self._origin_region, *(name for name in ring if name != self._origin_region))
