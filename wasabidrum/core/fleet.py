"""The configuration in force at one site, as typed data.

docs/CONFIGURATION.md describes each key; a test compares that page with these types. Adding a key
requires a new schema number, so that daemons of different versions accept the same values.
"""

import typing

import msgspec

from .digest import Digest

Fraction = typing.Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0.0)]
NotNegative = typing.Annotated[float, msgspec.Meta(ge=0.0)]
Size = typing.Annotated[int, msgspec.Meta(ge=1)]


class VersionSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A published version: the digest of its manifest and its size in bytes."""

    root: Digest
    bytes: typing.Annotated[int, msgspec.Meta(ge=0)]


class ModelSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model, the version that is to be in force, and all versions that can be selected.

    Attributes:
      version: The version that is to be in force.
      versions: Every version that the origin has, by name.
      adapters: Adapters by name; each is stored like a version, and small.
      away_fraction: The fraction of the model's endpoints that may switch versions at once.
      soak_seconds: How long the first endpoint must run the version before others follow.
    """

    version: str
    versions: dict[str, VersionSpec]
    adapters: dict[str, VersionSpec] = {}
    away_fraction: Fraction = 0.25
    soak_seconds: NotNegative = 1.0


class EndpointSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An endpoint, listed under the name of its instance's slot.

    Attributes:
      model: The model that it serves, or empty for a plain service.
      service: The plain service that it runs, or empty for a model engine.
      role: "mixed", "prefill" or "decode".
      fencing: Whether it refuses orders with an outdated fencing token.
    """

    region: str
    model: str = ""
    service: str = ""
    role: typing.Literal["mixed", "prefill", "decode"] = "mixed"
    fencing: bool = False


class ServiceCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One call of a plain service. A call that is not listed is not idempotent.

    Attributes:
      priority: "charge" or "read".
    """

    path: str
    method: str = "POST"
    idempotent: bool = False
    priority: typing.Literal["charge", "read"] = "charge"


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service and the properties of its calls."""

    calls: tuple[ServiceCall, ...] = ()


class WorkspaceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A workspace: its callers' keys, what they may call, and its share of the capacity.

    Attributes:
      key_digests: SHA-256 digests of the bearer keys, in hexadecimal.
      models: The models that it may call.
      services: The plain services that it may call.
      share: Its weight among the workspaces when capacity is short.
      tokens_per_second: The maximum that it may generate, or zero for no limit of its own.
    """

    key_digests: tuple[Digest, ...]
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    share: Positive = 1.0
    tokens_per_second: NotNegative = 0.0


class LinkSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Link rates in megabits per second, and the fractions of them that weights may use.

    Attributes:
      origin_region: The region of the origin, or empty where no region is nearer to it.
    """

    between_regions_mbit: Positive = 13.0
    instance_mbit: Positive = 1000.0
    weights_fraction_between_regions: Fraction = 0.7
    weights_fraction_instance: Fraction = 0.7
    origin_region: str = ""


class LimitSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the size and the deadline of one caller's request."""

    body_bytes: Size = 1_048_576
    default_deadline_seconds: Positive = 30.0
    largest_deadline_seconds: Positive = 600.0


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration of one site: the base with the site's overlay applied."""

    schema: int
    models: dict[str, ModelSpec] = {}
    endpoints: dict[str, EndpointSpec] = {}
    services: dict[str, ServiceSpec] = {}
    workspaces: dict[str, WorkspaceSpec] = {}
    links: LinkSpec = LinkSpec()
    limits: LimitSpec = LimitSpec()


class FleetRevision(msgspec.Struct, frozen=True):
    """A fleet configuration with the revision that published it.

    Attributes:
      revision: Increases with each publication; also the fencing token of orders.
      digest: The digest of the published value, the same at every site.
      fleet: The configuration of this site.
    """

    revision: int
    digest: str
    fleet: Fleet
