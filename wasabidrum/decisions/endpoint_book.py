"""Which endpoints there are, from what they register with the platform's store.

Load pattern: the store is down for some seconds. Registrations lapse meanwhile, because nobody
can renew them, and when the store is back it lists few or none, or tells of removals. Believed
at once, that takes healthy endpoints out of routing together: every caller is refused until
they have registered again, within two seconds. So an endpoint that disappears around an outage
keeps its place for that time, and goes then unless it is back. One that disappears while the
store works is gone at once, or work would go on to an endpoint that has left.
"""

import collections.abc

from ..core.listed_endpoint import ListedEndpoint

RETURN_SECONDS = 1.8
TROUBLE_SECONDS = 2.5


class EndpointBook:
    """The endpoints registered, by id.

    Attributes:
      version: Grows with each change.
    """

    __slots__ = ("_endpoints", "_revisions", "_missing_until", "_trouble_at", "version")

    def __init__(self) -> None:
        self._endpoints: dict[str, ListedEndpoint] = {}
        self._revisions: dict[str, int] = {}
        self._missing_until: dict[str, float] = {}
        self._trouble_at = float("-inf")
        self.version = 0

    @property
    def endpoints(self) -> collections.abc.ValuesView[ListedEndpoint]:
        """Every endpoint, those leaving and those held for their return included."""
        return self._endpoints.values()

    def get(self, endpoint_id: str) -> ListedEndpoint | None:
        """Returns an endpoint, or None."""
        return self._endpoints.get(endpoint_id)

    def record_trouble(self, now: float) -> None:
        """Records that the store could not be asked just now."""
        self._trouble_at = now

    def take(self, endpoint: ListedEndpoint, revision: int) -> bool:
        """Takes a registration; returns whether it says something new."""
        if revision <= self._revisions.get(endpoint.id, 0):
            self._missing_until.pop(endpoint.id, None)
            return False
        self._revisions[endpoint.id] = revision
        self._missing_until.pop(endpoint.id, None)
        if self._endpoints.get(endpoint.id) == endpoint:
            return False
        self._endpoints[endpoint.id] = endpoint
        self.version += 1
        return True

    def take_removal(self, endpoint_id: str, revision: int, now: float) -> bool:
        """Takes that a registration is gone; returns whether the endpoint is out at once."""
        if revision <= self._revisions.get(endpoint_id, 0):
            return False
        self._revisions[endpoint_id] = revision
        return self._lose(endpoint_id, now)

    def take_listed(self, listed: collections.abc.Collection[str], now: float) -> list[str]:
        """Takes all ids that the store lists; returns those that are out at once."""
        missing = [endpoint_id for endpoint_id in self._endpoints if endpoint_id not in listed]
        return [endpoint_id for endpoint_id in missing if self._lose(endpoint_id, now)]

    def expire(self, now: float) -> list[str]:
        """Removes those that were held for their return in vain; returns their ids."""
        late = [name for name, until in self._missing_until.items() if now >= until]
        for endpoint_id in late:
            self._remove(endpoint_id)
        return late

    def _lose(self, endpoint_id: str, now: float) -> bool:
        if endpoint_id not in self._endpoints:
            return False
        leaving = self._endpoints[endpoint_id].leaving
        if now - self._trouble_at <= TROUBLE_SECONDS and not leaving:
            self._missing_until.setdefault(endpoint_id, now + RETURN_SECONDS)
            return False
        self._remove(endpoint_id)
        return True

    def _remove(self, endpoint_id: str) -> None:
        self._missing_until.pop(endpoint_id, None)
        if self._endpoints.pop(endpoint_id, None) is not None:
            self.version += 1
