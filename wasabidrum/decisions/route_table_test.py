"""Tests of finding the route of a request and the workspace of its key."""

import unittest

from ..core.published import (
    EngineFigures,
    PublishedConfiguration,
    PublishedService,
    WorkspaceKeys,
)
from ..core.route import Route, RouteKind, RouteTarget
from .route_table import RouteTable


def make_route(host: str, prefix: str, service: str) -> Route:
    """Returns a route with default properties."""
    target = RouteTarget(service, 1.0)
    return Route(service, host, prefix, RouteKind.SAFE, 1.0, 0.1, 0, (target,))


class RouteTableTest(unittest.TestCase):
    """Lookups in one configuration."""

    def setUp(self) -> None:
        self.table = RouteTable(
            PublishedConfiguration(
                version=3,
                routes=(
                    make_route("a.example", "/x/", "short"),
                    make_route("a.example", "/x/y/", "long"),
                    make_route("b.example", "/x/", "other"),
                ),
                workspaces=(WorkspaceKeys("till", ("k1", "k2")), WorkspaceKeys("shop", ("k3",))),
            )
        )

    def test_the_longest_prefix_wins(self) -> None:
        self.assertEqual(self.table.find("a.example", "/x/y/z").name, "long")
        self.assertEqual(self.table.find("a.example", "/x/yz").name, "short")

    def test_a_host_matches_only_its_own_routes(self) -> None:
        self.assertEqual(self.table.find("b.example", "/x/y/z").name, "other")
        self.assertIsNone(self.table.find("c.example", "/x/"))
        self.assertIsNone(self.table.find("a.example", "/"))

    def test_every_key_of_a_workspace_identifies_it(self) -> None:
        self.assertEqual(self.table.workspace_of("k2").name, "till")
        self.assertEqual(self.table.workspace_of("k3").name, "shop")
        self.assertIsNone(self.table.workspace_of(""))
        self.assertIsNone(self.table.workspace_of("k"))

    def test_engines_of_a_dropped_service(self) -> None:
        """Guards against engines with requests in progress that pass for plain endpoints."""
        engines = PublishedConfiguration(
            1, services=(PublishedService("a", engine=EngineFigures()),)
        )
        dropped = RouteTable(PublishedConfiguration(2), RouteTable(engines))
        self.assertEqual(dropped.engine_figures("a"), EngineFigures())
        plain = PublishedConfiguration(3, services=(PublishedService("a"),))
        self.assertIsNone(RouteTable(plain, dropped).engine_figures("a"))
