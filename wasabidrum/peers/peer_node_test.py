"""Tests of what a daemon does about its belief when its instance was suspended."""

import asyncio
import unittest

import logbook

from tests.suspended_clock import suspended_for

from ..config.settings import PlatformSettings, Settings
from ..core.boot_clock import boot_seconds
from ..core.instance import InstanceRole
from ..core.status import Status
from ..observe.event_log import EventLog
from .configuration_follower import ConfigurationFollower
from .peer_node import PeerNode

SUSPENDED_SECONDS = 60.0
PEER = "worker-2"


class SuspendedNodeTest(unittest.IsolatedAsyncioTestCase):
    """One daemon, with no peers to ask; the platform is not reached."""

    async def asyncSetUp(self) -> None:
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        platform = PlatformSettings("http://127.0.0.1:9", "http://127.0.0.1:9", "")
        settings = Settings("entry-1", "entry", "rift-a", "rift", "rift-a", platform)
        self.follower = ConfigurationFollower(None, "rift-a", log)
        own = Status(settings.name, InstanceRole.ENTRY, "i")
        self.failures: list[str] = []
        self.node = PeerNode(
            settings,
            None,
            self.follower,
            lambda: own,
            log,
            lambda name, error: self.failures.append(f"{name}: {error!r}"),
        )
        self.pauses: list[float] = []
        self.node.on_pause.append(self.pauses.append)

    async def asyncTearDown(self) -> None:
        await self.node.stop()
        self.assertEqual(self.failures, [])

    async def test_what_was_verified_before_a_suspension_is_not_verified_after_it(self) -> None:
        """An instance is suspended for a minute through a change of the configuration, by a
        clock that does not count that time. Its daemon tells operators that it has just
        verified what it has in force, and asks nobody: until its dead streams are noticed, up
        to three seconds, a key that was taken away a minute ago opens its door."""
        self.follower.on_answer(boot_seconds())
        self.assertTrue(self.node.recently_verified)
        with suspended_for(SUSPENDED_SECONDS):
            self.assertFalse(self.node.recently_verified)

    async def test_a_suspension_is_noticed_and_forgives_nobody_the_time_it_did_not_count(
        self,
    ) -> None:
        """A daemon wakes after a minute. It asks others at once; but the dates at which it heard
        them are of the clock that stood still. Moved on by the whole minute they would lie in
        the future, and it would send callers to the dead for that long."""
        self.node.table.apply_status(Status(PEER, InstanceRole.SIDECAR, "j"), self.now())
        self.node.lose(PEER, refused=False)
        with suspended_for(SUSPENDED_SECONDS):
            self.node.lose(PEER, refused=False)
        self.assertEqual(len(self.pauses), 1)
        self.assertLess(self.pauses[0], 1.0)
        self.assertLessEqual(self.node.table.get(PEER).suspected_at, self.now())

    async def test_a_suspension_is_noticed_whoever_looks_first(self) -> None:
        """A daemon wakes, and the first to look at the clock is an operator's question, or an
        answer of the service to a question from before. The pause must not be used up by that:
        the others would be asked by nobody, and those that were heard before it called dead."""
        with suspended_for(SUSPENDED_SECONDS):
            self.assertFalse(self.node.recently_verified)
            self.follower.on_answer(boot_seconds() - SUSPENDED_SECONDS)
            self.node.lose(PEER, refused=False)
        self.assertEqual(len(self.pauses), 1)
        self.assertFalse(self.node.recently_verified)

    def now(self) -> float:
        """Returns the event loop's time."""
        return asyncio.get_running_loop().time()


if __name__ == "__main__":
    unittest.main()
