"""What an entry sends to one service, and how its forecasts turn out."""

from ..decisions.forecast_bias import ForecastBias
from ..decisions.request_rate import RequestRate


class ServiceTraffic:
    """Counts of one service.

    Attributes:
      rate: Requests sent to its endpoints.
      refusals: Requests refused for want of an endpoint.
      bias: What first events took beside what was forecast.
    """

    __slots__ = ("rate", "refusals", "bias")

    def __init__(self) -> None:
        self.rate = RequestRate()
        self.refusals = RequestRate()
        self.bias = ForecastBias()

    def refused_share(self, now: float) -> float:
        """Returns the part of requests that was refused for want of room lately."""
        refused = self.refusals.per_second(now)
        return refused / max(1.0, refused + self.rate.per_second(now))
