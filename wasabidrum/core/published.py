"""The operator's configuration that the platform publishes, as typed data."""

import msgspec

from .route import Route


class EngineFigures(msgspec.Struct, frozen=True):
    """Published performance figures of the engines of a service.

    Attributes:
      slots: The maximum number of requests that run at once.
      step: Base duration in seconds of a step, which gives each running request one token.
      step_per_request: Additional seconds of a step for each running request.
      step_per_thousand_context: Additional seconds of a step for each thousand tokens of context.
      read_rate: Prompt tokens read per second (prefill).
      read_per_million_pairs: Seconds of prefill for a million pairs of a token and an earlier one.
      read_chunk: The maximum of prompt tokens that are read between two steps.
      stride: Steps between two checks of the queue for waiting requests.
      memory_tokens: Tokens whose context fits in an engine's memory.
      usual_prompt: Mean tokens of a prompt.
      usual_answer: Mean tokens of an answer.
      layers: Number of layers of the model.
      chunk_count: Number of chunks of the model's weights.
      chunk_bytes: Size of each chunk.
      report_lag: The age in seconds of an engine's report when it is read.
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
    """A service that is the target of routes, or the origin of weights.

    Attributes:
      engine: None for a plain service.
      models: The models that its engines run.
      most_connections: The maximum number of connections to one endpoint, all callers included.
      data_centre: The data centre of the origin; empty for other services.
      origin: Host and port where this service is the origin of weights, else None.
      cold_seconds: For how long an endpoint is cold after it has started.
      cold_rate: Requests a second that a cold endpoint tolerates from all callers together; zero
        if its endpoints have no such limit.
    """

    name: str
    health_path: str = ""
    most_connections: int = 0
    engine: EngineFigures | None = None
    models: tuple[str, ...] = ()
    origin: tuple[str, int] | None = None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0
    data_centre: str = ""


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size of a caller's request, and timeouts in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class WorkspaceKeys(msgspec.Struct, frozen=True):
    """A workspace: its callers' keys and its priority.

    Attributes:
      priority: Ranks before the priority of the route; None if the workspace has none.
      allowed_regions: Where its requests may be served; anywhere if empty.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


class PublishedConfiguration(msgspec.Struct, frozen=True):
    """The content of one published version of the configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[PublishedService, ...] = ()
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[WorkspaceKeys, ...] = ()
