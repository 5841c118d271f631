"""The order in which requests of each service are admitted; see decisions/admission_order.py."""

import asyncio
import dataclasses

from ..core.request_scope import RequestScope
from ..decisions import request_rank
from ..decisions.admission_order import (
    AT_SHARE_POSITION,
    AdmissionOrder,
    share_limit,
    yielding_limit,
)
from ..decisions.first_event_limit import Caller, first_event_limit
from ..decisions.request_rank import ServiceRanks
from ..observe.event import Event
from ..observe.event_log import EventLog
from .published_state import PublishedState


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """How a new request is placed.

    Attributes:
      rank: Its place in engines' queues; None where these have no order.
      latest: The latest forecast of its first event, in seconds, with which it is placed.
      refused_share: The share of recent requests like it that were refused.
    """

    rank: int | None
    latest: float
    refused_share: float


class ServiceOrders:
    """What one entry knows of the ranks of each service and of their refusals.

    Only engines have queues with an order, so that plain services have none.
    """

    __slots__ = ("_state", "_log", "_orders", "_ranks", "_ranks_version")

    def __init__(self, state: PublishedState, log: EventLog) -> None:
        self._state = state
        self._log = log
        self._orders: dict[str, AdmissionOrder] = {}
        # The ranks of services whose requests differ in urgency, by a configuration's version.
        self._ranks: dict[str, ServiceRanks] = {}
        self._ranks_version = 0

    @property
    def urgent_refused_share(self) -> float:
        """The largest share of the most urgent requests of a service that was refused lately."""
        now = asyncio.get_running_loop().time()
        return max((o.refused_share(0, now) for o in self._orders.values()), default=0.0)

    def rank(self, scope: RequestScope, service: str) -> int | None:
        """Returns the rank of a request; None if those of its service have no order."""
        if self._state.engine_figures(service) is None:
            return None
        if self._ranks_version != self._state.version:
            self._ranks_version = self._state.version
            self._ranks = request_rank.service_ranks(self._state.configuration)
        ranks = self._ranks.get(service)
        return ranks.rank_of(scope) if ranks is not None else None

    def admission(
        self,
        service: str,
        rank: int | None,
        caller: Caller,
        refused_share: float,
        share_position: float,
    ) -> Admission:
        """Returns how a new request for an engine is placed.

        Args:
          refused_share: The share of all recent requests of the service that was refused.
          share_position: How far its workspace is over its share; see WorkspaceShares.position.
        """
        now, order, urgent = asyncio.get_running_loop().time(), self._order(service), 0.0
        if rank is not None:
            rank = order.admission_rank(rank, now)
            refused_share = order.refused_share(rank, now)
            urgent = order.urgent_refused_share(rank, now)
        target, free = caller.target, caller.free_slot_seconds
        latest = first_event_limit(caller, refused_share)
        if share_position > AT_SHARE_POSITION:
            latest = share_limit(latest, target, free, share_position, refused_share)
        if rank is not None:
            latest = yielding_limit(latest, target, free, urgent)
        return Admission(rank, latest, refused_share)

    def record(self, service: str, scope: RequestScope, admitted: bool, returning: bool) -> None:
        """Records whether there was room for a request when it arrived.

        Args:
          returning: Whether its caller has waited before.
        """
        rank = self.rank(scope, service)
        if rank is None:
            return
        now, order = asyncio.get_running_loop().time(), self._order(service)
        order.record(rank, admitted, now, returning)
        if order.update_yielding(now):
            self._log.write(
                Event.LESS_URGENT_YIELD,
                service=service,
                yielding=order.yielding,
                refused_shares=order.refused_shares(now),
            )

    def raised_facts(
        self, service: str, scope: RequestScope, placed_as: int | None
    ) -> dict[str, object]:
        """Returns why a request is placed under another rank than its own; empty if it is not."""
        rank = self.rank(scope, service)
        if rank == placed_as:
            return {}
        now = asyncio.get_running_loop().time()
        own, every = self._order(service).admitted_shares(rank, now)
        return {
            "rank": rank,
            "placed_as_rank": placed_as,
            "admitted_share": round(own, 3),
            "admitted_share_of_all": round(every, 3),
        }

    def facts(self, service: str, scope: RequestScope) -> dict[str, object]:
        """Returns what the order of its service says about a request, for its log line."""
        rank = self.rank(scope, service)
        if rank is None:
            return {}
        now, order = asyncio.get_running_loop().time(), self._order(service)
        return {
            "rank": rank,
            "placed_as_rank": order.admission_rank(rank, now),
            "refused_shares": order.refused_shares(now),
        }

    def _order(self, service: str) -> AdmissionOrder:
        order = self._orders.get(service)
        if order is None:
            order = self._orders[service] = AdmissionOrder()
        return order
