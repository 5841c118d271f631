"""Tests of calls with idempotency keys at a sidecar whose instance was suspended."""

import unittest

import logbook

from tests.suspended_clock import suspended_for

from ..core.background_tasks import BackgroundTasks
from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..decisions.idempotency_key import IdempotencyKey, make_key
from ..decisions.idempotency_ledger import make_ledger
from ..endpoints.service_reply import ServiceReply
from ..observe.event_log import EventLog
from .idempotent_calls import IdempotentCalls

INCARNATION = "i"
SUSPENDED_SECONDS = 60.0
PATIENCE_SECONDS = 2.0


class SuspendedSidecarTest(unittest.IsolatedAsyncioTestCase):
    """The sidecar and its service are suspended together, while callers and entries run on."""

    async def asyncSetUp(self) -> None:
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        self.runs = 0
        tasks = BackgroundTasks(lambda name, error: None)
        self.calls = IdempotentCalls(make_ledger(INCARNATION), tasks, log)

    async def work(self) -> ServiceReply:
        """Stands in for the service that runs the charge."""
        self.runs += 1
        return ServiceReply(200, "text/plain", b"charged")

    async def charge(self, key: IdempotencyKey, start_before: float) -> ServiceReply:
        """Passes a charge to the sidecar."""
        return await self.calls.run("w", key, b"f", start_before, self.work)

    async def test_a_charge_that_waited_in_the_socket_does_not_start_after_its_deadline(
        self,
    ) -> None:
        """An instance is suspended for a minute with a charge in its socket. Its caller got
        "unknown" long ago and went elsewhere. By a clock that does not count the suspension, the
        charge's deadline is still two seconds away on resumption, so it would run and bill the
        caller for nothing."""
        sent_at = self.calls.uptime
        key = make_key("tally-1", INCARNATION, sent_at, 60.0 + PATIENCE_SECONDS)
        with suspended_for(SUSPENDED_SECONDS), self.assertRaises(CodedError):
            await self.charge(key, sent_at + PATIENCE_SECONDS)
        self.assertEqual(self.runs, 0)

    async def test_a_charge_sent_after_a_suspension_is_not_refused_as_from_the_future(
        self,
    ) -> None:
        """An instance was suspended for a minute, while entries kept counting its uptime. By a
        clock that stopped, the keys that they issue are a minute ahead. For up to a minute each
        charge sent there would end as "unknown", although none had run and the instance is
        healthy, and callers could not safely retry."""
        sent_at = self.calls.uptime + SUSPENDED_SECONDS
        key = make_key("tally-1", INCARNATION, sent_at, 60.0 + PATIENCE_SECONDS)
        with suspended_for(SUSPENDED_SECONDS):
            reply = await self.charge(key, sent_at + PATIENCE_SECONDS)
        self.assertEqual((reply.body, self.runs), (b"charged", 1))

    async def test_a_call_refused_after_a_suspension_stays_refused(self) -> None:
        """On resumption, the charge of a caller that disconnected is answered with "not run",
        and a delayed copy of it arrives later. If that copy ran, the answer would be wrong."""
        sent_at = self.calls.uptime
        key = make_key("tally-1", INCARNATION, sent_at, 2 * SUSPENDED_SECONDS)
        with suspended_for(SUSPENDED_SECONDS):
            for start_before in (sent_at + PATIENCE_SECONDS, sent_at + 2 * SUSPENDED_SECONDS):
                with self.assertRaises(CodedError) as caught:
                    await self.charge(key, start_before)
                self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.runs, 0)


if __name__ == "__main__":
    unittest.main()
