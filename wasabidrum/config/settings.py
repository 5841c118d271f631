"""The settings of one process: who it is, where it listens, whom it talks to."""

import msgspec


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where a daemon listens; port 0 takes a free one.

    Attributes:
      caller_port: For callers; entries only.
      http_port: For the fleet's own requests and chunks.
      peer_port: For the fleet's control messages.
    """

    host: str = "127.0.0.1"
    caller_port: int = 0
    http_port: int = 0
    peer_port: int = 0


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """URLs of what the platform gives; an empty store means that there is none."""

    configuration: str
    instances: str
    origin: str
    store: str = ""


class EndpointSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The endpoint beside a sidecar: a model engine or a plain service."""

    kind: str
    url: str


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
    """

    name: str
    role: str
    site: str
    region: str
    data_centre: str
    platform: PlatformSettings
    listen: ListenSettings = ListenSettings()
    endpoint: EndpointSettings | None = None
    link_mbit: float = 1000.0
    weights_from: str = "peers"
    chunk_memory_bytes: int = 268_435_456
    drain_seconds: float = 60.0
    log_file: str = ""
