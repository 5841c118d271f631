"""Tests of downloading content from a faulty source."""

import asyncio
import unittest
from unittest import mock

from ..core.errors import CodedError
from ..wire import http_client
from . import http_blob_source

TEST_TIMEOUT_SECONDS = 20.0
STALL_SECONDS = 0.2


class HttpBlobSourceTest(unittest.IsolatedAsyncioTestCase):
    """A download ends with the content, or with an error whose code tells how to go on."""

    async def fetch(self, answer: bytes, closes: bool) -> bytes:
        """Fetches from a source that sends some bytes and then closes, or sends nothing more."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            if closes:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        source = http_blob_source.make_blob_source(http_client.make_client(), url, STALL_SECONDS)
        return await asyncio.wait_for(source.fetch("0" * 64), TEST_TIMEOUT_SECONDS)

    async def expect(self, answer: bytes, closes: bool, code: str) -> CodedError:
        """Fetches, and fails the test unless the error has the given code."""
        with self.assertRaises(CodedError) as raised:
            await self.fetch(answer, closes)
        self.assertEqual(raised.exception.code, code)
        return raised.exception

    async def test_complete_content(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
        self.assertEqual(await self.fetch(answer, closes=False), b"whole")

    async def test_a_link_that_stalls_without_closing(self) -> None:
        """The link to the origin stalls in the middle of a chunk without closing. Without the
        stall timeout, the rollout stops for two minutes with one chunk missing."""
        half = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"
        await self.expect(half, closes=False, code="source_unreachable")
        await self.expect(b"", closes=False, code="source_unreachable")

    async def test_a_connection_closed_within_the_content(self) -> None:
        """The origin's instance dies in the middle of a chunk. The incomplete chunk must fail
        at once as unreachable, and not only when its digest is verified."""
        half = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"
        await self.expect(half, closes=True, code="source_unreachable")

    async def test_cancellation_as_content_arrives(self) -> None:
        """Guards against a download that goes on, for a version that is no longer wanted, because
        its cancellation was dropped as content arrived."""
        for iterations in range(4):
            stream = http_client.ResponseStream()
            stream.status = 200
            opened = mock.AsyncMock(return_value=stream)
            source = http_blob_source.make_blob_source(mock.Mock(), "", STALL_SECONDS)
            with mock.patch.object(http_client, "open_stream", opened):
                fetching = asyncio.ensure_future(source.fetch("0" * 64))
                await asyncio.sleep(0.01)
                stream.on_body_part(b"whole")
                stream.finish(None)
                for _ in range(iterations):
                    await asyncio.sleep(0)
                if not fetching.cancel():
                    break
                with self.assertRaises(asyncio.CancelledError, msg=iterations):
                    await fetching

    async def test_a_busy_store_with_a_date_in_retry_after(self) -> None:
        """The store refuses by its rate limit and gives Retry-After as a date, as HTTP allows.
        Parsed as a number, it would end the download task, and the rollout with it."""
        head = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\nRetry-After: "
        busy = await self.expect(
            head + b"Wed, 21 Oct 2026 07:28:00 GMT\r\n\r\n", False, "source_busy"
        )
        self.assertEqual(busy.retry_after, http_blob_source.DEFAULT_RETRY_AFTER_SECONDS)
        busy = await self.expect(head + b"7\r\n\r\n", False, "source_busy")
        self.assertEqual(busy.retry_after, 7.0)
