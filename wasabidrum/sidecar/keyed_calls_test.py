"""Tests of charges at a sidecar whose instance was suspended."""

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
from .keyed_calls import KeyedCalls

INCARNATION = "i"
SUSPENDED_SECONDS = 60.0
PATIENCE_SECONDS = 2.0


class SuspendedSidecarTest(unittest.IsolatedAsyncioTestCase):
    """The sidecar and its service stand still together; callers and entries do not."""

    async def asyncSetUp(self) -> None:
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        self.runs = 0
        tasks = BackgroundTasks(lambda name, error: None)
        self.calls = KeyedCalls(make_ledger(INCARNATION), tasks, log)

    async def work(self) -> ServiceReply:
        """Stands where the service runs the charge."""
        self.runs += 1
        return ServiceReply(200, "text/plain", b"charged")

    async def charge(self, key: IdempotencyKey, start_before: float) -> ServiceReply:
        """Has a charge arrive."""
        return await self.calls.run("w", key, b"f", start_before, self.work)

    async def test_a_charge_that_waited_in_the_socket_does_not_start_after_its_deadline(
        self,
    ) -> None:
        """An instance is suspended for a minute with a charge in its socket, by a clock that
        does not count the minute. Its caller was told "unknown" long ago and has turned to
        another stall; on waking the charge is two seconds from its deadline by that clock, and
        bills for copies that were never made."""
        sent_at = self.calls.uptime
        key = make_key("tally-1", INCARNATION, sent_at, 60.0 + PATIENCE_SECONDS)
        with suspended_for(SUSPENDED_SECONDS), self.assertRaises(CodedError):
            await self.charge(key, sent_at + PATIENCE_SECONDS)
        self.assertEqual(self.runs, 0)

    async def test_a_charge_sent_after_a_suspension_is_not_taken_for_one_from_the_future(
        self,
    ) -> None:
        """An instance was suspended for a minute, and entries went on counting its uptime. By
        a clock that stood still the keys that they issue are a minute ahead: for up to a minute
        each charge sent there ended as "unknown", though none had run and nothing was wrong any
        more, and tills did not dare to charge again."""
        sent_at = self.calls.uptime + SUSPENDED_SECONDS
        key = make_key("tally-1", INCARNATION, sent_at, 60.0 + PATIENCE_SECONDS)
        with suspended_for(SUSPENDED_SECONDS):
            reply = await self.charge(key, sent_at + PATIENCE_SECONDS)
        self.assertEqual((reply.body, self.runs), (b"charged", 1))

    async def test_what_was_refused_while_suspended_stays_refused(self) -> None:
        """The charge of a caller who left is told "not run" on waking, and a copy of it that
        was held up on a link arrives later. Run then, it would make that word untrue."""
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
