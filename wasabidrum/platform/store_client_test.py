"""Tests of the store's client over real sockets."""

import time
import unittest
from unittest import mock

from standins.key_value_store import FakeStore

from ..config.deployment import Address
from ..core.errors import CodedError
from ..core.store_change import NO_EPOCH
from ..wire import http_client
from .store_client import KeyPrefix, make_store_client, read_epoch


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """A client of a store that answers in small pages."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore(page_size=3)
        await self.store.start()
        address = Address("127.0.0.1", self.store.port)
        self.client = make_store_client(http_client.make_client(), address)

    async def asyncTearDown(self) -> None:
        self.store.stop()

    async def test_all_pages_are_read(self) -> None:
        for number in range(8):
            await self.store.put(f"servers/{number}", {"n": number})
        await self.store.put("op/config", {"version": 1})
        reading = await self.client.read(KeyPrefix.ENDPOINTS)
        self.assertEqual([c.key for c in reading.changes], [f"servers/{n}" for n in range(8)])
        self.assertEqual(reading.revision, self.store.revision)

    async def test_a_watch_returns_writes_and_removals_in_order(self) -> None:
        before = self.store.revision
        await self.store.put("servers/a", {"n": 1})
        await self.store.delete("servers/a")
        reading = await self.client.watch(KeyPrefix.ENDPOINTS, before, 1.0)
        self.assertEqual([c.value for c in reading.changes], [b'{"n": 1}', None])

    async def test_a_watch_without_changes_ends_after_its_wait(self) -> None:
        reading = await self.client.watch(KeyPrefix.ENDPOINTS, self.store.revision, 0.1)
        self.assertEqual(reading.changes, ())

    async def test_a_watch_before_the_kept_history_raises_history_lost(self) -> None:
        self.store.history_from = 100
        with self.assertRaises(CodedError) as caught:
            await self.client.watch(KeyPrefix.ENDPOINTS, 5, 0.1)
        self.assertEqual(caught.exception.code, "history_lost")

    async def test_epoch_of_each_answer(self) -> None:
        """Guards against answers of a restored store that pass for those of before, also where the
        first era is zero."""
        self.assertEqual((await self.client.read(KeyPrefix.ALL)).epoch, 1)
        await self.store.restore(self.store.copy())
        reading = await self.client.watch(KeyPrefix.ALL, self.store.revision, 0.1)
        self.assertEqual(reading.epoch, 2)
        read = [read_epoch(text) for text in ("0", "7", "", "-1", "x")]
        self.assertEqual(read, [0, 7, NO_EPOCH, NO_EPOCH, NO_EPOCH])

    async def test_read_across_a_restoration(self) -> None:
        """Guards against a listing of pages from before and after a restoration."""
        for number in range(8):
            await self.store.put(f"servers/{number}", {"n": number})
        page = self.store.page

        def restore_after(prefix: str, after: str) -> dict:
            if after:
                self.store.era = 2
            return page(prefix, after)

        with mock.patch.object(self.store, "page", restore_after):
            with self.assertRaises(CodedError) as caught:
                await self.client.read(KeyPrefix.ENDPOINTS)
        self.assertEqual(caught.exception.code, "history_lost")

    async def test_a_watch_of_a_hanging_store_times_out(self) -> None:
        """The store accepts the connection and never answers. A watch without a timeout would keep
        an entry without updates for as long as the connection stays open."""
        self.store.fault = "hang"
        began = time.monotonic()
        with self.assertRaises(CodedError):
            await self.client.watch(KeyPrefix.ENDPOINTS, 5, 0.2)
        self.assertLess(time.monotonic() - began, 3.0)

    async def test_a_value_that_is_not_base64_becomes_empty(self) -> None:
        await self.store.put("servers/a", {"n": 1})
        self.store.items["servers/a"]["value"] = "!!"
        reading = await self.client.read(KeyPrefix.ENDPOINTS)
        self.assertEqual(reading.changes[0].value, b"")
