"""Tests of charges at an entry whose instance was suspended."""

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
from .service_call import ServiceCaller
from .service_order import ServiceOrder
from .traffic import Traffic

NAME = "tally-1"
SERVICE = "tally"
INCARNATION = "i"
UPTIME_SECONDS = 100.0
SUSPENDED_SECONDS = 120.0
PATIENCE_SECONDS = 2.0
SLACK_SECONDS = 1.0


class LosingClient:
    """A client whose every request leaves and gets no answer."""

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
    """The entry stands still; the sidecar that it has heard and its callers do not."""

    async def asyncSetUp(self) -> None:
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        self.client = LosingClient()
        self.table = EndpointTable(self.client, None)
        place = ("rift", "rift-a", "127.0.0.1", 9, 0)
        self.table.take_list((Instance(NAME, InstanceRole.SIDECAR, *place),))
        self.hear(UPTIME_SECONDS)
        self.services = ServiceCaller(self.client, Traffic(self.table, log), self.table, log)

    def hear(self, uptime: float) -> None:
        """Has the sidecar tell its uptime."""
        told = Status(NAME, InstanceRole.SIDECAR, INCARNATION, service=SERVICE, uptime=uptime)
        self.table.take_status(told)

    def make_caller(self) -> CallerRequest:
        """Returns a caller whose head has just been read."""
        return make_caller_request("r", "w", FleetRevision(1, "", Fleet(1)), PATIENCE_SECONDS)

    async def charge(self, caller: CallerRequest, key: str = "") -> None:
        """Makes a charge that ends without an answer."""
        order = ServiceOrder(SERVICE, "POST", "/charge", "text/plain", b"", key)
        with self.assertRaises(CodedError):
            await self.services.call(caller, order)

    async def test_a_charge_is_not_sent_for_a_caller_who_left_meanwhile(self) -> None:
        """An entry is suspended for two minutes with a charge that it has read and not sent,
        by a clock that does not count them. Its caller gave up long ago; a word that tells of
        it lies unread or was lost. On waking the entry has heard the sidecar anew, and by its
        own clock the caller still waits: the charge ran for nobody."""
        caller = self.make_caller()
        with suspended_for(SUSPENDED_SECONDS):
            self.hear(UPTIME_SECONDS + SUSPENDED_SECONDS)
            await self.charge(caller)
        self.assertEqual(len(self.client.sent), 0)

    async def test_a_key_issued_on_waking_is_not_two_minutes_old(self) -> None:
        """An entry wakes and gets a charge before it has heard a sidecar anew. By a clock that
        stood still it takes the sidecar for two minutes younger than it is: the key that it
        issues has expired before it arrives, and the caller of a charge that nobody ever ran is
        told "unknown"."""
        view = self.table.find(NAME)
        self.services.keys.uptime(view, INCARNATION)
        with suspended_for(SUSPENDED_SECONDS):
            key = self.services.keys.issue_for(view, PATIENCE_SECONDS)
        late = UPTIME_SECONDS + SUSPENDED_SECONDS - key.issued
        self.assertLess(abs(late), SLACK_SECONDS)

    async def test_a_sidecar_is_told_when_the_caller_leaves_in_its_own_time(self) -> None:
        """Neither stood still: the deadline that a charge carries is the caller's."""
        asking = asyncio.ensure_future(self.charge(self.make_caller()))
        await asyncio.wait((asking,), timeout=PATIENCE_SECONDS + SLACK_SECONDS)
        told = float(self.client.sent[0].headers[headers.START_BEFORE])
        self.assertLess(abs(UPTIME_SECONDS + PATIENCE_SECONDS - told), SLACK_SECONDS)
        await asking


if __name__ == "__main__":
    unittest.main()
