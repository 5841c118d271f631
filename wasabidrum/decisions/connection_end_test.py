"""Tests of how a server that ends treats its connections."""

import unittest

from .connection_end import (
    FIRST_REQUEST_SECONDS,
    LINGER_SECONDS,
    MAX_LINGER_SECONDS,
    ConnectionState,
    Step,
    has_lingered,
    next_step,
)


def make_state(**facts: object) -> ConnectionState:
    """Returns the state of a kept connection without a request, with some facts replaced."""
    kept = {"reading": True, "partial": False, "answered": False, "served": True, "age": 5.0}
    return ConnectionState(**(kept | facts))


class NextStepTest(unittest.TestCase):
    """No request is left without an answer, and no caller holds up the end."""

    def test_a_request_that_is_being_answered_or_is_unread(self) -> None:
        """Guards against a close under a request that was received."""
        for partial in (False, True):
            state = make_state(reading=False, partial=partial, served=False)
            self.assertIs(next_step(state), Step.KEEP)

    def test_a_kept_connection(self) -> None:
        """Guards against an end that waits for callers who have nothing to ask."""
        self.assertIs(next_step(make_state()), Step.CLOSE)

    def test_a_new_connection(self) -> None:
        """Guards against a close before the first request, and against waiting for it forever."""
        state = make_state(served=False, age=FIRST_REQUEST_SECONDS * 0.9)
        self.assertIs(next_step(state), Step.KEEP)
        state = make_state(served=False, age=FIRST_REQUEST_SECONDS)
        self.assertIs(next_step(state), Step.CLOSE)

    def test_a_part_of_a_request(self) -> None:
        """Guards against a caller with half a request who is told nothing, or told twice."""
        for served in (False, True):
            state = make_state(partial=True, served=served, age=0.0)
            self.assertIs(next_step(state), Step.REFUSE)
            state = make_state(partial=True, served=served, age=0.0, answered=True)
            self.assertIs(next_step(state), Step.LINGER)


class LingerTest(unittest.TestCase):
    """An answered connection is read for a bounded time."""

    def test_a_silent_caller(self) -> None:
        """Guards against an end that waits for callers who neither send nor close."""
        self.assertFalse(has_lingered(10.0, 0.0, 10.0 + LINGER_SECONDS * 0.9))
        self.assertTrue(has_lingered(10.0, 0.0, 10.0 + LINGER_SECONDS * 1.1))

    def test_a_caller_that_still_sends(self) -> None:
        """Guards against a reset under a body that is still being sent, and against an endless
        one."""
        self.assertFalse(has_lingered(10.0, 11.0, 11.0 + LINGER_SECONDS * 0.9))
        now = 10.0 + MAX_LINGER_SECONDS
        self.assertTrue(has_lingered(10.0, now, now))


if __name__ == "__main__":
    unittest.main()
