"""Tests of a process that wakes late, before it orders its engine."""

import asyncio
import unittest

import logbook

from tests.suspended_clock import suspended_for

from ..core.boot_clock import boot_seconds
from ..core.config_value import ConfigValue
from ..core.digest import digest_of
from ..core.errors import CodedError
from ..observe.event_log import EventLog
from ..peers.configuration_follower import ConfigurationFollower
from . import clock_guard

PATIENCE_SECONDS = 10.0
SUSPENDED_SECONDS = 60.0
VALUE = b'{"schema":1,"base":{"schema":1},"overlays":{}}'


class FakeService:
    """A configuration service with one value, or none where it is down."""

    def __init__(self, revision: int) -> None:
        self.revision = revision

    async def read(self) -> ConfigValue:
        """See ConfigurationService."""
        if not self.revision:
            raise CodedError("configuration_unreadable", "down", 503)
        return ConfigValue(self.revision, digest_of(VALUE), VALUE)


class ClockGuardTest(unittest.IsolatedAsyncioTestCase):
    """A process that slept orders nothing until it knows what is in force."""

    def make(self, revision: int, peers_tell: int) -> clock_guard.ClockGuard:
        """Returns the guard of a process with revision 3 that has just slept."""
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        service = FakeService(revision)
        self.follower = ConfigurationFollower(service, "site", log)
        self.asked = 0

        async def ask_peers() -> int:
            self.asked += 1
            if peers_tell:
                value = ConfigValue(peers_tell, digest_of(VALUE), VALUE)
                await self.follower.offer(value)
            return int(peers_tell > 0)

        guard = clock_guard.ClockGuard(service, ask_peers, self.follower, log)
        guard._last = boot_seconds() - 10.0
        return guard

    async def confirm(self, revision: int, peers_tell: int) -> None:
        """Has a process wake and confirm; fails where that does not end."""
        guard = self.make(revision, peers_tell)
        await self.follower.offer(ConfigValue(3, digest_of(VALUE), VALUE))
        await asyncio.wait_for(guard.confirm(), PATIENCE_SECONDS)

    async def test_the_service_is_stale(self) -> None:
        """A sidecar sleeps through revision 5 and wakes while the service answers with an old
        copy. Trusting that answer, it would order its engine back to the version before, and
        operators would see one instance revert; its peers know better."""
        await self.confirm(revision=2, peers_tell=5)
        self.assertEqual(self.follower.revision, 5)

    async def test_the_service_is_down(self) -> None:
        """A sidecar wakes while the service is down for an hour. Waiting for it, its engine
        would miss every version that its peers have long had."""
        await self.confirm(revision=0, peers_tell=5)
        self.assertEqual(self.follower.revision, 5)

    async def test_the_instance_was_suspended(self) -> None:
        """An instance is suspended through revision 5, by a clock that does not count that
        time. Its sidecar finds no gap, and orders from revision 3 an engine that takes any
        order: callers there are answered by a version that operators have taken back."""
        guard = self.make(revision=5, peers_tell=0)
        guard._last = None
        guard.look()
        await self.follower.offer(ConfigValue(3, digest_of(VALUE), VALUE))
        with suspended_for(SUSPENDED_SECONDS):
            await asyncio.wait_for(guard.confirm(), PATIENCE_SECONDS)
        self.assertEqual(self.follower.revision, 5)

    async def test_nobody_answers(self) -> None:
        """A sidecar wakes alone. It must not order from what it believed before."""
        with self.assertRaises(TimeoutError):
            guard = self.make(revision=0, peers_tell=0)
            await asyncio.wait_for(guard.confirm(), 1.2)
        self.assertGreater(self.asked, 1)
