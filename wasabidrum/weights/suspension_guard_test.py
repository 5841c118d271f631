"""Tests of a process that resumes after a suspension and then commands its engine."""

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
from . import suspension_guard

TIMEOUT_SECONDS = 10.0
SUSPENDED_SECONDS = 60.0
VALUE = b'{"schema":1,"base":{"schema":1},"overlays":{}}'


class FakeService:
    """A configuration service with one value; revision 0 stands for a service that is down."""

    def __init__(self, revision: int) -> None:
        self.revision = revision

    async def read(self) -> ConfigValue:
        """See ConfigurationService."""
        if not self.revision:
            raise CodedError("configuration_unreadable", "down", 503)
        return ConfigValue(self.revision, digest_of(VALUE), VALUE)


class SuspensionGuardTest(unittest.IsolatedAsyncioTestCase):
    """A process that was suspended sends no command before it knows the newest revision."""

    def make(self, revision: int, peers_tell: int) -> suspension_guard.SuspensionGuard:
        """Returns the guard of a process that has just been suspended."""
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

        guard = suspension_guard.SuspensionGuard(service, ask_peers, self.follower, log)
        guard._last_run = boot_seconds() - 10.0
        return guard

    async def confirm(self, revision: int, peers_tell: int) -> None:
        """Runs `confirm` in a process with revision 3; fails if it does not return."""
        guard = self.make(revision, peers_tell)
        await self.follower.offer(ConfigValue(3, digest_of(VALUE), VALUE))
        await asyncio.wait_for(guard.confirm(), TIMEOUT_SECONDS)

    async def test_the_service_is_stale(self) -> None:
        """A sidecar is suspended during revision 5 and resumes while the service returns an old
        copy. If it trusted that copy, it would switch its engine back to the previous version;
        its peers know the newer revision."""
        await self.confirm(revision=2, peers_tell=5)
        self.assertEqual(self.follower.revision, 5)

    async def test_the_service_is_down(self) -> None:
        """A sidecar resumes while the service is down for an hour. If it waited for the service,
        its engine would miss the versions that its peers already have."""
        await self.confirm(revision=0, peers_tell=5)
        self.assertEqual(self.follower.revision, 5)

    async def test_the_instance_was_suspended(self) -> None:
        """An instance is suspended during revision 5. By a clock that does not count suspensions
        its sidecar sees no gap and commands, from revision 3, an engine without fencing: callers
        are served by a version that operators have withdrawn."""
        guard = self.make(revision=5, peers_tell=0)
        guard._last_run = None
        guard.check()
        await self.follower.offer(ConfigValue(3, digest_of(VALUE), VALUE))
        with suspended_for(SUSPENDED_SECONDS):
            await asyncio.wait_for(guard.confirm(), TIMEOUT_SECONDS)
        self.assertEqual(self.follower.revision, 5)

    async def test_no_source_answers(self) -> None:
        """A sidecar resumes and reaches neither service nor peers. It must not act on its old
        state."""
        with self.assertRaises(TimeoutError):
            guard = self.make(revision=0, peers_tell=0)
            await asyncio.wait_for(guard.confirm(), 1.2)
        self.assertGreater(self.asked, 1)
