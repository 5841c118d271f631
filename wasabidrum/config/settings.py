"""The settings of one process: its identity, where it listens, what it connects to."""

import typing

import msgspec

Name = typing.Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z")]
Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0.0)]
NotNegative = typing.Annotated[float, msgspec.Meta(ge=0.0)]
Size = typing.Annotated[int, msgspec.Meta(ge=1)]
MemoryMegabytes = typing.Annotated[int, msgspec.Meta(ge=64)]
Descriptors = typing.Annotated[int, msgspec.Meta(ge=128)]


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where a daemon listens; port 0 selects a free port.

    Attributes:
      caller_port: For callers; entries only.
      http_port: For HTTP requests and chunks between the fleet's daemons.
      peer_port: For control messages between the fleet's daemons.
    """

    host: str = "127.0.0.1"
    caller_port: Port = 0
    http_port: Port = 0
    peer_port: Port = 0


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """URLs of the platform's services; an empty store means that there is no weight store."""

    configuration: str
    instances: str
    origin: str
    store: str = ""


class EndpointSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The endpoint beside a sidecar: a model engine or a plain service."""

    kind: typing.Literal["engine", "service"]
    url: str


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Paths of the PEM files with which the fleet's processes authenticate each other.

    Attributes:
      certificate: This process's certificate, with any intermediate certificates.
      key: The certificate's private key.
      authority: The certificates of the authority that signs those of the fleet.
    """

    certificate: str
    key: str
    authority: str


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One process's settings.

    Attributes:
      name: The name of this process's slot, as in the fleet's files.
      role: "entry" or "sidecar".
      site: The site, which selects the overlay.
      link_mbit: The rate of the instance's link in each direction, in megabits per second.
      weights_from: "peers"; "origin" and "chain" are simple baselines for benchmarks.
      chunk_memory_bytes: The most memory that a sidecar uses for chunks to serve to its peers.
      memory_mb: The memory of the instance that this process may use, in megabytes of 10^6 bytes.
      descriptors: The most file descriptors that it may have open.
      drain_seconds: How long a graceful shutdown waits for requests in progress.
      log_file: The file for log lines; empty for standard error.
      tls: Mutual TLS between the fleet's processes; disabled where absent.
      control: With "peers", changes come from other daemons; with "service", this daemon watches
        the platform's service itself, as a baseline for benchmarks.
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
    memory_mb: MemoryMegabytes = 1024
    descriptors: Descriptors = 4096
    drain_seconds: NotNegative = 60.0
    log_file: str = ""
    tls: TlsSettings | None = None
    control: typing.Literal["peers", "service"] = "peers"
