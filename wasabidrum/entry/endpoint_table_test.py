"""How long callers wait for endpoints that say nothing."""

import asyncio
import unittest

from ..core.instance import Instance, InstanceRole
from ..core.load import Load
from ..core.status import Status
from .endpoint_table import BACK_WITHIN_SECONDS, STATUS_EXPIRES_SECONDS, EndpointTable

SERVICE = "tally"
NOBODY: frozenset[str] = frozenset()


def make_status(name: str, sequence: int) -> Status:
    """Returns a service endpoint's account of itself."""
    return Status(
        name, InstanceRole.SIDECAR, "i", sequence, service=SERVICE, load=Load(0, 0, slots=4)
    )


class SilentEndpointsTest(unittest.IsolatedAsyncioTestCase):
    """Three endpoints that are heard, of which one is of the service that is called."""

    async def asyncSetUp(self) -> None:
        self.table = EndpointTable(None, None)
        names = ("a", "b", "tally-1")
        self.table.take_list(
            tuple(
                Instance(name, InstanceRole.SIDECAR, "r", "r", "127.0.0.1", 1, 2) for name in names
            )
        )
        for name in names:
            self.table.take_status(make_status(name, 1))
        for name in ("a", "b"):
            self.table.find(name).status = Status(name, InstanceRole.SIDECAR, "i", 1)

    async def wait(self, tried: frozenset[str] = NOBODY) -> tuple[bool, float]:
        """Waits for the service; returns whether it was heard, and for how long this took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        heard = await self.table.wait_until_heard("", SERVICE, began + 10.0, tried)
        return heard, loop.time() - began

    def fall_silent(self, seconds: float) -> None:
        """Has the service's endpoint be silent for some time already."""
        self.table.find("tally-1").seen_at -= seconds

    async def test_one_that_is_heard_again_ends_the_wait(self) -> None:
        self.fall_silent(STATUS_EXPIRES_SECONDS + 0.1)
        loop = asyncio.get_running_loop()
        loop.call_later(0.3, lambda: self.table.take_status(make_status("tally-1", 2)))
        heard, seconds = await self.wait()
        self.assertTrue(heard)
        self.assertLess(seconds, 1.0)

    async def test_nobody_waits_for_one_that_has_been_silent_for_long(self) -> None:
        """Guards against callers that wait for an instance that hangs."""
        self.fall_silent(BACK_WITHIN_SECONDS + 0.1)
        heard, seconds = await self.wait()
        self.assertFalse(heard)
        self.assertLess(seconds, 0.1)

    async def test_nobody_waits_where_an_endpoint_is_heard_and_takes_no_work(self) -> None:
        """Guards against a wait until the deadline for what is full or out of service."""
        self.assertEqual((await self.wait())[0], False)
        self.assertLess((await self.wait())[1], 0.1)


if __name__ == "__main__":
    unittest.main()
