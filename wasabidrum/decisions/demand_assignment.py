"""Assigns engines to entries in proportion to the requests that callers bring to each entry.

Load pattern: callers move between data centres within seconds, and entries of one size carry three
times the load of others. With equal numbers of engines (endpoint_assignment.py), an entry with much
demand fills its own engines and has to send to those of others, whose load it knows only from old
reports, while entries with little demand leave their engines idle.

Every entry tells the others its own demand, and each of them computes the same assignment from the
demands that were told. The number of engines of an entry follows by largest remainder, with at
least one for each entry if there are enough. From the equal assignment, entries that have more
engines than that give up their last ones, and entries that lack engines take them in the order of a
hash of entry and engine, so that few engines move when one number changes. The hysteresis is at the
entry that tells its demand: it tells another value only if its demand has changed by more than half
of an engine's share, so that all entries compute from the same values without their own memory.

Differences that noise explains leave the equal assignment: MAX_SWING of the mean to each side, and
NOISE_DEVIATIONS standard deviations of a Poisson rate that is averaged over AVERAGE_SECONDS.
"""

import collections.abc
import math
import zlib

from .endpoint_assignment import assign_endpoints

Entry = tuple[str, int]

# Demand older than this counts as the mean of the others.
DEMAND_LIFETIME_SECONDS = 10.0
# The demands of entries whose callers move together change by the same factor at any time, because
# all are averaged over the same time. Averages of different lengths, which follow a change at once
# where it exceeds the noise, follow it earlier at large entries, and engines move for nothing.
AVERAGE_SECONDS = 3.0
# An entry that has just started does not know its demand for this time.
SETTLING_SECONDS = 4.0
# With a change of a whole engine's demand, what is told of two entries is wrong by up to two.
TOLD_CHANGE_ENGINES = 0.5
MAX_SWING = 0.2
NOISE_DEVIATIONS = 5.5
# With fewer demands known, as among hundreds of entries, entries would know different ones and each
# would compute an assignment of its own.
MIN_KNOWN_SHARE = 0.75


class OwnDemand:
    """The requests per second that callers bring to this entry for one service."""

    __slots__ = ("_decayed_count", "_updated_at", "_began_at", "_told")

    def __init__(self) -> None:
        self._decayed_count = 0.0
        self._updated_at = 0.0
        self._began_at = float("inf")
        self._told = 0.0

    def record(self, now: float) -> None:
        """Counts a new request of a caller."""
        self._began_at = min(self._began_at, now)
        self._decayed_count = self._count_at(now) + 1.0
        self._updated_at = now

    def told(self, engine_demand: float, now: float) -> float | None:
        """Returns the demand to tell, which changes by more than TOLD_CHANGE_ENGINES.

        Args:
          engine_demand: Requests per second of one engine's share of the demand; zero if unknown.

        Returns:
          The demand; None while it is not known yet.
        """
        self._began_at = min(self._began_at, now)
        age = now - self._began_at
        if age < SETTLING_SECONDS:
            return None
        # Without the weight that the average gives to the time before the start.
        known = 1.0 - math.exp(-age / AVERAGE_SECONDS)
        current = self._count_at(now) / AVERAGE_SECONDS / known
        if abs(current - self._told) > TOLD_CHANGE_ENGINES * engine_demand:
            self._told = round(current, 1)
        return self._told

    def _count_at(self, now: float) -> float:
        return self._decayed_count * math.exp(-(now - self._updated_at) / AVERAGE_SECONDS)


def complete_demands(
    entries: collections.abc.Sequence[Entry], demands: collections.abc.Mapping[Entry, float]
) -> dict[Entry, float]:
    """Returns the demand of every entry; those of unknown demand get the mean of the others."""
    known = [demands[entry] for entry in entries if entry in demands]
    mean = sum(known) / len(known) if known else 0.0
    return {entry: demands.get(entry, mean) for entry in entries}


def is_uneven(demands: collections.abc.Collection[float], engines: int) -> bool:
    """Returns whether demands differ by more than one engine's demand and more than by noise.

    Args:
      demands: Requests per second of each entry.
      engines: The number of engines that serve all of them.
    """
    if len(demands) < 2 or not engines:
        return False
    mean = sum(demands) / len(demands)
    one_engine = mean * len(demands) / engines
    noise = 2.0 * MAX_SWING * mean + NOISE_DEVIATIONS * math.sqrt(mean / (2.0 * AVERAGE_SECONDS))
    return max(demands) - min(demands) > max(one_engine, noise)


def assign_by_demand(
    endpoint_ids: collections.abc.Iterable[str],
    entries: collections.abc.Sequence[Entry],
    demands: collections.abc.Mapping[Entry, float],
) -> dict[Entry, frozenset[str]]:
    """Returns the endpoints that are assigned to each entry.

    Args:
      endpoint_ids: The endpoints of one service in one data centre.
      entries: The entries of that data centre, in the same order at each of them.
      demands: The requests per second that callers bring to each entry, as far as it is known.
    """
    ordered = sorted(endpoint_ids)
    assigned = {entry: set(assign_endpoints(ordered, entries, entry)) for entry in entries}
    complete = complete_demands(entries, demands)
    known = sum(entry in demands for entry in entries) >= MIN_KNOWN_SHARE * len(entries)
    if not known or not is_uneven(complete.values(), len(ordered)):
        return {entry: frozenset(ids) for entry, ids in assigned.items()}
    counts = _engine_counts(entries, complete, len(ordered))
    free: set[str] = set()
    for entry, ids in assigned.items():
        given_up = sorted(ids)[counts[entry] :]
        ids.difference_update(given_up)
        free.update(given_up)
    pairs = [
        (_pair_hash(entry, name), entry, name)
        for entry in entries
        if len(assigned[entry]) < counts[entry]
        for name in free
    ]
    for _, entry, name in sorted(pairs):
        if name in free and len(assigned[entry]) < counts[entry]:
            free.remove(name)
            assigned[entry].add(name)
    return {entry: frozenset(ids) for entry, ids in assigned.items()}


def _engine_counts(
    entries: collections.abc.Sequence[Entry],
    demands: collections.abc.Mapping[Entry, float],
    engines: int,
) -> dict[Entry, int]:
    """Returns the number of engines of each entry, by largest remainder."""
    least = 1 if engines >= len(entries) else 0
    total = sum(demands.values())
    exact = {entry: demands[entry] / total * engines for entry in entries}
    counts = {entry: max(least, math.floor(exact[entry])) for entry in entries}
    while (missing := engines - sum(counts.values())) != 0:
        step = 1 if missing > 0 else -1
        changeable = [entry for entry in entries if step > 0 or counts[entry] > least]
        # Ties are broken by address, alike at all entries.
        chosen = max(changeable, key=lambda entry: (step * (exact[entry] - counts[entry]), entry))
        counts[chosen] += step
    return counts


def _pair_hash(entry: Entry, endpoint_id: str) -> int:
    return zlib.crc32(f"{entry[0]}:{entry[1]} {endpoint_id}".encode())
