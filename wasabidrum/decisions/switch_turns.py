"""When each engine of a service loads the weights that were named, while others answer.

Load pattern: weights reach all engines within half a second of each other, for all are bound by
links of the same width. An engine that is ordered to load them takes nothing new until its last
run has ended, which takes a second or two. Ordered together, no engine takes anything, and
queues stand at all of them when they are back. So half of the engines load first, and the other
half answers with the old weights until the first is back, or until the old weights may not answer
any more. The first half takes nothing new from EARLY_SECONDS before its weights are complete, so
that its runs end while the last pieces come, and it is back before the old weights' time is over.

Everybody works out the same turns from the list of engines; where lists differ for a moment,
somewhat more or fewer than half go first.
"""

import collections.abc

from .chunk_plan import rank_names
from .version_floor import PLACE_MARGIN_SECONDS

# From when the first turn's weights are complete: by then most of its engines are back.
TURN_SECONDS = 1.6
TURNS = 2
# Most runs end within that time; an engine that waits longer for weights that stall takes requests
# again after twice as long.
EARLY_SECONDS = 1.2


def turn_of(version: int, own: str, region_of: collections.abc.Mapping[str, str]) -> int:
    """Returns the turn in which an engine loads a version, from zero.

    Neighbours in a region's order take different turns, so that no region is without engines.

    Args:
      region_of: The regions of all engines that answer now, by name; an engine that is not among
        them answers nothing that could be missed, and goes first.
    """
    ranked = rank_names(str(version), region_of)
    by_region = sorted(ranked, key=lambda name: region_of[name])
    return by_region.index(own) % TURNS if own in region_of else 0


def seconds_until_turn(turn: int, named_for: float, bound: float) -> float:
    """Returns how long an engine waits once its weights are complete.

    Args:
      named_for: The seconds since they were named.
      bound: The seconds after the naming when the old weights may not answer any more.
    """
    left = bound - PLACE_MARGIN_SECONDS - named_for
    return max(0.0, min(turn * TURN_SECONDS, left))


def ends_runs_early(turn: int, answering: int, share: float, elapsed: float) -> bool:
    """Returns whether an engine takes nothing new although its weights are not complete.

    Args:
      answering: How many engines answer, this one included.
      share: The share of its weights that has come.
      elapsed: The seconds since they began to come.
    """
    if turn or answering < TURNS or share <= 0.0:
        return False
    return elapsed * (1.0 - share) / share <= EARLY_SECONDS
