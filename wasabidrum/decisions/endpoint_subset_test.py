"""Tests of which endpoints an entry works over."""

import collections
import unittest

from ..core.instance import Instance, InstanceRole
from . import endpoint_subset


def make_instances(role: InstanceRole, centres: int, each: int) -> list[Instance]:
    """Returns instances spread over data centres, three to a region."""
    return [
        Instance(f"{role}-{c}-{i}", role, f"r{c // 3}", f"c{c}", "127.0.0.1", 1, 1)
        for c in range(centres)
        for i in range(each)
    ]


def choose_all(
    entries: list[Instance], endpoints: list[Instance], unusable: frozenset[str] = frozenset()
) -> dict[str, set[str]]:
    """Returns the subset of every entry."""
    size = endpoint_subset.SUBSET_SIZE
    return {
        me.name: {
            e.name for e in endpoint_subset.choose_subset(me, entries, endpoints, unusable, size)
        }
        for me in entries
    }


class EndpointSubsetTest(unittest.TestCase):
    """Subsets are bounded, even, near, and change little."""

    def setUp(self) -> None:
        # One data centre of the two-year size: 400 entries and 1,900 endpoints in nine.
        self.entries = make_instances(InstanceRole.ENTRY, 1, 44)
        self.endpoints = make_instances(InstanceRole.SIDECAR, 1, 211)

    def test_every_endpoint_is_watched_by_as_many_entries(self) -> None:
        """The fleet is too large for each entry to watch all. With subsets drawn at random
        some endpoints would get three times the requests of others, and callers whose
        requests land there would wait."""
        chosen = choose_all(self.entries, self.endpoints)
        watched = collections.Counter(name for names in chosen.values() for name in names)
        self.assertEqual(set(watched), {e.name for e in self.endpoints})
        self.assertLessEqual(max(watched.values()) - min(watched.values()), 2)
        sizes = [len(names) for names in chosen.values()]
        self.assertLessEqual(max(sizes), 20)
        self.assertGreaterEqual(min(sizes), 16)

    def test_one_instance_more_or_less_moves_few_pairs(self) -> None:
        before = choose_all(self.entries, self.endpoints)
        pairs = sum(len(names) for names in before.values())
        for after in (
            choose_all(self.entries, self.endpoints[:-1]),
            choose_all(self.entries[:-1], self.endpoints),
        ):
            moved = sum(len(after[name] - before[name]) for name in after)
            self.assertLess(moved, pairs * 0.06)

    def test_a_whole_subset_out_of_work_is_stood_in_for(self) -> None:
        """A rack dies with most of what one entry watches. Without stand-ins its callers would
        be refused while the rest of the fleet has room."""
        me = self.entries[0]
        before = choose_all([me, *self.entries[1:]], self.endpoints)[me.name]
        after = choose_all(self.entries, self.endpoints, frozenset(before))[me.name]
        self.assertGreaterEqual(len(after - before), endpoint_subset.SUBSET_SIZE)
        self.assertLessEqual(before, after)

    def test_own_data_centre_first_and_no_endpoint_left_out(self) -> None:
        entries = make_instances(InstanceRole.ENTRY, 2, 10)
        endpoints = make_instances(InstanceRole.SIDECAR, 4, 40)
        chosen = choose_all(entries, endpoints)
        watched = {name for names in chosen.values() for name in names}
        self.assertEqual(watched, {e.name for e in endpoints})
        for entry in entries:
            own = {e.name for e in endpoints if e.data_centre == entry.data_centre}
            self.assertGreaterEqual(len(chosen[entry.name] & own), 8)

    def test_all_where_there_are_few(self) -> None:
        few = self.endpoints[: endpoint_subset.SUBSET_SIZE]
        for names in choose_all(self.entries, few).values():
            self.assertEqual(len(names), len(few))
