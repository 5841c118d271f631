"""This entry's traffic to one service, and how accurate its forecasts are."""

from ..decisions.forecast_bias import ForecastBias
from ..decisions.request_rate import RequestRate


class ServiceTraffic:
    """Rates of one service.

    Attributes:
      rate: Requests sent to the service's endpoints.
      refusals: Requests that were refused because no endpoint could take them.
      bias: By how much the time to the first event differs from its forecast.
    """

    __slots__ = ("rate", "refusals", "bias")

    def __init__(self) -> None:
        self.rate = RequestRate()
        self.refusals = RequestRate()
        self.bias = ForecastBias()

    def refused_share(self, now: float) -> float:
        """Returns the fraction of recent requests that no endpoint could take."""
        refused = self.refusals.per_second(now)
        return refused / max(1.0, refused + self.rate.per_second(now))
