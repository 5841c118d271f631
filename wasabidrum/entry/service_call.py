"""Calls to plain services: each non-idempotent one runs at most once, whoever repeats it."""

import asyncio
import contextlib

from tornado import httpclient

from ..core.awake_clock import awake_seconds
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
from .key_never_runs import KeyNeverRunsError, weaken_refusal
from .placement import Placement
from .retry_rule import RetryRule
from .service_exchange import NotToldError, ServiceExchange
from .service_order import ServiceOrder
from .traffic import Traffic
from .work_item import Priority, WorkItem

# Pauses before a call is sent again to the sidecar that alone may run it. Together they
# outlast a connection reset or a short stall; a longer outage is the caller's to wait for.
ASK_AGAIN_PAUSES_SECONDS = (0.05, 0.15, 0.4, 0.8)
# How long one copy waits in silence before another one joins it; doubled each time.
FIRST_PATIENCE_SECONDS = 3.0
# How much longer than its caller's deadline a key of our own is remembered, so that the
# caller who was told "unknown" can learn the result.
MINTED_KEY_EXTRA_SECONDS = 60.0
SHORTEST_READ_PATIENCE_SECONDS = 0.5


def find_call(fleet: Fleet, service: str, method: str, path: str) -> ServiceCall:
    """Returns what the files say of a call; one that they do not list is not idempotent."""
    spec = fleet.services.get(service)
    plain_path = path.partition("?")[0]
    for call in spec.calls if spec else ():
        if call.path == plain_path and call.method == method:
            return call
    return ServiceCall(path=plain_path, method=method)


