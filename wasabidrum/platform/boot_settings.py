"""Reads the settings file that the platform provides at boot, in the platform's format."""

import os
import pathlib
import re
import typing

import msgspec

from ..config.deployment import Address, Bounds, Deployment
from ..core.decoding import decoding
from ..core.errors import CodedError
from . import names

PORT = re.compile("[0-9]{1,5}")
MAX_PORT = 65_535
# The contract under which workspaces share what is too little for all of them.
SHARED_ROOM_CONTRACT = "pressure"
MemoryMegabytes = typing.Annotated[float, msgspec.Meta(ge=64.0)]
Descriptors = typing.Annotated[int, msgspec.Meta(ge=128)]


class WireBounds(msgspec.Struct, frozen=True):
    """The bounds as the platform writes them; most names end in their unit."""

    configApplyMs: float = 2000.0  # noqa: N815
    revokeMs: float = 5000.0  # noqa: N815
    drainMs: float = 2000.0  # noqa: N815
    graceS: float = 8.0  # noqa: N815
    version_ms: float = 8000.0
    stableMs: float = 3000.0  # noqa: N815
    retryBudgetRatio: float = 0.2  # noqa: N815
    budgetSlack: float = 100.0  # noqa: N815
    budgetWindowS: float = 10.0  # noqa: N815
    coldOverage: float = 1.0  # noqa: N815
    coldSlack: float = 0.0  # noqa: N815
    evacuateMs: float = 5000.0  # noqa: N815


class WireLimits(msgspec.Struct, frozen=True):
    """The resources that this process may use on its instance."""

    memoryMb: MemoryMegabytes = 300.0  # noqa: N815
    maxFds: Descriptors = 1024  # noqa: N815
    linkMbps: float = 1000.0  # noqa: N815


class WireProvider(msgspec.Struct, frozen=True):
    """Where the platform's store listens."""

    address: str


class WireSettings(msgspec.Struct, frozen=True):
    """The settings file; keys that are not listed here are ignored."""

    nodeName: str  # noqa: N815
    machineClass: str  # noqa: N815
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    provider: WireProvider
    listen: dict[str, str] = {}
    internalPorts: tuple[int, int] = (7700, 7715)  # noqa: N815
    seeds: tuple[str, ...] = ()
    limits: WireLimits = WireLimits()
    bounds: WireBounds = WireBounds()
    serves: tuple[str, ...] = ()
    app: str = ""
    service: str = ""
    bootstrap: bool = False
    contracts: tuple[str, ...] = ()


def read_deployment() -> Deployment:
    """Reads the file that the environment variable WASABIDRUM_CONFIG names.

    Raises:
      CodedError: There is no such file, or it is invalid.
    """
    path = os.environ.get(names.SETTINGS_VARIABLE, "")
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise CodedError("settings_unreadable", f"{path!r}: {error}") from error
    return decode_deployment(content)


def decode_deployment(content: bytes) -> Deployment:
    """Decodes the settings file.

    Raises:
      CodedError: It is invalid.
    """
    with decoding("settings_invalid"):
        wire = msgspec.json.decode(content, type=WireSettings)
        return to_deployment(wire)


def to_deployment(wire: WireSettings) -> Deployment:
    """Converts the settings to the types of the config package.

    Raises:
      ValueError: An address is invalid.
    """
    listen = {name: parse_address(text) for name, text in wire.listen.items()}
    bounds = wire.bounds
    return Deployment(
        name=wire.nodeName,
        role="entry" if "front" in wire.serves else "sidecar",
        host=wire.ip,
        data_centre=wire.zone,
        region=wire.region,
        region_of=wire.zones,
        store=parse_address(wire.provider.address),
        bounds=Bounds(
            configuration=bounds.configApplyMs / 1000.0,
            revocation=bounds.revokeMs / 1000.0,
            drain=bounds.drainMs / 1000.0,
            grace=bounds.graceS,
            version=bounds.version_ms / 1000.0,
            settling=bounds.stableMs / 1000.0,
            retry_fraction=bounds.retryBudgetRatio,
            retry_extra=bounds.budgetSlack,
            retry_window=bounds.budgetWindowS,
            cold_factor=bounds.coldOverage,
            cold_extra=bounds.coldSlack,
            evacuation=bounds.evacuateMs / 1000.0,
        ),
        first_port=wire.internalPorts[0],
        last_port=wire.internalPorts[1],
        callers=listen.get("front"),
        readiness=listen.get("ready"),
        peers_listen=listen.get("control"),
        seeds=tuple(parse_address(seed) for seed in wire.seeds),
        link_mbit=wire.limits.linkMbps,
        memory_mb=int(wire.limits.memoryMb),
        descriptors=wire.limits.maxFds,
        endpoint=parse_address(wire.app) if wire.app else None,
        service=wire.service,
        first_start=wire.bootstrap,
        shares_room=SHARED_ROOM_CONTRACT in wire.contracts,
    )


def parse_address(text: str) -> Address:
    """Parses an address of the form HOST:PORT.

    Raises:
      ValueError: It has another form.
    """
    host, _, port = text.rpartition(":")
    if not host or PORT.fullmatch(port) is None or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text[:100]!r} is not HOST:PORT")
    return Address(host, int(port))
