"""Tests of the in-memory buffer of events."""

import unittest

import msgspec

from .event_buffer import EventBuffer


def line(number: int, request: str) -> str:
    """Returns an event line."""
    return msgspec.json.encode({"t": float(number), "request": request}).decode()


class EventBufferTest(unittest.TestCase):
    """Logged events are found by request, and the size stays bounded."""

    def test_finds_a_request_with_its_attempts_and_no_other(self) -> None:
        buffer = EventBuffer()
        for number, request in enumerate(("r1", "r1.a", "r12", "r2", 'r"')):
            buffer.add(line(number, request))
        self.assertEqual([event["t"] for event in buffer.find("r1")], [0.0, 1.0])
        self.assertEqual([event["t"] for event in buffer.find('r"')], [4.0])
        self.assertEqual(buffer.find(""), [])

    def test_the_size_stays_bounded(self) -> None:
        """A caller floods the daemon with requests, each refused with a long reason. Without a
        limit in bytes the daemon would exceed its 32 MB of memory and be killed."""
        buffer = EventBuffer(limit=10_000)
        for number in range(1000):
            buffer.add(line(number, "r" * (number % 300)))
            self.assertLessEqual(buffer.bytes_held, 10_000)
        self.assertGreater(buffer.oldest(), 900.0)
