"""Which endpoints an entry works over, so that it need not hear from all of them.

Load pattern: 400 entries before 1,900 endpoints. If each watched all, 1.5 million beats a
second would cross the fleet, and each entry would pay for a hundred times what its share
of the requests needs. With random subsets some endpoints would be watched by three times
as many entries as others, and get three times the load. Here every endpoint asks for the
same number of entries of its own data centre, and every entry takes the same number of
endpoints, matched by rendezvous hashes: the match is even, the same wherever it is
computed, and one instance more or less moves few pairs.
"""

import collections
import collections.abc
import functools
import hashlib
import heapq

from ..core.instance import Instance

SUBSET_SIZE = 16
SMALLEST_SUBSET = 6
MOST_STREAMS = 26
FEWEST_ENTRIES = 2


def subset_size(groups: int) -> int:
    """Returns how many endpoints of each model or service an entry works over."""
    return min(SUBSET_SIZE, max(SMALLEST_SUBSET, MOST_STREAMS // max(1, groups)))


def choose_subset(
    me: Instance,
    entries: collections.abc.Sequence[Instance],
    endpoints: collections.abc.Sequence[Instance],
    unusable: collections.abc.Set[str],
    size: int,
) -> list[Instance]:
    """Returns the endpoints of one group that an entry works over.

    Args:
      entries: Every entry, this one included.
      endpoints: Every endpoint of one model or service that is not known dead.
      unusable: Names of those that cannot take work now. They stay in the subset, so that
        their return is noticed, and others stand in for them.
    """
    if len(endpoints) <= size:
        return list(endpoints)
    chosen = {endpoint.name: endpoint for endpoint in matched(me, entries, endpoints, size)}
    working = sum(name not in unusable for name in chosen)
    if working < size:
        others = [e for e in endpoints if e.name not in chosen and e.name not in unusable]
        others.sort(key=lambda endpoint: distance(me, endpoint))
        for endpoint in others[: size - working]:
            chosen[endpoint.name] = endpoint
    return list(chosen.values())


def matched(
    me: Instance,
    entries: collections.abc.Sequence[Instance],
    endpoints: collections.abc.Sequence[Instance],
    size: int,
) -> list[Instance]:
    """Returns the endpoints that the even match gives to an entry."""
    centres = {entry.data_centre for entry in entries}
    regions = {entry.region for entry in entries}
    domains: dict[tuple[str, str], list[Instance]] = collections.defaultdict(list)
    for endpoint in endpoints:
        domains[domain_of(endpoint, centres, regions)].append(endpoint)
    found = []
    for domain, members in domains.items():
        if is_inside(me, domain):
            sharing = [entry for entry in entries if is_inside(entry, domain)]
            found += match_evenly(me, sharing, members, size)
    return found


def domain_of(
    endpoint: Instance, centres: collections.abc.Set[str], regions: collections.abc.Set[str]
) -> tuple[str, str]:
    """Returns the smallest place around an endpoint that has an entry."""
    if endpoint.data_centre in centres:
        return "data_centre", endpoint.data_centre
    if endpoint.region in regions:
        return "region", endpoint.region
    return "fleet", ""


def is_inside(instance: Instance, domain: tuple[str, str]) -> bool:
    """Returns whether an instance stands in a place."""
    kind, name = domain
    if kind == "fleet":
        return True
    return name == (instance.data_centre if kind == "data_centre" else instance.region)


def match_evenly(
    me: Instance,
    entries: collections.abc.Sequence[Instance],
    endpoints: collections.abc.Sequence[Instance],
    size: int,
) -> list[Instance]:
    """Returns an entry's part of a stable match: endpoints ask entries in the order of their
    hashes, and an entry that is full keeps the best of those that asked."""
    wanted = max(FEWEST_ENTRIES, -(-size * len(entries) // len(endpoints)))
    if wanted >= len(entries):
        return list(endpoints)
    room = -(-len(endpoints) * wanted // len(entries))
    orders = {
        endpoint.name: iter(sorted((pair_rank(e.name, endpoint.name), e.name) for e in entries))
        for endpoint in endpoints
    }
    held: dict[str, list[tuple[int, str]]] = {entry.name: [] for entry in entries}
    asking = [endpoint.name for endpoint in endpoints for _ in range(wanted)]
    while asking:
        endpoint = asking.pop()
        rank, entry = next(orders[endpoint], (0, ""))
        if not entry:
            continue
        heapq.heappush(held[entry], (-rank, endpoint))
        if len(held[entry]) > room:
            asking.append(heapq.heappop(held[entry])[1])
    mine = {name for _, name in held[me.name]}
    return [endpoint for endpoint in endpoints if endpoint.name in mine]


def distance(me: Instance, endpoint: Instance) -> tuple[int, int]:
    """Returns what stand-ins are ordered by: own data centre, own region, the rest."""
    near = 0 if endpoint.data_centre == me.data_centre else 1 if endpoint.region == me.region else 2
    return near, pair_rank(me.name, endpoint.name)


@functools.lru_cache(maxsize=65_536)
def pair_rank(entry: str, endpoint: str) -> int:
    """Returns the rendezvous hash of a pair."""
    pair = f"{entry}/{endpoint}".encode()
    return int.from_bytes(hashlib.blake2b(pair, digest_size=7).digest(), "big")
