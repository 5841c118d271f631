"""Races between the recall of a request and its response, or the loss of its connection."""

import asyncio
import time
import unittest
from unittest import mock

from tests.fake_platform import FakeEndpoint, ReceivedRequest, reset, response_head
from tests.version_bound_test import VersionBoundCase
from wasabidrum.config.deployment import Bounds
from wasabidrum.gateway import published_state
from wasabidrum.platform import names

# Before an entry recalls unstarted requests, and well before the bound.
IN_TIME_SECONDS = 1.4
# How long a blocked process does not read its sockets; it ends before the bound.
BUSY_SECONDS = 0.55


class BusyEntryTest(VersionBoundCase):
    """An entry whose process is blocked when a request is due to be recalled."""

    async def test_started_response_that_is_still_unread_is_not_recalled(self) -> None:
        """An engine starts a stream well before the bound, and its first event is unread at an
        entry that is blocked for some tenths of a second. When the entry runs again, it could check
        for unstarted requests before it reads its sockets, take this one for unstarted and reset
        it. The caller would get an error for an unknown outcome, although its response had
        arrived."""
        start_at = asyncio.get_running_loop().create_future()

        async def start_and_block(
            endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            moment = await start_at
            await asyncio.sleep(moment - asyncio.get_running_loop().time())
            endpoint.runs[request.headers[names.REQUEST_ID.lower()]] += 1
            more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
            event = b"id: 1\ndata: t1\n\n"
            content = response_head(request, endpoint, "200 OK", *more)
            writer.write(content + b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))
            time.sleep(BUSY_SECONDS)

        self.old.handler = start_and_block
        named_at = await self.name_version_and_wait(2)
        start_at.set_result(named_at + IN_TIME_SECONDS)
        reply = await self.ask("r1")
        self.assertEqual((self.old.runs["r1"], reply.status, reply.whole), (1, 200, True))


class ResetTest(VersionBoundCase):
    """An engine that resets its connections while an entry recalls requests."""

    async def test_reset_during_recall_does_not_end_supervision(
        self,
    ) -> None:
        """An engine crashes just when its entry recalls requests from it, so the connection is
        already closed when the entry resets it. If that error ended the task that supervises
        attempts in progress, nothing would restart it: no request would be recalled from any engine
        from then on, and callers would get text from replaced weights."""
        crash_at = asyncio.get_running_loop().create_future()

        async def crash(
            endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            moment = await crash_at
            await asyncio.sleep(moment - asyncio.get_running_loop().time())
            reset(writer)
            await asyncio.sleep(0)
            # Spans several ticks, so that the next one is due together with the reset.
            time.sleep(BUSY_SECONDS)

        failed = []
        self.gateway.tasks._on_failure = lambda name, error: failed.append((name, repr(error)))
        self.old.handler = crash
        named_at = await self.name_version_and_wait(2)
        crash_at.set_result(named_at + IN_TIME_SECONDS)
        reply = await self.ask("r1")
        self.assertEqual((reply.status, failed), (502, []))


class WholeAnswerTest(VersionBoundCase):
    """An engine whose response comes in one piece, some time after the request started."""

    async def test_charge_that_started_in_time_is_not_recalled(self) -> None:
        """An engine starts a request that is not idempotent well before the bound, and responds
        with the whole result a second later. As nothing is sent sooner, the request looks unstarted
        and would be reset while it runs. Its caller would get an error for an unknown outcome, and
        the work would be lost."""

        async def run_for_a_second(
            endpoint: FakeEndpoint, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            endpoint.runs[request.headers[names.REQUEST_ID.lower()]] += 1
            await asyncio.sleep(1.2)
            writer.write(response_head(request, endpoint, "200 OK", "Content-Length: 2") + b"ok")
            await writer.drain()

        self.old.handler = run_for_a_second
        named_at = await self.name_version_and_wait(2)
        await asyncio.sleep(named_at + 0.8 - asyncio.get_running_loop().time())
        reply = await self.ask("r1", "unsafe")
        self.assertEqual((self.old.runs["r1"], reply.status), (1, 200))


class PromptAnswerTest(VersionBoundCase):
    """An entry that was suspended for less time than a watch waits at the store."""

    bounds = Bounds(version=4.0)

    async def test_response_delayed_within_watch_time_does_not_count_as_prompt(
        self,
    ) -> None:
        """An entry's watch is waiting at the store when a version is named, and the entry is
        suspended for 0.9 s before it reads the response. That is less than the watch could have
        waited, so if the response counted as prompt, the naming would be dated a tenth of a second
        before the reading, 0.8 s too late. When the bound passes three seconds later, requests
        would still start on the old version."""
        calls = self.fleet.store.calls
        await self.fleet.wait_until(lambda: self.fleet.store.calls > calls)
        await asyncio.sleep(0.15)
        named_at = published_state.boot_seconds()
        naming = asyncio.ensure_future(self.name_version(2))
        await asyncio.sleep(0)
        time.sleep(0.9)
        await naming
        await self.wait_until_known(2)
        bound_at = named_at + self.bounds.version
        with mock.patch.object(published_state, "boot_seconds", lambda: bound_at):
            self.assertFalse(self.gateway.state.may_begin("m1", 1))

    async def wait_until_known(self, version: int) -> None:
        """Waits until the entry knows a named version."""

        def is_known() -> bool:
            return ("m1", version) in [n[:2] for n in self.gateway.state.named_versions()]

        await self.fleet.wait_until(is_known)


if __name__ == "__main__":
    unittest.main()
