"""Calls to plain services. A non-idempotent call runs at most once, however often it is resent."""

import asyncio
import contextlib

from tornado import httpclient

from ..core.boot_clock import boot_seconds
from ..core.errors import CodedError
from ..core.fleet import Fleet, ServiceCall
from ..core.outcome import Outcome
from ..decisions.idempotency_key import IdempotencyKey, parse_key
from ..endpoints.service_reply import ServiceReply
from ..observe.event import Event
from ..observe.event_log import EventLog
from .caller_request import CallerRequest
from .endpoint_table import EndpointTable, EndpointView
from .key_issuer import KeyIssuer
from .key_refusal import KeyPermanentlyRefusedError, weaken_refusal
from .placement import Placement
from .request_scheduler import RequestScheduler
from .retry_policy import RetryPolicy
from .service_exchange import NoVerifiedAnswerError, ServiceExchange
from .service_request import ServiceRequest
from .work_item import Priority, WorkItem

# Delays before a call is resent to the only sidecar that may run it. Their sum outlasts a
# connection reset or a short stall; after a longer outage the caller has to resend.
RESEND_DELAYS_SECONDS = (0.05, 0.15, 0.4, 0.8)
# How long the first copy of a call may take before another copy is sent;
# doubled for each further copy that gets no answer in time.
FIRST_COPY_TIMEOUT_SECONDS = 3.0
# How much longer than the caller's deadline a key issued for a call without one is remembered, so
# that a caller who was told "unknown" can still learn the result.
OWN_KEY_EXTRA_SECONDS = 60.0
MIN_READ_TIMEOUT_SECONDS = 0.5


def find_call(fleet: Fleet, service: str, method: str, path: str) -> ServiceCall:
    """Returns the configuration of a call; one that is not configured is not idempotent."""
    spec = fleet.services.get(service)
    plain_path = path.partition("?")[0]
    for call in spec.calls if spec else ():
        if call.path == plain_path and call.method == method:
            return call
    return ServiceCall(path=plain_path, method=method)


