"""Finds the route of a request and the workspace of its key.

Load pattern: hundreds of routes, and one lookup per request. A scan of all routes would cost more
than all other handling of a request, so a request is compared only with the routes of its host.
"""

import hashlib

from ..core.published import EngineFigures, PublishedConfiguration, WorkspaceKeys
from ..core.route import Route

# The services that are remembered after they were dropped; the latest ones.
MAX_DROPPED_SERVICES = 256


class RouteTable:
    """Indexes of one configuration."""

    __slots__ = ("configuration", "_by_host", "_workspaces", "_engines")
    __slots__ += ("_routes_by_name", "_workspaces_by_name")

    def __init__(
        self, configuration: PublishedConfiguration, former: "RouteTable | None" = None
    ) -> None:
        """Indexes a configuration.

        Args:
          former: The indexes of the one that it replaces.
        """
        self.configuration = configuration
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        # Keys are looked up by digest, so that the time of a lookup reveals nothing about a key.
        self._workspaces = {
            digest_key(key): workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        }
        self._routes_by_name = {route.name: route for route in configuration.routes}
        self._workspaces_by_name = {known.name: known for known in configuration.workspaces}
        dropped = dict(former._engines) if former is not None else {}
        for service in configuration.services:
            dropped.pop(service.name, None)
        # Requests may still be in progress at engines of a service that was dropped.
        self._engines = dict(list(dropped.items())[-MAX_DROPPED_SERVICES:])
        self._engines |= {s.name: s.engine for s in configuration.services if s.engine}

    @property
    def has_workspaces(self) -> bool:
        """Whether callers need a key for routes that are not public."""
        return bool(self.configuration.workspaces)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest prefix that matches a path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_of(self, key: str) -> WorkspaceKeys | None:
        """Returns the workspace that a key belongs to, or None."""
        return self._workspaces.get(digest_key(key))

    def route(self, name: str) -> Route | None:
        """Returns a route, or None if it is not published."""
        return self._routes_by_name.get(name)

    def workspace(self, name: str) -> WorkspaceKeys | None:
        """Returns a workspace, or None if it is not published."""
        return self._workspaces_by_name.get(name)

    def engine_figures(self, service: str) -> EngineFigures | None:
        """Returns the figures of a service's engines; None for a plain service.

        Those of a service that was dropped are the last that were published.
        """
        return self._engines.get(service)


def digest_key(key: str) -> bytes:
    """Returns the digest by which a key is looked up."""
    return hashlib.sha256(key.encode(errors="surrogateescape")).digest()
