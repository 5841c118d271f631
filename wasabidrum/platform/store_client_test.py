"""The store's client, over real sockets."""

import time
import unittest

from tests.listed_platform import ListedStore

from ..config.deployment import Address
from ..core.errors import CodedError
from ..wire import http_client
from .store_client import Watched, make_store_client


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """A store that answers in small pages."""

    async def asyncSetUp(self) -> None:
        self.store = ListedStore(page_size=3)
        await self.store.start()
        address = Address("127.0.0.1", self.store.port)
        self.client = make_store_client(http_client.make_client(), address)

    async def asyncTearDown(self) -> None:
        self.store.stop()

    async def test_all_pages_are_read(self) -> None:
        for number in range(8):
            await self.store.put(f"servers/{number}", {"n": number})
        await self.store.put("op/config", {"version": 1})
        reading = await self.client.read(Watched.ENDPOINTS)
        self.assertEqual([c.key for c in reading.changes], [f"servers/{n}" for n in range(8)])
        self.assertEqual(reading.revision, self.store.revision)

    async def test_a_watch_tells_of_writes_and_removals_in_order(self) -> None:
        before = self.store.revision
        await self.store.put("servers/a", {"n": 1})
        await self.store.delete("servers/a")
        reading = await self.client.watch(Watched.ENDPOINTS, before, 1.0)
        self.assertEqual([c.value for c in reading.changes], [b'{"n": 1}', None])

    async def test_a_watch_without_news_ends_after_its_wait(self) -> None:
        reading = await self.client.watch(Watched.ENDPOINTS, self.store.revision, 0.1)
        self.assertEqual(reading.changes, ())

    async def test_a_store_that_dropped_its_history_says_so(self) -> None:
        self.store.history_from = 100
        with self.assertRaises(CodedError) as caught:
            await self.client.watch(Watched.ENDPOINTS, 5, 0.1)
        self.assertEqual(caught.exception.code, "history_lost")

    async def test_a_store_that_hangs_costs_a_bounded_time(self) -> None:
        """The store takes the connection and says nothing. A watch without an end of its own
        would leave an entry deaf for as long as the connection stands."""
        self.store.fault = "hang"
        began = time.monotonic()
        with self.assertRaises(CodedError):
            await self.client.watch(Watched.ENDPOINTS, 5, 0.2)
        self.assertLess(time.monotonic() - began, 3.0)

    async def test_a_value_that_is_no_text_of_its_kind_names_nothing(self) -> None:
        await self.store.put("servers/a", {"n": 1})
        self.store.items["servers/a"]["value"] = "!!"
        reading = await self.client.read(Watched.ENDPOINTS)
        self.assertEqual(reading.changes[0].value, b"")
