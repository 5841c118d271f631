"""Replays long prompts among short ones against the memory of an engine."""

import random
import unittest

from tornado import httputil

from ..core.published import EngineFigures
from ..core.request_head import RequestHead
from .endpoint_load import EndpointLoad
from .engine_memory import fits, has_room

FIGURES = EngineFigures(slots=12, memory_tokens=40_000, usual_prompt=1330.0, usual_answer=147.0)


def head(prompt: int, maximum: int = 200) -> RequestHead:
    """Returns the head of a request of some size in tokens."""
    return RequestHead("POST", "/", "h", "r", None, "", prompt, maximum, "", httputil.HTTPHeaders())


class EngineMemoryTest(unittest.TestCase):
    """An engine of twelve slots, whose memory holds two of the long prompts."""

    def setUp(self) -> None:
        self.load = EndpointLoad(random.Random(1))

    def has_room(self, prompt: int) -> bool:
        """Returns whether a request has room, a moment after the last was placed."""
        return has_room(FIGURES, self.load, head(prompt), 1.0)

    def test_request_that_never_fits(self) -> None:
        """Guards against a request that waits in vain at an engine, with its place taken."""
        self.assertFalse(fits(FIGURES, head(39_000, 1001)))
        self.assertTrue(fits(FIGURES, head(39_000, 1000)))
        self.assertTrue(fits(EngineFigures(), head(10**6)))

    def test_long_prompts_fill_the_memory_before_the_slots(self) -> None:
        """Guards against a third long prompt that is sent behind two, with ten slots free."""
        for _ in range(2):
            self.assertTrue(self.has_room(19_000))
            self.load.record_placed(19_000, 0.0)
        self.assertFalse(self.has_room(19_000))
        self.load.record_first_event(19_000, 0.5)
        self.assertFalse(self.has_room(19_000))
        self.load.record_ended(19_000, True)
        self.assertTrue(self.has_room(19_000))

    def test_requests_of_usual_size_use_all_slots(self) -> None:
        """Guards against slots that stay free because of answers that could be long."""
        for _ in range(12):
            self.assertTrue(has_room(FIGURES, self.load, head(1330, 30_000), 1.0))
            self.load.record_placed(1330, 0.0)

    def test_requests_of_other_entries_count(self) -> None:
        self.load.record_report(running=11, queued=0, pace=1.0, now=1.0)
        self.assertTrue(self.has_room(1330))
        self.assertFalse(self.has_room(30_000))

    def test_engine_that_runs_nothing_has_room_for_what_fits(self) -> None:
        """Guards against a large request that is refused for ever though it fits."""
        self.assertTrue(self.has_room(39_900))


if __name__ == "__main__":
    unittest.main()
