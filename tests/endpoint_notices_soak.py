"""Real entry processes before endpoints that say what they want in their answers.

The schedule follows from the seed: `python -m tests.endpoint_notices_soak --seed 7 --seeds 50`.
What processes do meanwhile is not replayed, so a fault may need several plays of its seed.
"""

import asyncio
import collections.abc
import pathlib
import random
import sys
import time

from bench.leaving_judge import Arrival, LeavingJudge
from bench.lost_judge import CallerRequest
from bench.process import Process
from bench.rest_judge import Rest, RestJudge
from tests.entry_stops_soak import Connection, EntryStopsSoak, Series, main
from tests.fake_platform import FakeEndpoint, ReceivedRequest, Reply, response_head
from wasabidrum.config.deployment import Bounds
from wasabidrum.platform import names

LEAVING = "Server-Leaving"
# An endpoint that stops answers what it has read in this time.
ENDING_SECONDS = 0.5


class EndpointNoticesSoak(EntryStopsSoak):
    """Endpoints that leave or want rest and say so in answers, while the store comes and goes."""

    broken = ("late_arrivals", "disturbed_rests", "false_answers")

    def __init__(self, seed: int, entries: int, per_second: float, folder: pathlib.Path) -> None:
        super().__init__(seed, entries, per_second, folder)
        self._leavings = LeavingJudge(Bounds().drain)
        self._rests = RestJudge()
        self._arrivals: list[Arrival] = []
        # The seconds of rest that each resting run asks for.
        self._resting: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._started = 0
        # The process that a request was sent to, and when.
        self._sent: dict[str, tuple[Process, float]] = {}
        # Requests that were answered with the notice, and by which run.
        self._told: dict[str, str] = {}
        # Registrations that wait for the store.
        self._unwritten: dict[str, dict | None] = {}

    def _series(self) -> list[Series]:
        series = [self._play_stops, self._play_changes, self._play_reloads, self._play_outages]
        series += [self._play_suspensions, self._play_leavings, self._play_leavings]
        return [*series, self._play_rests, self._play_rests]

    async def _ask(self, connection: Connection) -> bool:
        self._sent[f"r{self._asked + 1}"] = connection.process, asyncio.get_running_loop().time()
        return await super()._ask(connection)

    async def _answer(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        name = request.headers[names.REQUEST_ID.lower()]
        process, sent_at = self._sent[name.partition("-")[0]]
        now = asyncio.get_running_loop().time()
        run = run_of(endpoint)
        self._arrivals.append(Arrival(name, key_of(process), run, sent_at, now))
        self._rests.record_arrival(key_of(process), run, now)
        seconds = self._resting.get(run)
        if seconds is None:
            await super()._answer(endpoint, request, writer)
            return
        lines = [f"{LEAVING}: 1"] * (run in self._leaving)
        lines += [f"{names.NOT_EXECUTED}: 1", f"{names.RETRY_AFTER}: {seconds}"]
        lines.append("Content-Length: 0")
        writer.write(response_head(request, endpoint, "503 Full", *lines))
        self._rests.rests.append(Rest(key_of(process), run, now, float(seconds)))

    def _notices(self, endpoint: FakeEndpoint, name: str) -> list[str]:
        run = run_of(endpoint)
        if run not in self._leaving:
            return []
        self._told[name] = run
        return [f"{LEAVING}: 1"]

    def _record_reply(self, connection: Connection, request: CallerRequest, reply: Reply) -> None:
        super()._record_reply(connection, request, reply)
        run = self._told.get(request.name)
        if run is not None and reply.status == 200:
            self._leavings.record_passed_on(key_of(connection.process), run, request.ended_at)

    async def _play_leavings(self, rng: random.Random) -> None:
        """Lets endpoints announce that they leave, end some seconds later, and come back."""
        while not self._ends:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            endpoint = rng.choice(self._fleet.endpoints)
            registers = rng.random() < 0.5
            pauses = rng.uniform(0.5, 3.0), rng.uniform(3.0, 7.0), rng.uniform(0.0, 2.0)
            same = rng.random() < 0.5
            if run_of(endpoint) in self._leaving:
                continue
            self._leaving.add(run_of(endpoint))
            self._record_played(f"{run_of(endpoint)} leaves")
            await asyncio.sleep(pauses[0])
            if registers:
                await self._register(endpoint.id, endpoint.entry(state="draining"))
            await asyncio.sleep(pauses[1])
            await endpoint.stop()
            self._fleet.endpoints.remove(endpoint)
            await asyncio.sleep(ENDING_SECONDS)
            if not same:
                await self._register(endpoint.id, None)
            await asyncio.sleep(pauses[2])
            self._started += 1
            await self._start_endpoint(endpoint.id if same else f"n{self._started}")

    async def _play_rests(self, rng: random.Random) -> None:
        """Lets endpoints turn all requests away for some time, and ask for rest."""
        while not self._ends:
            await asyncio.sleep(rng.uniform(0.2, 3.0))
            endpoint = rng.choice(self._fleet.endpoints)
            seconds = rng.choice((1, 3, 3, 5))
            lasting = rng.uniform(0.1, 1.5)
            if run_of(endpoint) in self._resting:
                continue
            self._resting[run_of(endpoint)] = seconds
            self._record_played(f"{run_of(endpoint)} asks for {seconds} s of rest")
            await asyncio.sleep(lasting)
            del self._resting[run_of(endpoint)]

    async def _start_endpoint(self, endpoint_id: str) -> None:
        endpoint = FakeEndpoint(endpoint_id, self._fleet.endpoints[0].service)
        endpoint.handler = self._answer
        await endpoint.start()
        self._fleet.endpoints.append(endpoint)
        self._record_played(f"{run_of(endpoint)} starts")
        born = int(time.time() * 1000.0)
        await self._register(endpoint_id, endpoint.entry(born=born))

    async def _register(self, endpoint_id: str, entry: dict | None) -> None:
        """Writes or removes a registration, or remembers that while the store is away."""
        self._unwritten[endpoint_id] = entry
        if not self._fleet.store.fault:
            await self._write_registrations()

    async def _write_registrations(self) -> None:
        while self._unwritten:
            endpoint_id, entry = self._unwritten.popitem()
            key = names.ENDPOINT_PREFIX + endpoint_id
            if entry is None:
                await self._fleet.store.delete(key)
            else:
                await self._fleet.store.put(key, entry)

    async def _change(self, services: int) -> None:
        if not self._fleet.store.fault:
            await super()._change(services)

    async def _play_outages(self, rng: random.Random) -> None:
        store = self._fleet.store
        while not self._ends:
            await asyncio.sleep(rng.uniform(1.0, 5.0))
            store.fault = "busy"
            self._record_played("store is away")
            await asyncio.sleep(rng.uniform(1.0, 9.0))
            store.fault = ""
            self._record_played("store is back")
            # Entries may read the list before endpoints have written what is due.
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            await self._write_registrations()

    async def _play_suspensions(self, rng: random.Random) -> None:
        while not self._ends:
            await asyncio.sleep(rng.uniform(2.0, 6.0))
            entry = rng.choice(self._entries)
            seconds = rng.uniform(0.2, 3.0)
            process = entry.process
            if process is None or not process.alive:
                continue
            self._record_played(f"suspend {entry.name} for {seconds:.2f}")
            began = asyncio.get_running_loop().time()
            await entry.suspend(seconds)
            span = began, asyncio.get_running_loop().time()
            for judge in (self._leavings, self._rests):
                judge.suspended.setdefault(key_of(process), []).append(span)

    def _figures(self) -> dict[str, object]:
        late = self._leavings.late_arrivals(self._arrivals)
        return super()._figures() | {
            "leavings_passed_on": self._leavings.count,
            "late_arrivals": list(describe_late(late)),
            "rests": len(self._rests.rests),
            "disturbed_rests": [
                f"{rest} {number}" for rest, number in self._rests.disturbed_rests()
            ],
        }


def key_of(process: Process) -> str:
    """Returns what identifies a process of an entry."""
    return f"{process.name} {process.pid}"


def run_of(endpoint: FakeEndpoint) -> str:
    """Returns what identifies a run of an endpoint, which has a port of its own."""
    return f"{endpoint.id} {endpoint.port}"


def describe_late(late: list[tuple[float, Arrival]]) -> collections.abc.Iterator[str]:
    """Yields a line for each arrival at an endpoint that had said that it leaves."""
    for seconds, arrival in late:
        yield f"{arrival.request} from {arrival.process} at {arrival.run} after {seconds:.2f} s"


if __name__ == "__main__":
    sys.exit(main(EndpointNoticesSoak))
