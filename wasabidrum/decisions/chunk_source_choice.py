"""Chooses where a sidecar gets one chunk from next: a relay, another peer, or the origin.

Load pattern: the plan names a parent for each chunk, and at any moment some parents are dead,
slow, sending corrupt bytes, or missing from the platform's list. If a sidecar waited for such a
parent, the whole subtree behind it would wait; if it went to the origin at once, each dead parent
would cost the origin one copy for each of its children. So unusable instances are skipped, and
those behind them move up in the tree.

A sidecar asks only instances that are ahead of it in the common order (regions first, then places
within a region), whatever it has observed itself, so that sidecars cannot wait for each other in
a cycle. Peers that are listed as holders of the version are asked wherever they are in that order,
and are therefore not waited for: the list may be out of date, and a peer that lacks the chunk may
be waiting for the one that asks.

A sidecar with no usable instance ahead of it brings the chunk into the region: it first probes the
peers that may already hold the chunk, and only then fetches it from the origin, after a delay that
grows with its distance from the front of the order.
"""

import collections.abc
import dataclasses
import enum

from .chunk_plan import TREE_FANOUT, ChunkPlan, rank_names, rendezvous_score

DELAY_PER_PLACE_SECONDS = 0.25
DELAY_PER_REGION_SECONDS = 0.5
MAX_ORIGIN_DELAY_SECONDS = 3.0
# For how long after the start of a version a listed holder may answer that a chunk is coming. It
# may have started as well, and not know yet what its engine holds.
HOLDERS_SETTLING_SECONDS = 3.0
FIRST_ROUND_PROBES = 4
PROBES_PER_ROUND = 8


class FetchStepKind(enum.Enum):
    """Where to get the chunk from."""

    FROM_PEER = "ask"
    FROM_ORIGIN = "draw"


@dataclasses.dataclass(frozen=True, slots=True)
class FetchStep:
    """The next step towards a chunk.

    Attributes:
      peer: The peer to ask; empty for a fetch from the origin.
      delay: Seconds to wait before a fetch from the origin; zero for the instance that the plan
        names to fetch the chunk.
      is_holder: Whether the peer is asked because it is listed as a holder of the version, and not
        because it is ahead in the common order.
    """

    kind: FetchStepKind
    peer: str = ""
    delay: float = 0.0
    is_holder: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Requester:
    """The sidecar that needs a chunk.

    Attributes:
      listed: False while the platform's list lacks this instance. It is then last in every order:
        peers don't know it, so that none would ask it for what it fetched from the origin.
    """

    name: str
    region: str
    listed: bool = True


PeerPredicate = collections.abc.Callable[[str], bool]


def order_with(plan: ChunkPlan, requester: Requester, index: int) -> list[str]:
    """Returns a chunk's order in the requester's region, the requester included."""
    region = plan.regions.get(requester.region)
    order = list(region.order(index)) if region else []
    if not requester.listed or requester.name not in order:
        order = [name for name in order if name != requester.name] + [requester.name]
    return order


