"""Selects the subset of endpoints that an entry uses, so that it need not watch all of them.

Load pattern: 400 entries and 1,900 endpoints. If each entry watched all endpoints, 1.5 million
heartbeats per second would cross the fleet, and each entry would process a hundred times what
its share of the requests needs. With random subsets, some endpoints would be watched by three
times as many entries as others and receive three times the load. Here each endpoint is matched
with the same number of entries of its own data centre, and each entry with the same number of
endpoints, in the order of their rendezvous hashes. The matching is even, gives the same result
wherever it is computed, and changes few pairs when an instance is added or removed.
"""

import collections
import collections.abc
import functools
import hashlib
import heapq

from ..core.instance import Instance

SUBSET_SIZE = 16
MIN_SUBSET_SIZE = 6
MAX_STREAMS = 26
MIN_ENTRIES_PER_ENDPOINT = 2


def subset_size(groups: int) -> int:
    """Returns how many endpoints of each model or service an entry uses.

    Args:
      groups: The number of models and services.
    """
    return min(SUBSET_SIZE, max(MIN_SUBSET_SIZE, MAX_STREAMS // max(1, groups)))


def choose_subset(
    me: Instance,
    entries: collections.abc.Sequence[Instance],
    endpoints: collections.abc.Sequence[Instance],
    unusable: collections.abc.Set[str],
    size: int,
) -> list[Instance]:
    """Returns the endpoints of one model or service that an entry uses.

    Args:
      me: The entry.
      entries: All entries, including this one.
      endpoints: All endpoints of the model or service that are not known to be dead.
      unusable: Names of the endpoints that cannot receive requests now. They stay in the
        subset, so that their recovery is noticed, and substitutes are added for them.
    """
    if len(endpoints) <= size:
        return list(endpoints)
    chosen = {endpoint.name: endpoint for endpoint in match_by_domain(me, entries, endpoints, size)}
    usable = sum(name not in unusable for name in chosen)
    if usable < size:
        substitutes = [e for e in endpoints if e.name not in chosen and e.name not in unusable]
        substitutes.sort(key=lambda endpoint: substitute_rank(me, endpoint))
        for endpoint in substitutes[: size - usable]:
            chosen[endpoint.name] = endpoint
    return list(chosen.values())


def match_by_domain(
    me: Instance,
    entries: collections.abc.Sequence[Instance],
    endpoints: collections.abc.Sequence[Instance],
    size: int,
) -> list[Instance]:
    """Returns the endpoints that are matched with an entry, over all domains it belongs to."""
    data_centres = {entry.data_centre for entry in entries}
    regions = {entry.region for entry in entries}
    domains: dict[tuple[str, str], list[Instance]] = collections.defaultdict(list)
    for endpoint in endpoints:
        domains[entry_domain(endpoint, data_centres, regions)].append(endpoint)
    found = []
    for domain, members in domains.items():
        if is_inside(me, domain):
            sharing = [entry for entry in entries if is_inside(entry, domain)]
            found += match_evenly(me, sharing, members, size)
    return found


def entry_domain(
    endpoint: Instance, data_centres: collections.abc.Set[str], regions: collections.abc.Set[str]
) -> tuple[str, str]:
    """Returns the smallest domain around an endpoint that contains an entry."""
    if endpoint.data_centre in data_centres:
        return "data_centre", endpoint.data_centre
    if endpoint.region in regions:
        return "region", endpoint.region
    return "fleet", ""


def is_inside(instance: Instance, domain: tuple[str, str]) -> bool:
    """Returns whether an instance belongs to a domain."""
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
    """Returns the endpoints that a stable matching (deferred acceptance) gives to an entry.

    Endpoints propose to entries in the order of their hashes, and an entry that is full keeps
    the proposals with the best hashes.
    """
    entries_per_endpoint = max(MIN_ENTRIES_PER_ENDPOINT, -(-size * len(entries) // len(endpoints)))
    if entries_per_endpoint >= len(entries):
        return list(endpoints)
    endpoints_per_entry = -(-len(endpoints) * entries_per_endpoint // len(entries))
    preferences = {
        endpoint.name: iter(sorted((pair_rank(e.name, endpoint.name), e.name) for e in entries))
        for endpoint in endpoints
    }
    accepted: dict[str, list[tuple[int, str]]] = {entry.name: [] for entry in entries}
    proposals = [endpoint.name for endpoint in endpoints for _ in range(entries_per_endpoint)]
    while proposals:
        endpoint = proposals.pop()
        rank, entry = next(preferences[endpoint], (0, ""))
        if not entry:
            continue
        heapq.heappush(accepted[entry], (-rank, endpoint))
        if len(accepted[entry]) > endpoints_per_entry:
            proposals.append(heapq.heappop(accepted[entry])[1])
    own = {name for _, name in accepted[me.name]}
    return [endpoint for endpoint in endpoints if endpoint.name in own]


def substitute_rank(me: Instance, endpoint: Instance) -> tuple[int, int]:
    """Returns the sort key of substitutes: own data centre first, then own region, then others."""
    near = 0 if endpoint.data_centre == me.data_centre else 1 if endpoint.region == me.region else 2
    return near, pair_rank(me.name, endpoint.name)


@functools.lru_cache(maxsize=65_536)
def pair_rank(entry: str, endpoint: str) -> int:
    """Returns the rendezvous hash of an entry and an endpoint."""
    pair = f"{entry}/{endpoint}".encode()
    return int.from_bytes(hashlib.blake2b(pair, digest_size=7).digest(), "big")
