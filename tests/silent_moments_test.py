"""Sound endpoints that fall silent for up to one and a half seconds, and then go on.

Requests of all kinds are sent before, in and after the silence, so that it meets each of their
phases: unread, read, begun, in the middle of an answer, and complete.
"""

import asyncio
import collections.abc
import dataclasses
import unittest

from tests.fake_platform import (
    FakeEndpoint,
    PlatformFleet,
    ReceivedRequest,
    Reply,
    make_configuration,
    refuse,
    response_head,
    run_and_reset,
)
from tests.paused_clock import PausedClockCase
from wasabidrum.config.deployment import Bounds
from wasabidrum.decisions.endpoint_health import Health
from wasabidrum.platform import names

MODEL = "m1"
ENGINES = "text"
PLAIN = "tally"
# Its answers take so little time that a moment's silence is told from them.
QUICK = "lookup"
SERVICES = (ENGINES, PLAIN, QUICK)
SLOTS = 64
ENDPOINTS = 3
SILENT_SECONDS = 1.5
EVENTS = 8
EVENT_SECONDS = 0.1
# Between two parts of an answer that isn't streamed.
PART_SECONDS = {PLAIN: 0.12, QUICK: 0.01}
# Routes and callers allow so much.
TIMEOUT_SECONDS = 6.0
# Callers leave a stream after such a pause.
PAUSE_LIMIT_SECONDS = 3.2
# The silence begins in the middle of the requests.
SILENT_AT_SECONDS = 1.0
LAST_SENT_SECONDS = 3.0
BETWEEN_SECONDS = 0.07
# Of each kind, that reach endpoints just before the silence, and again just after its beginning.
MANY = 4
MOMENT_SECONDS = 0.005
BOUNDS = Bounds(version=4.0, retry_fraction=0.2, retry_extra=10.0)
# The prefix of streams that can't be resumed.
ONCE = "once"
KINDS = (
    (ENGINES, "streaming"),
    (ENGINES, ONCE),
    (PLAIN, "safe"),
    (PLAIN, "unsafe"),
    (PLAIN, "streaming"),
    (PLAIN, ONCE),
    (QUICK, "safe"),
    (QUICK, "unsafe"),
)


def make_routes(version: int) -> dict:
    """Returns a configuration with all kinds of requests to engines and to a plain service."""
    configuration = make_configuration(version, *SERVICES)
    routes = configuration["routes"]
    for route in [each for each in routes if each["type"] == "streaming"]:
        name = f"{route['service']}-{ONCE}"
        routes.append(route | {"name": name, "prefix": f"/{ONCE}/", "resumable": False})
    for route in routes:
        route.update(timeoutMs=int(TIMEOUT_SECONDS * 1000.0), targetLatencyMs=800)
    figures = {"slots": SLOTS, "models": [{"name": MODEL}], "step_ms": 1.0}
    configuration["services"] = [
        {"name": ENGINES, "engine": figures},
        {"name": PLAIN},
        {"name": QUICK},
    ]
    return configuration


def events(first: int, last: int) -> bytes:
    """Returns some events of the one stream that all engines send."""
    return b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(first, last + 1))


