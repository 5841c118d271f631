"""Records of the platform's store, with the platform's field names and units."""

import msgspec


class WireSplit(msgspec.Struct, frozen=True):
    """One target of a route with split traffic."""

    service: str
    weight: float


class WireRoute(msgspec.Struct, frozen=True):
    """A route. The field type is "safe", "unsafe" or "streaming", and says what may be repeated."""

    name: str
    host: str
    prefix: str
    type: str
    timeoutMs: float  # noqa: N815
    targetLatencyMs: float = 0.0  # noqa: N815
    priority: int = 0
    service: str = ""
    trafficSplit: tuple[WireSplit, ...] = ()  # noqa: N815
    maxAttempts: int = 1  # noqa: N815
    public: bool = False
    resumable: bool = False
    gapTargetMs: float = 0.0  # noqa: N815
    allowedRegions: tuple[str, ...] = ()  # noqa: N815


class WireModel(msgspec.Struct, frozen=True):
    """A model that the engines of a service run."""

    name: str


class WireUsual(msgspec.Struct, frozen=True):
    """Mean numbers of tokens of a request's prompt and answer."""

    prompt: float = 1000.0
    answer: float = 100.0


class WireEngine(msgspec.Struct, frozen=True):
    """Performance figures of an engine. Suffixes of the names are units; sizes are in tokens."""

    slots: int = 1
    kvCapacityTokens: int = 0  # noqa: N815
    stride: int = 1
    models: tuple[WireModel, ...] = ()
    step_ms: float = 10.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 20_000.0
    pairs_per_m: float = 0.0
    chunk: int = 2048
    usual: WireUsual = WireUsual()
    layers: int = 0
    chunks: int = 0
    chunkBytes: int = 0  # noqa: N815
    report_lag_ms: float = 0.0


class WireService(msgspec.Struct, frozen=True):
    """A service. One with an origin serves weights and has no entry among the endpoints."""

    name: str
    healthPath: str = ""  # noqa: N815
    maxConnections: int = 0  # noqa: N815
    engine: WireEngine | None = None
    origin: str = ""
    zone: str = ""
    linkMbps: float = 0.0  # noqa: N815
    coldStartS: float = 0.0  # noqa: N815
    coldPerS: float = 0.0  # noqa: N815


class WireTenant(msgspec.Struct, frozen=True):
    """A workspace and its keys."""

    name: str
    apiKeys: tuple[str, ...] = ()  # noqa: N815
    priority: int | None = None
    allowedRegions: tuple[str, ...] = ()  # noqa: N815


class WireCallerLimits(msgspec.Struct, frozen=True):
    """Limits on what callers send."""

    maxHeaderBytes: int = 16_384  # noqa: N815
    maxBodyBytes: int = 4_194_304  # noqa: N815
    headerTimeoutMs: float = 3000.0  # noqa: N815
    idleTimeoutMs: float = 15_000.0  # noqa: N815


class WireConfiguration(msgspec.Struct, frozen=True):
    """The operator's complete current configuration."""

    version: int
    routes: tuple[WireRoute, ...] = ()
    services: tuple[WireService, ...] = ()
    limits: WireCallerLimits = WireCallerLimits()
    tenants: tuple[WireTenant, ...] = ()


class WireVersion(msgspec.Struct, frozen=True):
    """The version of its weights that a model is to have."""

    model: str
    version: int


class WireHeldModel(msgspec.Struct, frozen=True):
    """A model that an endpoint holds."""

    name: str
    version: int = 0


class WireLayers(msgspec.Struct, frozen=True, rename={"first": "from", "end": "to"}):
    """A range of layers that an endpoint holds of one version, its end excluded."""

    first: int
    end: int
    version: int = 0


class WireEndpoint(msgspec.Struct, frozen=True):
    """An endpoint's own entry. Its field version names its software and is not decoded."""

    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    born: int = 0
    coldRemainingMs: float | None = None  # noqa: N815
    models: tuple[WireHeldModel, ...] = ()
    layers: tuple[WireLayers, ...] | WireLayers | None = None