def find_parent(order: list[str], name: str, usable: PeerPredicate) -> str:
    """Returns the peer that an instance asks in its region; empty if it is the first."""
    ahead = [other for other in order[: order.index(name)] if usable(other)]
    return ahead[(len(ahead) - 1) // TREE_FANOUT] if ahead else ""


def find_relay(plan: ChunkPlan, requester: Requester, index: int, usable: PeerPredicate) -> str:
    """Returns the relay in the requester's region to ask for a chunk, or an empty string.

    A relay asks the relays ahead of it. Of the other instances, as many as the relays' links can
    feed ask a relay, and the rest ask along the tree.
    """
    region = plan.regions.get(requester.region)
    if region is None or not region.relays:
        return ""
    order = order_with(plan, requester, index)
    place = order.index(requester.name)
    if place >= len(region.relays) + region.relay_fanout:
        return ""
    ahead = order[: min(place, len(region.relays))]
    return next((name for name in ahead if usable(name)), "")


def find_holder(
    holders: collections.abc.Iterable[str], name: str, digest: str, usable: PeerPredicate
) -> str:
    """Returns the holder of a version that an instance asks for a chunk, or an empty string.

    A dozen instances that are added together want the same chunks in the same order. Along the
    plan's tree half of them would wait for each other, and all would ask the same few holders.
    Rendezvous hashing by chunk and requester spreads the load over the links of all holders.
    """
    usable_holders = [holder for holder in holders if usable(holder)]
    return min(
        usable_holders, key=lambda holder: rendezvous_score(f"{digest}/{name}", holder), default=""
    )


def find_step(
    plan: ChunkPlan, requester: Requester, index: int, usable: PeerPredicate
) -> FetchStep:
    """Returns the next step towards a chunk.

    Args:
      usable: Whether a peer is listed, not in backoff, and not known to lack this chunk.
    """
    order = order_with(plan, requester, index)
    parent = find_parent(order, requester.name, usable)
    if parent:
        return FetchStep(FetchStepKind.FROM_PEER, parent)
    regions = plan.region_order(index)
    place = regions.index(requester.region) if requester.region in regions else len(regions)
    for region in reversed(regions[:place]):
        for name in plan.regions[region].order(index):
            if usable(name):
                return FetchStep(FetchStepKind.FROM_PEER, name)
    delay = DELAY_PER_PLACE_SECONDS * order.index(requester.name) + DELAY_PER_REGION_SECONDS * place
    if not requester.listed:
        # The list lags. A process that has just started may know no peers because it has
        # not read the list yet, and would fetch what they are about to deliver.
        delay = MAX_ORIGIN_DELAY_SECONDS
    return FetchStep(FetchStepKind.FROM_ORIGIN, delay=min(MAX_ORIGIN_DELAY_SECONDS, delay))


def choose_probes(
    plan: ChunkPlan,
    requester: Requester,
    index: int,
    digest: str,
    usable: PeerPredicate,
    round_number: int,
) -> list[str]:
    """Returns the peers to probe for a chunk, the likeliest holders first.

    A restarted or late instance may be the one that the plan names to fetch a chunk while its
    whole region already holds it. The likeliest holders are the first in the plan's order, and the
    first in the chunk's rendezvous order, which keep it longest. Round zero probes a few of them;
    further rounds go through all candidates.
    """
    regions = [requester.region, *plan.region_order(index)]
    ranked_names = {name: rank_names(digest, plan.regions[name].names) for name in plan.regions}
    likely = list(plan.regions[requester.region].order(index)[:TREE_FANOUT])
    likely += ranked_names[requester.region][:TREE_FANOUT]
    likely += [plan.regions[region].order(index)[0] for region in plan.region_order(index)]
    rest = [name for region in dict.fromkeys(regions) for name in ranked_names[region]]
    candidates = [name for name in dict.fromkeys(likely + rest) if name != requester.name]
    candidates = [name for name in candidates if usable(name)]
    if not candidates:
        return []
    if round_number == 0:
        return candidates[:FIRST_ROUND_PROBES]
    start = (round_number - 1) * PROBES_PER_ROUND % len(candidates)
    return candidates[start : start + PROBES_PER_ROUND]


def choose_source(
    plan: ChunkPlan,
    requester: Requester,
    index: int,
    digest: str,
    holders: collections.abc.Iterable[str],
    usable: PeerPredicate,
) -> FetchStep:
    """Returns the next step towards a chunk: a relay ahead, a listed holder, or by the tree.

    Args:
      holders: Peers of the requester's region that are listed with the version.
      usable: Whether a peer is listed, not in backoff, and not known to lack this chunk.
    """
    relay = find_relay(plan, requester, index, usable)
    if relay:
        return FetchStep(FetchStepKind.FROM_PEER, relay)
    holder = find_holder(holders, requester.name, digest, usable)
    if holder:
        return FetchStep(FetchStepKind.FROM_PEER, holder, is_holder=True)
    return find_step(plan, requester, index, usable)


def listed_hold_seconds(since_start: float) -> float:
    """Returns for how long a listed holder may hold a request for a chunk that it lacks.

    Args:
      since_start: Seconds since this process began with the version.
    """
    return max(0.0, HOLDERS_SETTLING_SECONDS - since_start)


def find_chain_step(plan: ChunkPlan, requester: Requester, usable: PeerPredicate) -> FetchStep:
    """Returns the next step under the chain strategy, the baseline that benchmarks compare with.

    One instance per region fetches everything from the origin, and each of the others asks the
    instance before it.
    """
    names = plan.regions[requester.region].names
    ahead = [name for name in names[: names.index(requester.name)] if usable(name)]
    return (
        FetchStep(FetchStepKind.FROM_PEER, ahead[-1])
        if ahead
        else FetchStep(FetchStepKind.FROM_ORIGIN)
    )


def count_children(plan: ChunkPlan, requester: Requester, index: int) -> int:
    """Returns how many peers ask this sidecar for a chunk under the plan."""
    order = order_with(plan, requester, index)
    place = order.index(requester.name)
    first = place * TREE_FANOUT + 1
    children = max(0, min(TREE_FANOUT, len(order) - first))
    last_region = plan.region_order(index)[-1] == requester.region
    return children + (1 if place == 0 and not last_region else 0)


def retention_rank(plan: ChunkPlan, requester: Requester, digest: str) -> int:
    """Returns the requester's rank among the instances of its region that should keep a chunk."""
    region = plan.regions.get(requester.region)
    names = region.names if region else ()
    return rank_names(digest, {*names, requester.name}).index(requester.name)
