"""Which endpoints the course of attempts takes out of service as slow."""

import asyncio
import unittest

from tests.fake_fleet import FakeFleet, run_with_paused_clock
from wasabidrum.decisions.endpoint_health import Health
from wasabidrum.entry.placement import Placement
from wasabidrum.entry.work_item import Priority, WorkItem

TOKEN_SECONDS = 0.01
STREAMS_EACH = 4
CALM_TOKENS = 100


class SlownessTest(unittest.TestCase):
    """Two engines with streams, which are told of token by token."""

    def play(self, scenario) -> list[Health]:
        """Plays a scenario after a calm second; returns what both engines are taken for."""

        async def work() -> list[Health]:
            fleet = FakeFleet(engines=2, slots=8)
            await fleet.start()
            self.traffic = fleet.traffics[0]
            streams = [
                [self.place(name, other) for _ in range(STREAMS_EACH)]
                for name, other in (("e0", "e1"), ("e1", "e0"))
            ]
            for _ in range(CALM_TOKENS):
                await self.progress(TOKEN_SECONDS, *streams)
            await scenario(*streams)
            fleet.stop()
            return [placements[0].state.health.health for placements in streams]

        return run_with_paused_clock(work())

    def place(self, name: str, other: str) -> Placement:
        """Places a stream at one of the engines, and has it begin."""
        placement = self.traffic.place(self.make_item(), frozenset((other,)))
        self.assertEqual(placement.state.name, name)
        placement.progressed(1)
        return placement

    def make_item(self) -> WorkItem:
        """Returns a request for text."""
        return WorkItem("r", "w", Priority.GENERATE, 2000.0, True, "summaries", "", "", 1000)

    async def progress(self, seconds: float, *streams: list[Placement]) -> None:
        """Has some engines send a token of each stream after some seconds."""
        await asyncio.sleep(seconds)
        for placements in streams:
            for placement in placements:
                placement.progressed(1)
        # A caller comes and goes; the entry looks at its endpoints whenever one does.
        permit = await self.traffic.admit(self.make_item())
        permit.release()

    async def play_slow(self, first: list[Placement], second: list[Placement]) -> None:
        """Has one engine be ten times slower than the other for a second."""
        for _ in range(10):
            for _ in range(9):
                await self.progress(TOKEN_SECONDS, second)
            await self.progress(TOKEN_SECONDS, first, second)

    def test_engines_that_slow_down_together_stay(self) -> None:
        """The machine or the network that all engines share becomes busy, and each sends its
        tokens five times slower from the same moment on. Held against the pace of before, all
        are taken out within milliseconds, and callers are refused although engines answer."""

        async def scenario(first: list[Placement], second: list[Placement]) -> None:
            for _ in range(40):
                await self.progress(5 * TOKEN_SECONDS, first)
                await self.progress(0.006, second)

        self.assertEqual(self.play(scenario), [Health.HEALTHY, Health.HEALTHY])

    def test_one_short_pause_is_no_slowness(self) -> None:
        """An engine pauses for a tenth of a second, as for a long prompt beside its streams,
        and goes on as before. Every stream there tells of the same pause; counted as so many
        slow tokens, the engine loses its share and callers find no room."""

        async def scenario(first: list[Placement], second: list[Placement]) -> None:
            for _ in range(10):
                await self.progress(TOKEN_SECONDS, second)
            await self.progress(0.0, first)
            for _ in range(50):
                await self.progress(TOKEN_SECONDS, first, second)

        self.assertEqual(self.play(scenario), [Health.HEALTHY, Health.HEALTHY])

    def test_the_last_healthy_one_stays(self) -> None:
        """One of two engines is out as slow, and the other becomes slow as well. With nobody
        beside it that is faster, to leave it out turns slow answers into none."""

        async def scenario(first: list[Placement], second: list[Placement]) -> None:
            await self.play_slow(first, second)
            for _ in range(20):
                await self.progress(10 * TOKEN_SECONDS, second)

        self.assertEqual(self.play(scenario), [Health.SLOW, Health.HEALTHY])

    def test_one_that_stays_slow_is_out_within_a_second(self) -> None:
        """One of two engines decodes ten times slower than the other and does not recover.
        Half of all callers wait ten times as long until it is left out."""

        self.assertEqual(self.play(self.play_slow), [Health.SLOW, Health.HEALTHY])


class OwnPauseTest(unittest.TestCase):
    """An entry whose own process stands still while its first requests are in progress."""

    def play(self, notices: bool) -> float:
        """Returns an engine's limit after a pause that the entry notices or does not."""

        async def work() -> float:
            fleet = FakeFleet(engines=2, slots=8)
            await fleet.start()
            traffic = fleet.traffics[0]
            item = WorkItem("r", "w", Priority.GENERATE, 2000.0, True, "summaries", "", "", 1000)
            for _ in range(3):
                placement = traffic.place(item, frozenset(("e1",)))
                await asyncio.sleep(0.01)
                placement.progressed(1)
                placement.ended()
            limit = placement.state.limit
            before = limit.value
            placement = traffic.place(item, frozenset(("e1",)))
            await asyncio.sleep(1.5)
            if notices:
                traffic.record_pause()
            placement.progressed(1)
            fleet.stop()
            return limit.value / before

        return run_with_paused_clock(work())

    def test_an_entrys_own_pause_does_not_cut_the_limits_of_its_endpoints(self) -> None:
        """Guards against refusals as overloaded beside endpoints with room, after a pause."""
        self.assertLess(self.play(notices=False), 1.0)
        self.assertGreaterEqual(self.play(notices=True), 1.0)


if __name__ == "__main__":
    unittest.main()
