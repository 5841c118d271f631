"""The rule that requests are sent only to endpoints in their home regions."""

import collections.abc

from ..core.listed_endpoint import ListedEndpoint
from ..core.request_scope import RequestScope
from ..decisions.home_regions import has_homes, home_regions, may_be_in
from ..decisions.route_table import RouteTable
from .placing_rules import NO_HOME_CODE
from .published_state import PublishedState


class HomeRegionRule:
    """See PlacingRule."""

    __slots__ = ("_state", "_region_of", "_checked", "_active")

    def __init__(self, state: PublishedState, region_of: collections.abc.Mapping[str, str]) -> None:
        """Initializes the rule.

        Args:
          region_of: The region of each data centre of the settings.
        """
        self._state = state
        self._region_of = region_of
        self._checked: RouteTable | None = None
        self._active = False

    @property
    def code(self) -> str:
        """See PlacingRule."""
        return NO_HOME_CODE

    @property
    def active(self) -> bool:
        """See PlacingRule.

        It stays active once any configuration had home regions, because a request whose route or
        workspace has been removed keeps them.
        """
        routes = self._state.routes
        if routes is not self._checked and routes is not None:
            self._checked = routes
            self._active = self._active or has_homes(routes.configuration)
        return self._active

    def seconds_until_allowed(
        self, endpoint: ListedEndpoint, scope: RequestScope, now: float
    ) -> float:
        """See PlacingRule; an endpoint does not move to another region."""
        return 0.0 if self.still_allows(endpoint, scope, now) else float("inf")

    def still_allows(self, endpoint: ListedEndpoint, scope: RequestScope, now: float) -> bool:
        """See PlacingRule."""
        region = self._region_of.get(endpoint.data_centre, "")
        return may_be_in(home_regions(scope), region)

    def record_sent(self, endpoint: ListedEndpoint, now: float) -> None:
        """See PlacingRule; it does not depend on what is sent."""
