"""In which regions a request may be served, and to which its reports may go.

Load pattern: some workspaces and routes are bound to regions by contract, while their callers come
to all entries and most endpoints stand elsewhere. An overload or an evacuation of the home regions
pushes requests to other regions, and a change of the configuration reaches requests that wait.
Regions are therefore looked up for each decision on a request, not once when it is accepted, and a
request without an endpoint at home is refused rather than served elsewhere.

Regions are None where a request may go anywhere; an empty set allows none.
"""

import collections.abc
import dataclasses

from ..core.published import PublishedConfiguration, WorkspaceKeys
from ..core.request_scope import RequestScope
from ..core.route import Route

Regions = frozenset[str] | None


@dataclasses.dataclass(frozen=True, slots=True)
class HomeFinding:
    """A route or a workspace whose home regions leave some or all of its requests without any.

    Attributes:
      route: The route; empty if this is about a workspace.
      workspace: The workspace; empty if this is about a route.
      unknown: Home regions that contain no data centre.
      disjoint: For a route, the workspaces that share no home region with it.
    """

    route: str
    workspace: str
    unknown: tuple[str, ...] = ()
    disjoint: tuple[str, ...] = ()


def homes_of(record: Route | WorkspaceKeys | None) -> Regions:
    """Returns the home regions of a route or a workspace."""
    return frozenset(record.allowed_regions) if record and record.allowed_regions else None


def intersect(one: Regions, other: Regions) -> Regions:
    """Returns the regions that both allow."""
    if one is None or other is None:
        return other if one is None else one
    return one & other


def home_regions(scope: RequestScope) -> Regions:
    """Returns the regions in which a request may be served."""
    return intersect(homes_of(scope.route), homes_of(scope.workspace))


def may_be_in(regions: Regions, region: str) -> bool:
    """Returns whether something with some home regions may be in a region.

    Args:
      region: Empty if it is not known.
    """
    return regions is None or region in regions


def has_homes(configuration: PublishedConfiguration) -> bool:
    """Returns whether any route or workspace of a configuration has home regions."""
    records = (*configuration.routes, *configuration.workspaces)
    return any(record.allowed_regions for record in records)


def find_faults(
    configuration: PublishedConfiguration, known: collections.abc.Set[str]
) -> list[HomeFinding]:
    """Returns what in a configuration leaves requests without a region that may serve them.

    Args:
      known: The regions that contain a data centre.
    """
    findings = []
    # There may be hundreds of routes and of workspaces, but only a few sets of regions.
    workspaces: dict[frozenset[str], list[str]] = {}
    for workspace in configuration.workspaces:
        homes = homes_of(workspace)
        if homes is None:
            continue
        workspaces.setdefault(homes, []).append(workspace.name)
        if homes - known:
            findings.append(HomeFinding("", workspace.name, tuple(sorted(homes - known))))
    for route in configuration.routes:
        homes = homes_of(route)
        if homes is None:
            continue
        disjoint: list[str] = []
        if not route.public:
            for theirs, names in workspaces.items():
                disjoint += names if not homes & theirs else ()
        unknown = tuple(sorted(homes - known))
        if unknown or disjoint:
            findings.append(HomeFinding(route.name, "", unknown, tuple(disjoint)))
    return findings