class ServiceCaller:
    """Makes calls to plain services for the callers of one entry."""

    __slots__ = ("_client", "_traffic", "_table", "_log", "keys")

    def __init__(
        self,
        client: httpclient.AsyncHTTPClient,
        traffic: Traffic,
        table: EndpointTable,
        log: EventLog,
    ) -> None:
        self._client = client
        self._traffic = traffic
        self._table = table
        self._log = log
        self.keys = KeyIssuer(table)

    async def call(self, caller: CallerRequest, order: ServiceOrder) -> ServiceReply:
        """Makes one call.

        Raises:
          CodedError: No whole answer came; the outcome says what that means.
        """
        listed = find_call(caller.revision.fleet, order.service, order.method, order.path)
        item = WorkItem(
            request_id=caller.request_id,
            workspace=caller.workspace,
            priority=Priority.READ if listed.priority == "read" else Priority.CHARGE,
            deadline=caller.deadline,
            idempotent=listed.idempotent,
            service=order.service,
            awake_deadline=caller.awake_deadline,
        )
        if order.key and not listed.idempotent:
            return await self._call_with_key(caller, item, order)
        permit = await self._traffic.admit(item)
        try:
            return await self._call_anywhere(item, order)
        finally:
            permit.release()

    async def _call_with_key(
        self, caller: CallerRequest, item: WorkItem, order: ServiceOrder
    ) -> ServiceReply:
        """Makes a call with a caller's key, of which other copies may be anywhere."""
        key = self._check_key(caller, order)
        permit = None
        try:
            permit = await self._traffic.admit(item)
        except CodedError as error:
            # With no endpoint for new work the owner may still tell of the work it has.
            if error.code != "no_endpoint":
                raise weaken_refusal(error, order.key) from error
        try:
            return await self._call_owner(item, order, key)
        finally:
            if permit is not None:
                permit.release()

    def _check_key(self, caller: CallerRequest, order: ServiceOrder) -> IdempotencyKey:
        """Returns a caller's key.

        Raises:
          CodedError: No entry takes this key for this service, so it was not run with it.
        """
        key = parse_key(order.key)
        if key is None:
            # Nobody can prove whether another entry took a key of the caller's own making
            # to another endpoint, so no entry takes one.
            message = "send a key that was issued here"
            raise self._with_new_key(KeyNeverRunsError("key_not_issued", message, 400), order)
        endpoint = caller.revision.fleet.endpoints.get(key.endpoint)
        if endpoint is not None and endpoint.service != order.service:
            raise CodedError("key_for_another_service", "not a key for this", 422, Outcome.UNKNOWN)
        return key

    def _with_new_key(self, error: CodedError, order: ServiceOrder) -> CodedError:
        with contextlib.suppress(CodedError):
            error.idempotency_key = str(self.keys.issue(order.service))
        return error

    async def _call_anywhere(self, item: WorkItem, order: ServiceOrder) -> ServiceReply:
        """Makes a call that came without a key, and elsewhere where that is safe.

        An idempotent call may be made again after any failure, any other only where it
        provably did not run.
        """
        retries = RetryRule(self._traffic, item)
        tried: frozenset[str] = frozenset()
        failure: CodedError | None = None
        while True:
            try:
                placement = await self._place(item, tried)
            except CodedError as error:
                raise failure or error from error
            try:
                with ending(placement):
                    return await self._attempt(placement, order)
            except CodedError as error:
                failure = error
            if not item.idempotent and failure.outcome is not Outcome.NOT_RUN:
                raise failure
            await self._pause(retries, item, failure)
            tried |= {placement.view.instance.name}
            self._log.write(Event.CALL_PLACED_AGAIN, request=item.request_id, code=failure.code)

    async def _place(self, item: WorkItem, tried: frozenset[str]) -> Placement:
        try:
            return self._traffic.place(item, tried)
        except CodedError as error:
            if error.code != "no_endpoint" or not await self._traffic.wait_for_endpoint(
                item, tried
            ):
                raise
        return self._traffic.place(item, tried)

    async def _attempt(self, placement: Placement, order: ServiceOrder) -> ServiceReply:
        item = placement.item
        remaining = self._remaining(item)
        if item.idempotent:
            exchange = self._exchange(placement.view, item, order, None, placement)
            # Half of what is left: a stalled endpoint must not use up the time of the next.
            patience = max(min(SHORTEST_READ_PATIENCE_SECONDS, remaining), remaining / 2)
            return await exchange.send(remaining, patience, None)
        key = self.keys.issue_for(placement.view, remaining + MINTED_KEY_EXTRA_SECONDS)
        exchange = self._exchange(placement.view, item, order, key, placement)
        return await self._settle(exchange, item, others_sent=False)

    async def _pause(self, retries: RetryRule, item: WorkItem, failure: CodedError) -> None:
        """Waits before another attempt, or raises the failure where there will be none."""
        pause = retries.pause_before(failure)
        if pause is None or pause >= self._remaining(item):
            raise failure
        await asyncio.sleep(pause)

    async def _call_owner(
        self, item: WorkItem, order: ServiceOrder, key: IdempotencyKey
    ) -> ServiceReply:
        """Makes a call with a caller's key, which one incarnation alone may run."""
        view = self._find_owner(key)
        if view is None:
            raise self._unknown("key_owner_not_listed", "its endpoint is not listed", key)
        others = {known.instance.name for known in self._table.views} - {key.endpoint}
        placement: Placement | None = None
        # A leaving or full owner takes no new work but still tells of the old, so that it
        # cannot be placed on is no reason not to ask it.
        with contextlib.suppress(CodedError):
            placement = self._traffic.place(item, frozenset(others))
        exchange = self._exchange(view, item, order, key, placement)
        try:
            with ending(placement):
                return await self._settle(exchange, item, others_sent=True)
        except CodedError as error:
            if error.outcome is not Outcome.NOT_RUN:
                raise
            proved = KeyNeverRunsError(error.code, str(error), error.http_status)
            raise self._with_new_key(proved, order) from error

    async def _settle(
        self, exchange: ServiceExchange, item: WorkItem, others_sent: bool
    ) -> ServiceReply:
        """Sends a call to the one sidecar that may run it until that tells the outcome.

        Sending it again is safe: the sidecar joins or replays a copy that it has, and runs
        the call only where none came before.

        Args:
          others_sent: Whether copies of this call may have been sent by others.

        Raises:
          CodedError: The outcome, NOT_RUN only where it is proved.
        """
        key = exchange.key
        may_have_arrived = others_sent
        pauses = iter(ASK_AGAIN_PAUSES_SECONDS)
        patience = FIRST_PATIENCE_SECONDS
        while True:
            remaining = self._remaining(item)
            if remaining <= 0:
                raise self._unknown("deadline_passed", "no answer in time", key)
            waited = min(patience, remaining)
            try:
                await self._learn_uptime(exchange, waited)
                return await self._send(exchange, item, waited)
            except NotToldError as error:
                failure = error
            except CodedError as error:
                if error.code == "call_corrupt":
                    failure = error
                else:
                    raise self._with_old_key(error, key) from error
            if failure.outcome is Outcome.NOT_RUN and not may_have_arrived:
                raise failure
            may_have_arrived |= failure.outcome is not Outcome.NOT_RUN
            if remaining - self._remaining(item) >= waited * 0.9:
                patience *= 2
                continue
            pause = next(pauses, None)
            if pause is None or self._is_replaced(exchange):
                raise self._unknown("key_owner_unreachable", str(failure), key)
            self._log.write(Event.CALL_ASKED_AGAIN, request=item.request_id, code=failure.code)
            await asyncio.sleep(min(pause, max(0.0, self._remaining(item))))

    async def _learn_uptime(self, exchange: ServiceExchange, patience: float) -> None:
        """Asks the one sidecar how long it has run, where this entry has not heard it.

        Raises:
          NotToldError: It did not answer; no copy was sent.
        """
        # An entry that has just started, or that watches other endpoints, cannot tell the
        # deadline in the sidecar's time. Counted from when a paused sidecar reads it, it would
        # let the charge start long after its caller was told "unknown".
        status = exchange.view.status
        if status is not None and status.incarnation >= exchange.key.incarnation:
            return
        try:
            await self._table.ask(exchange.view, patience)
        except CodedError as error:
            raise NotToldError(error.code, str(error), error.http_status) from error

    async def _send(
        self, exchange: ServiceExchange, item: WorkItem, patience: float
    ) -> ServiceReply:
        """Sends one copy with its deadline in the sidecar's time."""
        remaining = self._remaining(item)
        uptime = self.keys.uptime(exchange.view, exchange.key.incarnation)
        start_before = None if uptime is None else uptime + remaining
        return await exchange.send(remaining, patience, start_before)

    def _exchange(
        self,
        view: EndpointView,
        item: WorkItem,
        order: ServiceOrder,
        key: IdempotencyKey | None,
        placement: Placement | None,
    ) -> ServiceExchange:
        names = (item.workspace, item.request_id)
        return ServiceExchange(self._client, view, order, *names, key, placement)

    def _find_owner(self, key: IdempotencyKey) -> EndpointView | None:
        return self._table.find(key.endpoint)

    def _is_replaced(self, exchange: ServiceExchange) -> bool:
        view = self._find_owner(exchange.key)
        if view is None or view.status is None:
            return False
        return view.status.incarnation > exchange.key.incarnation

    def _remaining(self, item: WorkItem) -> float:
        # By the event loop's clock the caller of a charge that was read before a suspension
        # would still wait after it, and the charge would run for nobody.
        return item.awake_deadline - awake_seconds()

    def _unknown(self, code: str, message: str, key: IdempotencyKey) -> CodedError:
        error = CodedError(code, message, 504, Outcome.UNKNOWN, retry_after=1.0)
        return self._with_old_key(error, key)

    def _with_old_key(self, error: CodedError, key: IdempotencyKey) -> CodedError:
        if error.outcome is Outcome.UNKNOWN:
            error.idempotency_key = str(key)
        return error


@contextlib.contextmanager
def ending(placement: Placement | None):
    """Ends a placement with the code of whatever ended its block."""
    code = "cancelled"
    try:
        yield
        code = ""
    except CodedError as error:
        code = error.code
        raise
    finally:
        if placement is not None:
            placement.ended(code)
