"""Ranks the requests of a service by their urgency.

Load pattern: callers send more than the engines can process, and some of it is urgent. A workspace
and a route each have a priority, a lower number being more urgent. The rank of a request is the
place of its pair of priorities, the workspace's first, among all pairs that the requests of the
service may have. A service whose requests all have the same pair needs no order.
"""

import collections.abc

from ..core.published import PublishedConfiguration
from ..core.request_scope import RequestScope

# The most urgent and the least urgent value that engines know for their queues.
MIN_QUEUE_PRIORITY = 0
MAX_QUEUE_PRIORITY = 9

Urgency = tuple[int, int]


def urgency(workspace_priority: int | None, route_priority: int) -> Urgency:
    """Returns the sort key of a request; a workspace without a priority leaves it to the route."""
    first = route_priority if workspace_priority is None else workspace_priority
    return first, route_priority


class ServiceRanks:
    """The ranks of the requests of one service, from zero for the most urgent."""

    __slots__ = ("_places",)

    def __init__(self, urgencies: collections.abc.Iterable[Urgency]) -> None:
        self._places = {known: place for place, known in enumerate(sorted(set(urgencies)))}

    @property
    def count(self) -> int:
        """The number of ranks."""
        return len(self._places)

    def rank_of(self, scope: RequestScope) -> int:
        """Returns the rank of a request; the last one if the configuration does not know it."""
        workspace = scope.workspace
        key = urgency(workspace.priority if workspace else None, scope.route.priority)
        return self._places.get(key, max(0, self.count - 1))


def service_ranks(configuration: PublishedConfiguration) -> dict[str, ServiceRanks]:
    """Returns the ranks of each service whose requests differ in urgency."""
    workspaces = {workspace.priority for workspace in configuration.workspaces}
    found: dict[str, set[Urgency]] = {}
    for route in configuration.routes:
        holders = {None} if route.public or not workspaces else workspaces
        for target in route.targets:
            found.setdefault(target.service, set()).update(
                urgency(priority, route.priority) for priority in holders
            )
    return {name: ServiceRanks(known) for name, known in found.items() if len(known) > 1}


def queue_priority(rank: int) -> int:
    """Returns the priority of a rank in the queue of an engine."""
    return min(MAX_QUEUE_PRIORITY, MIN_QUEUE_PRIORITY + rank)
