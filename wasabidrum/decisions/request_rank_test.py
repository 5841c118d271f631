"""Tests of the ranks of requests."""

import unittest

from ..core.published import PublishedConfiguration, WorkspaceKeys
from ..core.request_scope import RequestScope
from ..core.route import Route, RouteKind, RouteTarget
from .request_rank import MAX_QUEUE_PRIORITY, ServiceRanks, queue_priority, service_ranks


def make_route(name: str, priority: int, service: str = "text", public: bool = False) -> Route:
    """Returns a route to one service."""
    targets = (RouteTarget(service, 1.0),)
    return Route(name, "h", f"/{name}/", RouteKind.STREAM, 6.0, 0.4, priority, targets, 2, public)


class RankTest(unittest.TestCase):
    """The workspace's priority comes before that of the route."""

    def test_workspace_comes_before_route(self) -> None:
        """Guards against urgent kinds of an ordinary workspace ahead of an urgent workspace."""
        urgent, usual = WorkspaceKeys("a", ("k",), 0), WorkspaceKeys("b", ("l",), 1)
        report, note = make_route("report", 0), make_route("note", 2)
        configuration = PublishedConfiguration(1, (report, note), workspaces=(urgent, usual))
        ranks = service_ranks(configuration)["text"]
        found = [
            ranks.rank_of(RequestScope(route, workspace))
            for route, workspace in ((report, urgent), (note, urgent), (report, usual))
        ]
        self.assertEqual(found, [0, 1, 2])

    def test_service_with_one_priority_has_no_order(self) -> None:
        """Guards against an order, and its header, where no configuration asks for one."""
        routes = (make_route("a", 1), make_route("b", 1), make_route("c", 2, "plain"))
        self.assertEqual(service_ranks(PublishedConfiguration(1, routes)), {})

    def test_route_replaces_a_missing_workspace_priority(self) -> None:
        """Guards against an error for public routes and workspaces without a priority."""
        routes = (make_route("a", 1), make_route("b", 0, public=True))
        configuration = PublishedConfiguration(1, routes, workspaces=(WorkspaceKeys("w", ("k",)),))
        ranks = service_ranks(configuration)["text"]
        self.assertEqual(ranks.rank_of(RequestScope(routes[1])), 0)
        self.assertEqual(ranks.rank_of(RequestScope(routes[0], configuration.workspaces[0])), 1)

    def test_unknown_priorities_are_least_urgent(self) -> None:
        """Guards against requests of a removed route that would go before all others."""
        ranks = ServiceRanks(((0, 0), (1, 1)))
        self.assertEqual(ranks.rank_of(RequestScope(make_route("gone", 5))), 1)

    def test_more_ranks_than_engines_know_share_the_last_priority(self) -> None:
        self.assertEqual(queue_priority(30), MAX_QUEUE_PRIORITY)
