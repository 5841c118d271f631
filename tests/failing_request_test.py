"""Requests whose task at an entry fails with an error that no rule knows."""

import asyncio
from unittest import mock

from tests import gateway_test
from tests.fake_platform import Reply, run_and_reset, stream_events
from wasabidrum.gateway.exchange import CallerExchange
from wasabidrum.gateway.forwarding import Forwarding
from wasabidrum.observe.event import Event
from wasabidrum.observe.event_log import EventLog

# Longer than any deadline here, and than a stop may take.
MAX_WAIT_SECONDS = 60.0


class FailingRequestTest(gateway_test.GatewayCase):
    """Callers get an answer, or see that a stream is cut."""

    def fail_at(self, owner: type, name: str) -> None:
        """Makes a method fail, which stands for any fault in the code."""
        failing = mock.patch.object(owner, name, side_effect=RuntimeError("a fault in the code"))
        failing.start()
        self.addCleanup(failing.stop)

    async def ask(self, kind: str = "unsafe") -> Reply:
        """Sends a request, and waits for its answer for a bounded time."""
        async with asyncio.timeout(MAX_WAIT_SECONDS):
            return await self.fleet.ask(0, "tally", kind, "r1", seconds=MAX_WAIT_SECONDS)

    async def test_request_that_fails_before_it_is_forwarded(self) -> None:
        """Guards against a caller that waits until its own time-out for a request of which the
        entry knows that it was not run."""
        self.fail_at(CallerExchange, "_serve")
        with mock.patch.object(EventLog, "write", autospec=True, side_effect=EventLog.write) as log:
            reply = await self.ask()
        self.assertEqual(reply.status, 503)
        self.assertIn(b'"not_run"', reply.body)
        self.assertIn("retry-after", reply.headers)
        self.assertIn(Event.HANDLER_FAILED, [call.args[1] for call in log.call_args_list])

    async def test_request_that_fails_while_it_is_forwarded(self) -> None:
        """Guards against a caller that is told nothing, or "not run", of a request that may have
        been sent to an endpoint."""
        self.fail_at(Forwarding, "_record_failed_attempt")
        self.set_both(run_and_reset)
        reply = await self.ask()
        self.assertEqual(self.runs("r1"), 1)
        self.assertEqual(reply.status, 502)
        self.assertIn(b'"unknown"', reply.body)

    async def test_stream_that_fails_after_its_first_event(self) -> None:
        """Guards against a caller that waits for the rest of a stream that nobody sends."""
        self.fail_at(Forwarding, "_record_failed_attempt")
        self.set_both(stream_events(1, 9, cut_after=3))
        reply = await self.ask("streaming")
        self.assertEqual(reply.status, 200)
        self.assertFalse(reply.whole)

    async def test_stop_does_not_wait_for_a_request_that_failed(self) -> None:
        """Guards against an entry that runs to the end of its grace period for a request that
        nothing answers."""
        self.fail_at(CallerExchange, "_serve")
        asking = asyncio.ensure_future(self.ask())
        await asyncio.sleep(0.1)
        began = self.loop.time()
        await self.gateway.stop()
        self.assertLess(self.loop.time() - began, 5.0)
        self.assertEqual((await asking).status, 503)
