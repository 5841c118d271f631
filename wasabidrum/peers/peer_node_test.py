"""Tests of a daemon's membership and configuration state after its instance was suspended."""

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
    """One daemon without reachable peers or platform."""

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

    async def test_a_verification_expires_with_a_suspension(self) -> None:
        """An instance is suspended for a minute while the configuration changes, and the event
        loop's clock does not count that time. By that clock the daemon would consider its
        revision just verified and query no peer. Until its dead streams are noticed, up to three
        seconds later, it would accept a key that was revoked a minute ago."""
        self.follower.on_confirmed(boot_seconds())
        self.assertTrue(self.node.recently_verified)
        with suspended_for(SUSPENDED_SECONDS):
            self.assertFalse(self.node.recently_verified)

    async def test_a_suspension_does_not_move_receive_times_into_the_future(
        self,
    ) -> None:
        """A daemon resumes after a minute and queries peers at once. The receive times of their
        messages are of the clock that stood still. Shifted by the whole minute they would lie in
        the future, and the daemon would route callers to dead members for that long."""
        self.node.table.apply_status(Status(PEER, InstanceRole.SIDECAR, "j"), self.now())
        self.node.suspect(PEER, refused=False)
        with suspended_for(SUSPENDED_SECONDS):
            self.node.suspect(PEER, refused=False)
        self.assertEqual(len(self.pauses), 1)
        self.assertLess(self.pauses[0], 1.0)
        self.assertLessEqual(self.node.table.get(PEER).suspected_at, self.now())

    async def test_a_suspension_is_handled_whatever_reads_the_clock_first(self) -> None:
        """A daemon resumes, and the first code to read the clock serves an operator's query, or
        handles the service's answer to a request from before the suspension. This must not
        consume the pause: no peer would be queried, and live members would be declared dead."""
        with suspended_for(SUSPENDED_SECONDS):
            self.assertFalse(self.node.recently_verified)
            self.follower.on_confirmed(boot_seconds() - SUSPENDED_SECONDS)
            self.node.suspect(PEER, refused=False)
        self.assertEqual(len(self.pauses), 1)
        self.assertFalse(self.node.recently_verified)

    def now(self) -> float:
        """Returns the event loop's time."""
        return asyncio.get_running_loop().time()


if __name__ == "__main__":
    unittest.main()
