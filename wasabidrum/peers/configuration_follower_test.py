"""Tests of the revision in force at one process, and at several under random interleavings."""

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
from .claim_fetcher import decode_value
from .configuration_follower import ConfigurationFollower

HOUR_SECONDS = 3600.0
SITE = "rift-a"


def make_value(revision: int, text: str = "", valid: bool = True) -> ConfigValue:
    """Returns a published value; different texts give different contents."""
    size = 1000 + revision if valid else "many"
    base = {"schema": 1, "limits": {"body_bytes": size}}
    overlays = {f"site-{text}": {}} if text else {}
    content = encode_bundle(Bundle(1, base, overlays))
    return ConfigValue(revision, digest_of(content), content)


class FakeService:
    """An in-memory configuration service.

    Attributes:
      fault: "", "down" or "hang".
      calls: Number of calls to watch.
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
    """Returns a follower whose log is discarded."""
    logger = logbook.Logger("test")
    logger.handlers.append(logbook.NullHandler())
    return ConfigurationFollower(service, SITE, EventLog(logger, "test"))


def run_paused(test) -> None:
    """Runs a test on an event loop with simulated time."""
    loop = looptime.new_event_loop(start=0)
    try:
        loop.run_until_complete(test())
    finally:
        loop.close()


class ConfigurationFollowerTest(unittest.TestCase):
    """One process with a failing or inconsistent configuration service."""

    def test_the_service_is_down_for_an_hour(self) -> None:
        """The service is down for an hour and comes back with the previous revision. The last
        revision must stay in force throughout, and the next one must be put in force."""

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
        """A revision arrives while a request runs. If the object were changed in place, the
        request would be admitted under one limit and checked against another."""

        async def test() -> None:
            follower = make_follower(FakeService())
            await follower.offer(make_value(3))
            held = follower.current
            await follower.offer(make_value(4))
            self.assertEqual((held.revision, held.fleet.limits.body_bytes), (3, 1003))
            self.assertEqual(follower.current.fleet.limits.body_bytes, 1004)

        run_paused(test)

    def test_two_contents_of_one_revision_raise_an_alarm(self) -> None:
        """Two replicas of the service have different contents for revision 5. Each process must
        keep the one that it has in force and raise an alarm; revision 6 resolves the conflict."""

        async def test() -> None:
            ours, theirs = make_follower(FakeService()), make_follower(FakeService())
            await ours.offer(make_value(5, "a"))
            await theirs.offer(make_value(5, "b"))
            held = {follower: follower.tracker.digest for follower in (ours, theirs)}
            ours.assess_claim(5, held[theirs])
            theirs.assess_claim(5, held[ours])
            for follower in (ours, theirs):
                self.assertEqual(follower.tracker.digest, held[follower])
                self.assertIn("revision 5 has two contents", follower.tracker.alarm)
                self.assertTrue(await follower.offer(make_value(6)))
                self.assertEqual(follower.tracker.alarm, "")

        run_paused(test)

    def test_a_corrupt_reply_of_a_peer_is_rejected(self) -> None:
        """A link corrupts bytes of a value fetched from a peer. Without verification, a site
        would apply limits that no operator has set."""

        async def test() -> None:
            follower = make_follower(FakeService())
            value = make_value(5)
            await follower.offer(value)
            good = follower.compressed
            self.assertEqual(decode_value(5, value.digest, good), value)
            for index in range(0, len(good), 3):
                corrupted = bytearray(good)
                corrupted[index] ^= 0x40
                with self.assertRaises(CodedError):
                    decode_value(5, value.digest, bytes(corrupted))
            with self.assertRaises(CodedError):
                decode_value(5, value.digest, good[:-1])

        run_paused(test)


@dataclasses.dataclass(slots=True)
class Step:
    """One step of an interleaving.

    Attributes:
      kind: The action; one of KINDS.
      who: The index of the process that acts or is affected.
      other: The index of the sender in a gossip step.
      number: Selects the published value that a stale read returns.
    """

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
    # Long enough that a process may read a revision and then receive an older one.
    min_size=30,
    max_size=60,
)


class Interleaving:
    """Five processes, a service with all its past revisions, and a partition."""

    def __init__(self) -> None:
        self.published = [make_value(1)]
        self.processes = [make_follower(FakeService()) for _ in range(5)]
        self.sides = [0] * 5

    async def play(self, step: Step) -> None:
        """Runs one step; asserts that no process's revision decreases, except by a restart."""
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
            await self.share_revision(step.other, who)
        elif step.kind == "restart":
            self.processes[who] = make_follower(FakeService())
            before[who] = 0
        elif step.kind == "cut":
            self.sides[who] = 1
        else:
            self.sides = [0] * 5
        for process, revision in zip(self.processes, before, strict=True):
            assert process.revision >= revision, (step, process.revision, revision)

    async def share_revision(self, sender: int, receiver: int) -> None:
        """Makes the receiver learn of the sender's revision and offers it the value."""
        if self.sides[sender] != self.sides[receiver]:
            return
        tracker = self.processes[sender].tracker
        if not tracker.revision:
            return
        self.processes[receiver].assess_claim(tracker.revision, tracker.digest)
        compressed = self.processes[sender].compressed
        value = decode_value(tracker.revision, tracker.digest, compressed)
        await self.processes[receiver].offer(value, compressed)

    async def converge(self) -> None:
        """Shares revisions twice between all connected pairs, in a shuffled order."""
        pairs = [(a, b) for a in range(5) for b in range(5) if a != b]
        random.Random(1).shuffle(pairs)
        for sender, receiver in pairs * 2:
            await self.share_revision(sender, receiver)


class InterleavingTest(unittest.TestCase):
    """Checks that revisions never decrease, and that connected processes converge."""

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(STEPS)
    def test_never_down_and_converging(self, steps: list[Step]) -> None:
        """Reads, stale replies, gossip, restarts and partitions happen in any order. No daemon
        may revert to an older revision, and connected daemons must converge on one."""

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
