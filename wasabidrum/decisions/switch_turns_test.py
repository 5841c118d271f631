"""Which engines load new weights first, and how many keep answering meanwhile."""

import unittest

from .switch_turns import EARLY_DRAIN_SECONDS, seconds_until_turn, should_drain_early, turn_of
from .version_floor import PLACE_MARGIN_SECONDS

REGIONS = ("north", "east", "south")
ENGINES = {f"e{i}": REGIONS[i % 3] for i in range(10)}
BOUND = 8.0
STAGED_AT = 5.2
# How long an engine accepts no requests while it loads weights.
AWAY_SECONDS = 2.0


class SwitchTurnsTest(unittest.TestCase):
    """Ten engines in three regions, whose weights are complete at the same moment."""

    def answering(self, at: float) -> int:
        """Returns how many engines accept requests, some seconds after a naming."""
        count = 0
        for name in ENGINES:
            turn = turn_of(2, name, ENGINES)
            began = STAGED_AT + seconds_until_turn(turn, STAGED_AT, BOUND)
            began -= 0.0 if turn else EARLY_DRAIN_SECONDS
            old = at < began and at < BOUND - PLACE_MARGIN_SECONDS
            new = at >= began + AWAY_SECONDS
            count += old or new
        return count

    def test_half_of_the_engines_answer_while_the_others_load(self) -> None:
        """If all engines loaded together, no caller would be served for two seconds."""
        moments = [STAGED_AT - 2.0 + 0.1 * step + 0.01 for step in range(60)]
        self.assertGreaterEqual(min(self.answering(at) for at in moments), 5)
        self.assertEqual(self.answering(moments[-1]), 10)

    def test_running_requests_end_while_the_last_pieces_arrive(self) -> None:
        """An engine that is ordered with all its slots taken is unavailable two seconds longer."""
        self.assertTrue(should_drain_early(0, 10, 0.8, 4.0))
        self.assertFalse(should_drain_early(0, 10, 0.5, 2.6))

    def test_only_engine_and_engines_of_the_second_turn_do_not_drain_early(self) -> None:
        self.assertFalse(should_drain_early(0, 1, 0.9, 4.0))
        self.assertFalse(should_drain_early(1, 10, 0.9, 4.0))

    def test_engines_answer_while_the_rest_of_their_weights_is_not_within_reach(self) -> None:
        """Guards against engines that stop for a version whose origin went away before the end."""
        self.assertFalse(should_drain_early(0, 10, 0.8, 4.0, within_reach=False))

    def test_what_had_arrived_before_does_not_count_as_speed(self) -> None:
        """Guards against engines that stop as soon as they go on with a version set aside."""
        self.assertFalse(should_drain_early(0, 10, 0.5, 0.2, share_before=0.48))
        self.assertTrue(should_drain_early(0, 10, 0.8, 1.0, share_before=0.5))

    def test_no_region_is_without_an_engine(self) -> None:
        for region in REGIONS:
            names = [name for name, where in ENGINES.items() if where == region]
            turns = {turn_of(2, name, ENGINES) for name in names}
            self.assertEqual(turns, {0, 1})

    def test_weights_that_arrive_late_are_loaded_at_once(self) -> None:
        """An engine that waited for its turn beyond the bound would be idle with old weights."""
        self.assertEqual(seconds_until_turn(1, BOUND, BOUND), 0.0)

    def test_engine_that_serves_no_callers_goes_first(self) -> None:
        self.assertEqual(turn_of(2, "added", ENGINES), 0)

    def test_the_last_turn_begins_at_the_latest_when_old_weights_expire(self) -> None:
        named_for = BOUND - PLACE_MARGIN_SECONDS - 0.5
        self.assertAlmostEqual(seconds_until_turn(1, named_for, BOUND), 0.5)
