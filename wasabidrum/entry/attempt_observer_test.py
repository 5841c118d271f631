"""Tests which endpoints are ejected as slow, and what a pause of the entry itself changes."""

import asyncio
import unittest

from tests.fake_fleet import FakeFleet, run_with_paused_clock
from wasabidrum.decisions.endpoint_health import Health
from wasabidrum.entry.placement import Placement
from wasabidrum.entry.work_item import Priority, WorkItem

TOKEN_SECONDS = 0.01
STREAMS_EACH = 4
STEADY_TOKENS = 100


class SlownessTest(unittest.TestCase):
    """Two engines with several streams each, whose tokens arrive one by one."""

    def run_scenario(self, scenario) -> list[Health]:
        """Runs a scenario after one second at a steady pace; returns the health of both engines."""

        async def work() -> list[Health]:
            fleet = FakeFleet(engines=2, slots=8)
            await fleet.start()
            self.scheduler = fleet.schedulers[0]
            streams = [
                [self.place(name, other) for _ in range(STREAMS_EACH)]
                for name, other in (("e0", "e1"), ("e1", "e0"))
            ]
            for _ in range(STEADY_TOKENS):
                await self.progress(TOKEN_SECONDS, *streams)
            await scenario(*streams)
            fleet.stop()
            return [placements[0].state.health.health for placements in streams]

        return run_with_paused_clock(work())

    def place(self, name: str, other: str) -> Placement:
        """Places a stream at one of the engines and reports its first token."""
        placement = self.scheduler.place(self.make_item(), frozenset((other,)))
        self.assertEqual(placement.state.name, name)
        placement.record_tokens(1)
        return placement

    def make_item(self) -> WorkItem:
        """Returns a model request."""
        return WorkItem("r", "w", Priority.GENERATE, 2000.0, True, "summaries", "", "", 1000)

    async def progress(self, seconds: float, *streams: list[Placement]) -> None:
        """After some seconds, reports one token of each stream of the given engines."""
        await asyncio.sleep(seconds)
        for placements in streams:
            for placement in placements:
                placement.record_tokens(1)
        # The entry refreshes its view of the endpoints whenever a request is admitted.
        permit = await self.scheduler.admit(self.make_item())
        permit.release()

    async def slow_down_first(self, first: list[Placement], second: list[Placement]) -> None:
        """Makes the first engine ten times slower than the second one for about a second."""
        for _ in range(10):
            for _ in range(9):
                await self.progress(TOKEN_SECONDS, second)
            await self.progress(TOKEN_SECONDS, first, second)

    def test_engines_that_slow_down_together_are_not_ejected(self) -> None:
        """The machine or network that all engines share becomes busy, and all of them send tokens
        five times more slowly from the same moment on. Compared with the earlier pace, all would
        be ejected within milliseconds, and callers refused although the engines answer."""

        async def scenario(first: list[Placement], second: list[Placement]) -> None:
            for _ in range(40):
                await self.progress(5 * TOKEN_SECONDS, first)
                await self.progress(0.006, second)

        self.assertEqual(self.run_scenario(scenario), [Health.HEALTHY, Health.HEALTHY])

    def test_short_pause_is_not_slowness(self) -> None:
        """An engine pauses for 0.1 s, as for a long prompt, and continues at its old pace. All of
        its streams see the same pause. Counted as that many slow tokens, it would eject the engine
        and leave callers without room."""

        async def scenario(first: list[Placement], second: list[Placement]) -> None:
            for _ in range(10):
                await self.progress(TOKEN_SECONDS, second)
            await self.progress(0.0, first)
            for _ in range(50):
                await self.progress(TOKEN_SECONDS, first, second)

        self.assertEqual(self.run_scenario(scenario), [Health.HEALTHY, Health.HEALTHY])

    def test_last_healthy_endpoint_stays(self) -> None:
        """One of two engines has been ejected as slow, and the other one slows down as well.
        Without a faster peer, ejecting it would turn slow answers into none."""

        async def scenario(first: list[Placement], second: list[Placement]) -> None:
            await self.slow_down_first(first, second)
            for _ in range(20):
                await self.progress(10 * TOKEN_SECONDS, second)

        self.assertEqual(self.run_scenario(scenario), [Health.SLOW, Health.HEALTHY])

    def test_persistently_slow_endpoint_is_ejected_within_a_second(self) -> None:
        """One of two engines decodes ten times more slowly and does not recover. Half of all
        callers wait ten times as long until it is ejected."""

        self.assertEqual(self.run_scenario(self.slow_down_first), [Health.SLOW, Health.HEALTHY])


class OwnPauseTest(unittest.TestCase):
    """An entry whose own process is paused while its first requests are in progress."""

    def measure_limit_ratio(self, detected: bool) -> float:
        """Returns an engine's limit after a pause, relative to the limit before it.

        Args:
          detected: Whether the entry detects its pause.
        """

        async def work() -> float:
            fleet = FakeFleet(engines=2, slots=8)
            await fleet.start()
            scheduler = fleet.schedulers[0]
            item = WorkItem("r", "w", Priority.GENERATE, 2000.0, True, "summaries", "", "", 1000)
            for _ in range(3):
                placement = scheduler.place(item, frozenset(("e1",)))
                await asyncio.sleep(0.01)
                placement.record_tokens(1)
                placement.end()
            limit = placement.state.limit
            before = limit.value
            placement = scheduler.place(item, frozenset(("e1",)))
            await asyncio.sleep(1.5)
            if detected:
                scheduler.record_pause()
            placement.record_tokens(1)
            fleet.stop()
            return limit.value / before

        return run_with_paused_clock(work())

    def test_own_pause_does_not_cut_endpoint_limits(self) -> None:
        """After a pause, callers were refused as overloaded although endpoints had room."""
        self.assertLess(self.measure_limit_ratio(detected=False), 1.0)
        self.assertGreaterEqual(self.measure_limit_ratio(detected=True), 1.0)


if __name__ == "__main__":
    unittest.main()
