"""Tests of the known entries."""

import random
import unittest

from .entry_roster import ENTRY_EXPIRES_SECONDS, SHARE_EXPIRES_SECONDS, EntryRoster

OWN = ("10.0.0.1", 1)
SEED = ("10.0.0.9", 1)


def others(count: int) -> list[tuple[str, int]]:
    """Returns addresses of other entries."""
    return [(f"10.0.1.{number}", 1) for number in range(count)]


class EntryRosterTest(unittest.TestCase):
    """An entry with one seed."""

    def setUp(self) -> None:
        self.roster = EntryRoster(OWN, (SEED, OWN))
        self.rng = random.Random(7)

    def test_seeds_are_asked_while_no_entry_is_known(self) -> None:
        self.assertEqual(self.roster.choose(2, 0.0, self.rng), [SEED])

    def test_an_unresponsive_entry_is_asked_after_responsive_ones(self) -> None:
        """An entry dies. If it were asked first each time, every request would run into its
        time-out while live entries could have responded."""
        dead, alive = others(2)
        self.roster.record_seen(dead, 1.0)
        self.roster.record_seen(alive, 1.0)
        self.roster.record_failure(dead, 2.0)
        self.assertEqual(self.roster.choose(1, 3.0, self.rng), [alive])

    def test_an_entry_that_none_sees_is_removed(self) -> None:
        self.roster.record_seen(others(1)[0], 1.0)
        self.assertEqual(self.roster.count(2.0), 2)
        self.assertEqual(self.roster.count(1.1 + ENTRY_EXPIRES_SECONDS), 1)

    def test_entries_that_cannot_be_reached_keep_their_share(self) -> None:
        """Guards against entries that are cut off from each other and take the others' share."""
        for address in others(4):
            self.roster.record_seen(address, 1.0)
        late = 1.1 + ENTRY_EXPIRES_SECONDS
        self.assertEqual(self.roster.count(late), 1)
        self.assertEqual(self.roster.count_to_share(late, settled=True), 5)
        self.assertEqual(len(self.roster.most_recent(late)), 4)
        forgotten = 2.0 + SHARE_EXPIRES_SECONDS
        self.roster.record_seen(others(1)[0], forgotten)
        self.assertEqual(self.roster.count_to_share(forgotten, settled=True), 2)

    def test_number_of_entries_is_unknown_until_one_was_met(self) -> None:
        """Guards against an entry that has just started and takes itself for the only one."""
        self.assertIsNone(self.roster.count_to_share(1.0, settled=True))
        self.roster.record_seen(SEED, 1.0)
        self.assertIsNone(self.roster.count_to_share(1.0, settled=False))
        self.assertEqual(self.roster.count_to_share(1.0, settled=True), 2)
        self.assertEqual(EntryRoster(OWN, (OWN,)).count_to_share(1.0, settled=False), 1)

    def test_all_entries_are_known_to_all_after_a_few_exchanges(self) -> None:
        """Twelve entries start with one seed each, and exchange with one entry every two seconds.
        Entries that do not know all others would divide a workspace's limit by a wrong count."""
        addresses = others(12)
        rosters = {a: EntryRoster(a, (addresses[0],)) for a in addresses}
        for exchange in range(6):
            now = 2.0 * exchange
            for address, roster in rosters.items():
                for other in roster.choose(1, now, self.rng):
                    for sender, receiver in ((address, other), (other, address)):
                        rosters[receiver].record_seen(sender, now)
                        for address, known in rosters[sender].known(now).items():
                            rosters[receiver].record_seen(address, known.seen_at)
        self.assertEqual({roster.count(12.0) for roster in rosters.values()}, {12})

    def test_an_entry_never_asks_itself(self) -> None:
        self.roster.record_seen(OWN, 1.0)
        self.assertNotIn(OWN, self.roster.all_addresses(1.0))
