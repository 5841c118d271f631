"""Splitting of event streams that arrive in arbitrary pieces."""

import unittest

import hypothesis
from hypothesis import strategies

from .event_stream import MAX_EVENT_BYTES, EventStreamBuffer

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)


class EventStreamBufferTest(unittest.TestCase):
    """Tests of EventStreamBuffer."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 40), min_size=1, max_size=8),
        strategies.lists(strategies.integers(1, 30), max_size=30),
    )
    def test_result_does_not_depend_on_chunk_boundaries(
        self, sizes: list[int], cuts: list[int]
    ) -> None:
        content = b"".join(
            b"id: %d\ndata: %s\n\n" % (number, b"x" * size) for number, size in enumerate(sizes)
        )
        buffer = EventStreamBuffer()
        passed, count, last, start = b"", 0, "", 0
        for end in [*(sum(cuts[: i + 1]) for i in range(len(cuts))), len(content)]:
            events = buffer.feed(content[start:end])
            start = max(start, end)
            self.assertTrue(not events.content or events.content.endswith(b"\n\n"))
            passed += events.content
            count += events.count
            last = events.last_event_id or last
        self.assertEqual((passed, count), (content, len(sizes)))
        self.assertEqual(last, str(len(sizes) - 1))
        self.assertFalse(buffer.incomplete)

    def test_partial_event_is_held_back(self) -> None:
        """An endpoint fails in the middle of an event, and another resumes the stream after the
        last complete event. If the partial event were passed on, the caller would parse it and
        the next event as one, with words missing or repeated."""
        buffer = EventStreamBuffer()
        events = buffer.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b")
        self.assertEqual((events.content, events.last_event_id), (b"id: 1\ndata: a\n\n", "1"))
        self.assertTrue(buffer.incomplete)

    def test_event_without_end_is_an_error(self) -> None:
        buffer = EventStreamBuffer()
        with self.assertRaises(ValueError):
            buffer.feed(b"x" * (MAX_EVENT_BYTES + 1))
