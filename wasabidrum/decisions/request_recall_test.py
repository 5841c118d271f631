"""Which requests are recalled, replayed over an engine's suspension."""

import dataclasses
import unittest

from .request_recall import (
    RETIRED_MARGIN_SECONDS,
    SHORTEST_BEGINNING_SECONDS,
    RecallReason,
    Waiting,
    is_stalled,
    recall_reason,
)

DRAIN_SECONDS = 2.0
# An engine says nothing for so long before it counts as standing still.
SILENT_AFTER_SECONDS = 1.0
SUSPENDED_SECONDS = 4.7
WAITING = Waiting(
    begun=False,
    repeatable=True,
    may_begin=True,
    tells_beginning=True,
    silent=False,
    retired_seconds=0.0,
    leaves_in=float("inf"),
    reserve=lambda: True,
)


def replay(
    overdue_after: float,
    gone_after: float,
    caller_leaves_after: float = float("inf"),
    **facts: object,
) -> tuple[RecallReason, float]:
    """Plays an engine's suspension; returns why a request was recalled from it, and when.

    Args:
      overdue_after: The seconds from its beginning until the weights may not be begun any more.
      gone_after: The same until the engine is off the list.
      caller_leaves_after: The same until the request's caller gives up.
    """
    for tenth in range(int(SUSPENDED_SECONDS * 10)):
        now = tenth / 10
        waiting = dataclasses.replace(
            WAITING,
            may_begin=now < overdue_after,
            silent=now > SILENT_AFTER_SECONDS,
            retired_seconds=max(0.0, now - gone_after),
            leaves_in=caller_leaves_after - now,
            **facts,
        )
        reason = recall_reason(waiting, DRAIN_SECONDS)
        if reason is not None:
            return reason, now
    return None, SUSPENDED_SECONDS


def refuse() -> bool:
    """Stands for a fleet in which no other endpoint would take the request."""
    return False


class ReplayTest(unittest.TestCase):
    """An engine that is suspended for 4.7 s with requests that it has read or not."""

    def test_where_there_is_room_a_request_moves_once_the_engine_is_silent(self) -> None:
        """Callers of a suspended engine wait for seconds beside engines that have room."""
        reason, at = replay(overdue_after=3.0, gone_after=3.2)
        self.assertEqual(reason, RecallReason.ENDPOINT_SILENT)
        self.assertAlmostEqual(at, SILENT_AFTER_SECONDS + 0.1)

    def test_where_there_is_none_it_waits_until_its_weights_are_overdue(self) -> None:
        """All other engines are full or have not switched yet. Left where it is, the request
        would begin on the old weights when the engine wakes."""
        reason, at = replay(overdue_after=3.0, gone_after=3.2, reserve=refuse)
        self.assertEqual((reason, at), (RecallReason.WEIGHTS_OVERDUE, 3.0))

    def test_where_no_version_is_named_it_waits_until_the_engine_counts_as_gone(self) -> None:
        reason, at = replay(overdue_after=99.0, gone_after=2.0, reserve=refuse)
        self.assertEqual(reason, RecallReason.ENDPOINT_RETIRED)
        self.assertAlmostEqual(at, 2.0 + DRAIN_SECONDS - RETIRED_MARGIN_SECONDS, delta=0.11)

    def test_what_may_run_once_stays_but_for_its_weights(self) -> None:
        """Moved, a charge could run twice. What would begin on replaced weights is dropped all
        the same, and its caller told that nobody knows."""
        self.assertIsNone(replay(99.0, 1.0, repeatable=False)[0])
        self.assertEqual(replay(3.0, 1.0, repeatable=False)[0], RecallReason.WEIGHTS_OVERDUE)

    def test_a_whole_answer_that_may_run_once_stays_whatever_its_weights(self) -> None:
        """A charge answers as a whole, so that one that runs looks like one that waits. Dropped,
        it would have run for nothing, and its caller would not know."""
        whole = {"repeatable": False, "tells_beginning": False}
        self.assertIsNone(replay(3.0, 1.0, **whole)[0])
        again = {"repeatable": True, "tells_beginning": False, "reserve": refuse}
        self.assertEqual(replay(3.0, 9.0, **again)[0], RecallReason.WEIGHTS_OVERDUE)

    def test_what_has_begun_stays_where_nobody_goes_on_with_it(self) -> None:
        """A stream that began in time is cut in the middle for its engine's pause, though the
        rest comes a second later."""
        begun = {"begun": True, "reserve": refuse}
        self.assertIsNone(replay(overdue_after=1.0, gone_after=1.0, **begun)[0])

    def test_where_nobody_can_take_it_its_caller_is_answered_before_it_leaves(self) -> None:
        """Guards against runs that begin on an engine's waking for callers that have left."""
        reason, at = replay(99.0, 99.0, caller_leaves_after=3.2, reserve=refuse)
        self.assertEqual(reason, RecallReason.CALLER_LEAVING)
        self.assertGreater(at, 3.2 - SHORTEST_BEGINNING_SECONDS - 0.01)
        self.assertLess(at, 3.2 - SHORTEST_BEGINNING_SECONDS + 0.11)

    def test_a_stream_that_has_begun_is_not_ended_for_its_callers_patience(self) -> None:
        begun = {"begun": True, "reserve": refuse}
        self.assertIsNone(replay(99.0, 99.0, caller_leaves_after=3.2, **begun)[0])


class NoSuspensionTest(unittest.TestCase):
    """Endpoints that answer."""

    def test_what_waits_at_a_busy_engine_is_left_alone(self) -> None:
        """Under overload a request waits long for its first event while others' events come.
        Moved about, it would lose its turn everywhere."""
        self.assertIsNone(recall_reason(WAITING, DRAIN_SECONDS))

    def test_a_leaving_endpoint_that_answers_keeps_what_it_has(self) -> None:
        leaving = dataclasses.replace(WAITING, retired_seconds=10.0)
        self.assertIsNone(recall_reason(leaving, DRAIN_SECONDS))

    def test_a_long_prompt_is_read_to_its_end(self) -> None:
        """A prompt takes an engine a second to read. Half a second without an event is not
        silence then; moved, it would be read again from its start."""
        self.assertFalse(is_stalled(waited=1.4, forecast=1.0, usual=0.01))
        self.assertTrue(is_stalled(waited=3.1, forecast=1.0, usual=0.01))

    def test_what_was_sent_a_moment_ago_is_not_stuck(self) -> None:
        self.assertFalse(is_stalled(waited=0.1, forecast=0.01, usual=0.01))


if __name__ == "__main__":
    unittest.main()