async def work(
    endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Answers a request as its kind is answered, in several parts and with pauses."""
    name = request.headers[names.REQUEST_ID.lower()]
    endpoint.runs[name] += 1
    if request.target.startswith(("/safe/", "/unsafe/")):
        pause = PART_SECONDS[endpoint.service]
        await asyncio.sleep(pause)
        head = response_head(request, endpoint, "200 OK", f"Content-Length: {2 * len(name)}")
        for part in (head[:20], head[20:], name.encode(), name.encode()):
            writer.write(part)
            await asyncio.sleep(pause)
        return
    await asyncio.sleep(EVENT_SECONDS)
    more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    writer.write(response_head(request, endpoint, "200 OK", *more))
    after = int(request.headers.get(names.LAST_EVENT_ID.lower(), "0"))
    for number in range(after + 1, EVENTS + 1):
        event = events(number, number)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")


@dataclasses.dataclass(slots=True)
class Asked:
    """A request of a caller, and what came of it."""

    name: str
    kind: str
    sent_at: float
    reply: Reply | None = None
    seconds: float = 0.0

    @property
    def expected(self) -> bytes:
        """The body of its answer."""
        if self.kind in ("safe", "unsafe"):
            return 2 * self.name.encode()
        return events(1, EVENTS)


class SilentMomentsTest(PausedClockCase):
    """An entry before three engines and three endpoints of each of two plain services."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        self.version = 1
        await self.change()
        self.weights = 1
        for service in SERVICES:
            for number in range(ENDPOINTS):
                endpoint = await self.fleet.add_endpoint(
                    f"{service}-{number}", service, slots=SLOTS
                )
                endpoint.handler = work
        await self.hold_weights(1)
        await self.name_weights(1)
        self.gateway = await self.fleet.add_gateway("entry-1", bounds=BOUNDS)
        await self.fleet.wait_until(lambda: self.gateway.ready)
        listed = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: len(listed.endpoints) == len(SERVICES) * ENDPOINTS)
        self.asked: list[Asked] = []

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def change(self) -> None:
        """Writes the next configuration, which differs from the last one in its version alone."""
        self.version += 1
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_routes(self.version))

    async def hold_weights(self, version: int) -> None:
        """Registers all engines with a version of the weights."""
        models = [{"name": MODEL, "version": version}]
        for engine in self.fleet.endpoints[:ENDPOINTS]:
            entry = engine.entry(slots=SLOTS, models=models)
            await self.fleet.store.put(names.ENDPOINT_PREFIX + engine.id, entry)

    async def name_weights(self, version: int) -> None:
        """Names a version of the weights."""
        value = {"model": MODEL, "version": version}
        await self.fleet.store.put(names.VERSION_PREFIX + MODEL, value)

    async def ask(self, service: str, kind: str) -> None:
        """Sends a request, and records what comes of it."""
        name = f"r{len(self.asked)}-{kind}"
        asked = Asked(name, kind, self.loop.time())
        self.asked.append(asked)
        milliseconds = int(TIMEOUT_SECONDS * 1000.0)
        asked.reply = await self.fleet.ask(
            0, service, kind, name, seconds=TIMEOUT_SECONDS + 2.0, deadline_ms=milliseconds
        )
        asked.seconds = self.loop.time() - asked.sent_at

    async def ask_all(self, last: float = LAST_SENT_SECONDS) -> None:
        """Sends requests of all kinds from now on."""
        until = self.loop.time() + last
        asking = []
        while self.loop.time() < until:
            asking += [asyncio.ensure_future(self.ask(*each)) for each in KINDS]
            await asyncio.sleep(BETWEEN_SECONDS)
        await asyncio.gather(*asking)

    async def play(
        self,
        endpoints: collections.abc.Iterable[FakeEndpoint],
        beside: collections.abc.Callable[[], collections.abc.Awaitable[None]] | None = None,
        last: float = LAST_SENT_SECONDS,
    ) -> None:
        """Sends requests, lets endpoints fall silent, and does something in the silence."""

        async def ask_many() -> None:
            await asyncio.gather(*(self.ask(*each) for each in KINDS * MANY))

        async def fall_silent() -> None:
            await asyncio.sleep(SILENT_AT_SECONDS)
            for endpoint in endpoints:
                endpoint.fall_silent(SILENT_SECONDS)
            if beside is not None:
                await beside()

        async def ask_around() -> None:
            await asyncio.sleep(SILENT_AT_SECONDS - MOMENT_SECONDS)
            before = asyncio.ensure_future(ask_many())
            await asyncio.sleep(2.0 * MOMENT_SECONDS)
            await asyncio.gather(before, ask_many())

        await asyncio.gather(self.ask_all(last), fall_silent(), ask_around())

    def runs(self, name: str) -> int:
        """Returns how often a request was run."""
        return sum(endpoint.runs[name] for endpoint in self.fleet.endpoints)

    def check(self, refused: bool = False) -> None:
        """Checks that each answer is whole and its own, and what was repeated.

        Args:
          refused: Whether requests may be refused, as an entry that stops does.
        """
        wrong = []
        for asked in self.asked:
            reply = asked.reply
            right = reply.whole and (reply.status, reply.body) == (200, asked.expected)
            told = refused and reply.whole and reply.status == 503 and not self.runs(asked.name)
            if not right and not told:
                wrong.append(f"{asked.name} {asked.seconds:.2f} {reply.status} {reply.whole}")
        self.assertEqual(wrong, [])
        once = [each.name for each in self.asked if each.kind in ("unsafe", ONCE)]
        self.assertEqual([name for name in once if self.runs(name) > 1], [])
        received = sum(len(endpoint.received) for endpoint in self.fleet.endpoints)
        allowed = BOUNDS.retry_fraction * len(self.asked) + len(SERVICES) * BOUNDS.retry_extra
        self.assertLessEqual(received - len(self.asked), allowed)

    async def test_one_of_three(self) -> None:
        """Guards against answers that end early because their endpoint is silent."""
        await self.play(self.fleet.endpoints[::ENDPOINTS])
        self.check()

    async def test_all(self) -> None:
        """Guards against the same, and against refusals, where nobody else can answer."""
        await self.play(self.fleet.endpoints)
        self.check()

    async def ask_one_that_nobody_else_can_answer(self, service: str, kind: str, other) -> None:
        """Silences the endpoint that works on a request, while all others have another handler."""
        endpoints = [each for each in self.fleet.endpoints if each.service == service]
        asking = asyncio.ensure_future(self.ask(service, kind))
        await self.fleet.wait_until(lambda: any(endpoint.received for endpoint in endpoints))
        await asyncio.sleep(2.5 * EVENT_SECONDS if kind == "streaming" else 0.0)
        for endpoint in endpoints:
            if endpoint.received:
                endpoint.fall_silent(SILENT_SECONDS)
            else:
                endpoint.handler = other
        await asking

    async def assert_answered_although(self, other) -> None:
        """Checks that a request of each kind gets its answer from the endpoint that was silent."""
        for service, kind in ((ENGINES, "streaming"), (PLAIN, "streaming"), (QUICK, "safe")):
            with self.subTest(service=service, kind=kind):
                await self.ask_one_that_nobody_else_can_answer(service, kind, other)
                asked = self.asked[-1]
                reply = asked.reply
                self.assertEqual((reply.status, reply.whole), (200, True))
                self.assertEqual(reply.body, asked.expected)
                endpoints = [each for each in self.fleet.endpoints if each.service == service]
                self.assertGreater(sum(len(each.received) for each in endpoints), 1)

    async def test_answer_that_others_refuse_to_give(self) -> None:
        """Guards against an answer that is given up at a silent endpoint before another one has
        begun it, and is lost because that one refuses it."""
        await self.assert_answered_although(refuse)

    async def test_answer_that_others_break_off(self) -> None:
        """Guards against the same where the other one ends."""
        await self.assert_answered_although(run_and_reset)

    async def test_answer_at_which_others_are_silent(self) -> None:
        """Guards against the same where the other one is silent as well, and is for longer."""

        async def be_silent(endpoint, request, writer) -> None:
            await asyncio.sleep(TIMEOUT_SECONDS)

        await self.assert_answered_although(be_silent)

    async def test_engines_are_back_in_use_with_their_first_event(self) -> None:
        """Guards against endpoints that take no requests until one of their streams has ended."""
        playing = asyncio.ensure_future(self.play(self.fleet.endpoints, last=0.0))
        await asyncio.sleep(SILENT_AT_SECONDS + SILENT_SECONDS - EVENT_SECONDS)
        self.assertEqual(self.ejected_engines(), ENDPOINTS)
        await asyncio.sleep(3.0 * EVENT_SECONDS)
        self.assertEqual(self.ejected_engines(), 0)
        await playing

    def ejected_engines(self) -> int:
        """Returns how many engines are not healthy for the entry."""
        placer, listed = self.gateway.placer, self.gateway.state.endpoints
        loads = (placer.load_of(listed.get(each.id)) for each in self.fleet.endpoints[:ENDPOINTS])
        return sum(load.health.health is not Health.HEALTHY for load in loads)

    async def test_one_beside_an_entry_that_stops(self) -> None:
        """Guards against answers that an entry gives up on because it stops, and their endpoint is
        silent."""
        await self.play(self.fleet.endpoints[::ENDPOINTS], self.gateway.stop)
        self.check(refused=True)

    async def test_all_beside_an_entry_that_stops(self) -> None:
        """Guards against the same where nobody else can answer."""
        await self.play(self.fleet.endpoints, self.gateway.stop, SILENT_AT_SECONDS)
        self.check(refused=True)

    async def storm(self) -> None:
        """Writes a configuration every tenth of a second."""
        for _ in range(20):
            await self.change()
            await asyncio.sleep(0.1)

    async def test_one_beside_a_storm_of_configurations(self) -> None:
        """Guards against answers that end early with a configuration."""
        await self.play(self.fleet.endpoints[::ENDPOINTS], self.storm)
        self.check()

    async def test_all_beside_a_storm_of_configurations(self) -> None:
        """Guards against the same where nobody else can answer."""
        await self.play(self.fleet.endpoints, self.storm)
        self.check()

    async def leave(self) -> None:
        """Lets an endpoint of each service, which may be silent, announce that it leaves."""
        for endpoint in self.fleet.endpoints[::ENDPOINTS]:
            models = [{"name": MODEL, "version": 1}]
            entry = endpoint.entry(slots=SLOTS, models=models, state="draining")
            await self.fleet.store.put(names.ENDPOINT_PREFIX + endpoint.id, entry)

    async def test_one_that_leaves(self) -> None:
        """Guards against answers that end early because their silent endpoint leaves."""
        await self.play(self.fleet.endpoints[::ENDPOINTS], self.leave)
        self.check()

    async def test_all_while_one_leaves(self) -> None:
        """Guards against the same where nobody else can answer."""
        await self.play(self.fleet.endpoints, self.leave)
        self.check()


if __name__ == "__main__":
    unittest.main()
