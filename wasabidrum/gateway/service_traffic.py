"""This entry's traffic to one service, and how accurate its forecasts are."""

from ..decisions.demand_assignment import OwnDemand
from ..decisions.forecast_bias import ForecastBias
from ..decisions.request_rate import RequestRate
from ..decisions.return_turns import ReturnTurns
from ..decisions.stated_waits import StatedWaits


class ServiceTraffic:
    """Rates of one service.

    Attributes:
      rate: Requests sent to the service's endpoints.
      refusals: Requests that were refused because all endpoints have too much work.
      demand: Requests that callers bring, whether they are served or not.
      return_turns: When callers come back whom nobody can serve until a rest of endpoints ends.
    """

    __slots__ = ("rate", "refusals", "demand", "return_turns", "_biases", "_waits")

    def __init__(self) -> None:
        self.rate = RequestRate()
        self.refusals = RequestRate()
        self._biases: dict[int | None, ForecastBias] = {}
        self.demand = OwnDemand()
        self.return_turns = ReturnTurns()
        self._waits: dict[str, StatedWaits] = {}

    def bias(self, rank: int | None) -> ForecastBias:
        """Returns by how much times to the first event differ from their forecasts for a rank."""
        bias = self._biases.get(rank)
        if bias is None:
            bias = self._biases[rank] = ForecastBias()
        return bias

    def refused_share(self, now: float) -> float:
        """Returns the fraction of recent requests that were refused for too much work."""
        refused = self.refusals.per_second(now)
        return refused / max(1.0, refused + self.rate.per_second(now))

    def record_wait(self, route: str, wait: float) -> bool:
        """Records the wait in seconds that the caller of a new request has stated.

        Returns:
          Whether the caller has waited before, as far as the wait tells.
        """
        waits = self._waits.setdefault(route, StatedWaits())
        waits.record(wait)
        return waits.is_return(wait)
