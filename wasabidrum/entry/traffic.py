"""Where the entry's tasks ask the decisions: who is served, where work goes, who retries."""

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
from .attempt_judge import AttemptJudge
from .endpoint_table import EndpointTable
from .no_place_alone import NoPlaceAloneError
from .permit import Permit
from .placement import Placement
from .refusals import blocked_error, refusal_error
from .request_costs import RequestCosts
from .suspect_turns import SuspectTurns
from .target_pool import REFRESH_SECONDS, TargetPool
from .work_item import Priority, WorkItem

SHORTEST_TIMER_SECONDS = 0.001


class Traffic:
    """Admission, placement and the retry budget of one entry.

    Attributes:
      suspect_turns: Where those wait that place refuses for other suspects' sake.
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
        self._room = InProgressLimit()
        self._costs = RequestCosts(follower, count_entries, self._rng)
        self._budget = RetryBudget()
        self._guard = poison.PoisonGuard()
        self._judge = AttemptJudge(self._guard, log)
        self.suspect_turns = SuspectTurns()

    @property
    def waiting(self) -> int:
        """How many requests wait for their turn."""
        return sum(pool.queue.waiting for pool in self._pools.values())

    async def admit(self, item: WorkItem) -> Permit:
        """Waits for the request's turn.

        Raises:
          CodedError: It is refused, with outcome NOT_RUN and when to come back.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        pool = self._pool(item)
        self._advance(pool, now)
        if item.fingerprint and self._guard.is_blocked(item.fingerprint, now):
            raise blocked_error()
        ticket = self._costs.make_ticket(item)
        if not self._room.acquire(item.priority):
            raise refusal_error(Refusal("entry_full", "this entry holds too many requests", 1.0))
        try:
            self._costs.charge(item, ticket, now)
        except CodedError:
            self._room.release()
            raise
        refusal = pool.queue.offer(ticket, now)
        unplaced = refusal is not None and refusal.code == "no_endpoint"
        if unplaced and await self._wait_or_refund(item, ticket):
            now = loop.time()
            refusal = pool.queue.offer(ticket, now)
        if refusal is not None:
            self._room.release()
            self._costs.refund(item, ticket)
            raise self._refuse(refusal, pool, now)
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
        """Chooses an endpoint that was not tried yet.

        Raises:
          NoPlaceAloneError: One could, but for another suspect that runs there.
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
            raise self._no_place_error(pool, alone, now)
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
        """Waits for an endpoint that is only silent; returns whether one can be chosen."""
        heard = await self._table.wait_until_heard(item.model, item.service, item.deadline, tried)
        if heard:
            pool = self._pool(item)
            pool.refresh_soon()
            self._advance(pool, asyncio.get_running_loop().time())
        return heard

    def may_retry(self, item: WorkItem) -> bool:
        """Returns whether the budget allows one more attempt, and takes it from the budget."""
        now = asyncio.get_running_loop().time()
        if item.fingerprint and self._guard.is_blocked(item.fingerprint, now):
            return False
        if not self._budget.spend(item.retries):
            return False
        item.retries += 1
        return True

    def retry_delay(self, item: WorkItem) -> float:
        """Returns seconds to wait before a retry that may_retry allowed."""
        return backoff.delay_before(max(1, item.retries), self._rng)

    def take_status(self, status: Status) -> None:
        """Takes a status that came on an answer."""
        self._table.take_status(status)
        now = asyncio.get_running_loop().time()
        if status.suspects:
            self._guard.record_reported_deaths(status.name, status.suspects, now)
        pool = self._pools.get((status.model, status.service))
        if pool is not None and status.name in pool.states:
            pool.record_report(status.name, pool.views[status.name], now)

    def record_pause(self) -> None:
        """Records that this process stood still until now."""
        self._judge.record_pause(asyncio.get_running_loop().time())

    def record_progress(self, placement: Placement, tokens: int, now: float) -> None:
        """Records tokens that arrived at one attempt."""
        self._judge.record_progress(placement, self._pool(placement.item), tokens, now)

    def record_end(self, placement: Placement, code: str, now: float) -> None:
        """Records the end of one attempt."""
        self._judge.record_end(placement, self._pool(placement.item), code, now)
        if placement.suspect:
            self.suspect_turns.note_end()

    def release(self, pool: TargetPool, ticket: Ticket, item: WorkItem) -> None:
        """Ends a request's admission, and lets those run whose turn it is now."""
        now = asyncio.get_running_loop().time()
        cost = self._costs.settle(item, ticket)
        pool.waiters.pop(ticket, None)
        pool.queue.end(ticket, now, cost)
        self._room.release()
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
                and pool.can_take(state.name)
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
        # A charge that fails can leave its outcome unknown, so it is a probe only where
        # nothing else is left.
        state = pool.endpoints.choose(healthy, preferred, now)
        return state or pool.endpoints.choose(allowed, preferred, now), preferred

    async def _wait_or_refund(self, item: WorkItem, ticket: Ticket) -> bool:
        """Waits for an endpoint; gives back what was taken where the caller leaves meanwhile."""
        try:
            return await self.wait_for_endpoint(item)
        except asyncio.CancelledError:
            self._room.release()
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
        """Brings a pool up to date: gives up whose time has passed, runs whose turn it is."""
        if pool.refresh(self._table, now):
            self._read_views(pool, now)
        for ticket, refusal in pool.queue.expire(now):
            turn = pool.waiters.pop(ticket, None)
            if turn is not None and not turn.done():
                turn.set_exception(self._refuse(refusal, pool, now))
        for ticket in pool.queue.grant(now):
            turn = pool.waiters.pop(ticket, None)
            if turn is not None and not turn.done():
                turn.set_result(None)
        self._set_timer(pool, now)

    def _read_views(self, pool: TargetPool, now: float) -> None:
        # A paused engine sends nothing, so that no token could tell that it is slow; only
        # answers that have begun and stand still do.
        for state in pool.states.values():
            silent = now - state.progress_at
            if state.streaming and state.health.record_silence(silent, pool.median, now):
                self._judge.eject(pool, state, f"silent for {silent:.1f} s")
        for name, view in pool.views.items():
            if view.status is not None and view.status.suspects:
                self._guard.record_reported_deaths(name, view.status.suspects, now)

    def _set_timer(self, pool: TargetPool, now: float) -> None:
        if pool.timer is not None:
            pool.timer.cancel()
            pool.timer = None
        expiry = pool.queue.next_expiry()
        if expiry is None:
            return
        seconds = max(SHORTEST_TIMER_SECONDS, min(expiry - now, REFRESH_SECONDS))
        loop = asyncio.get_running_loop()
        pool.timer = loop.call_later(seconds, lambda: self._advance(pool, loop.time()))

    def _no_place_error(self, pool: TargetPool, alone: bool, now: float) -> CodedError:
        """Returns why a request that was let in cannot be placed.

        Args:
          alone: Whether only other suspects keep it from an endpoint.
        """
        retry = backoff.add_jitter(max(1.0, pool.probe_seconds(now)), self._rng)
        kind = NoPlaceAloneError if alone else CodedError
        return kind("no_endpoint", "no endpoint can answer now", 503, retry_after=retry)

    def _refuse(self, refusal: Refusal, pool: TargetPool, now: float) -> CodedError:
        seconds = refusal.retry_after
        if refusal.code == "no_endpoint":
            seconds = max(seconds, pool.probe_seconds(now))
        # Callers that are refused together would come back together.
        return refusal_error(
            Refusal(refusal.code, refusal.reason, backoff.add_jitter(seconds, self._rng))
        )
