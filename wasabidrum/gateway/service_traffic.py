"""This entry's traffic to one service, and how accurate its forecasts are."""

from ..decisions.forecast_bias import ForecastBias
from ..decisions.request_rate import RequestRate
from ..decisions.stated_waits import StatedWaits

# Below this fraction of refused requests, hardly any caller is coming back.
CALM_REFUSED_SHARE = 0.005


class ServiceTraffic:
    """Rates of one service.

    Attributes:
      rate: Requests sent to the service's endpoints.
      refusals: Requests that were refused because no endpoint could take them.
      bias: By how much the time to the first event differs from its forecast.
    """

    __slots__ = ("rate", "refusals", "bias", "_waits")

    def __init__(self) -> None:
        self.rate = RequestRate()
        self.refusals = RequestRate()
        self.bias = ForecastBias()
        self._waits: dict[str, StatedWaits] = {}

    def refused_share(self, now: float) -> float:
        """Returns the fraction of recent requests that no endpoint could take."""
        refused = self.refusals.per_second(now)
        return refused / max(1.0, refused + self.rate.per_second(now))

    def record_new_caller(self, route: str, wait: float, now: float) -> None:
        """Records the wait in seconds that the caller of a new request has stated."""
        if self.refused_share(now) < CALM_REFUSED_SHARE:
            self._waits.setdefault(route, StatedWaits()).record(wait)

    def is_return(self, route: str, wait: float) -> bool:
        """Returns whether the caller of a new request has been refused before, by its wait."""
        waits = self._waits.get(route)
        return waits is not None and waits.is_return(wait)
