"""Fake engines that crash, and callers whose requests share parts of their prompts."""

import asyncio
import collections.abc
import contextlib
import dataclasses
from unittest import mock

from tests.fake_platform import (
    FakeEndpoint,
    PlatformFleet,
    ReceivedRequest,
    Reply,
    answer_ok,
    make_configuration,
    reset,
)
from tests.paused_clock import PausedClockCase
from wasabidrum.gateway.entry_peers import EntryPeers
from wasabidrum.platform import names

Handler = collections.abc.Callable[
    [FakeEndpoint, ReceivedRequest, asyncio.StreamWriter], collections.abc.Awaitable[None]
]
SERVICE = "tally"
FIRST_PART = "f1"
CULPRIT = "bad0"
# Parts that a request holds besides the first one and its own.
OTHER_PARTS = ("a1", "a2", "a3")
RUN_SECONDS = 0.3
# From a crash until the registration is gone, and until the engine is back under a new id.
LEASE_SECONDS = 2.0
DOWN_SECONDS = 3.0
STABLE_SECONDS = 3.0
MAX_LATER_ARRIVALS = 3


def parts_of(request: ReceivedRequest) -> list[str]:
    """Returns the ids of the parts of a request's prompt."""
    text = request.headers.get(names.PROMPT_PREFIX.lower(), "")
    return [entry.partition(":")[0] for entry in text.split(",") if entry]


