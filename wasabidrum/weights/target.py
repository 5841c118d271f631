"""The target state that the configuration defines for one endpoint."""

import dataclasses

from ..core.fleet import FleetRevision, VersionSpec


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The model, version, adapters and role that an endpoint is to have.

    Attributes:
      adapters: Pairs of adapter name and root digest, sorted by name.
    """

    model: str
    version: str
    spec: VersionSpec
    adapters: tuple[tuple[str, str], ...]
    role: str


def find_target(current: FleetRevision, name: str) -> Target | None:
    """Returns an endpoint's target in a revision, or None if it is assigned no known version."""
    endpoint = current.fleet.endpoints.get(name)
    model = current.fleet.models.get(endpoint.model) if endpoint else None
    if model is None or model.version not in model.versions:
        return None
    adapters = tuple(sorted((key, spec.root) for key, spec in model.adapters.items()))
    return Target(
        endpoint.model, model.version, model.versions[model.version], adapters, endpoint.role
    )


def region_of_endpoints(current: FleetRevision, model: str) -> dict[str, str]:
    """Returns the region of each endpoint of a model, by endpoint name."""
    return {
        name: endpoint.region
        for name, endpoint in current.fleet.endpoints.items()
        if endpoint.model == model
    }
