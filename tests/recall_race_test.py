"""Requests that are recalled in the moment in which their answer comes, or is lost."""

import asyncio
import time
import unittest
from unittest import mock

from tests.listed_platform import FakeEndpoint, Seen, head_of, reset
from tests.version_bound_test import VersionBoundCase
from wasabidrum.config.deployment import Bounds
from wasabidrum.gateway import published_state
from wasabidrum.platform import names

# Before an entry recalls what has not begun, and well before the bound.
IN_TIME_SECONDS = 1.4
# For this long a busy process does not look at its sockets; then the bound has not come yet.
BUSY_SECONDS = 0.55


class BusyEntryTest(VersionBoundCase):
    """An entry whose process is busy while its time to recall a request comes."""

    async def test_an_answer_that_has_begun_and_was_not_read_yet_is_not_taken_back(self) -> None:
        """An engine begins a stream well before the bound, and its first event lies unread at an
        entry that is busy for some tenths of a second. When the entry gets a turn it first looks
        for what has not begun, finds this one, and resets it. The caller is told that nobody
        answered, though its answer was there."""
        begin_at = asyncio.get_running_loop().create_future()

        async def begin_and_be_busy(
            endpoint: FakeEndpoint, seen: Seen, writer: asyncio.StreamWriter
        ) -> None:
            moment = await begin_at
            await asyncio.sleep(moment - asyncio.get_running_loop().time())
            endpoint.runs[seen.headers[names.REQUEST_ID.lower()]] += 1
            more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
            event = b"id: 1\ndata: t1\n\n"
            content = head_of(seen, endpoint, "200 OK", *more)
            writer.write(content + b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))
            time.sleep(BUSY_SECONDS)

        self.old.behave = begin_and_be_busy
        named_at = await self.name_and_hear(2)
        begin_at.set_result(named_at + IN_TIME_SECONDS)
        reply = await self.ask("r1")
        self.assertEqual((self.old.runs["r1"], reply.status, reply.whole), (1, 200, True))


class ResetTest(VersionBoundCase):
    """An engine that resets its connections while an entry takes requests back."""

    async def test_a_request_that_is_lost_while_it_is_taken_back_does_not_end_the_looking(
        self,
    ) -> None:
        """An engine crashes just when its entry recalls what it holds. The connection is
        closed already when the entry resets it; the error ends the task that looks after
        attempts in progress, and nothing starts it again. From then on nothing is recalled
        from any engine, and callers get text from weights that were replaced."""
        crash_at = asyncio.get_running_loop().create_future()

        async def crash(endpoint: FakeEndpoint, seen: Seen, writer: asyncio.StreamWriter) -> None:
            moment = await crash_at
            await asyncio.sleep(moment - asyncio.get_running_loop().time())
            reset(writer)
            await asyncio.sleep(0)
            # Several ticks pass, so that the next one is due with the news of the reset.
            time.sleep(BUSY_SECONDS)

        failed = []
        self.gateway.tasks._on_failure = lambda name, error: failed.append((name, repr(error)))
        self.old.behave = crash
        named_at = await self.name_and_hear(2)
        crash_at.set_result(named_at + IN_TIME_SECONDS)
        reply = await self.ask("r1")
        self.assertEqual((reply.status, failed), (502, []))


class WholeAnswerTest(VersionBoundCase):
    """An engine whose answer comes in one piece, some time after it began."""

    async def test_a_charge_that_began_in_time_is_not_cut_off_at_the_bound(self) -> None:
        """An engine begins a request that may run only once, well before the bound, and its
        answer comes as a whole a second later. Nothing of it can come sooner, so that it passes
        for one that has not begun: it is reset while it runs. The caller is told that nobody
        knows whether it ran, and what it ran for is lost."""

        async def run_for_a_second(
            endpoint: FakeEndpoint, seen: Seen, writer: asyncio.StreamWriter
        ) -> None:
            endpoint.runs[seen.headers[names.REQUEST_ID.lower()]] += 1
            await asyncio.sleep(1.2)
            writer.write(head_of(seen, endpoint, "200 OK", "Content-Length: 2") + b"ok")
            await writer.drain()

        self.old.behave = run_for_a_second
        named_at = await self.name_and_hear(2)
        await asyncio.sleep(named_at + 0.8 - asyncio.get_running_loop().time())
        reply = await self.ask("r1", "unsafe")
        self.assertEqual((self.old.runs["r1"], reply.status), (1, 200))


class PromptAnswerTest(VersionBoundCase):
    """An entry that was held up for less than a question waits at the store."""

    bounds = Bounds(version=4.0)

    async def test_an_answer_that_was_held_up_within_its_wait_is_not_taken_for_prompt(
        self,
    ) -> None:
        """An entry's question waits at the store when a version is named, and the entry is
        suspended for 0.9 s before it reads the answer. That is less than the question was to
        wait, so that the naming is dated a tenth of a second before the reading, 0.8 s late.
        When the bound comes, three seconds later, requests still begin on the old version."""
        calls = self.fleet.store.calls
        await self.fleet.wait_until(lambda: self.fleet.store.calls > calls)
        await asyncio.sleep(0.15)
        named_at = published_state.boot_seconds()
        naming = asyncio.ensure_future(self.name_version(2))
        await asyncio.sleep(0)
        time.sleep(0.9)
        await naming
        await self.name_is_heard(2)
        bound_at = named_at + self.bounds.version
        with mock.patch.object(published_state, "boot_seconds", lambda: bound_at):
            self.assertFalse(self.gateway.state.may_begin("m1", 1))

    async def name_is_heard(self, version: int) -> None:
        """Waits until the entry knows of a version."""

        def heard() -> bool:
            return ("m1", version) in [n[:2] for n in self.gateway.state.named_versions()]

        await self.fleet.wait_until(heard)


if __name__ == "__main__":
    unittest.main()
