"""The settings of one process: who it is, where it listens, whom it talks to."""

import typing

import msgspec

Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z")]
Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0.0)]
NotNegative = typing.Annotated[float, msgspec.Meta(ge=0.0)]
Size = typing.Annotated[int, msgspec.Meta(ge=1)]


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where a daemon listens; port 0 takes a free one.

    Attributes:
      caller_port: For callers; entries only.
      http_port: For the fleet's own requests and chunks.
      peer_port: For the fleet's control messages.
    """

    host: str = "127.0.0.1"
    caller_port: Port = 0
    http_port: Port = 0
    peer_port: Port = 0


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """URLs of what the platform gives; an empty store means that there is none."""

    configuration: str
    instances: str
    origin: str
    store: str = ""


class EndpointSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The endpoint beside a sidecar: a model engine or a plain service."""

    kind: typing.Literal["engine", "service"]
    url: str


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Paths of the PEM files with which the fleet's processes prove who they are.

    Attributes:
      certificate: This process's certificate, with any intermediate ones.
      key: The certificate's private key.
      authority: The certificates of the authority that signs for the whole fleet.
    """

    certificate: str
    key: str
    authority: str


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One process's settings.

    Attributes:
      name: The slot that this process fills, as in the fleet's files.
      role: "entry" or "sidecar".
      site: The overlay that applies here.
      link_mbit: The instance's link rate, each way, in megabits a second.
      weights_from: "peers"; "origin" and "chain" are the plain ways that benches compare with.
      chunk_memory_bytes: The most that a sidecar holds of weights for its peers.
      drain_seconds: How long a graceful shutdown waits for requests in progress.
      log_file: Where log lines go; empty for standard error.
      tls: Mutual TLS between the fleet's processes; none where left out.
      control: "peers" hears of changes from other daemons; "service" has this daemon watch
        the platform's service itself, as a baseline for measurements.
    """

    name: Name
    role: typing.Literal["entry", "sidecar"]
    site: Name
    region: Name
    data_centre: Name
    platform: PlatformSettings
    listen: ListenSettings = ListenSettings()
    endpoint: EndpointSettings | None = None
    link_mbit: Positive = 1000.0
    weights_from: typing.Literal["peers", "origin", "chain"] = "peers"
    chunk_memory_bytes: Size = 268_435_456
    drain_seconds: NotNegative = 60.0
    log_file: str = ""
    tls: TlsSettings | None = None
    control: typing.Literal["peers", "service"] = "peers"
