"""That some version is always complete, however fast versions are named."""

import unittest

import hypothesis
from hypothesis import strategies

from .version_choice import FINISHED_FIRST, STALLED_SECONDS, VersionChoice

TRANSFER_SECONDS = 5.0
STEP_SECONDS = 0.25


class Transfer:
    """Plays one sidecar whose link carries a version in TRANSFER_SECONDS."""

    def __init__(self) -> None:
        self.choice = VersionChoice()
        self.shares: dict[int, float] = {}
        self.completed: dict[int, float] = {}
        self._moved_at = 0.0
        self._current: int | None = None

    def step(self, now: float, newest: int, available: set[int]) -> None:
        """Brings what is chosen for STEP_SECONDS, where the origin has it."""
        current = self._current
        share = self.shares.get(current, 0.0) if current is not None else 0.0
        complete = current in self.completed
        chosen = self.choice.choose(newest, share, now - self._moved_at, complete)
        if chosen != current:
            self._current, self._moved_at = chosen, now
        if chosen in available:
            self._moved_at = now
            self.shares[chosen] = share = (
                self.shares.get(chosen, 0.0) + STEP_SECONDS / TRANSFER_SECONDS
            )
            if share >= 1.0 - 1e-9:
                self.completed.setdefault(chosen, now)


class VersionChoiceTest(unittest.TestCase):
    """Versions that follow each other."""

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(strategies.lists(strategies.floats(0.0, 8.0), min_size=1, max_size=12))
    def test_some_version_is_complete_in_one_and_a_half_transfers(self, gaps: list[float]) -> None:
        """Versions are named faster than weights travel, and each naming ends the work before."""
        named_at = [0.0]
        for gap in gaps:
            named_at.append(named_at[-1] + gap)
        transfer = Transfer()
        now = 0.0
        while now <= 1.5 * TRANSFER_SECONDS + 2 * STEP_SECONDS:
            newest = sum(at <= now for at in named_at)
            transfer.step(now, newest, set(range(1, newest + 1)))
            now += STEP_SECONDS
        self.assertTrue(transfer.completed)

    def test_a_version_that_was_hardly_begun_makes_way(self) -> None:
        """A naming is corrected at once. Finished first, the mistake delays its correction."""
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        self.assertEqual(choice.choose(3, FINISHED_FIRST / 2, 0.1, False), 3)

    def test_names_that_come_together_lead_to_the_last_of_them(self) -> None:
        """An outage ends, and a process hears of three versions in a row. Those before the last
        may not be finished first."""
        choice = VersionChoice()
        for version in (0, 2, 3):
            chosen = choice.choose(version, 0.0, 0.1, False)
        self.assertEqual(chosen, 3)

    def test_a_complete_version_is_not_given_up_for_one_that_was_set_aside(self) -> None:
        """All of it is here and its engine is about to load it; nothing of it can come any more."""
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        choice.choose(3, 0.2, 0.1, False)
        self.assertEqual(choice.choose(3, 1.0, STALLED_SECONDS + 0.1, False), 3)

    def test_nothing_is_gone_back_to_of_which_nothing_is_here(self) -> None:
        """A process starts, and hears of a version before it has begun with any."""
        choice = VersionChoice()
        choice.choose(0, 0.0, 0.0, False)
        choice.choose(2, 0.0, 0.1, False)
        self.assertEqual(choice.choose(2, 0.3, STALLED_SECONDS + 0.1, False), 2)

    def test_whichever_is_newest_is_nothing_to_go_back_to(self) -> None:
        """An added engine has begun with what is in force when a version is named."""
        choice = VersionChoice()
        choice.choose(0, 0.0, 0.0, False)
        choice.choose(2, 0.3, 0.1, False)
        self.assertEqual(choice.choose(2, 0.3, STALLED_SECONDS + 0.1, False), 2)

    def test_one_that_gives_to_others_does_not_go_back(self) -> None:
        """Two relays that wait for each other's part of two versions, and take turns at both."""
        choice = VersionChoice(returns=False)
        choice.choose(2, 0.0, 0.0, False)
        choice.choose(3, 0.2, 0.1, False)
        self.assertEqual(choice.choose(3, 0.2, STALLED_SECONDS + 0.1, False), 3)

    def test_one_that_is_half_here_is_finished(self) -> None:
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        self.assertEqual(choice.choose(3, FINISHED_FIRST, 0.1, False), 2)
        self.assertEqual(choice.choose(3, 1.0, 0.0, True), 3)

    def test_the_origin_goes_away_after_the_second_naming(self) -> None:
        """The newer version cannot be had, and the older one, all of which the region holds, was
        set aside for it. Nothing comes into force until the origin is back."""
        transfer = Transfer()
        now = 0.0
        while now < 12.0:
            newest = 3 if now >= 2.0 else 2
            transfer.step(now, newest, {2})
            now += STEP_SECONDS
        self.assertLess(transfer.completed[2], TRANSFER_SECONDS + STALLED_SECONDS + 1.0)

    def test_one_that_stalls_makes_way_for_the_newer(self) -> None:
        """The origin no longer has the older version, of which most is here."""
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        self.assertEqual(choice.choose(3, 0.9, STALLED_SECONDS + 0.1, False), 3)
