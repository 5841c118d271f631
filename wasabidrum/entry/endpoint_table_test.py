"""Tests how long callers wait for endpoints that have fallen silent."""

import asyncio
import unittest

from ..core.instance import Instance, InstanceRole
from ..core.load import Load
from ..core.status import Status
from .endpoint_table import MAX_RECOVERABLE_SILENCE_SECONDS, STATUS_EXPIRES_SECONDS, EndpointTable

SERVICE = "tally"
NO_NAMES: frozenset[str] = frozenset()


def make_status(name: str, sequence: int) -> Status:
    """Returns a status of the service's endpoint."""
    return Status(
        name, InstanceRole.SIDECAR, "i", sequence, service=SERVICE, load=Load(0, 0, slots=4)
    )


class SilentEndpointsTest(unittest.IsolatedAsyncioTestCase):
    """Three known endpoints, of which one belongs to the called service."""

    async def asyncSetUp(self) -> None:
        self.table = EndpointTable(None, None)
        names = ("a", "b", "tally-1")
        self.table.update_instances(
            tuple(
                Instance(name, InstanceRole.SIDECAR, "r", "r", "127.0.0.1", 1, 2) for name in names
            )
        )
        for name in names:
            self.table.record_status(make_status(name, 1))
        for name in ("a", "b"):
            self.table.find(name).status = Status(name, InstanceRole.SIDECAR, "i", 1)

    async def wait(self, tried: frozenset[str] = NO_NAMES) -> tuple[bool, float]:
        """Waits for the service; returns whether its status arrived and how long that took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        arrived = await self.table.wait_for_status("", SERVICE, began + 10.0, tried)
        return arrived, loop.time() - began

    def fall_silent(self, seconds: float) -> None:
        """Makes the service's endpoint silent since the given number of seconds ago."""
        self.table.find("tally-1").last_status_at -= seconds

    async def test_wait_ends_when_endpoint_reports_again(self) -> None:
        self.fall_silent(STATUS_EXPIRES_SECONDS + 0.1)
        loop = asyncio.get_running_loop()
        loop.call_later(0.3, lambda: self.table.record_status(make_status("tally-1", 2)))
        arrived, seconds = await self.wait()
        self.assertTrue(arrived)
        self.assertLess(seconds, 1.0)

    async def test_no_wait_for_endpoint_silent_too_long(self) -> None:
        """Callers must not wait for an instance that hangs."""
        self.fall_silent(MAX_RECOVERABLE_SILENCE_SECONDS + 0.1)
        arrived, seconds = await self.wait()
        self.assertFalse(arrived)
        self.assertLess(seconds, 0.1)

    async def test_no_wait_while_an_endpoint_reports(self) -> None:
        """Callers must not wait until their deadline for a full or ejected endpoint."""
        self.assertEqual((await self.wait())[0], False)
        self.assertLess((await self.wait())[1], 0.1)


if __name__ == "__main__":
    unittest.main()
