"""Schedules when engines of a service load newly named weights, so that others keep answering.

Load pattern: weights reach all engines within half a second of each other, because all links have
the same width. An engine that is ordered to load them accepts nothing new until its last request
has ended, which takes a second or two. If all were ordered together, no engine would accept
requests, and all would have queues when they are back. So half of the engines load first, and the
other half answers with the old weights until the first half is back, or until the old weights may
no longer answer. The first half stops accepting requests EARLY_DRAIN_SECONDS before its weights
are complete, so that running requests end while the last pieces arrive, and it is back before the
old weights expire. It does so only once the relays of its region hold all pieces: a download that
waits for the origin looks like one that is about to end, and the engine would stop for weights that
may not come.

Each engine computes the same turns from the list of engines; while lists differ, somewhat more or
fewer than half go first.
"""

import collections.abc

from .chunk_plan import rank_names
from .version_floor import PLACE_MARGIN_SECONDS

# Counted from when the first turn's weights are complete: by then most of its engines are back.
TURN_SECONDS = 1.6
TURN_COUNT = 2
# Most requests end within this time. An engine whose weights stall accepts requests again after
# twice as long.
EARLY_DRAIN_SECONDS = 1.2


def turn_of(version: int, own: str, region_of: collections.abc.Mapping[str, str]) -> int:
    """Returns the turn in which an engine loads a version, from zero.

    Neighbours in a region's order take different turns, so that no region is without engines.

    Args:
      region_of: The regions of all engines that answer now, by name. An engine that is not among
        them serves no callers, and goes first.
    """
    ranked = rank_names(str(version), region_of)
    by_region = sorted(ranked, key=lambda name: region_of[name])
    return by_region.index(own) % TURN_COUNT if own in region_of else 0


def seconds_until_turn(turn: int, named_for: float, bound: float) -> float:
    """Returns how long an engine waits after its weights are complete.

    Args:
      named_for: The seconds since the version was named.
      bound: The seconds after the naming from which the old weights may not answer.
    """
    left = bound - PLACE_MARGIN_SECONDS - named_for
    return max(0.0, min(turn * TURN_SECONDS, left))


def should_drain_early(
    turn: int,
    answering: int,
    share: float,
    elapsed: float,
    share_before: float = 0.0,
    within_reach: bool = True,
) -> bool:
    """Returns whether an engine stops accepting requests before its weights are complete.

    Args:
      answering: How many engines answer, this one included.
      share: The share of its weights that has arrived.
      elapsed: The seconds since the present download began.
      share_before: The share that had arrived before that.
      within_reach: Whether the rest is held where this engine gets its weights from.
    """
    arrived = share - share_before
    if turn or answering < TURN_COUNT or arrived <= 0.0 or not within_reach:
        return False
    return elapsed * (1.0 - share) / arrived <= EARLY_DRAIN_SECONDS
