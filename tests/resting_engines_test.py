"""Engines of the own dialect that turn requests away and ask for rest."""

import asyncio
import collections
import types
import unittest

import logbook
import msgspec
from tornado import httpserver, netutil, web

from tests.paused_clock import PausedClockCase
from wasabidrum.core.background_tasks import BackgroundTasks
from wasabidrum.core.errors import CodedError
from wasabidrum.core.fleet import Fleet, FleetRevision, ServiceCall, ServiceSpec
from wasabidrum.core.instance import Instance, InstanceRole
from wasabidrum.core.load import Load
from wasabidrum.core.requests_in_progress import RequestsInProgress
from wasabidrum.core.status import Status
from wasabidrum.decisions.death_record import DeathRecord
from wasabidrum.endpoints.http_model_engine import make_model_engine
from wasabidrum.endpoints.http_plain_service import make_plain_service
from wasabidrum.entry.caller_request import make_caller_request
from wasabidrum.entry.endpoint_table import EndpointTable
from wasabidrum.entry.model_call import ModelCaller
from wasabidrum.entry.request_scheduler import RequestScheduler
from wasabidrum.entry.service_call import ServiceCaller
from wasabidrum.entry.service_request import ServiceRequest
from wasabidrum.observe.event_log import EventLog
from wasabidrum.sidecar import call_handlers
from wasabidrum.sidecar.attempt_registry import AttemptRegistry
from wasabidrum.wire import http_client

MODEL = "summaries"
SERVICE = "tally"
REST_SECONDS = 3.0
CALLS = (ServiceCall("/", "GET", idempotent=True, priority="read"),)
FLEET = Fleet(1, services={SERVICE: ServiceSpec(CALLS)})
STATUS_SECONDS = 0.25
INTERVAL_SECONDS = 0.1


class Endpoint:
    """A model engine or plain service with its sidecar's handlers.

    Attributes:
      rest: The Retry-After of its refusals; None while it answers.
      arrived_at: When requests arrived.
    """

    def __init__(self, name: str, model: str) -> None:
        self.name = name
        self.rest: str | None = None
        self.status_code = 503
        self.incarnation = "i"
        self.arrived_at: list[float] = []
        self._model = model
        self._sequence = 0
        client = http_client.make_client()
        url = f"http://127.0.0.1:{serve([(r'/.*', EndpointHandler, {'endpoint': self})])}"
        # What CallHandler needs of a sidecar.
        self.engine = make_model_engine(client, url) if model else None
        self.service = None if model else make_plain_service(client, url)
        self.leaving = False
        self.requests = RequestsInProgress()
        self.attempts = AttemptRegistry()
        self.deaths = DeathRecord()
        self.node = types.SimpleNamespace(wake_all=lambda: None)
        self.tasks = BackgroundTasks(lambda name, error: None)
        arguments = {"sidecar": self}
        self.port = serve(
            [
                (r"/internal/generate", call_handlers.GenerateHandler, arguments),
                (r"/internal/service", call_handlers.ServiceHandler, arguments),
            ]
        )

    def status(self) -> Status:
        """See CallHandlerOwner."""
        self._sequence += 1
        return Status(
            self.name,
            InstanceRole.SIDECAR,
            self.incarnation,
            self._sequence,
            model=self._model,
            version="v1" if self._model else "",
            service="" if self._model else SERVICE,
            load=Load(0, 0, 8),
        )

    async def cancel(self, attempt_id: str) -> None:
        """See CallHandlerOwner."""
        self.attempts.cancel(attempt_id)


class EndpointHandler(web.RequestHandler):
    """Answers, or turns requests away."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Stores the endpoint."""
        self.endpoint = endpoint

    def post(self) -> None:
        """Answers one token, or refuses."""
        self.endpoint.arrived_at.append(asyncio.get_running_loop().time())
        if self.endpoint.rest is not None:
            self.set_status(self.endpoint.status_code)
            self.set_header("Retry-After", self.endpoint.rest)
        elif self.endpoint.engine is not None:
            attempt = msgspec.json.decode(self.request.body)["request_id"]
            events = [{"request_id": attempt, "version": "v1"}, {"i": 0, "t": "a"}]
            events.append({"done": True, "tokens": 1, "version": "v1"})
            self.write(b"".join(msgspec.json.encode(event) + b"\n" for event in events))

    get = post


def serve(routes: list[tuple]) -> int:
    """Serves some routes; returns the port."""
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server = httpserver.HTTPServer(web.Application(routes, log_function=lambda handler: None))
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]


