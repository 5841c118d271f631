"""Applies the load decisions to requests: admission, choice of endpoint and retries."""

import asyncio
import collections.abc
import random

from ..core.errors import CodedError
from ..core.status import Status
from ..decisions import backoff, poison, prefix_affinity
from ..decisions.endpoint_health import Health
from ..decisions.endpoint_state import EndpointState
from ..decisions.in_progress_limit import InProgressLimit
from ..decisions.retry_budget import RetryBudget
from ..decisions.ticket import Refusal, Ticket, TicketState
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers.configuration_follower import ConfigurationFollower
from .attempt_observer import AttemptObserver
from .endpoint_table import EndpointTable
from .no_exclusive_endpoint import NoExclusiveEndpointError
from .permit import Permit
from .placement import Placement
from .refusals import blocked_error, refusal_error
from .request_costs import RequestCosts
from .suspect_end_notifier import SuspectEndNotifier
from .target_pool import REFRESH_SECONDS, TargetPool
from .work_item import Priority, WorkItem

MIN_TIMER_SECONDS = 0.001


class RequestScheduler:
    """Admits, places and retries the requests of one entry.

    Attributes:
      suspect_ends: Wakes requests that could not be placed because of other suspects.
    """

    def __init__(
        self,
        table: EndpointTable,
        log: EventLog,
        follower: ConfigurationFollower | None = None,
        region: str = "",
        data_centre: str = "",
        rng: random.Random | None = None,
        count_entries: collections.abc.Callable[[], int] = lambda: 1,
    ) -> None:
        self._table = table
        self._log = log
        self._region = region
        self._data_centre = data_centre
        self._rng = rng or random.Random()
        self._pools: dict[tuple[str, str], TargetPool] = {}
        self._in_progress_limit = InProgressLimit()
        self._costs = RequestCosts(follower, count_entries, self._rng)
        self._budget = RetryBudget()
        self._guard = poison.PoisonGuard()
        self._observer = AttemptObserver(self._guard, log)
        self.suspect_ends = SuspectEndNotifier()

    @property
    def waiting(self) -> int:
        """The number of requests waiting for admission."""
        return sum(pool.queue.waiting for pool in self._pools.values())

    @property
    def resting(self) -> int:
        """The number of endpoints that want no requests from this entry now."""
        return sum(pool.resting_count() for pool in self._pools.values())

    async def admit(self, item: WorkItem) -> Permit:
        """Waits until the request is admitted.

        Raises:
          CodedError: It is refused, with outcome NOT_RUN and a time after which to retry.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        pool = self._pool(item)
        self._advance(pool, now)
        if item.fingerprint and self._guard.is_blocked(item.fingerprint, now):
            raise blocked_error()
        ticket = self._costs.make_ticket(item)
        if not self._in_progress_limit.acquire(item.priority):
            raise refusal_error(
                Refusal("entry_full", "this entry has too many requests in progress", 1.0)
            )
        try:
            self._costs.charge(item, ticket, now)
        except CodedError:
            self._in_progress_limit.release()
            raise
        refusal = pool.queue.offer(ticket, now)
        unplaced = refusal is not None and refusal.code == "no_endpoint"
        if unplaced and await self._wait_or_refund(item, ticket):
            now = loop.time()
            refusal = pool.queue.offer(ticket, now)
        if refusal is not None:
            self._in_progress_limit.release()
            self._costs.refund(item, ticket)
            raise self._make_refusal(refusal, pool, now)
        permit = Permit(self, pool, ticket, item)
        if ticket.state is TicketState.RUNNING:
            item.over_share = ticket.over_share
            return permit
        self._log.write(
            Event.REQUEST_WAITING,
            request=item.request_id,
            workspace=item.workspace,
            waiting=pool.queue.waiting,
            running=pool.queue.running,
            limit=round(pool.queue.limit, 2),
        )
        turn = pool.waiters[ticket] = loop.create_future()
        self._set_timer(pool, now)
        try:
            await turn
        except BaseException:
            permit.release()
            raise
        item.over_share = ticket.over_share
        return permit

    def place(self, item: WorkItem, tried: frozenset[str] = frozenset()) -> Placement:
        """Chooses an endpoint that is not in tried and starts an attempt there.

        Raises:
          NoExclusiveEndpointError: Only endpoints that run another suspect have room.
          CodedError: No endpoint can take the request now; outcome NOT_RUN.
        """
        now = asyncio.get_running_loop().time()
        pool = self._pool(item)
        pool.refresh(self._table, now)
        suspect = False
        if item.fingerprint:
            if self._guard.is_blocked(item.fingerprint, now):
                raise blocked_error()
            suspect = self._guard.is_suspect(item.fingerprint, now)
        state, preferred = self._choose(pool, item, tried, suspect, now)
        if state is None:
            alone = suspect and self._choose(pool, item, tried, False, now)[0] is not None
            raise self._no_endpoint_error(pool, alone, now)
        if not item.placements:
            self._budget.earn()
        item.placements += 1
        probe = state.health.health is not Health.HEALTHY
        state.record_placed(now)
        if suspect:
            self._guard.record_started(state.name)
        reason = "probe" if probe else "prefix" if state.name in preferred else "load"
        self._log.write(
            Event.REQUEST_PLACED,
            request=item.request_id,
            workspace=item.workspace,
            endpoint=state.name,
            reason="alone" if suspect else reason,
            tier=state.tier,
            in_progress=state.in_progress,
            limit=round(state.limit.value, 2),
        )
        return Placement(item, pool.views[state.name], state, suspect, self)

    async def wait_for_endpoint(self, item: WorkItem, tried: frozenset[str] = frozenset()) -> bool:
        """Waits for an endpoint that is only silent; returns whether one can be chosen now."""
        responsive = await self._table.wait_for_status(
            item.model, item.service, item.deadline, tried
        )
        if responsive:
            pool = self._pool(item)
            pool.invalidate()
            self._advance(pool, asyncio.get_running_loop().time())
        return responsive

    def may_retry(self, item: WorkItem) -> bool:
        """Returns whether the retry budget allows one more attempt, and deducts it."""
        now = asyncio.get_running_loop().time()
        if item.fingerprint and self._guard.is_blocked(item.fingerprint, now):
            return False
        if not self._budget.spend(item.retries):
            return False
        item.retries += 1
        return True

    def retry_delay(self, item: WorkItem) -> float:
        """Returns the seconds to wait before a retry that may_retry allowed."""
        return backoff.delay_before(max(1, item.retries), self._rng)

    def record_status(self, status: Status) -> None:
        """Records a status that a response carried."""
        self._table.record_status(status)
        now = asyncio.get_running_loop().time()
        if status.suspects:
            self._record_reported_deaths(status, now)
        pool = self._pools.get((status.model, status.service))
        if pool is not None and status.name in pool.states:
            pool.record_report(status.name, pool.views[status.name], now)

    def record_rest(self, placement: Placement, seconds: float) -> None:
        """Records that an endpoint wants no more requests from this entry for some time."""
        self._log.write(Event.REST_ASKED, endpoint=placement.state.name, seconds=seconds)
        self._pool(placement.item).record_rest(placement.state.name, seconds)

    def seconds_until_return(self, item: WorkItem) -> float:
        """Returns after how many seconds the caller of a refused request should come back."""
        now = asyncio.get_running_loop().time()
        seconds = max(1.0, self._pool(item).seconds_until_usable(now))
        return backoff.add_jitter(seconds, self._rng)

    def record_pause(self) -> None:
        """Records that this process was paused until now."""
        self._observer.record_pause(asyncio.get_running_loop().time())

    def record_progress(self, placement: Placement, tokens: int, now: float) -> None:
        """Records that tokens of an attempt arrived."""
        self._observer.record_progress(placement, self._pool(placement.item), tokens, now)

    def record_end(self, placement: Placement, code: str, now: float) -> None:
        """Records the end of an attempt."""
        self._observer.record_end(placement, self._pool(placement.item), code, now)
        if placement.suspect:
            self.suspect_ends.notify()

    def release(self, pool: TargetPool, ticket: Ticket, item: WorkItem) -> None:
        """Ends a request's admission and admits the next waiting ones."""
        now = asyncio.get_running_loop().time()
        cost = self._costs.settle(item, ticket)
        pool.waiters.pop(ticket, None)
        pool.queue.end(ticket, now, cost)
        self._in_progress_limit.release()
        self._advance(pool, now)

    def _choose(
        self,
        pool: TargetPool,
        item: WorkItem,
        tried: frozenset[str],
        suspect: bool,
        now: float,
    ) -> tuple[EndpointState | None, list[str]]:
        def allowed(state: EndpointState) -> bool:
            return (
                state.name not in tried
                and state.health.may_receive(now)
                and pool.accepts_work(state.name)
                and not (suspect and not self._guard.may_run_at(state.name))
            )

        def healthy(state: EndpointState) -> bool:
            return state.health.health is Health.HEALTHY and allowed(state)

        preferred: list[str] = []
        head = prefix_affinity.head_of(item.prompt) if item.prompt else ""
        if head:
            preferred = pool.ring.preferred(head)
        if item.priority is Priority.GENERATE:
            return pool.endpoints.choose(allowed, preferred, now), preferred
        # A failed charge can leave its outcome unknown, so a charge serves as a probe only if no
        # healthy endpoint is left.
        state = pool.endpoints.choose(healthy, preferred, now)
        return state or pool.endpoints.choose(allowed, preferred, now), preferred

    async def _wait_or_refund(self, item: WorkItem, ticket: Ticket) -> bool:
        """Waits for an endpoint; undoes the admission if the caller disconnects meanwhile."""
        try:
            return await self.wait_for_endpoint(item)
        except asyncio.CancelledError:
            self._in_progress_limit.release()
            self._costs.refund(item, ticket)
            raise

    def _pool(self, item: WorkItem) -> TargetPool:
        key = (item.model, item.service)
        pool = self._pools.get(key)
        if pool is None:
            place = (self._region, self._data_centre)
            pool = self._pools[key] = TargetPool(*key, *place, self._rng)
        return pool

    def _advance(self, pool: TargetPool, now: float) -> None:
        """Brings a pool up to date: expires waiting requests and admits those that may run."""
        if pool.refresh(self._table, now):
            self._process_views(pool, now)
        for ticket, refusal in pool.queue.expire(now):
            turn = pool.waiters.pop(ticket, None)
            if turn is not None and not turn.done():
                turn.set_exception(self._make_refusal(refusal, pool, now))
        for ticket in pool.queue.grant(now):
            turn = pool.waiters.pop(ticket, None)
            if turn is not None and not turn.done():
                turn.set_result(None)
        self._set_timer(pool, now)

    def _process_views(self, pool: TargetPool, now: float) -> None:
        # A stalled engine sends no tokens by which its pace could be judged. It is recognised by
        # answers that have begun and make no progress.
        for state in pool.states.values():
            silent = now - state.progress_at
            if state.streaming and state.health.record_silence(
                silent, pool.median_token_seconds, now
            ):
                self._observer.eject(pool, state, f"no tokens for {silent:.1f} s")
        for view in pool.views.values():
            if view.status is not None and view.status.suspects:
                self._record_reported_deaths(view.status, now)

    def _record_reported_deaths(self, status: Status, now: float) -> None:
        self._guard.record_reported_deaths(
            status.name, status.suspects, now, run=status.incarnation
        )

    def _set_timer(self, pool: TargetPool, now: float) -> None:
        if pool.timer is not None:
            pool.timer.cancel()
            pool.timer = None
        expiry = pool.queue.next_expiry()
        if expiry is None:
            return
        seconds = max(MIN_TIMER_SECONDS, min(expiry - now, REFRESH_SECONDS))
        loop = asyncio.get_running_loop()
        pool.timer = loop.call_later(seconds, lambda: self._advance(pool, loop.time()))

    def _no_endpoint_error(self, pool: TargetPool, alone: bool, now: float) -> CodedError:
        """Returns the error for an admitted request that cannot be placed.

        Args:
          alone: Whether an endpoint is available except for the suspects running there.
        """
        retry = backoff.add_jitter(max(1.0, pool.seconds_until_usable(now)), self._rng)
        kind = NoExclusiveEndpointError if alone else CodedError
        return kind("no_endpoint", "no endpoint can take the request now", 503, retry_after=retry)

    def _make_refusal(self, refusal: Refusal, pool: TargetPool, now: float) -> CodedError:
        seconds = refusal.retry_after
        if refusal.code == "no_endpoint":
            seconds = max(seconds, pool.seconds_until_usable(now))
        # Callers refused at the same moment should not all retry at the same moment.
        return refusal_error(
            Refusal(refusal.code, refusal.reason, backoff.add_jitter(seconds, self._rng))
        )
