"""The configuration in force at one site, as typed data.

docs/CONFIGURATION.md explains each key; a test holds that page and these types equal. A new
key comes with a new schema number, so that two versions of the daemon accept alike.
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
    """A model, the version that is to be in force, and every version that may be.

    Attributes:
      version: The version wanted in force.
      versions: Every version that the origin has, by name.
      adapters: Adapters by name; each is content like a version, and small.
      away_fraction: How large a part of the model's endpoints may switch at once.
      soak_seconds: How long the first endpoint must stay up before others follow.
    """

    version: str
    versions: dict[str, VersionSpec]
    adapters: dict[str, VersionSpec] = {}
    away_fraction: Fraction = 0.25
    soak_seconds: NotNegative = 1.0


class EndpointSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An endpoint, by the name of the slot that its instance fills.

    Attributes:
      model: The model that it serves, or empty for a plain service.
      service: The plain service that it runs, or empty for a model engine.
      role: "mixed", "prefill" or "decode".
      fencing: Whether it refuses orders with an old fencing number.
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
    """A plain service and what is known of its calls."""

    calls: tuple[ServiceCall, ...] = ()


class WorkspaceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A workspace: who its callers are, what they may reach, and its share.

    Attributes:
      key_digests: SHA-256 digests of the bearer keys, in hexadecimal.
      models: The models that it may call.
      services: The plain services that it may call.
      share: Its weight beside other workspaces when there is too little for all.
      tokens_per_second: The most it may generate, or zero for no limit of its own.
    """

    key_digests: tuple[Digest, ...]
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    share: Positive = 1.0
    tokens_per_second: NotNegative = 0.0


class LinkSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Link rates in megabits a second, and the parts that weights may use.

    Attributes:
      origin_region: The region in which the origin stands, or empty where none is nearer.
    """

    between_regions_mbit: Positive = 13.0
    instance_mbit: Positive = 1000.0
    weights_fraction_between_regions: Fraction = 0.7
    weights_fraction_instance: Fraction = 0.7
    origin_region: str = ""


class LimitSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on what one caller may send and how long it may take."""

    body_bytes: Size = 1_048_576
    default_deadline_seconds: Positive = 30.0
    largest_deadline_seconds: Positive = 600.0


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that the files say for one site: the base with the site's overlay applied."""

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
      revision: Grows with each publication; also the fencing number of orders.
      digest: The digest of the published value, the same at every site.
      fleet: What is in force at this site.
    """

    revision: int
    digest: str
    fleet: Fleet
