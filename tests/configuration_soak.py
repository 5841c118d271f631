"""Real entry processes under series of configurations, of which none stops.

Configurations change routes, keys, time-outs, limits and services under load, some large, and
some processes stand still for moments. Every whole request must get an answer or a refusal, and no
connection may be closed. `python -m tests.configuration_soak --seed 7 --seeds 20 --entries 5`
"""

import argparse
import asyncio
import json
import pathlib
import random
import sys

from bench.lost_judge import CallerRequest, LostJudge
from bench.process import ROOT
from tests.entry_soak import SERVICE, Entry
from tests.entry_stops_soak import (
    GRACE_SECONDS,
    MAX_LATE_SECONDS,
    SMALLEST_LOAD_TO_JUDGE,
    Connection,
    EntryStopsSoak,
    Series,
    play_soak,
)
from tests.fake_platform import FakeEndpoint, ReceivedRequest, Reply, make_configuration
from wasabidrum.platform import names

OTHER_SERVICE = "other"
OTHER_ENDPOINTS = 2
# The first one is never revoked.
KEYS = ("key-1", "key-2")
# The shortest time that routes have; a request that has taken less may not be cut.
SHORT_TIMEOUT_MS = 900
MOST_CHANGES_AT_ONCE = 3
STORM_INTERVAL_SECONDS = 0.05
SHORTEST_STILL_SECONDS = 0.1
LONGEST_STILL_SECONDS = 0.4
# Statuses that promise that a request has not run.
REFUSAL_STATUSES = (408, 421, 429, 503)
# No entry stops, so that none closes a connection, or leaves one unanswered.
UNANSWERED_ENDS = ("overdue", "crossed", "ended_half", "refused_connections", "reset_connects")
LEAST_CONFIGURATIONS = 5


class KeyedWriter:
    """Sends a caller's requests with an API key."""

    def __init__(self, writer: asyncio.StreamWriter, key: str) -> None:
        self.key = key
        self._writer = writer
        self._line = f"\r\nAuthorization: Bearer {key}\r\n\r\n".encode()

    @property
    def transport(self) -> asyncio.Transport:
        """The connection's transport."""
        return self._writer.transport

    def write(self, content: bytes) -> None:
        """Sends a part of a request; its head comes in one part."""
        self._writer.write(content.replace(b"\r\n\r\n", self._line, 1))

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


