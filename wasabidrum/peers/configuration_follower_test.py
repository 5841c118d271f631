"""Tests of the revision in force at one process, and of many under any interleaving."""

import asyncio
import dataclasses
import random
import unittest

import hypothesis
import logbook
import looptime
from hypothesis import strategies

from ..config.bundle import Bundle, encode_bundle
from ..core.config_value import ConfigValue
from ..core.digest import digest_of
from ..core.errors import CodedError
from ..observe.event_log import EventLog
from .claim_fetcher import open_reply
from .configuration_follower import ConfigurationFollower

HOUR_SECONDS = 3600.0
SITE = "rift-a"


def make_value(revision: int, text: str = "", valid: bool = True) -> ConfigValue:
    """Returns a published value; the text makes contents differ."""
    size = 1000 + revision if valid else "many"
    base = {"schema": 1, "limits": {"body_bytes": size}}
    overlays = {f"site-{text}": {}} if text else {}
    content = encode_bundle(Bundle(1, base, overlays))
    return ConfigValue(revision, digest_of(content), content)


class FakeService:
    """A configuration service in memory.

    Attributes:
      fault: "", "down" or "hang".
      calls: How often it was asked.
    """

    def __init__(self) -> None:
        self.value = make_value(1)
        self.fault = ""
        self.calls = 0

    async def read(self) -> ConfigValue:
        """See ConfigurationService."""
        return self.value

    async def watch(self, after: int, wait_seconds: float) -> ConfigValue | None:
        """See ConfigurationService."""
        self.calls += 1
        loop = asyncio.get_running_loop()
        ends = loop.time() + wait_seconds
        while loop.time() < ends:
            if self.fault == "hang":
                await asyncio.sleep(wait_seconds + 1.0)
            if self.fault:
                raise CodedError("peer_unreachable", "configuration service", 502)
            if self.value.revision != after:
                return self.value
            await asyncio.sleep(0.05)
        return None


def make_follower(service: FakeService) -> ConfigurationFollower:
    """Returns a follower that logs nowhere."""
    logger = logbook.Logger("test")
    logger.handlers.append(logbook.NullHandler())
    return ConfigurationFollower(service, SITE, EventLog(logger, "test"))


def run_paused(test) -> None:
    """Runs a test on a loop whose time jumps instead of passing."""
    loop = looptime.new_event_loop(start=0)
    try:
        loop.run_until_complete(test())
    finally:
        loop.close()


class ConfigurationFollowerTest(unittest.TestCase):
    """One process before a service that fails in every way it can."""

    def test_the_service_is_down_for_an_hour(self) -> None:
        """The service is down for an hour and comes back with the revision before. Callers
        must be served throughout under the last revision, and the next one must hold."""

        async def test() -> None:
            service = FakeService()
            follower = make_follower(service)
            service.value = make_value(7)
            task = asyncio.ensure_future(follower.run(2.0))
            await follower.wait_after(6)
            service.fault = "down"
            await asyncio.sleep(HOUR_SECONDS)
            self.assertEqual(follower.revision, 7)
            self.assertLess(service.calls, HOUR_SECONDS * 1.1)
            service.fault, service.value = "", make_value(6)
            await asyncio.sleep(10.0)
            self.assertEqual(follower.revision, 7)
            service.value = make_value(8)
            await asyncio.sleep(2.0)
            self.assertEqual(follower.revision, 8)
            task.cancel()

        run_paused(test)

    def test_a_request_keeps_the_revision_that_it_began_with(self) -> None:
        """A revision comes while a request runs. Were the object changed in place, the request
        would be admitted under one limit and judged under another."""

        async def test() -> None:
            follower = make_follower(FakeService())
            await follower.offer(make_value(3))
            held = follower.current
            await follower.offer(make_value(4))
            self.assertEqual((held.revision, held.fleet.limits.body_bytes), (3, 1003))
            self.assertEqual(follower.current.fleet.limits.body_bytes, 1004)

        run_paused(test)

    def test_two_readers_read_different_contents_under_one_number(self) -> None:
        """Two copies of the service have different contents as revision 5. The one in force
        stays, whichever it is, an alarm tells of it, and revision 6 unites all."""

        async def test() -> None:
            ours, theirs = make_follower(FakeService()), make_follower(FakeService())
            await ours.offer(make_value(5, "a"))
            await theirs.offer(make_value(5, "b"))
            held = {follower: follower.book.digest for follower in (ours, theirs)}
            ours.judge(5, held[theirs])
            theirs.judge(5, held[ours])
            for follower in (ours, theirs):
                self.assertEqual(follower.book.digest, held[follower])
                self.assertIn("revision 5 has two contents", follower.book.alarm)
                self.assertTrue(await follower.offer(make_value(6)))
                self.assertEqual(follower.book.alarm, "")

        run_paused(test)

    def test_a_corrupt_reply_of_a_peer_is_not_taken(self) -> None:
        """A link changes bytes of a value on its way from a peer. Taken unchecked, a site would
        run limits that nobody wrote."""

        async def test() -> None:
            follower = make_follower(FakeService())
            value = make_value(5)
            await follower.offer(value)
            good = follower.compressed
            self.assertEqual(open_reply(5, value.digest, good), value)
            for place in range(0, len(good), 3):
                spoilt = bytearray(good)
                spoilt[place] ^= 0x40
                with self.assertRaises(CodedError):
                    open_reply(5, value.digest, bytes(spoilt))
            with self.assertRaises(CodedError):
                open_reply(5, value.digest, good[:-1])

        run_paused(test)


