"""What the platform's store holds, in the platform's own words and units."""

import msgspec


class WireSplit(msgspec.Struct, frozen=True):
    """One part of a route that is split."""

    service: str
    weight: float


class WireRoute(msgspec.Struct, frozen=True):
    """A route. The field called type is what may be repeated."""

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


class WireModel(msgspec.Struct, frozen=True):
    """A model of a service's engines."""

    name: str


class WireUsual(msgspec.Struct, frozen=True):
    """Mean tokens of a request."""

    prompt: float = 1000.0
    answer: float = 100.0


class WireEngine(msgspec.Struct, frozen=True):
    """An engine's figures. The last parts of the names are units; sizes are in tokens."""

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
    """A service; one with an origin gives weights and is on no list."""

    name: str
    healthPath: str = ""  # noqa: N815
    maxConnections: int = 0  # noqa: N815
    engine: WireEngine | None = None
    origin: str = ""
    zone: str = ""
    linkMbps: float = 0.0  # noqa: N815


class WireTenant(msgspec.Struct, frozen=True):
    """A workspace and its keys."""

    name: str
    apiKeys: tuple[str, ...] = ()  # noqa: N815
    priority: int | None = None


class WireCallerLimits(msgspec.Struct, frozen=True):
    """Limits on what callers send."""

    maxHeaderBytes: int = 16_384  # noqa: N815
    maxBodyBytes: int = 4_194_304  # noqa: N815
    headerTimeoutMs: float = 3000.0  # noqa: N815
    idleTimeoutMs: float = 15_000.0  # noqa: N815


class WireConfiguration(msgspec.Struct, frozen=True):
    """The operator's newest configuration, in full."""

    version: int
    routes: tuple[WireRoute, ...] = ()
    services: tuple[WireService, ...] = ()
    limits: WireCallerLimits = WireCallerLimits()
    tenants: tuple[WireTenant, ...] = ()


class WireVersion(msgspec.Struct, frozen=True):
    """Which weights a model is to have."""

    model: str
    version: int


class WireHeldModel(msgspec.Struct, frozen=True):
    """A model that an endpoint holds."""

    name: str
    version: int = 0


class WireLayers(msgspec.Struct, frozen=True, rename={"first": "from", "end": "to"}):
    """Layers that an endpoint holds of one version; the end is not held."""

    first: int
    end: int
    version: int = 0


class WireEndpoint(msgspec.Struct, frozen=True):
    """An endpoint's own entry. The field version, of its software, is not used."""

    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    born: int = 0
    models: tuple[WireHeldModel, ...] = ()
    layers: tuple[WireLayers, ...] | WireLayers | None = None
