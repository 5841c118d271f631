"""The rule that nothing is sent to endpoints in an evacuated data centre."""

from ..core.listed_endpoint import ListedEndpoint
from ..core.request_scope import RequestScope
from ..decisions.evacuations import Evacuations
from .placing_rules import EVACUATED_CODE


class EvacuationRule:
    """See PlacingRule."""

    __slots__ = ("_evacuations",)

    def __init__(self, evacuations: Evacuations) -> None:
        self._evacuations = evacuations

    @property
    def code(self) -> str:
        """See PlacingRule."""
        return EVACUATED_CODE

    @property
    def active(self) -> bool:
        """See PlacingRule."""
        return self._evacuations.count > 0

    def seconds_until_allowed(
        self, endpoint: ListedEndpoint, scope: RequestScope, now: float
    ) -> float:
        """See PlacingRule; it is not known when an operator ends an evacuation."""
        return 0.0 if self.still_allows(endpoint, scope, now) else float("inf")

    def still_allows(self, endpoint: ListedEndpoint, scope: RequestScope, now: float) -> bool:
        """See PlacingRule."""
        return not self._evacuations.is_evacuated(endpoint.data_centre)

    def record_sent(self, endpoint: ListedEndpoint, now: float) -> None:
        """See PlacingRule; it does not depend on what is sent."""
