"""Which route a request takes, and whose key it shows.

Load pattern: hundreds of routes, each request looked up once. A scan of all would cost more
than the rest of a request's handling; by host, a request meets only its own host's routes.
"""

import hashlib

from ..core.published import PublishedConfiguration, PublishedService, WorkspaceKeys
from ..core.route import Route


class RouteTable:
    """One configuration, laid out for lookups."""

    __slots__ = ("configuration", "_by_host", "_workspaces", "_services")

    def __init__(self, configuration: PublishedConfiguration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        # Looked up by digest, so that the time of a lookup tells nothing of a key's letters.
        self._workspaces = {
            digest_key(key): workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        }
        self._services = {service.name: service for service in configuration.services}

    @property
    def has_workspaces(self) -> bool:
        """Whether callers of routes that are not public need a key."""
        return bool(self.configuration.workspaces)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest prefix of a path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_of(self, key: str) -> WorkspaceKeys | None:
        """Returns who holds a key, or None."""
        return self._workspaces.get(digest_key(key))

    def service(self, name: str) -> PublishedService | None:
        """Returns a service, or None where it is not published."""
        return self._services.get(name)


def digest_key(key: str) -> bytes:
    """Returns what a key is looked up by."""
    return hashlib.sha256(key.encode(errors="surrogateescape")).digest()
