"""Orders the chunks that an instance requests from its peers.

Load pattern: a version is named, and twenty sidecars of a region request its chunks from a few
relays, a few chunks at a time. Neighbouring chunks come into the region through the same relay. If
all sidecars request them in the order of the version, all wait for one relay while the links of the
others are idle, then for the next. The first chunks of all relays arrive at the same time and the
last ones seconds later, so that requests for late chunks also hold up those for chunks that are
already there.

Each relay, or other ingress node, gets its chunks one after the other. So an instance requests the
first chunk of every ingress node, then the second of every one, and so on. It begins with the
ingress node that its name selects, and the instances of a region are thus spread over all of them.
"""

import collections
import collections.abc

from .chunk_plan import RegionPlan, rendezvous_score


def request_order(
    plan: RegionPlan, chunk_count: int, name: str, indexes: collections.abc.Collection[int]
) -> list[int]:
    """Returns the indexes of some chunks in the order in which an instance requests them.

    Args:
      plan: The plan of the instance's region.
      chunk_count: The number of chunks of the version.
      name: The instance.
    """
    nodes = sorted(plan.ingress_nodes, key=lambda node: (rendezvous_score(name, node), node))
    place_of = {node: place for place, node in enumerate(nodes)}
    wanted = frozenset(indexes)
    chunks_of_node: collections.Counter[str] = collections.Counter()
    ranks: dict[int, tuple[int, int]] = {}
    for index in range(chunk_count):
        node = plan.ingress_node(index)
        if index in wanted:
            ranks[index] = (chunks_of_node[node], place_of[node])
        chunks_of_node[node] += 1
    return sorted(ranks, key=lambda index: (ranks[index], index))
