"""Real entry processes before a store that comes back from copies some seconds old, and in which
another writer leaves items that nobody can read.

The schedule follows from the seed: `python -m tests.store_restored_soak --seed 7 --seeds 50`.
What processes do meanwhile is not replayed, so a fault may need several plays of its seed.
"""

import asyncio
import collections
import pathlib
import random
import sys
import time

from bench.known_since import ProcessTimes, Span, must_know_from
from bench.lost_judge import CallerRequest
from bench.process import Process
from standins.key_value_store import StoreCopy
from tests.endpoint_notices_soak import EndpointNoticesSoak, key_of, run_of
from tests.entry_stops_soak import SERVICE, Connection, Series, main, request_of
from tests.fake_platform import (
    UNREADABLE_ITEMS,
    FakeEndpoint,
    Reply,
    make_configuration,
    read_reply,
)
from wasabidrum.config.deployment import Bounds
from wasabidrum.platform import names

BOUNDS = Bounds()
COPY_SECONDS = 0.5
COPIES = 12
# The store removes a registration that is not renewed for so long.
LAPSE_SECONDS = 3.6
PROBE_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 2.0


class StoreRestoredSoak(EndpointNoticesSoak):
    """Restorations beside stops, suspensions, new configurations and endpoints that leave."""

    broken = ("late_arrivals", "older_answers", "false_answers")

    def __init__(self, seed: int, entries: int, per_second: float, folder: pathlib.Path) -> None:
        super().__init__(seed, entries, per_second, folder)
        self._copies: collections.deque[StoreCopy] = collections.deque(maxlen=COPIES)
        self._away: list[Span] = []
        self._times: dict[str, ProcessTimes] = collections.defaultdict(ProcessTimes)
        # When the store acknowledged each version, that a run of an endpoint leaves, and that its
        # registration was removed.
        self._published_at: dict[int, list[float]] = collections.defaultdict(list)
        self._left_at: dict[str, list[float]] = collections.defaultdict(list)
        self._removed_at: dict[str, list[float]] = collections.defaultdict(list)
        # What each endpoint last wrote, or None once it has left, and the run that wrote it.
        self._registered: dict[str, tuple[str, dict | None]] = {}
        self._configuration: dict = {}
        self._probes = 0
        self.older_answers: list[str] = []
        self.strangers = 0

    def _series(self) -> list[Series]:
        series = [self._play_stops, self._play_changes, self._play_suspensions]
        series += [self._play_leavings, self._play_leavings, self._play_leavings]
        series += [self._play_copies, self._play_restorations, self._play_probes]
        return [*series, self._play_strangers]

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _start(self) -> None:
        await super()._start()
        born = int(time.time() * 1000.0)
        for endpoint in self._fleet.endpoints:
            await self._register(endpoint.id, endpoint.entry(born=born))

    def _notices(self, endpoint: FakeEndpoint, name: str) -> list[str]:
        return []

    def _record_reply(self, connection: Connection, request: CallerRequest, reply: Reply) -> None:
        super()._record_reply(connection, request, reply)
        if reply.status == 200:
            times = self._times[key_of(connection.process)]
            times.served_at = min(times.served_at, self._now)

    async def _change(self, services: int) -> None:
        """Writes the next configuration, which has a service of its own that has no endpoints."""
        if self._fleet.store.fault:
            return
        self._version += 1
        value = make_configuration(self._version, SERVICE, f"probe{self._version}")
        self._configuration = value
        await self._write_configuration()

    async def _write_configuration(self) -> None:
        await self._fleet.store.put(names.CONFIGURATION_KEY, self._configuration)
        self._published_at[self._configuration["version"]].append(self._now)
        self._record_played(f"configuration {self._configuration['version']}")

    async def _play_changes(self, rng: random.Random) -> None:
        while not self._ends:
            await asyncio.sleep(rng.uniform(0.5, 5.0))
            await self._change(0)

    async def _play_leavings(self, rng: random.Random) -> None:
        """Lets endpoints leave, most with a report before they end, and others start."""
        while not self._ends:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            endpoint = rng.choice(self._fleet.endpoints)
            pauses = rng.uniform(3.0, 7.0), rng.uniform(0.0, 2.0)
            reports, same = rng.random() < 0.8, rng.random() < 0.3
            if run_of(endpoint) in self._leaving:
                continue
            self._leaving.add(run_of(endpoint))
            self._record_played(f"{run_of(endpoint)} leaves")
            born = self._registered.get(endpoint.id, ("", None))[1] or {}
            entry = endpoint.entry(state="draining", born=born.get("born", 0)) if reports else None
            await self._register(endpoint.id, entry)
            await asyncio.sleep(pauses[0])
            await endpoint.stop()
            self._fleet.endpoints.remove(endpoint)
            if not same and reports:
                await self._register(endpoint.id, None)
            await asyncio.sleep(pauses[1])
            self._started += 1
            await self._start_endpoint(endpoint.id if same else f"n{self._started}")

    async def _register(self, endpoint_id: str, entry: dict | None) -> None:
        run = self._registered.get(endpoint_id, ("", None))[0]
        if entry is not None:
            run = f"{endpoint_id} {entry['address'].rpartition(':')[2]}"
        self._registered[endpoint_id] = run, entry
        await super()._register(endpoint_id, entry)

    async def _write_registrations(self) -> None:
        written = dict(self._unwritten)
        await super()._write_registrations()
        for endpoint_id, entry in written.items():
            run = self._registered[endpoint_id][0]
            if entry is None:
                self._removed_at[run].append(self._now)
            elif entry["state"] == "draining":
                self._left_at[run].append(self._now)

    async def _play_copies(self, rng: random.Random) -> None:
        while not self._ends:
            if not self._fleet.store.fault:
                self._copies.append(self._fleet.store.copy())
            await asyncio.sleep(COPY_SECONDS)

    async def _play_restorations(self, rng: random.Random) -> None:
        store = self._fleet.store
        while not self._ends:
            await asyncio.sleep(rng.uniform(2.0, 7.0))
            for _ in range(rng.choice((1, 1, 1, 2))):
                copy = rng.choice(self._copies)
                began = self._now
                store.fault = "reset"
                self._record_played("store is away")
                await asyncio.sleep(rng.choice((0.05, 0.3, 1.0, 3.0)))
                await store.restore(copy)
                store.fault = ""
                self._away.append((began, self._now))
                self._record_played(f"store is back at revision {copy.revision}")
                await asyncio.sleep(rng.uniform(0.0, 0.5))
            await self._write_again(rng)

    async def _play_strangers(self, rng: random.Random) -> None:
        """Lets another writer leave items that nobody can read, and remove some of them."""
        while not self._ends:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            key, content = rng.choice(list(UNREADABLE_ITEMS.items()))
            if rng.random() < 0.3:
                await self._fleet.store.delete(key)
            else:
                self.strangers += 1
                self._record_played(f"unreadable {key}")
                await self._fleet.store.put(key, content)

    async def _write_again(self, rng: random.Random) -> None:
        """Writes what the operator and the endpoints had written and the copy lacks."""
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        store = self._fleet.store
        version = self._configuration["version"]
        if not store.holds(names.CONFIGURATION_KEY, self._configuration):
            await self._write_configuration()
        for endpoint_id, (_, entry) in list(self._registered.items()):
            key = names.ENDPOINT_PREFIX + endpoint_id
            if entry is not None and not store.holds(key, entry):
                await super()._register(endpoint_id, entry)
                if entry["state"] == "draining":
                    self._left_at[self._registered[endpoint_id][0]].append(self._now)
        await asyncio.sleep(max(0.0, LAPSE_SECONDS - 0.5))
        for endpoint_id, (_, entry) in list(self._registered.items()):
            if entry is None and names.ENDPOINT_PREFIX + endpoint_id in store.items:
                await store.delete(names.ENDPOINT_PREFIX + endpoint_id)
        self._record_played(f"all is written again, with configuration {version}")

    async def _play_probes(self, rng: random.Random) -> None:
        """Asks each entry for a route that only the newest configuration has."""
        while not self._ends:
            await asyncio.sleep(PROBE_SECONDS)
            await asyncio.gather(*(self._probe(entry.process) for entry in self._entries))

    async def _probe(self, process: Process | None) -> None:
        entry = next((each for each in self._entries if each.process is process), None)
        if process is None or entry is None:
            return
        version, sent_at = self._version, self._now
        self._probes += 1
        content = request_of(f"p{self._probes}", "safe")
        content = content.replace(f"{SERVICE}.example".encode(), b"probe%d.example" % version)
        try:
            reader, writer = await asyncio.open_connection(entry.host, entry.port)
            writer.write(content)
            reply = await asyncio.wait_for(read_reply(reader), PROBE_TIMEOUT_SECONDS)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            # The entry has ended or stands still.
            return
        if reply.status != 404 or self._version != version or entry.process is not process:
            return
        due = self._due_at(key_of(process), self._published_at[version], BOUNDS.configuration)
        if sent_at > due:
            late = f"{key_of(process)} answers as before {version}, {sent_at - due:.2f} s late"
            self.older_answers.append(late)
            self.write_line("older_answer", answer=late)

    def _due_at(self, process: str, acknowledged: list[float], bound: float) -> float:
        times = self._times[process]
        times.suspended = self._leavings.suspended.get(process, [])
        return must_know_from(times, acknowledged, self._away, bound)

    def _figures(self) -> dict[str, object]:
        late = []
        for arrival in self._arrivals:
            # A process that has not seen a run listed cannot tell that it was removed.
            served_at = self._times[arrival.process].served_at
            known = [at for at in self._removed_at[arrival.run] if at >= served_at]
            known += self._left_at[arrival.run]
            due = self._due_at(arrival.process, known, BOUNDS.drain)
            if arrival.sent_at > due:
                late.append(
                    f"{arrival.request} from {arrival.process} at {arrival.run},"
                    f" {arrival.sent_at - due:.2f} s late"
                )
        return super()._figures() | {
            "restorations": len(self._away),
            "leavings": sum(map(bool, (*self._left_at.values(), *self._removed_at.values()))),
            "probes": self._probes,
            "strangers": self.strangers,
            "late_arrivals": late,
            "older_answers": self.older_answers,
        }


if __name__ == "__main__":
    sys.exit(main(StoreRestoredSoak))
