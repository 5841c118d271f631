"""Whole events out of bytes that come in any pieces."""

import unittest

import hypothesis
from hypothesis import strategies

from .event_stream import LONGEST_EVENT_BYTES, EventStream

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)


class EventStreamTest(unittest.TestCase):
    """One stream."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 40), min_size=1, max_size=8),
        strategies.lists(strategies.integers(1, 30), max_size=30),
    )
    def test_cuts_anywhere_change_nothing(self, sizes: list[int], cuts: list[int]) -> None:
        content = b"".join(
            b"id: %d\ndata: %s\n\n" % (number, b"x" * size) for number, size in enumerate(sizes)
        )
        stream = EventStream()
        passed, count, last, start = b"", 0, "", 0
        for end in [*(sum(cuts[: i + 1]) for i in range(len(cuts))), len(content)]:
            events = stream.take(content[start:end])
            start = max(start, end)
            self.assertTrue(not events.content or events.content.endswith(b"\n\n"))
            passed += events.content
            count += events.count
            last = events.last_id or last
        self.assertEqual((passed, count), (content, len(sizes)))
        self.assertEqual(last, str(len(sizes) - 1))
        self.assertFalse(stream.incomplete)

    def test_half_an_event_is_held_back(self) -> None:
        """An endpoint dies in the middle of an event, and another goes on after the last
        whole one. Had the half been passed on, the caller would read one event that is made
        of two, with words of it missing or twice."""
        stream = EventStream()
        events = stream.take(b"id: 1\ndata: a\n\nid: 2\ndata: b")
        self.assertEqual((events.content, events.last_id), (b"id: 1\ndata: a\n\n", "1"))
        self.assertTrue(stream.incomplete)

    def test_an_event_without_end_is_an_error(self) -> None:
        stream = EventStream()
        with self.assertRaises(ValueError):
            stream.take(b"x" * (LONGEST_EVENT_BYTES + 1))
