"""Decodes the values of the platform's store into the types of the core package."""

import collections.abc
import enum

import msgspec

from ..core.decoding import decode_json, decoding
from ..core.errors import CodedError
from ..core.listed_endpoint import ListedEndpoint
from ..core.published import (
    CallerLimits,
    EngineFigures,
    PublishedConfiguration,
    PublishedService,
    WorkspaceKeys,
)
from ..core.route import Route, RouteKind, RouteTarget
from ..core.store_change import StoreChange
from . import names
from .boot_settings import parse_address
from .wire_records import (
    WireCallerLimits,
    WireConfiguration,
    WireEndpoint,
    WireEngine,
    WireLayers,
    WireRoute,
    WireService,
    WireVersion,
)

ROUTE_KINDS = {"safe": RouteKind.SAFE, "unsafe": RouteKind.UNSAFE, "streaming": RouteKind.STREAM}
# Whether an endpoint is leaving, by its state in the store; an endpoint in any other state is
# invalid.
LEAVING_BY_STATE = {"ready": False, "draining": True}
SINGLE_TARGET_WEIGHT = 1.0
# Callers leave a stream that sends no event for the longest of these times.
MIN_STREAM_IDLE_MS = 2000.0
STREAM_IDLE_PER_TARGET_LATENCY = 4.0
STREAM_IDLE_PER_GAP = 8.0


class ItemKind(enum.Enum):
    """What an item of the store describes."""

    CONFIGURATION = "configuration"
    VERSION = "version"
    ENDPOINT = "endpoint"
    EVACUATION = "evacuation"
    OTHER = "other"


def kind_of(key: str) -> ItemKind:
    """Returns what the item with a key describes."""
    if key.startswith(names.ENDPOINT_PREFIX):
        return ItemKind.ENDPOINT
    if key.startswith(names.VERSION_PREFIX):
        return ItemKind.VERSION
    if key.startswith(names.EVACUATION_PREFIX):
        return ItemKind.EVACUATION
    return ItemKind.CONFIGURATION if key == names.CONFIGURATION_KEY else ItemKind.OTHER


def endpoint_id_of(key: str) -> str:
    """Returns the id of the endpoint that the item with a key describes."""
    return key.removeprefix(names.ENDPOINT_PREFIX)


def evacuated_data_centre_of(key: str) -> str:
    """Returns the data centre that an evacuation item with a key names."""
    return key.removeprefix(names.EVACUATION_PREFIX)


def decode_configuration(content: bytes) -> PublishedConfiguration:
    """Decodes the operator's configuration.

    Raises:
      CodedError: It is invalid.
    """
    with decoding("configuration_invalid"):
        wire = msgspec.json.decode(content, type=WireConfiguration)
        return PublishedConfiguration(
            version=wire.version,
            routes=tuple(to_route(route) for route in wire.routes),
            services=tuple(to_service(service) for service in wire.services),
            limits=to_limits(wire.limits),
            workspaces=tuple(
                WorkspaceKeys(t.name, t.apiKeys, t.priority, t.allowedRegions) for t in wire.tenants
            ),
        )


def configuration_version(changes: collections.abc.Iterable[StoreChange]) -> int:
    """Returns the version of the configuration among items; zero without a valid one."""
    for change in changes:
        if kind_of(change.key) is ItemKind.CONFIGURATION:
            try:
                return decode_configuration(change.value or b"").version
            except CodedError:
                # Whoever applies the items reports it.
                return 0
    return 0


def decode_version(content: bytes) -> tuple[str, int]:
    """Decodes which version of its weights a model is to have.

    Returns:
      The name of the model, and the version.

    Raises:
      CodedError: The value is invalid.
    """
    wire = decode_json(content, WireVersion, "version_invalid")
    return wire.model, wire.version


