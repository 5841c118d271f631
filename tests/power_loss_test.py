"""All machines lose power; the store lists engines as they were, and they come back empty."""

import asyncio

from tests.fake_engines import EngineFleet, FakeStagingEngine
from tests.paused_clock import PausedClockCase

RECOVERY_SECONDS = 12.0
DOWN_SECONDS = 1.2
# Model engines take longer to start than daemons.
ENGINE_START_SECONDS = 1.2


class PowerLossTest(PausedClockCase):
    """Engines that hold a version, and entries of their region."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = EngineFleet()
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        for _ in range(3):
            await self.fleet.add_engine(1)
        await self.fleet.name_version(1)

    async def lose_power(self, entries: int, registered_after: float) -> None:
        """Ends all processes, and starts them again with nothing, the engines last.

        Args:
          entries: The number of entries that start again.
          registered_after: The seconds after its start in which an engine is registered anew.
        """
        for entry in list(self.fleet.entries):
            await self.fleet.end_entry(entry)
        for sidecar in self.fleet.sidecars:
            await sidecar.stop()
        for engine in self.fleet.engines:
            engine.stop()
            engine.version, engine.staged = 0, {}
        await asyncio.sleep(DOWN_SECONDS)
        for _ in range(entries):
            await self.fleet.add_entry()
        engines = self.fleet.engines
        self.fleet.sidecars = [await self.fleet.start_sidecar(engine) for engine in engines]
        await asyncio.gather(*(self.start_engine(e, registered_after) for e in engines))

    async def start_engine(self, engine: FakeStagingEngine, registered_after: float) -> None:
        """Starts an engine, and registers it after some time."""
        await asyncio.sleep(ENGINE_START_SECONDS)
        engine.listen()
        register = asyncio.ensure_future(self.register_later(engine, registered_after))
        self.addCleanup(register.cancel)

    async def register_later(self, engine: FakeStagingEngine, seconds: float) -> None:
        """Registers an engine after some time."""
        await asyncio.sleep(seconds)
        await self.fleet.register(engine)

    async def check_recovers(self) -> None:
        """Checks that all engines have their weights in time."""
        async with asyncio.timeout(RECOVERY_SECONDS):
            while not all(engine.serves(1) for engine in self.fleet.engines):
                await asyncio.sleep(0.02)
        self.assertEqual([engine.wrong_loads for engine in self.fleet.engines], [0] * 3)

    async def test_engines_that_register_after_entries_have_read_the_list(self) -> None:
        """Guards against entries and sidecars that wait for each other's pieces for good."""
        for _ in range(3):
            await self.fleet.add_entry()
        await asyncio.sleep(3.0)
        await self.lose_power(entries=3, registered_after=0.0)
        await self.check_recovers()

    async def test_engines_that_stay_listed_as_they_were(self) -> None:
        """Guards against entries that wait for engines for as long as a list is out of date."""
        for _ in range(2):
            await self.fleet.add_entry()
        await asyncio.sleep(3.0)
        await self.lose_power(entries=2, registered_after=3600.0)
        await self.check_recovers()

    async def test_sidecars_without_entries(self) -> None:
        """Guards against sidecars that wait for each other, as the list names all as holders."""
        await asyncio.sleep(3.0)
        await self.lose_power(entries=0, registered_after=3600.0)
        await self.check_recovers()
