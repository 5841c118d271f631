"""Tests of which requests are recalled, in a replay of an engine's suspension."""

import dataclasses
import unittest

from .request_recall import (
    MIN_START_SECONDS,
    RETIRED_MARGIN_SECONDS,
    PlacedRequest,
    RecallReason,
    is_stalled,
    recall_reason,
)

DRAIN_SECONDS = 2.0
# Silence after which an engine counts as stalled.
SILENT_AFTER_SECONDS = 1.0
SUSPENDED_SECONDS = 4.7
REQUEST = PlacedRequest(
    begun=False,
    repeatable=True,
    may_begin=True,
    start_is_visible=True,
    silent=False,
    retired_seconds=0.0,
    caller_leaves_in=float("inf"),
    reserve=lambda: True,
)


def replay(
    overdue_after: float,
    gone_after: float,
    caller_leaves_after: float = float("inf"),
    **facts: object,
) -> tuple[RecallReason, float]:
    """Simulates an engine's suspension; returns why a request was recalled from it, and when.

    Args:
      overdue_after: Seconds from the start of the suspension until no request may start on the
        engine's weights any more.
      gone_after: Seconds from the start until the engine is no longer listed.
      caller_leaves_after: Seconds from the start until the request's caller gives up.
    """
    for tenth in range(int(SUSPENDED_SECONDS * 10)):
        now = tenth / 10
        request = dataclasses.replace(
            REQUEST,
            may_begin=now < overdue_after,
            silent=now > SILENT_AFTER_SECONDS,
            retired_seconds=max(0.0, now - gone_after),
            caller_leaves_in=caller_leaves_after - now,
            **facts,
        )
        reason = recall_reason(request, DRAIN_SECONDS)
        if reason is not None:
            return reason, now
    return None, SUSPENDED_SECONDS


def refuse() -> bool:
    """Simulates a fleet in which no other endpoint has room for the request."""
    return False


class ReplayTest(unittest.TestCase):
    """An engine is suspended for 4.7 s; it may or may not have read its requests."""

    def test_with_room_elsewhere_a_request_moves_once_the_engine_is_silent(self) -> None:
        """Callers of a suspended engine would wait for seconds although other engines have room."""
        reason, at = replay(overdue_after=3.0, gone_after=3.2)
        self.assertEqual(reason, RecallReason.ENDPOINT_SILENT)
        self.assertAlmostEqual(at, SILENT_AFTER_SECONDS + 0.1)

    def test_without_room_elsewhere_it_waits_until_its_weights_are_overdue(self) -> None:
        """All other engines are full or have not switched yet. If the request stayed, it would
        start on the old weights when the engine wakes up."""
        reason, at = replay(overdue_after=3.0, gone_after=3.2, reserve=refuse)
        self.assertEqual((reason, at), (RecallReason.WEIGHTS_OVERDUE, 3.0))

    def test_without_a_new_version_it_waits_until_the_engine_counts_as_gone(self) -> None:
        reason, at = replay(overdue_after=99.0, gone_after=2.0, reserve=refuse)
        self.assertEqual(reason, RecallReason.ENDPOINT_RETIRED)
        self.assertAlmostEqual(at, 2.0 + DRAIN_SECONDS - RETIRED_MARGIN_SECONDS, delta=0.11)

    def test_a_request_sent_just_before_its_engine_leaves_waits_for_longer(self) -> None:
        """Guards against a request that is given up at a sound engine that leaves and is silent for
        a second and a half, and against one that is kept there until the bound."""
        waiting = dataclasses.replace(REQUEST, silent=True, reserve=refuse, waited=1.5)
        stays = dataclasses.replace(waiting, retired_seconds=1.4)
        self.assertIsNone(recall_reason(stays, DRAIN_SECONDS))
        overdue = dataclasses.replace(waiting, retired_seconds=1.45)
        self.assertEqual(recall_reason(overdue, DRAIN_SECONDS), RecallReason.ENDPOINT_RETIRED)

    def test_a_request_that_may_run_once_is_recalled_only_for_its_weights(self) -> None:
        """If a charge were moved, it could run twice. A request that would start on replaced
        weights is recalled nevertheless, and its caller gets the outcome "unknown"."""
        self.assertIsNone(replay(99.0, 1.0, repeatable=False)[0])
        self.assertEqual(replay(3.0, 1.0, repeatable=False)[0], RecallReason.WEIGHTS_OVERDUE)

    def test_a_unary_request_that_may_run_once_stays_whatever_its_weights(self) -> None:
        """A charge is answered in one piece, so a running one looks like a waiting one. If it
        were recalled, it might have run, and its caller would not know the outcome."""
        whole = {"repeatable": False, "start_is_visible": False}
        self.assertIsNone(replay(3.0, 1.0, **whole)[0])
        again = {"repeatable": True, "start_is_visible": False, "reserve": refuse}
        self.assertEqual(replay(3.0, 9.0, **again)[0], RecallReason.WEIGHTS_OVERDUE)

    def test_a_started_stream_stays_if_no_other_endpoint_can_continue_it(self) -> None:
        """Guards against a stream that started in time and is cut off because its engine pauses,
        although the rest would arrive a second later."""
        begun = {"begun": True, "reserve": refuse}
        self.assertIsNone(replay(overdue_after=1.0, gone_after=1.0, **begun)[0])

    def test_without_room_elsewhere_its_caller_is_answered_before_it_leaves(self) -> None:
        """Guards against requests that start when an engine wakes up, after their callers have
        left."""
        reason, at = replay(99.0, 99.0, caller_leaves_after=3.2, reserve=refuse)
        self.assertEqual(reason, RecallReason.CALLER_LEAVING)
        self.assertGreater(at, 3.2 - MIN_START_SECONDS - 0.01)
        self.assertLess(at, 3.2 - MIN_START_SECONDS + 0.11)

    def test_a_started_stream_is_not_ended_when_its_caller_would_give_up(self) -> None:
        begun = {"begun": True, "reserve": refuse}
        self.assertIsNone(replay(99.0, 99.0, caller_leaves_after=3.2, **begun)[0])