def decode_endpoint(
    endpoint_id: str, content: bytes, layers_of: collections.abc.Callable[[str], int]
) -> ListedEndpoint:
    """Decodes an endpoint's entry, which is untrusted: anyone may have written it.

    Args:
      layers_of: Returns the number of layers of the model that a service runs.

    Raises:
      CodedError: A field is missing, has the wrong type or an unknown value.
    """
    with decoding("endpoint_invalid"):
        wire = msgspec.json.decode(content, type=WireEndpoint)
        address = parse_address(wire.address)
        leaving = LEAVING_BY_STATE[wire.state]
    held = wire.models[0] if wire.models else None
    return ListedEndpoint(
        id=endpoint_id,
        service=wire.service,
        host=address.host,
        port=address.port,
        data_centre=wire.zone,
        leaving=leaving,
        slots=wire.slots,
        started_at=wire.born,
        model=held.name if held else "",
        weights=held.version if held else 0,
        whole=held is not None
        and holds_all_layers(wire.layers, held.version, layers_of(wire.service)),
        cold_seconds=None if wire.coldRemainingMs is None else wire.coldRemainingMs / 1000.0,
    )


def holds_all_layers(
    held: tuple[WireLayers, ...] | WireLayers | None, version: int, layers: int
) -> bool:
    """Returns whether an endpoint holds every layer of a version.

    An endpoint that does not state its layers holds all of its version.
    """
    if held is None:
        return version > 0
    ranges = (held,) if isinstance(held, WireLayers) else held
    return any(r.version == version and r.first == 0 and r.end >= layers for r in ranges)


def to_route(wire: WireRoute) -> Route:
    """Converts a route."""
    targets = tuple(RouteTarget(split.service, split.weight) for split in wire.trafficSplit)
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.prefix,
        kind=ROUTE_KINDS[wire.type],
        timeout=wire.timeoutMs / 1000.0,
        target_latency=wire.targetLatencyMs / 1000.0,
        priority=wire.priority,
        targets=targets or (RouteTarget(wire.service, SINGLE_TARGET_WEIGHT),),
        max_attempts=wire.maxAttempts,
        public=wire.public,
        resumable=wire.resumable,
        largest_gap=wire.gapTargetMs / 1000.0,
        patience=stream_idle_timeout(wire),
        allowed_regions=wire.allowedRegions,
    )


def stream_idle_timeout(wire: WireRoute) -> float:
    """Returns the seconds without an event after which callers leave a stream.

    Infinite for routes that are not streams.

    Source: the platform's protocol, "Requests".
    """
    if ROUTE_KINDS[wire.type] is not RouteKind.STREAM:
        return float("inf")
    by_target = STREAM_IDLE_PER_TARGET_LATENCY * wire.targetLatencyMs
    by_gap = STREAM_IDLE_PER_GAP * wire.gapTargetMs
    return max(MIN_STREAM_IDLE_MS, by_target, by_gap) / 1000.0


def to_service(wire: WireService) -> PublishedService:
    """Converts a service."""
    origin = parse_address(wire.origin) if wire.origin else None
    return PublishedService(
        name=wire.name,
        health_path=wire.healthPath,
        most_connections=wire.maxConnections,
        engine=to_engine_figures(wire.engine) if wire.engine else None,
        models=tuple(model.name for model in wire.engine.models) if wire.engine else (),
        origin=(origin.host, origin.port) if origin else None,
        data_centre=wire.zone,
        cold_seconds=wire.coldStartS,
        cold_rate=wire.coldPerS,
    )


def to_engine_figures(wire: WireEngine) -> EngineFigures:
    """Converts the performance figures of an engine to seconds and tokens."""
    return EngineFigures(
        slots=wire.slots,
        step=wire.step_ms / 1000.0,
        step_per_request=wire.per_seq_ms / 1000.0,
        step_per_thousand_context=wire.context_per_k / 1000.0,
        read_rate=wire.read_per_s,
        read_per_million_pairs=wire.pairs_per_m / 1000.0,
        read_chunk=wire.chunk,
        stride=wire.stride,
        memory_tokens=wire.kvCapacityTokens,
        usual_prompt=wire.usual.prompt,
        usual_answer=wire.usual.answer,
        layers=wire.layers,
        chunk_count=wire.chunks,
        chunk_bytes=wire.chunkBytes,
        report_lag=wire.report_lag_ms / 1000.0,
    )


def to_limits(wire: WireCallerLimits) -> CallerLimits:
    """Converts the limits on callers to seconds and bytes."""
    return CallerLimits(
        wire.maxHeaderBytes,
        wire.maxBodyBytes,
        wire.headerTimeoutMs / 1000.0,
        wire.idleTimeoutMs / 1000.0,
    )
