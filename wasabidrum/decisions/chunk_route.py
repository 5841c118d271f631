"""The next step of one sidecar towards one chunk: ask a peer, probe peers, or draw.

Load pattern: the plan names a parent for each chunk, and at any moment some parents are
dead, slow, lying or not listed. Without repair the whole subtree behind them would wait;
with a repair that runs to the origin at once, a death would cost a copy for each child.
So those who cannot be used are left out and the places of the tree move up. A sidecar asks
only instances ahead of it in the common order (regions first, then places), whatever its
own evidence: a circle of sidecars that wait for each other therefore cannot arise. Who has
nobody left ahead of it brings the chunk in: it probes whoever may hold it already, and
only then draws from the origin, later the further back the plan had placed it.
"""

import collections.abc
import dataclasses
import enum

from .chunk_plan import CHILDREN, RELAY_CHILDREN, ChunkPlan, rank_names, score

SECONDS_PER_PLACE = 0.25
SECONDS_PER_REGION = 0.5
LONGEST_DELAY_SECONDS = 3.0
FIRST_PROBES = 4
PROBES_AT_ONCE = 8


class StepKind(enum.Enum):
    """What to do next."""

    ASK = "ask"
    DRAW = "draw"


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step.

    Attributes:
      peer: Whom to ask, where the step is to ask.
      delay: Seconds to wait before a draw, zero for the one whom the plan named.
    """

    kind: StepKind
    peer: str = ""
    delay: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Asker:
    """Who asks, and whether the others can know of it.

    Attributes:
      listed: False while the platform's list lacks this instance. It then stands last
        everywhere, because nobody would come to it for what it drew.
    """

    name: str
    region: str
    listed: bool = True


Usable = collections.abc.Callable[[str], bool]


def order_for(plan: ChunkPlan, asker: Asker, index: int) -> list[str]:
    """Returns the order of the asker's own region for a chunk, the asker in its place."""
    region = plan.regions.get(asker.region)
    order = list(region.order(index)) if region else []
    if not asker.listed or asker.name not in order:
        order = [name for name in order if name != asker.name] + [asker.name]
    return order


def find_parent(order: list[str], name: str, usable: Usable) -> str:
    """Returns whom an instance asks within its region, or empty where it is the first."""
    ahead = [other for other in order[: order.index(name)] if usable(other)]
    return ahead[(len(ahead) - 1) // CHILDREN] if ahead else ""


def find_relay(plan: ChunkPlan, asker: Asker, index: int, usable: Usable) -> str:
    """Returns the relay of the asker's region that it asks for a chunk, or empty.

    A relay asks those ahead of it in turn, and an instance that is far back in the order asks
    along the tree, so that no relay sends more than its link carries.
    """
    region = plan.regions.get(asker.region)
    if region is None or not region.relays:
        return ""
    order = order_for(plan, asker, index)
    place = order.index(asker.name)
    if place >= len(region.relays) + RELAY_CHILDREN:
        return ""
    ahead = order[: min(place, len(region.relays))]
    return next((name for name in ahead if usable(name)), "")


def find_holder(
    holders: collections.abc.Iterable[str], name: str, digest: str, usable: Usable
) -> str:
    """Returns which of those who hold a version an instance asks for a chunk, or empty.

    A dozen instances that are added together want the same chunks in the same order. Along the
    plan's tree half of them would wait for each other, and all would ask the same few; dealt
    out by chunk and asker, every holder's link carries its part from the first moment.
    """
    able = [holder for holder in holders if usable(holder)]
    return min(able, key=lambda holder: score(f"{digest}/{name}", holder), default="")


def find_step(plan: ChunkPlan, asker: Asker, index: int, usable: Usable) -> Step:
    """Returns the next step towards a chunk.

    Args:
      usable: Whether a peer is listed and nothing speaks against asking it for this chunk.
    """
    order = order_for(plan, asker, index)
    parent = find_parent(order, asker.name, usable)
    if parent:
        return Step(StepKind.ASK, parent)
    regions = plan.region_order(index)
    place = regions.index(asker.region) if asker.region in regions else len(regions)
    for region in reversed(regions[:place]):
        for name in plan.regions[region].order(index):
            if usable(name):
                return Step(StepKind.ASK, name)
    delay = SECONDS_PER_PLACE * order.index(asker.name) + SECONDS_PER_REGION * place
    if not asker.listed:
        # The list lags. A process that has just started may know no peers because it has
        # not read the list yet, and would draw what they are about to bring.
        delay = LONGEST_DELAY_SECONDS
    return Step(StepKind.DRAW, delay=min(LONGEST_DELAY_SECONDS, delay))


def choose_probes(
    plan: ChunkPlan, asker: Asker, index: int, digest: str, usable: Usable, round_number: int
) -> list[str]:
    """Returns peers that may hold a chunk already, the likeliest first.

    A restarted or late instance may be the one whom the plan names while the whole region
    holds the chunk. Those who keep it longest are the first in its rendezvous order, so
    they are asked first; each further round asks the next ones, until all were asked.
    """
    regions = [asker.region, *plan.region_order(index)]
    keepers = {name: rank_names(digest, plan.regions[name].names) for name in plan.regions}
    likely = list(plan.regions[asker.region].order(index)[:CHILDREN])
    likely += keepers[asker.region][:CHILDREN]
    likely += [plan.regions[region].order(index)[0] for region in plan.region_order(index)]
    rest = [name for region in dict.fromkeys(regions) for name in keepers[region]]
    candidates = [name for name in dict.fromkeys(likely + rest) if name != asker.name]
    candidates = [name for name in candidates if usable(name)]
    if not candidates:
        return []
    if round_number == 0:
        return candidates[:FIRST_PROBES]
    start = (round_number - 1) * PROBES_AT_ONCE % len(candidates)
    return candidates[start : start + PROBES_AT_ONCE]


def find_chain_step(plan: ChunkPlan, asker: Asker, usable: Usable) -> Step:
    """Returns the step of the plain way that benches compare with.

    One instance per region draws everything from the origin, and each next one asks the
    one before it.
    """
    names = plan.regions[asker.region].names
    ahead = [name for name in names[: names.index(asker.name)] if usable(name)]
    return Step(StepKind.ASK, ahead[-1]) if ahead else Step(StepKind.DRAW)


def count_children(plan: ChunkPlan, asker: Asker, index: int) -> int:
    """Returns how many peers the plan would have ask this sidecar for a chunk."""
    order = order_for(plan, asker, index)
    place = order.index(asker.name)
    first = place * CHILDREN + 1
    children = max(0, min(CHILDREN, len(order) - first))
    last_region = plan.region_order(index)[-1] == asker.region
    return children + (1 if place == 0 and not last_region else 0)


def rank_to_keep(plan: ChunkPlan, asker: Asker, digest: str) -> int:
    """Returns the asker's place among those of its region that should keep a chunk."""
    region = plan.regions.get(asker.region)
    names = region.names if region else ()
    return rank_names(digest, {*names, asker.name}).index(asker.name)
