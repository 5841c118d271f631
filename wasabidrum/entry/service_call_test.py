"""Tests charges at an entry whose instance was suspended."""

import asyncio
import unittest

import logbook
from tornado import httpclient

from tests.suspended_clock import suspended_for

from ..core.errors import CodedError
from ..core.fleet import Fleet, FleetRevision
from ..core.instance import Instance, InstanceRole
from ..core.status import Status
from ..observe.event_log import EventLog
from ..wire import headers
from .caller_request import CallerRequest, make_caller_request
from .endpoint_table import EndpointTable
from .request_scheduler import RequestScheduler
from .service_call import ServiceCaller
from .service_request import ServiceRequest

NAME = "tally-1"
SERVICE = "tally"
INCARNATION = "i"
UPTIME_SECONDS = 100.0
SUSPENDED_SECONDS = 120.0
CALLER_TIMEOUT_SECONDS = 2.0
SLACK_SECONDS = 1.0


class UnansweredClient:
    """An HTTP client that sends every request but never gets a response."""

    def __init__(self) -> None:
        self.sent: list[httpclient.HTTPRequest] = []

    async def fetch(
        self, request: httpclient.HTTPRequest, raise_error: bool = True
    ) -> httpclient.HTTPResponse:
        """See AsyncHTTPClient."""
        self.sent.append(request)
        error = httpclient.HTTPError(599, "Stream closed")
        return httpclient.HTTPResponse(request, 599, error=error)


class SuspendedEntryTest(unittest.IsolatedAsyncioTestCase):
    """The entry is suspended, while its callers and the sidecar that has reported to it are not."""

    async def asyncSetUp(self) -> None:
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        self.client = UnansweredClient()
        self.table = EndpointTable(self.client, None)
        place = ("rift", "rift-a", "127.0.0.1", 9, 0)
        self.table.update_instances((Instance(NAME, InstanceRole.SIDECAR, *place),))
        self.report_uptime(UPTIME_SECONDS)
        self.services = ServiceCaller(
            self.client, RequestScheduler(self.table, log), self.table, log
        )

    def report_uptime(self, uptime: float) -> None:
        """Reports a status of the sidecar with the given uptime."""
        status = Status(NAME, InstanceRole.SIDECAR, INCARNATION, service=SERVICE, uptime=uptime)
        self.table.record_status(status)

    def make_caller(self) -> CallerRequest:
        """Returns a caller's request whose head has just been read."""
        return make_caller_request("r", "w", FleetRevision(1, "", Fleet(1)), CALLER_TIMEOUT_SECONDS)

    async def charge(self, caller: CallerRequest, key: str = "") -> None:
        """Makes a charge that gets no answer."""
        request = ServiceRequest(SERVICE, "POST", "/charge", "text/plain", b"", key)
        with self.assertRaises(CodedError):
            await self.services.call(caller, request)

    async def test_charge_is_not_sent_after_caller_deadline(self) -> None:
        """An entry is suspended for two minutes with a charge that it has read but not sent. The
        event loop's clock does not count that time, and the caller gave up long ago, unnoticed.
        After waking the entry gets a new status of the sidecar; by the loop's clock the caller
        would still be waiting, and the charge would run for a caller that has left."""
        caller = self.make_caller()
        with suspended_for(SUSPENDED_SECONDS):
            self.report_uptime(UPTIME_SECONDS + SUSPENDED_SECONDS)
            await self.charge(caller)
        self.assertEqual(len(self.client.sent), 0)

    async def test_key_issued_after_suspension_uses_current_uptime(self) -> None:
        """An entry wakes and gets a charge before a sidecar has reported again. By a clock that
        stopped meanwhile, the sidecar would seem two minutes younger than it is: a key issued now
        would have expired before it arrives, and the caller would be told "unknown" of a charge
        that never ran."""
        view = self.table.find(NAME)
        self.services.keys.uptime(view, INCARNATION)
        with suspended_for(SUSPENDED_SECONDS):
            key = self.services.keys.issue_for(view, CALLER_TIMEOUT_SECONDS)
        late = UPTIME_SECONDS + SUSPENDED_SECONDS - key.issued
        self.assertLess(abs(late), SLACK_SECONDS)

    async def test_deadline_is_sent_in_sidecar_uptime(self) -> None:
        """Without a suspension, a charge carries the caller's deadline."""
        asking = asyncio.ensure_future(self.charge(self.make_caller()))
        await asyncio.wait((asking,), timeout=CALLER_TIMEOUT_SECONDS + SLACK_SECONDS)
        sent_deadline = float(self.client.sent[0].headers[headers.START_BEFORE])
        self.assertLess(abs(UPTIME_SECONDS + CALLER_TIMEOUT_SECONDS - sent_deadline), SLACK_SECONDS)
        await asking


if __name__ == "__main__":
    unittest.main()