class RestCase(PausedClockCase):
    """One entry before two endpoints."""

    model = MODEL

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.endpoints = [Endpoint(f"e{number}", self.model) for number in range(2)]
        client = http_client.make_client()
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        self.table = EndpointTable(client, None)
        self.table.update_instances(
            tuple(
                Instance(each.name, InstanceRole.SIDECAR, "r", "r-1", "127.0.0.1", each.port, 0)
                for each in self.endpoints
            )
        )
        scheduler = RequestScheduler(self.table, log)
        self.models = ModelCaller(client, scheduler, self.table, log)
        self.services = ServiceCaller(client, scheduler, self.table, log)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.waits: list[float] = []
        self.reporting = asyncio.ensure_future(self.report())
        self.addCleanup(self.reporting.cancel)

    async def report(self) -> None:
        """Reports the status of both sidecars, again and again."""
        while True:
            for endpoint in self.endpoints:
                self.table.record_status(endpoint.status())
            await asyncio.sleep(STATUS_SECONDS)

    async def ask(self) -> None:
        """Makes one request."""
        caller = make_caller_request("r", "w", FleetRevision(1, "", FLEET), 5.0)
        try:
            if self.model:
                async for _ in self.models.generate(caller, MODEL, "a prompt", 1):
                    pass
            else:
                request = ServiceRequest(SERVICE, "GET", "/", "text/plain", b"")
                reply = await self.services.call(caller, request)
                self.waits.append(float(reply.retry_after or 0.0))
            self.outcomes["done"] += 1
        except CodedError as error:
            self.outcomes[error.code] += 1
            self.waits.append(error.retry_after)

    async def load(self, seconds: float) -> None:
        """Makes requests at regular intervals."""
        ends = self.loop.time() + seconds
        while self.loop.time() < ends:
            await self.ask()
            await asyncio.sleep(INTERVAL_SECONDS)

    def disturbances(self, number: int) -> list[float]:
        """Returns for each request during a rest how long after the first refusal it arrived."""
        arrived = self.endpoints[number].arrived_at
        return [at - arrived[0] for at in arrived[1:] if at - arrived[0] < REST_SECONDS - 0.01]


class RestingEngineTest(RestCase):
    """Model engines."""

    async def test_engine_gets_nothing_until_its_rest_has_ended(self) -> None:
        """Guards against requests that are turned away, and keep an engine from recovering, because
        the entry does not hear for how long it wants none."""
        await asyncio.sleep(1.0)
        self.endpoints[0].rest = str(REST_SECONDS)
        await self.load(2.0)
        self.assertEqual(len(self.endpoints[0].arrived_at), 1)
        self.endpoints[0].rest = None
        await self.load(4.0)
        self.assertEqual(self.disturbances(0), [])
        self.assertGreater(len(self.endpoints[0].arrived_at), 5)
        self.assertEqual(set(self.outcomes), {"done"})

    async def test_callers_are_told_when_the_first_rest_ends(self) -> None:
        """Guards against callers who come back every second in vain while all engines rest."""
        for endpoint in self.endpoints:
            endpoint.rest = str(REST_SECONDS)
        await asyncio.sleep(1.0)
        began = self.loop.time()
        for _ in range(5):
            await self.ask()
            left = began + REST_SECONDS - self.loop.time()
            self.assertGreaterEqual(self.waits[-1], left - 0.01)
            self.assertLess(self.waits[-1], 2.0 * REST_SECONDS)
        self.assertEqual(sum(len(each.arrived_at) for each in self.endpoints), 2)

    async def test_instance_that_starts_again_has_asked_for_no_rest(self) -> None:
        """Guards against an engine that gets nothing because the one before it wanted rest."""
        self.endpoints[0].rest = "600"
        await self.load(2.0)
        self.endpoints[0].rest = None
        self.endpoints[0].incarnation = "j"
        await self.load(2.0)
        self.assertGreater(len(self.endpoints[0].arrived_at), 3)

    async def test_refusal_without_a_rest_is_as_before(self) -> None:
        """Guards against an engine that gets nothing because of a Retry-After that is no rest."""
        self.endpoints[0].rest = "Wed, 21 Oct 2026 07:28:00 GMT"
        await self.load(2.0)
        self.assertGreater(len(self.endpoints[0].arrived_at), 1)
        self.assertEqual(set(self.outcomes), {"done"})


class RestingServiceTest(RestCase):
    """Plain services."""

    model = ""

    async def test_service_gets_nothing_until_its_rest_has_ended(self) -> None:
        """Guards against calls that keep a service from recovering, and a caller who is not told
        what it has asked for."""
        self.endpoints[0].rest = str(REST_SECONDS)
        await self.load(2.0)
        self.assertEqual(len(self.endpoints[0].arrived_at), 1)
        self.assertEqual([wait for wait in self.waits if wait], [REST_SECONDS])

    async def test_limit_of_a_caller_is_passed_on_and_no_rest(self) -> None:
        """Guards against a service that gets nothing because one caller has reached its limit."""
        self.endpoints[0].rest = str(REST_SECONDS)
        self.endpoints[0].status_code = 429
        await self.load(2.0)
        self.assertGreater(len(self.endpoints[0].arrived_at), 1)
        self.assertIn(REST_SECONDS, self.waits)


if __name__ == "__main__":
    unittest.main()
