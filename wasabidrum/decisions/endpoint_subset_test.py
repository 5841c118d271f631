"""Tests of the subsets of endpoints that entries use."""

import collections
import unittest

from ..core.instance import Instance, InstanceRole
from . import endpoint_subset


def make_instances(role: InstanceRole, centres: int, each: int) -> list[Instance]:
    """Returns instances spread over data centres, with three data centres per region."""
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
    """Subsets are bounded, even and near, and change little."""

    def setUp(self) -> None:
        # One of nine data centres at the size planned for two years ahead: in all 400 entries and
        # 1,900 endpoints.
        self.entries = make_instances(InstanceRole.ENTRY, 1, 44)
        self.endpoints = make_instances(InstanceRole.SIDECAR, 1, 211)

    def test_endpoints_are_watched_by_equally_many_entries(self) -> None:
        """The fleet is too large for each entry to watch all endpoints. With random subsets,
        some endpoints would receive three times the requests of others, and their callers
        would wait."""
        chosen = choose_all(self.entries, self.endpoints)
        watched = collections.Counter(name for names in chosen.values() for name in names)
        self.assertEqual(set(watched), {e.name for e in self.endpoints})
        self.assertLessEqual(max(watched.values()) - min(watched.values()), 2)
        sizes = [len(names) for names in chosen.values()]
        self.assertLessEqual(max(sizes), 20)
        self.assertGreaterEqual(min(sizes), 16)

    def test_adding_or_removing_an_instance_changes_few_pairs(self) -> None:
        before = choose_all(self.entries, self.endpoints)
        pairs = sum(len(names) for names in before.values())
        for after in (
            choose_all(self.entries, self.endpoints[:-1]),
            choose_all(self.entries[:-1], self.endpoints),
        ):
            moved = sum(len(after[name] - before[name]) for name in after)
            self.assertLess(moved, pairs * 0.06)

    def test_an_unusable_subset_gets_substitutes(self) -> None:
        """A rack fails that contains most of the endpoints of one entry. Without substitutes,
        its callers would be refused while the rest of the fleet has room."""
        me = self.entries[0]
        before = choose_all([me, *self.entries[1:]], self.endpoints)[me.name]
        after = choose_all(self.entries, self.endpoints, frozenset(before))[me.name]
        self.assertGreaterEqual(len(after - before), endpoint_subset.SUBSET_SIZE)
        self.assertLessEqual(before, after)

    def test_own_data_centre_is_preferred_and_no_endpoint_is_left_out(self) -> None:
        entries = make_instances(InstanceRole.ENTRY, 2, 10)
        endpoints = make_instances(InstanceRole.SIDECAR, 4, 40)
        chosen = choose_all(entries, endpoints)
        watched = {name for names in chosen.values() for name in names}
        self.assertEqual(watched, {e.name for e in endpoints})
        for entry in entries:
            own = {e.name for e in endpoints if e.data_centre == entry.data_centre}
            self.assertGreaterEqual(len(chosen[entry.name] & own), 8)

    def test_all_endpoints_are_used_if_there_are_few(self) -> None:
        few = self.endpoints[: endpoint_subset.SUBSET_SIZE]
        for names in choose_all(self.entries, few).values():
            self.assertEqual(len(names), len(few))
