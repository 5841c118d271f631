"""Tests of the limit for first events, under the load patterns of first_event_limit.py."""

import unittest

import msgspec

from tests.choice_replay import SHORT_STEPS_WORK, FakeEngine, Job, Replay, earned_share

from .engine_forecast import EngineWork, first_event_seconds, free_slot_seconds
from .first_event_limit import LIMIT_FRACTION, Caller, first_event_limit

ENGINES = 17
ENTRIES = 15
# Requests per second that these engines can process.
CAPACITY = 146.0
SECONDS = 14.0
TARGET = SHORT_STEPS_WORK.target


def play(load: float, latest: float | None) -> list[Job]:
    """Returns the requests of callers that send a multiple of what the engines can process."""
    engines = [FakeEngine(figures=SHORT_STEPS_WORK.figures) for _ in range(ENGINES)]
    replay = Replay(engines, ENTRIES, latest, work=SHORT_STEPS_WORK)
    return replay.play(load * CAPACITY, SECONDS)


def served_share(jobs: list[Job]) -> float:
    """Returns the share of requests that had a first event."""
    return sum(job.first_event is not None for job in jobs) / len(jobs)


class OverloadTest(unittest.TestCase):
    """Seventeen engines, fifteen entries, and callers that come back once."""

    def test_lasting_overload_does_not_fill_engines_with_late_answers(self) -> None:
        """Guards against slots that go to callers who come back, while new ones are refused."""
        fixed = play(1.5, TARGET * LIMIT_FRACTION)
        adapted = play(1.5, None)
        gain = earned_share(adapted, SHORT_STEPS_WORK) / earned_share(fixed, SHORT_STEPS_WORK)
        self.assertGreater(gain, 1.2)

    def test_long_prompts_are_served_about_as_often_as_others_under_overload(self) -> None:
        """Guards against a lower limit that refuses those whose prompts take long to read."""
        jobs = sorted(play(1.5, None), key=lambda job: job.prompt)
        longest = jobs[-len(jobs) // 10 :]
        self.assertGreater(served_share(longest), 0.8 * served_share(jobs))

    def test_below_capacity_callers_are_served_as_before(self) -> None:
        """Guards against a limit that refuses callers although engines have room."""
        fixed = earned_share(play(0.9, TARGET * LIMIT_FRACTION), SHORT_STEPS_WORK)
        self.assertGreater(earned_share(play(0.9, None), SHORT_STEPS_WORK), fixed - 0.02)


class LimitTest(unittest.TestCase):
    """Single limits."""

    def test_nobody_is_turned_away_earlier_while_nobody_is_refused(self) -> None:
        for returning in (False, True):
            caller = Caller(TARGET, returning=returning)
            self.assertAlmostEqual(first_event_limit(caller, 0.0), LIMIT_FRACTION * TARGET)

    def test_the_limit_falls_further_for_those_who_can_only_be_late(self) -> None:
        new, back = Caller(TARGET), Caller(TARGET, returning=True)
        self.assertLess(first_event_limit(new, 0.3), first_event_limit(new, 0.05))
        self.assertLess(first_event_limit(back, 0.1), first_event_limit(new, 0.1))

    def test_those_who_come_back_get_the_room_that_an_engine_has(self) -> None:
        """Guards against engines slow to read that stand idle while such callers are refused."""
        figures = msgspec.structs.replace(SHORT_STEPS_WORK.figures, read_rate=8_000.0)
        room = free_slot_seconds(figures, 1200)
        idle = first_event_seconds(figures, EngineWork(0.0, 0.0), 1200)
        caller = Caller(TARGET, returning=True, free_slot_seconds=room)
        self.assertLess(idle, first_event_limit(caller, 1.0))

    def test_a_long_prompt_does_not_extend_the_limit_past_the_objective(self) -> None:
        self.assertAlmostEqual(
            first_event_limit(Caller(TARGET, extra_read_seconds=5.0), 0.3),
            LIMIT_FRACTION * TARGET,
        )
