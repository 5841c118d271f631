"""Injects failures of all kinds at random times, reproducible from a seed."""

import asyncio
import random
import signal

from .outcomes_caller import OutcomesCaller
from .outcomes_fleet import OutcomesFleet

LINK_FAULTS = (
    {"refuse": True},
    {"stall": True},
    {"delay_seconds": 0.15},
    {"cut_after_bytes": 0},
    {"cut_after_bytes": 700},
    {"cut_after_bytes": 1100},
    {"corrupt_every_bytes": 500},
    {"repeat_requests": True, "repeat_delay_seconds": 0.3},
)
BALANCER_LAG_SECONDS = 0.3


class OutcomesChaos:
    """Injects failures into a fleet.

    Shuffles the list of actions, in which frequent kinds stand several times, and runs all of
    it before it is shuffled again.
    """

    def __init__(self, fleet: OutcomesFleet, caller: OutcomesCaller, seed: int) -> None:
        self._fleet = fleet
        self._caller = caller
        self._random = random.Random(seed)
        self._services = list(fleet.places[1])
        self._engines = list(fleet.places[0])
        self.played: list[str] = []

    async def play(self, shortest_pause: float = 0.2, longest_pause: float = 0.8) -> None:
        """Runs actions until the task is cancelled."""
        actions: list = []
        while True:
            if not actions:
                actions = self._all_actions()
                self._random.shuffle(actions)
            action = actions.pop()
            self.played.append(action.__name__)
            await action()
            await asyncio.sleep(self._random.uniform(shortest_pause, longest_pause))

    def _all_actions(self) -> list:
        return [
            *[self.degrade_link] * 6,
            *[self.restart_service] * 2,
            self.kill_sidecar,
            self.pause_sidecar,
            self.replace_paused_sidecar,
            self.stop_sidecar,
            self.kill_engine,
            self.kill_entry,
            self.stop_entry,
        ]

    async def degrade_link(self) -> None:
        """Injects a fault into the links to one endpoint for a moment, from one or all entries."""
        name = self._random.choice(self._services + self._engines)
        entry = self._random.choice(["", *(entry.name for entry in self._fleet.entries)])
        await self._fleet.inject_link_faults(name, entry, **self._random.choice(LINK_FAULTS))
        await asyncio.sleep(self._random.uniform(0.2, 1.2))
        await self._fleet.inject_link_faults(name)

    async def restart_service(self) -> None:
        """Kills a service process and starts it again on the same port."""
        member = self._fleet.members[self._random.choice(self._services)]
        await member.endpoint.kill()
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        port = str(member.endpoint_port)
        member.endpoint, _ = await self._fleet.start_service(member.name, "--port", port)
        await self.slow_down(member.name)

    async def slow_down(self, name: str) -> None:
        """Slows down a service, so that failures occur while calls are in progress."""
        port = self._fleet.members[name].endpoint_port
        await self._fleet.put_faults(port, delay_seconds=0.01, delay_after_seconds=0.03)

    async def kill_sidecar(self) -> None:
        """Kills a sidecar and replaces it."""
        name = self._random.choice(self._services)
        await self._fleet.members[name].daemon.kill()
        await asyncio.sleep(0.3)
        await self._fleet.replace_sidecar(name)

    async def pause_sidecar(self) -> None:
        """Pauses a sidecar, which resumes with stale state."""
        daemon = self._fleet.members[self._random.choice(self._services)].daemon
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        daemon.send(signal.SIGCONT)

    async def replace_paused_sidecar(self) -> None:
        """Pauses a sidecar, replaces it, and resumes the old one."""
        name = self._random.choice(self._services)
        self._fleet.members[name].daemon.send(signal.SIGSTOP)
        await asyncio.sleep(0.2)
        old = await self._fleet.replace_sidecar(name)
        await asyncio.sleep(self._random.uniform(0.2, 1.0))
        old.daemon.send(signal.SIGCONT)
        await asyncio.sleep(0.5)
        old.daemon.send(signal.SIGTERM)

    async def stop_sidecar(self) -> None:
        """Replaces a sidecar of an engine or a service by a planned stop."""
        name = self._random.choice(self._services + self._engines)
        old = await self._fleet.replace_sidecar(name)
        old.daemon.send(signal.SIGTERM)

    async def kill_engine(self) -> None:
        """Kills an engine with its sidecar and replaces both."""
        name = self._random.choice(self._engines)
        member = self._fleet.members[name]
        await member.endpoint.kill()
        await member.daemon.kill()
        await self._fleet.replace_sidecar(name)

    async def kill_entry(self) -> None:
        """Kills an entry and replaces it."""
        index = self._random.randrange(len(self._fleet.entries))
        await self._fleet.entries[index].daemon.kill()
        await self._replace_entry(index)

    async def stop_entry(self) -> None:
        """Replaces an entry by a planned stop, which the load balancer notices after a delay."""
        index = self._random.randrange(len(self._fleet.entries))
        self._fleet.entries[index].daemon.send(signal.SIGTERM)
        await asyncio.sleep(BALANCER_LAG_SECONDS)
        await self._replace_entry(index)

    async def _replace_entry(self, index: int) -> None:
        live = self._caller.live_entries
        live[:] = [other for other in range(len(self._fleet.entries)) if other != index]
        name = self._fleet.entries[index].name
        self._fleet.entries[index] = await self._fleet.start_listed_entry(name)
        await asyncio.sleep(1.5)
        live[:] = range(len(self._fleet.entries))
