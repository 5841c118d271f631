"""Tests of the regions that may serve requests, and of configurations that leave none."""

import unittest

from ..core.published import PublishedConfiguration, WorkspaceKeys
from ..core.request_scope import RequestScope
from ..core.route import Route, RouteKind
from .home_regions import HomeFinding, find_faults, home_regions


def make_route(name: str, *regions: str, public: bool = False) -> Route:
    """Returns a route with home regions."""
    return Route(
        name, "h", "/", RouteKind.SAFE, 1.0, 1.0, 1, (), public=public, allowed_regions=regions
    )


def make_workspace(name: str, *regions: str) -> WorkspaceKeys:
    """Returns a workspace with home regions."""
    return WorkspaceKeys(name, (), 1, regions)


class HomeRegionsTest(unittest.TestCase):
    """Routes and workspaces with home regions "x" and "y"."""

    def test_regions_of_a_request(self) -> None:
        """Guards against a request that is served where only one of its two records allows it."""
        for route, workspace, expected in (
            ((), (), None),
            (("x",), (), {"x"}),
            ((), ("y",), {"y"}),
            (("x", "y"), ("y", "z"), {"y"}),
            (("x",), ("y",), set()),
        ):
            scope = RequestScope(make_route("r", *route), make_workspace("w", *workspace))
            self.assertEqual(home_regions(scope), expected)
        self.assertIsNone(home_regions(RequestScope(make_route("r"))))

    def test_faults_of_a_configuration(self) -> None:
        """Guards against operators that do not learn why requests are refused."""
        configuration = PublishedConfiguration(
            1,
            routes=(make_route("a", "x"), make_route("p", "x", public=True), make_route("b")),
            workspaces=(make_workspace("u", "y"), make_workspace("v", "z"), make_workspace("w")),
        )
        self.assertEqual(
            find_faults(configuration, {"x", "y"}),
            [HomeFinding("", "v", ("z",)), HomeFinding("a", "", (), ("u", "v"))],
        )


if __name__ == "__main__":
    unittest.main()
