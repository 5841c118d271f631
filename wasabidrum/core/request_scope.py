"""The route and the workspace of a request, as far as they limit where it may be served."""

import dataclasses

from .published import WorkspaceKeys
from .route import Route


@dataclasses.dataclass(frozen=True, slots=True)
class RequestScope:
    """What the configuration says about a request.

    Attributes:
      workspace: None where the route needs no key.
    """

    route: Route
    workspace: WorkspaceKeys | None = None
