"""The rules that say to which endpoints requests may be sent.

Every way of placing a request asks all rules: Placer.choose leaves out the endpoints for which one
returns a wait, and an attempt asks again just before it sends anything, because the endpoint was
chosen some time before. Only Placer.choose returns placements, and only attempts send them, so that
a new way of placing cannot bypass a rule.
"""

import collections.abc
import typing

from ..core.listed_endpoint import ListedEndpoint
from ..core.request_scope import RequestScope

# The longest Retry-After of a request for which rules leave no endpoint.
MAX_RULED_OUT_RETRY_SECONDS = 2.5
# The error codes of requests that the rules refuse, and what their callers are told.
EVACUATED_CODE = "data_centre_evacuated"
NO_HOME_CODE = "no_home_endpoint"
MESSAGES = {
    EVACUATED_CODE: "the endpoints that could take it are in evacuated data centres",
    NO_HOME_CODE: "no endpoint in the home regions of its route and workspace can take it now",
}


class PlacingRule(typing.Protocol):
    """A rule that may forbid to send requests to an endpoint."""

    @property
    def code(self) -> str:
        """The error code of a request that this rule has refused."""

    @property
    def active(self) -> bool:
        """Whether the configuration or the store give it anything to forbid now."""

    def seconds_until_allowed(
        self, endpoint: ListedEndpoint, scope: RequestScope, now: float
    ) -> float:
        """Returns in how many seconds a request may be placed on an endpoint.

        Args:
          now: The time by the boot clock.

        Returns:
          Zero if it may be placed now; infinite if it is not known when.
        """

    def still_allows(self, endpoint: ListedEndpoint, scope: RequestScope, now: float) -> bool:
        """Returns whether a request that was placed on an endpoint may still be sent there."""

    def record_sent(self, endpoint: ListedEndpoint, now: float) -> None:
        """Records that a request is sent, or has a place reserved, at an endpoint."""


@typing.runtime_checkable
class DelayRule(typing.Protocol):
    """A placing rule that also limits how long after its placement a request may be sent."""

    def allows_placed_at(self, endpoint: ListedEndpoint, placed_at: float, now: float) -> bool:
        """Returns whether a request that was placed on an endpoint at a time may still be sent.

        Args:
          placed_at: By the boot clock.
        """


class PlacingRules:
    """All rules of an entry, in the order in which they are asked."""

    __slots__ = ("_rules", "_delay_rules")

    def __init__(self, rules: collections.abc.Sequence[PlacingRule] = ()) -> None:
        self._rules = tuple(rules)
        self._delay_rules = tuple(rule for rule in rules if isinstance(rule, DelayRule))

    @property
    def active(self) -> bool:
        """Whether any rule has anything to forbid now."""
        return any(rule.active for rule in self._rules)

    def first_wait(
        self, endpoint: ListedEndpoint, scope: RequestScope, now: float
    ) -> tuple[str, float]:
        """Returns the code of the first rule that forbids an endpoint, and for how many seconds.

        Returns:
          An empty code and zero if none does.
        """
        for rule in self._rules:
            seconds = rule.seconds_until_allowed(endpoint, scope, now)
            if seconds > 0.0:
                return rule.code, seconds
        return "", 0.0

    def refusing_code(
        self,
        endpoint: ListedEndpoint,
        scope: RequestScope,
        now: float,
        placed_at: float | None = None,
    ) -> str:
        """Returns the code of the first rule that no longer allows to send; empty if all do.

        Args:
          placed_at: When the request was placed, by the boot clock; None if nothing is sent yet.
        """
        for rule in self._rules:
            if not rule.still_allows(endpoint, scope, now):
                return rule.code
        if placed_at is not None:
            for rule in self._delay_rules:
                if not rule.allows_placed_at(endpoint, placed_at, now):
                    return rule.code
        return ""

    def record_sent(self, endpoint: ListedEndpoint, now: float) -> None:
        """Records that a request is sent, or has a place reserved, at an endpoint."""
        for rule in self._rules:
            rule.record_sent(endpoint, now)
