"""Which other entries there are."""

import random
import unittest

from .entry_roster import FORGET_SECONDS, EntryRoster

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

    def test_seeds_are_asked_while_nobody_was_heard(self) -> None:
        self.assertEqual(self.roster.choose(2, 0.0, self.rng), [SEED])

    def test_one_that_does_not_answer_gives_way_to_those_that_do(self) -> None:
        """An entry dies. Asked first again and again, it would cost each question of the
        others its whole time, while those alive could have answered."""
        dead, alive = others(2)
        self.roster.take(dead, 1.0)
        self.roster.take(alive, 1.0)
        self.roster.record_failure(dead, 2.0)
        self.assertEqual(self.roster.choose(1, 3.0, self.rng), [alive])

    def test_one_that_nobody_hears_is_forgotten(self) -> None:
        self.roster.take(others(1)[0], 1.0)
        self.assertEqual(self.roster.count(2.0), 2)
        self.assertEqual(self.roster.count(1.1 + FORGET_SECONDS), 1)

    def test_news_reach_all_in_a_few_meetings(self) -> None:
        """Twelve entries start with a seed each, and meet somebody every two seconds. Those
        who did not hear of each other would share a limit by a wrong count."""
        addresses = others(12)
        rosters = {a: EntryRoster(a, (addresses[0],)) for a in addresses}
        for meeting in range(6):
            now = 2.0 * meeting
            for address, roster in rosters.items():
                for other in roster.choose(1, now, self.rng):
                    for here, there in ((address, other), (other, address)):
                        rosters[there].take(here, now)
                        for address, known in rosters[here].known(now).items():
                            rosters[there].take(address, known.heard_at)
        self.assertEqual({roster.count(12.0) for roster in rosters.values()}, {12})

    def test_it_never_asks_itself(self) -> None:
        self.roster.take(OWN, 1.0)
        self.assertNotIn(OWN, self.roster.all_addresses(1.0))