def after_run(handler: Handler) -> Handler:
    """Returns a handler that answers once the request has run."""

    async def run(
        endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(RUN_SECONDS)
        if not writer.is_closing():
            await handler(endpoint, request, writer)

    return run


class CrashingEngines:
    """Engines that crash when they begin an answer to a request with a culprit part.

    Attributes:
      culprits: The parts that crash engines.
      handler: Answers the other requests.
      on_request: What an engine does with a request; serve, unless a test does more.
      crashed_at: When engines crashed, by the event loop's clock.
      arrived_at: When requests with a culprit part reached engines, by the same clock.
      zones: The data centres of the engines, in turn.
      facts: Further fields of their registrations.
      cold_seconds: For how long engines are cold after they have started.
      warm_at: Until when each engine is cold, by id and the same clock.
    """

    def __init__(self, fleet: PlatformFleet) -> None:
        self.culprits = [CULPRIT]
        self.handler = after_run(answer_ok)
        self.on_request: Handler = self.serve
        self.crashed_at: list[float] = []
        self.arrived_at: list[float] = []
        self.zones = ["rift-a"]
        self.facts: dict[str, object] = {}
        self.cold_seconds = 0.0
        self.warm_at: dict[str, float] = {}
        self._fleet = fleet
        self._open: dict[FakeEndpoint, set[asyncio.StreamWriter]] = {}
        self._returning: set[asyncio.Task] = set()
        self._started = 0

    @property
    def running(self) -> list[FakeEndpoint]:
        """The engines that are not down."""
        return list(self._open)

    @property
    def later_arrivals(self) -> int:
        """Requests with the culprit that came from STABLE_SECONDS after the fifth crash on."""
        if len(self.crashed_at) < 5:
            return 0
        return sum(at >= self.crashed_at[4] + STABLE_SECONDS for at in self.arrived_at)

    def culprit_of(self, request: ReceivedRequest) -> str:
        """Returns the part of a request that crashes engines; empty if it has none."""
        return next((part for part in parts_of(request) if part in self.culprits), "")

    async def start(self, count: int) -> None:
        """Starts and registers engines."""
        for _ in range(count):
            self._started += 1
            name = f"e{self._started}"
            zone = self.zones[self._started % len(self.zones)]
            self.warm_at[name] = asyncio.get_running_loop().time() + self.cold_seconds
            facts = self.facts | {"coldRemainingMs": int(self.cold_seconds * 1000.0)}
            endpoint = await self._fleet.add_endpoint(name, SERVICE, zone, **facts)
            endpoint.handler = self.on_request
            self._open[endpoint] = set()
            if self.cold_seconds:
                self._begin(self._register_warm(endpoint))

    def stop(self) -> None:
        """Starts no engine any more."""
        for task in self._returning:
            task.cancel()

    def crash(self, endpoint: FakeEndpoint) -> None:
        """Resets all connections of an engine, which is back after some seconds."""
        writers = self._open.pop(endpoint, None)
        if writers is None:
            return
        self.crashed_at.append(asyncio.get_running_loop().time())
        for writer in writers:
            reset(writer)
        endpoint._server.close()
        self._begin(self._replace(endpoint))

    async def serve(
        self, endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a request, or crashes on it."""
        guilty = bool(self.culprit_of(request))
        if guilty:
            self.arrived_at.append(asyncio.get_running_loop().time())
        if endpoint not in self._open:
            reset(writer)
            return
        self._open[endpoint].add(writer)
        try:
            if guilty:
                await asyncio.sleep(RUN_SECONDS)
                self.crash(endpoint)
            else:
                await self.handler(endpoint, request, writer)
        finally:
            self._open.get(endpoint, set()).discard(writer)

    def _begin(self, work: collections.abc.Coroutine[object, object, None]) -> None:
        task = asyncio.ensure_future(work)
        self._returning.add(task)
        task.add_done_callback(self._returning.discard)

    async def _register_warm(self, endpoint: FakeEndpoint) -> None:
        await asyncio.sleep(self.cold_seconds)
        if endpoint in self._open:
            entry = endpoint.entry(**self.facts)
            await self._fleet.store.put(names.ENDPOINT_PREFIX + endpoint.id, entry)

    async def _replace(self, endpoint: FakeEndpoint) -> None:
        await asyncio.sleep(LEASE_SECONDS)
        await self._fleet.store.delete(names.ENDPOINT_PREFIX + endpoint.id)
        await asyncio.sleep(DOWN_SECONDS - LEASE_SECONDS)
        await self.start(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A sound request that ended.

    Attributes:
      sent_at: When it was sent, by the event loop's clock.
    """

    sent_at: float
    served: bool


class CrashCase(PausedClockCase):
    """Entries before engines that crash, with callers who share parts of their prompts."""

    entries = 3
    engines = 10
    kind = "safe"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(7, SERVICE))
        self.crashes = CrashingEngines(self.fleet)
        await self.crashes.start(self.engines)
        for number in range(self.entries):
            await self.fleet.add_gateway(f"entry-{number}")
        await self.fleet.wait_until(
            lambda: all(g.ready and g.peers.count == self.entries for g in self.fleet.gateways),
            20.0,
        )
        self.asked: list[Asked] = []
        self.culprit_replies: list[Reply] = []
        self._count = 0
        self._asking: set[asyncio.Task] = set()

    async def asyncTearDown(self) -> None:
        self.crashes.stop()
        for task in self._asking:
            task.cancel()
        await asyncio.gather(*self._asking, return_exceptions=True)
        await self.fleet.stop()

    def cut(self, *numbers: int) -> "contextlib.AbstractContextManager":
        """Returns a context in which some entries exchange nothing with any other."""
        real_call = EntryPeers._call
        fleet = self.fleet

        async def call(peers: EntryPeers, address, *args: object, **named: object) -> object:
            away = {fleet.gateways[number].peers.own_address for number in numbers}
            if peers.own_address in away or address in away:
                return None
            return await real_call(peers, address, *args, **named)

        return mock.patch.object(EntryPeers, "_call", call)

    def ask(self, entry: int, guilty: bool, kind: str = "") -> None:
        """Sends one request, no two alike, without waiting for its answer."""
        self._count += 1
        other = OTHER_PARTS[self._count % len(OTHER_PARTS)]
        parts = [FIRST_PART, other, *([CULPRIT] if guilty else []), f"c0ffee{self._count:06x}"]
        task = asyncio.ensure_future(self._ask(entry, kind or self.kind, parts, guilty))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    async def load(
        self, seconds: float, sound: float = 12.0, guilty: float = 0.0, entries: tuple = ()
    ) -> None:
        """Sends requests evenly over some time.

        Args:
          sound: Sound requests a second.
          guilty: Requests with the culprit part a second.
          entries: The numbers of the entries that get the latter; all if empty.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        sent = {True: 0, False: 0}
        while (passed := loop.time() - began) < seconds:
            for is_guilty, rate in ((False, sound), (True, guilty)):
                while sent[is_guilty] < passed * rate:
                    sent[is_guilty] += 1
                    choice = entries if is_guilty and entries else range(self.entries)
                    self.ask(choice[sent[is_guilty] % len(choice)], is_guilty)
            await asyncio.sleep(0.02)

    async def crash_five(self) -> None:
        """Crashes engines with requests that come together at all entries, five at least."""
        for number in range(8):
            self.ask(number % self.entries, guilty=True)
        await self.settle()
        # Where some of these were placed at the same engine, others crash on something else.
        for endpoint in self.crashes.running[: max(0, 5 - len(self.crashes.crashed_at))]:
            self.crashes.crash(endpoint)

    async def settle(self) -> None:
        """Waits for the answers that are due."""
        if self._asking:
            await asyncio.wait(self._asking)

    def served(self, since: float, until: float) -> float:
        """Returns the share of sound requests sent in some time that were served."""
        sent = [asked.served for asked in self.asked if since <= asked.sent_at < until]
        self.assertGreaterEqual(len(sent), 20)
        return sum(sent) / len(sent)

    async def _ask(self, entry: int, kind: str, parts: list[str], guilty: bool) -> None:
        sent_at = asyncio.get_running_loop().time()
        prefix = ",".join(f"{part}:100" for part in parts)
        name = f"r-{parts[-1]}"
        reply = None
        # An entry that starts again refuses connections, or ends them.
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            reply = await self.fleet.ask(
                entry, SERVICE, kind, name, f"{names.PROMPT_PREFIX}: {prefix}", body=name.encode()
            )
        if not guilty:
            self.asked.append(Asked(sent_at, bool(reply and reply.status == 200 and reply.whole)))
        elif reply is not None:
            self.culprit_replies.append(reply)
