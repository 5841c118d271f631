"""The configuration that the platform publishes, as typed data."""

import msgspec

from .route import Route


class EngineFigures(msgspec.Struct, frozen=True):
    """How fast the engines of a service work, as published.

    Attributes:
      slots: Requests that run at once.
      step: Seconds for one token of every running request.
      step_per_request: Seconds more for each running request.
      step_per_thousand_context: Seconds more for each thousand tokens of context.
      read_rate: Prompt tokens read in a second.
      read_per_million_pairs: Seconds for a million pairs of a token and an earlier one.
      read_chunk: The most prompt tokens that are read between two steps.
      stride: Steps that run between two looks at the queue.
      memory_tokens: Tokens that fit in an engine's memory.
      usual_prompt: Mean tokens of a prompt.
      usual_answer: Mean tokens of an answer.
      layers: Layers of the model.
      chunk_count: Parts that the model's weights are cut into.
      chunk_bytes: Bytes of each part.
      report_lag: How old an engine's account of itself is when it is read, in seconds.
    """

    slots: int = 1
    step: float = 0.01
    step_per_request: float = 0.0
    step_per_thousand_context: float = 0.0
    read_rate: float = 20_000.0
    read_per_million_pairs: float = 0.0
    read_chunk: int = 2048
    stride: int = 1
    memory_tokens: int = 0
    usual_prompt: float = 1000.0
    usual_answer: float = 100.0
    layers: int = 0
    chunk_count: int = 0
    chunk_bytes: int = 0
    report_lag: float = 0.0


class PublishedService(msgspec.Struct, frozen=True):
    """A service that routes send to, or the origin of weights.

    Attributes:
      engine: None for a plain service.
      models: The models that its engines run.
      most_connections: Connections that one endpoint takes from all callers together.
      data_centre: Where the origin stands; empty for other services.
      origin: Host and port of the origin where this service gives weights, else empty.
    """

    name: str
    health_path: str = ""
    most_connections: int = 0
    engine: EngineFigures | None = None
    models: tuple[str, ...] = ()
    origin: tuple[str, int] | None = None
    data_centre: str = ""


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take or stay idle, in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class WorkspaceKeys(msgspec.Struct, frozen=True):
    """A workspace: its callers' keys and its rank.

    Attributes:
      priority: Goes before that of the route; None where the route's counts.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class PublishedConfiguration(msgspec.Struct, frozen=True):
    """All that one published version says."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[PublishedService, ...] = ()
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[WorkspaceKeys, ...] = ()