class ServiceCaller:
    """Makes calls to plain services for the callers of one entry."""

    __slots__ = ("_client", "_scheduler", "_table", "_log", "keys")

    def __init__(
        self,
        client: httpclient.AsyncHTTPClient,
        scheduler: RequestScheduler,
        table: EndpointTable,
        log: EventLog,
    ) -> None:
        self._client = client
        self._scheduler = scheduler
        self._table = table
        self._log = log
        self.keys = KeyIssuer(table)

    async def call(self, caller: CallerRequest, request: ServiceRequest) -> ServiceReply:
        """Makes one call.

        Raises:
          CodedError: No complete answer arrived; the outcome says whether the call may have run.
        """
        call_spec = find_call(caller.revision.fleet, request.service, request.method, request.path)
        item = WorkItem(
            request_id=caller.request_id,
            workspace=caller.workspace,
            priority=Priority.READ if call_spec.priority == "read" else Priority.CHARGE,
            deadline=caller.deadline,
            idempotent=call_spec.idempotent,
            service=request.service,
            awake_deadline=caller.awake_deadline,
        )
        if request.key and not call_spec.idempotent:
            return await self._call_with_key(caller, item, request)
        permit = await self._scheduler.admit(item)
        try:
            return await self._call_anywhere(item, request)
        finally:
            permit.release()

    async def _call_with_key(
        self, caller: CallerRequest, item: WorkItem, request: ServiceRequest
    ) -> ServiceReply:
        """Makes a call with the caller's key; other copies of it may exist at any entry."""
        key = self._check_key(caller, request)
        permit = None
        # Admission waits for room at endpoints that stay. One that leaves accepts its keys for a
        # moment only, and no other endpoint can run the call.
        if not self._owner_is_leaving(key):
            try:
                permit = await self._scheduler.admit(item)
            except CodedError as error:
                # The endpoint that the key names can report on calls that it knows, even if no
                # endpoint accepts new work.
                if error.code != "no_endpoint":
                    raise weaken_refusal(error, request.key) from error
        try:
            return await self._call_owner(item, request, key)
        finally:
            if permit is not None:
                permit.release()

    def _owner_is_leaving(self, key: IdempotencyKey) -> bool:
        owner = self._find_owner(key)
        return owner is not None and owner.status is not None and owner.status.leaving

    def _check_key(self, caller: CallerRequest, request: ServiceRequest) -> IdempotencyKey:
        """Validates a caller's key and returns it parsed.

        Raises:
          CodedError: The key was not issued by an entry, so no copy of the call has run; or its
            endpoint belongs to another service now, and the outcome is unknown.
        """
        key = parse_key(request.key)
        if key is None:
            # Entries accept only keys that they issued. No entry could prove whether another
            # entry had sent a call with a key of the caller's own making to another endpoint.
            message = "the key was not issued here; request one first"
            raise self._attach_new_key(
                KeyPermanentlyRefusedError("key_not_issued", message, 400), request
            )
        endpoint = caller.revision.fleet.endpoints.get(key.endpoint)
        if endpoint is not None and endpoint.service != request.service:
            raise CodedError(
                "key_for_another_service",
                "the key's endpoint belongs to another service",
                422,
                Outcome.UNKNOWN,
            )
        return key

    def _attach_new_key(self, error: CodedError, request: ServiceRequest) -> CodedError:
        with contextlib.suppress(CodedError):
            error.idempotency_key = str(self.keys.issue(request.service))
        return error

    async def _call_anywhere(self, item: WorkItem, request: ServiceRequest) -> ServiceReply:
        """Makes a call that came without a key, with retries at other endpoints where safe.

        An idempotent call is retried after any failure, any other call only if it provably did
        not run.
        """
        retries = RetryPolicy(self._scheduler, item)
        tried: frozenset[str] = frozenset()
        failure: CodedError | None = None
        while True:
            try:
                placement = await self._place(item, tried)
            except CodedError as error:
                raise failure or error from error
            try:
                with ending_placement(placement):
                    return await self._attempt(placement, request)
            except CodedError as error:
                failure = error
            if not item.idempotent and failure.outcome is not Outcome.NOT_RUN:
                raise failure
            await self._wait_before_retry(retries, item, failure)
            tried |= {placement.view.instance.name}
            self._log.write(Event.CALL_PLACED_AGAIN, request=item.request_id, code=failure.code)

    async def _place(self, item: WorkItem, tried: frozenset[str]) -> Placement:
        try:
            return self._scheduler.place(item, tried)
        except CodedError as error:
            if error.code != "no_endpoint" or not await self._scheduler.wait_for_endpoint(
                item, tried
            ):
                raise
        return self._scheduler.place(item, tried)

    async def _attempt(self, placement: Placement, request: ServiceRequest) -> ServiceReply:
        item = placement.item
        remaining = self._remaining(item)
        if item.idempotent:
            exchange = self._exchange(placement.view, item, request, None, placement)
            # Half of the remaining time, so that a stalled endpoint leaves time for a retry.
            timeout = max(min(MIN_READ_TIMEOUT_SECONDS, remaining), remaining / 2)
            return await exchange.send(remaining, timeout, None)
        key = self.keys.issue_for(placement.view, remaining + OWN_KEY_EXTRA_SECONDS)
        exchange = self._exchange(placement.view, item, request, key, placement)
        return await self._resolve(exchange, item, others_may_have_sent=False)

    async def _wait_before_retry(
        self, retries: RetryPolicy, item: WorkItem, failure: CodedError
    ) -> None:
        """Waits before the next attempt, or raises the failure if there will be none."""
        pause = retries.delay_before_retry(failure)
        if pause is None or pause >= self._remaining(item):
            raise failure
        await asyncio.sleep(pause)

    async def _call_owner(
        self, item: WorkItem, request: ServiceRequest, key: IdempotencyKey
    ) -> ServiceReply:
        """Makes a call with the caller's key, which only one sidecar incarnation may run."""
        view = self._find_owner(key)
        if view is None:
            raise self._unknown_outcome(
                "key_owner_not_listed", "the endpoint that the key names is unknown", key
            )
        others = {known.instance.name for known in self._table.views} - {key.endpoint}
        placement: Placement | None = None
        # A leaving or full endpoint takes no new work but still reports on earlier calls, so it
        # is asked even if the call cannot be placed there.
        with contextlib.suppress(CodedError):
            placement = self._scheduler.place(item, frozenset(others))
        exchange = self._exchange(view, item, request, key, placement)
        try:
            with ending_placement(placement):
                return await self._resolve(exchange, item, others_may_have_sent=True)
        except CodedError as error:
            if error.outcome is not Outcome.NOT_RUN:
                raise
            permanent_refusal = KeyPermanentlyRefusedError(
                error.code, str(error), error.http_status
            )
            raise self._attach_new_key(permanent_refusal, request) from error

    async def _resolve(
        self, exchange: ServiceExchange, item: WorkItem, others_may_have_sent: bool
    ) -> ServiceReply:
        """Sends a call to the only sidecar that may run it until the outcome is known.

        Resending is safe: the sidecar joins a running copy or replays its answer, and runs the
        call only if no copy came before.

        Args:
          others_may_have_sent: Whether other entries may have sent copies of this call.

        Raises:
          CodedError: The outcome, which is NOT_RUN only if that is proved.
        """
        key = exchange.key
        may_have_arrived = others_may_have_sent
        pauses = iter(RESEND_DELAYS_SECONDS)
        timeout = FIRST_COPY_TIMEOUT_SECONDS
        while True:
            remaining = self._remaining(item)
            if remaining <= 0:
                raise self._unknown_outcome("deadline_passed", "no answer by the deadline", key)
            copy_timeout = min(timeout, remaining)
            try:
                await self._learn_uptime(exchange, copy_timeout)
                return await self._send(exchange, item, copy_timeout)
            except NoVerifiedAnswerError as error:
                failure = error
            except CodedError as error:
                if error.code == "call_corrupt":
                    failure = error
                else:
                    raise self._attach_key(error, key) from error
            if failure.outcome is Outcome.NOT_RUN and not may_have_arrived:
                raise failure
            may_have_arrived |= failure.outcome is not Outcome.NOT_RUN
            if remaining - self._remaining(item) >= copy_timeout * 0.9:
                timeout *= 2
                continue
            pause = next(pauses, None)
            if pause is None or self._is_replaced(exchange):
                raise self._unknown_outcome("key_owner_unreachable", str(failure), key)
            self._log.write(Event.CALL_ASKED_AGAIN, request=item.request_id, code=failure.code)
            await asyncio.sleep(min(pause, max(0.0, self._remaining(item))))

    async def _learn_uptime(self, exchange: ServiceExchange, timeout: float) -> None:
        """Fetches the sidecar's status if this entry does not know its uptime.

        Raises:
          NoVerifiedAnswerError: It did not respond; no copy was sent.
        """
        # An entry that has just started, or that watches other endpoints, cannot express the
        # deadline in the sidecar's uptime. If the sidecar counted the remaining time from when it
        # reads the call, a paused one could start the charge long after its caller was told
        # "unknown".
        status = exchange.view.status
        if status is not None and status.incarnation >= exchange.key.incarnation:
            return
        try:
            await self._table.fetch_status(exchange.view, timeout)
        except CodedError as error:
            raise NoVerifiedAnswerError(error.code, str(error), error.http_status) from error

    async def _send(
        self, exchange: ServiceExchange, item: WorkItem, timeout: float
    ) -> ServiceReply:
        """Sends one copy, with the deadline expressed in the sidecar's uptime."""
        remaining = self._remaining(item)
        uptime = self.keys.uptime(exchange.view, exchange.key.incarnation)
        start_before = None if uptime is None else uptime + remaining
        return await exchange.send(remaining, timeout, start_before)

    def _exchange(
        self,
        view: EndpointView,
        item: WorkItem,
        request: ServiceRequest,
        key: IdempotencyKey | None,
        placement: Placement | None,
    ) -> ServiceExchange:
        names = (item.workspace, item.request_id)
        return ServiceExchange(self._client, view, request, *names, key, placement)

    def _find_owner(self, key: IdempotencyKey) -> EndpointView | None:
        return self._table.find(key.endpoint)

    def _is_replaced(self, exchange: ServiceExchange) -> bool:
        view = self._find_owner(exchange.key)
        if view is None or view.status is None:
            return False
        return view.status.incarnation > exchange.key.incarnation

    def _remaining(self, item: WorkItem) -> float:
        # The event loop's clock stops while the instance is suspended. By it, the caller of a
        # charge that was read before a suspension would still seem to wait afterwards, and the
        # charge would run although its caller has gone.
        return item.awake_deadline - boot_seconds()

    def _unknown_outcome(self, code: str, message: str, key: IdempotencyKey) -> CodedError:
        error = CodedError(code, message, 504, Outcome.UNKNOWN, retry_after=1.0)
        return self._attach_key(error, key)

    def _attach_key(self, error: CodedError, key: IdempotencyKey) -> CodedError:
        if error.outcome is Outcome.UNKNOWN:
            error.idempotency_key = str(key)
        return error


@contextlib.contextmanager
def ending_placement(placement: Placement | None):
    """Ends a placement with the code of the error that left the block, if any."""
    code = "cancelled"
    try:
        yield
        code = ""
    except CodedError as error:
        code = error.code
        raise
    finally:
        if placement is not None:
            placement.end(code)
