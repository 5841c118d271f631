"""Tests that some version is always completed, however fast versions are named."""

import unittest

import hypothesis
from hypothesis import strategies

from .version_choice import (
    FINISH_FIRST_SHARE,
    STALL_TIMEOUT_SECONDS,
    VersionChoice,
    can_follow,
)

TRANSFER_SECONDS = 5.0
STEP_SECONDS = 0.25


class Transfer:
    """Simulates one sidecar whose link transfers a version in TRANSFER_SECONDS."""

    def __init__(self) -> None:
        self.choice = VersionChoice()
        self.shares: dict[int, float] = {}
        self.completed: dict[int, float] = {}
        self._moved_at = 0.0
        self._current: int | None = None

    def step(self, now: float, newest: int, available: set[int]) -> None:
        """Downloads the chosen version for STEP_SECONDS, if the origin has it."""
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
    """Versions that are named one after the other."""

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

    def test_version_that_was_hardly_begun_makes_way(self) -> None:
        """A wrong version is named and corrected at once. If the wrong one were finished first,
        the correction would be delayed."""
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        self.assertEqual(choice.choose(3, FINISH_FIRST_SHARE / 2, 0.1, False), 3)

    def test_of_versions_named_together_the_last_is_chosen(self) -> None:
        """An outage ends, and a process learns of three versions in a row. Those before the last
        must not be finished first."""
        choice = VersionChoice()
        for version in (0, 2, 3):
            chosen = choice.choose(version, 0.0, 0.1, False)
        self.assertEqual(chosen, 3)

    def test_complete_version_is_not_given_up_for_one_that_was_set_aside(self) -> None:
        """All of it has arrived and its engine is about to load it, so nothing more arrives; that
        must not count as a stall."""
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        choice.choose(3, 0.2, 0.1, False)
        self.assertEqual(choice.choose(3, 1.0, STALL_TIMEOUT_SECONDS + 0.1, False), 3)

    def test_version_of_which_nothing_has_arrived_is_not_resumed(self) -> None:
        """A process starts, and learns of a version before it has begun to download any."""
        choice = VersionChoice()
        choice.choose(0, 0.0, 0.0, False)
        choice.choose(2, 0.0, 0.1, False)
        self.assertEqual(choice.choose(2, 0.3, STALL_TIMEOUT_SECONDS + 0.1, False), 2)

    def test_version_zero_is_not_resumed(self) -> None:
        """An added engine has begun with whatever is in force when a version is named."""
        choice = VersionChoice()
        choice.choose(0, 0.0, 0.0, False)
        choice.choose(2, 0.3, 0.1, False)
        self.assertEqual(choice.choose(2, 0.3, STALL_TIMEOUT_SECONDS + 0.1, False), 2)

    def test_process_that_sends_to_others_does_not_resume(self) -> None:
        """Two relays would wait for each other's part of two versions, and alternate between
        them."""
        choice = VersionChoice(may_resume=False)
        choice.choose(2, 0.0, 0.0, False)
        choice.choose(3, 0.2, 0.1, False)
        self.assertEqual(choice.choose(3, 0.2, STALL_TIMEOUT_SECONDS + 0.1, False), 3)

    def test_version_of_which_half_has_arrived_is_finished(self) -> None:
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        self.assertEqual(choice.choose(3, FINISH_FIRST_SHARE, 0.1, False), 2)
        self.assertEqual(choice.choose(3, 1.0, 0.0, True), 3)

    def test_the_origin_goes_away_after_the_second_naming(self) -> None:
        """The newer version is not available, and the older one, which the region holds
        completely, was set aside for it. Without resuming it, no version would come into force
        until the origin is back."""
        transfer = Transfer()
        now = 0.0
        while now < 12.0:
            newest = 3 if now >= 2.0 else 2
            transfer.step(now, newest, {2})
            now += STEP_SECONDS
        self.assertLess(transfer.completed[2], TRANSFER_SECONDS + STALL_TIMEOUT_SECONDS + 1.0)

    def test_version_that_stalls_makes_way_for_the_newer(self) -> None:
        """The origin no longer has the older version, of which most has arrived."""
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        self.assertEqual(choice.choose(3, 0.9, STALL_TIMEOUT_SECONDS + 0.1, False), 3)


class FinishFirstTest(unittest.TestCase):
    """The origin may fail right after a second version is named."""

    def test_older_version_is_finished_while_both_fit(self) -> None:
        """Guards against processes that set aside a version of which a third is here, and then
        hold neither because the origin fails."""
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        fits = can_follow(0.3, 4.0, 8.4)
        self.assertEqual(choice.choose(3, 0.3, 0.1, False, fits), 2)
        self.assertEqual(choice.choose(3, 1.0, 0.1, True, False), 3)

    def test_newer_version_is_first_if_both_do_not_fit(self) -> None:
        """Guards against a newer version that comes after the older one may no longer answer."""
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        self.assertEqual(choice.choose(3, 0.3, 0.1, False, can_follow(0.3, 4.0, 6.0)), 3)

    def test_stalled_version_makes_way_although_both_would_fit(self) -> None:
        """Guards against waiting for an older version that nobody can send."""
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        idle = STALL_TIMEOUT_SECONDS + 0.1
        self.assertEqual(choice.choose(3, 0.3, idle, False, can_follow(0.3, 4.0, 60.0)), 3)

    def test_version_that_was_hardly_begun_is_not_finished(self) -> None:
        """Guards against a wrong version that is corrected at once and would be loaded first."""
        self.assertFalse(can_follow(0.05, 4.0, 60.0))

    def test_version_that_may_no_longer_answer_is_not_finished(self) -> None:
        """Guards against a download that holds up the newer version and is of no use."""
        choice = VersionChoice()
        choice.choose(2, 0.0, 0.0, False)
        self.assertEqual(choice.choose(3, 0.9, 0.1, False, expired=False), 2)
        self.assertEqual(choice.choose(3, 0.9, 0.1, False, expired=True), 3)
        self.assertEqual(choice.choose(3, 0.0, 10.0, False), 3)