class NoSuspensionTest(unittest.TestCase):
    """Endpoints that are not suspended."""

    def test_a_request_that_waits_at_a_busy_engine_stays(self) -> None:
        """Under overload, a request waits long for its first event while events of other
        requests arrive. If it were moved, it would lose its position in each queue."""
        self.assertIsNone(recall_reason(REQUEST, DRAIN_SECONDS))

    def test_a_leaving_endpoint_that_answers_keeps_its_requests(self) -> None:
        leaving = dataclasses.replace(REQUEST, retired_seconds=10.0)
        self.assertIsNone(recall_reason(leaving, DRAIN_SECONDS))

    def test_reading_a_long_prompt_is_not_a_stall(self) -> None:
        """An engine takes a second to read a prompt, so half a second without an event is not a
        stall. If the request were moved, its prompt would be read again from the start."""
        self.assertFalse(is_stalled(waited=1.4, forecast=1.0, usual=0.01))
        self.assertTrue(is_stalled(waited=3.1, forecast=1.0, usual=0.01))

    def test_a_request_sent_a_moment_ago_is_not_stalled(self) -> None:
        self.assertFalse(is_stalled(waited=0.1, forecast=0.01, usual=0.01))


class EvacuationTest(unittest.TestCase):
    """A request at an endpoint in an evacuated data centre, which reports waiting requests."""

    def test_only_streams_that_have_not_begun_move(self) -> None:
        """Guards against work that is cut or done twice, and callers that lose their place."""
        for facts, expected in (
            ({}, RecallReason.ENDPOINT_EVACUATED),
            ({"begun": True}, None),
            ({"start_is_visible": False}, None),
            ({"repeatable": False}, None),
            ({"reserve": lambda: False}, None),
        ):
            request = dataclasses.replace(REQUEST, waits_evacuated=True, **facts)
            self.assertIs(recall_reason(request, DRAIN_SECONDS), expected)


if __name__ == "__main__":
    unittest.main()