class ConfigurationSoak(EntryStopsSoak):
    """Plays one schedule of configurations, and judges how callers' requests ended."""

    broken = (*EntryStopsSoak.broken, "denied", "unanswered")

    def __init__(self, seed: int, entries: int, per_second: float, folder: pathlib.Path) -> None:
        super().__init__(seed, entries, per_second, folder)
        self._judge = LostJudge(SHORT_TIMEOUT_MS / 1000.0, GRACE_SECONDS)
        self._not_run: set[str] = set()
        self._others: list[FakeEndpoint] = []
        self._denied: list[str] = []

    async def _start(self) -> None:
        await super()._start()
        for number in range(OTHER_ENDPOINTS):
            endpoint = await self._fleet.add_endpoint(f"o{number}", OTHER_SERVICE)
            endpoint.handler = self._answer
            self._others.append(endpoint)

    def _series(self) -> list[Series]:
        stills = [self._play_stills] * max(1, self._count // 3)
        return [self._play_changes, self._play_storms, self._play_reloads, *stills]

    async def _connect(self, entry: Entry) -> Connection | None:
        connection = await super()._connect(entry)
        if connection is not None:
            connection.writer = KeyedWriter(connection.writer, self._rng.choice(KEYS))
        return connection

    async def _answer(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        name = request.headers[names.REQUEST_ID.lower()]
        if request.body != name.encode():
            self.false_answers.append(f"{name} was passed on with {request.body!r}")
        await super()._answer(endpoint, request, writer)

    def _record_reply(self, connection: Connection, request: CallerRequest, reply: Reply) -> None:
        super()._record_reply(connection, request, reply)
        if reply.status in REFUSAL_STATUSES and request.name.endswith("-unsafe"):
            self._not_run.add(request.name)
        allowed = {*REFUSAL_STATUSES, 413}
        if not request.name.endswith("-safe") or connection.writer.key != KEYS[0]:
            allowed |= {401, 404}
        if 400 <= reply.status < 500 and reply.status not in allowed:
            self._denied.append(f"{request.name} {reply.status}")

    async def _play_storms(self, rng: random.Random) -> None:
        while not self._ends:
            await asyncio.sleep(rng.uniform(0.5, 3.0))
            for _ in range(rng.randint(10, 40)):
                await self._change(0)
                await asyncio.sleep(STORM_INTERVAL_SECONDS)

    async def _play_stills(self, rng: random.Random) -> None:
        """Lets entries stand still for a moment, one after the other."""
        while not self._ends:
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            entry = rng.choice(self._entries)
            seconds = rng.uniform(SHORTEST_STILL_SECONDS, LONGEST_STILL_SECONDS)
            self._record_played(f"{entry.name} stands still for {seconds:.2f} s")
            spans, loop = self._suspended[entry.process], asyncio.get_running_loop()
            spans.append((loop.time(), float("inf")))
            place = len(spans) - 1
            await entry.suspend(seconds)
            spans[place] = spans[place][0], loop.time()

    async def _change(self, services: int) -> None:
        """Writes the next configuration, which changes some of what callers rely on."""
        self._version += 1
        # Drawn by version, so that a seed has the same configurations whatever their series do.
        rng = random.Random(f"{self._seed} configuration {self._version}")
        others = (f"more{number}" for number in range(services))
        value = make_configuration(self._version, SERVICE, OTHER_SERVICE, *others, tenants=True)
        value["tenants"][0]["apiKeys"] = list(KEYS)
        changes = rng.sample(CHANGES, rng.randint(0, MOST_CHANGES_AT_ONCE)) if self._others else []
        drops = drop_service in changes
        for change in changes:
            if not drops or change is not move_routes:
                change(value)
        if not drops:
            await self._list_others()
        await self._fleet.store.put(names.CONFIGURATION_KEY, value)
        if drops:
            for endpoint in self._others:
                await self._fleet.store.delete(names.ENDPOINT_PREFIX + endpoint.id)
        played = [change.__name__ for change in changes]
        self._record_played(f"configuration {self._version}, {services} services more, {played}")

    async def _list_others(self) -> None:
        """Lists the endpoints of the other service again where they are not listed."""
        for endpoint in self._others:
            key = names.ENDPOINT_PREFIX + endpoint.id
            if not self._fleet.store.holds(key, endpoint.entry()):
                await self._fleet.store.put(key, endpoint.entry())

    def _figures(self) -> dict[str, object]:
        self.false_answers += [f"{name} ran" for name in self._not_run & self._arrived]
        unanswered = {end: self.counts[end] for end in UNANSWERED_ENDS if self.counts[end]}
        more = {"denied": self._denied, "unanswered": unanswered, "configurations": self._version}
        return super()._figures() | more


def take_routes(configuration: dict) -> None:
    """Removes the routes to the service, except for those that are safe."""
    configuration["routes"] = [
        r for r in configuration["routes"] if r["service"] != SERVICE or r["type"] == "safe"
    ]


def revoke_key(configuration: dict) -> None:
    """Revokes the second key."""
    configuration["tenants"][0]["apiKeys"] = [KEYS[0]]


def shorten_times(configuration: dict) -> None:
    """Shortens all times for which callers may wait or be waited for."""
    configuration["limits"] |= {"headerTimeoutMs": 1, "idleTimeoutMs": 1}
    for route in configuration["routes"]:
        route["timeoutMs"] = SHORT_TIMEOUT_MS


def lower_limits(configuration: dict) -> None:
    """Allows only small requests."""
    configuration["limits"] |= {"maxBodyBytes": 5, "maxHeaderBytes": 100}


def move_routes(configuration: dict) -> None:
    """Moves the routes to the other service."""
    for route in configuration["routes"]:
        if route["service"] == SERVICE:
            route["service"] = OTHER_SERVICE


def drop_service(configuration: dict) -> None:
    """Removes the other service and its routes."""
    for part, key in (("routes", "service"), ("services", "name")):
        configuration[part] = [each for each in configuration[part] if each[key] != OTHER_SERVICE]


CHANGES = (take_routes, revoke_key, shorten_times, lower_limits, move_routes, drop_service)


def broken_promises(figures: dict[str, object]) -> list[str]:
    """Returns the names of the figures that violate a guarantee, or that play too little."""
    broken = [name for name in ConfigurationSoak.broken if figures[name]]
    if figures["statuses"].get(200, 0) < SMALLEST_LOAD_TO_JUDGE:
        broken.append("served")
    if figures["configurations"] < LEAST_CONFIGURATIONS:
        broken.append("configurations")
    if figures["late_loop"] > MAX_LATE_SECONDS:
        broken.append("late_loop")
    return broken


def main() -> int:
    """Runs schedules one after the other; returns 1 if one violated a guarantee."""
    parser = argparse.ArgumentParser(description=ConfigurationSoak.__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--entries", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--per-second", type=float, default=100.0, help="requests of all callers")
    parser.add_argument("--root", type=pathlib.Path, default=ROOT, help="checkout of the entries")
    options = parser.parse_args()
    red = 0
    for seed in range(options.seed, options.seed + options.seeds):
        playing = play_soak(
            seed,
            options.entries,
            options.seconds,
            options.per_second,
            kind=ConfigurationSoak,
            root=options.root.resolve(),
        )
        figures, played = asyncio.run(playing)
        broken = broken_promises(figures)
        red += bool(broken)
        if broken:
            print("\n".join(played))
        print(json.dumps({"seed": seed, "broken": broken} | figures), flush=True)
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