@dataclasses.dataclass(slots=True)
class Step:
    """One step of an interleaving: what happens, at whom, and with what."""

    kind: str
    who: int
    other: int
    number: int


KINDS = ("publish", "publish_invalid", "read_stale", "read", "gossip", "restart", "cut", "join")
STEPS = strategies.lists(
    strategies.builds(
        Step,
        strategies.sampled_from(KINDS),
        strategies.integers(0, 4),
        strategies.integers(0, 4),
        strategies.integers(0, 20),
    ),
    # Long enough that a process reads, and then hears of something older.
    min_size=30,
    max_size=60,
)


class Interleaving:
    """Five processes, a service with a history, and a partition that comes and goes."""

    def __init__(self) -> None:
        self.published = [make_value(1)]
        self.processes = [make_follower(FakeService()) for _ in range(5)]
        self.sides = [0] * 5

    async def play(self, step: Step) -> None:
        """Plays one step; no process's revision may go down in it but by its own restart."""
        before = [process.revision for process in self.processes]
        who = step.who
        if step.kind.startswith("publish"):
            valid = step.kind == "publish"
            self.published.append(make_value(len(self.published) + 1, valid=valid))
        elif step.kind == "read_stale":
            await self.processes[who].offer(self.published[step.number % len(self.published)])
        elif step.kind == "read":
            await self.processes[who].offer(self.published[-1])
        elif step.kind == "gossip":
            await self.tell(step.other, who)
        elif step.kind == "restart":
            self.processes[who] = make_follower(FakeService())
            before[who] = 0
        elif step.kind == "cut":
            self.sides[who] = 1
        else:
            self.sides = [0] * 5
        for process, revision in zip(self.processes, before, strict=True):
            assert process.revision >= revision, (step, process.revision, revision)

    async def tell(self, teller: int, hearer: int) -> None:
        """Has one process hear of another's revision, and fetch it where it wants it."""
        if self.sides[teller] != self.sides[hearer]:
            return
        book = self.processes[teller].book
        if not book.revision:
            return
        self.processes[hearer].judge(book.revision, book.digest)
        compressed = self.processes[teller].compressed
        value = open_reply(book.revision, book.digest, compressed)
        await self.processes[hearer].offer(value, compressed)

    async def converge(self) -> None:
        """Lets all who are connected hear of each other, in some order, twice."""
        pairs = [(a, b) for a in range(5) for b in range(5) if a != b]
        random.Random(1).shuffle(pairs)
        for teller, hearer in pairs * 2:
            await self.tell(teller, hearer)


class InterleavingTest(unittest.TestCase):
    """Under any interleaving no living process goes back, and the connected ones agree."""

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(STEPS)
    def test_never_down_and_converging(self, steps: list[Step]) -> None:
        """Reads, stale replies, gossip, restarts and partitions come in any order. Operators
        must never see a daemon go back, nor two connected ones that stay apart."""

        async def test() -> None:
            system = Interleaving()
            for step in steps:
                await system.play(step)
            await system.converge()
            for side in (0, 1):
                at = [
                    p for p, own in zip(system.processes, system.sides, strict=True) if own == side
                ]
                self.assertLessEqual(len({p.revision for p in at}), 1)

        asyncio.run(test())
