"""One instance as the platform lists it."""

import enum

import msgspec


class InstanceState(enum.StrEnum):
    """The state of an instance in the platform's list, which lags behind the actual state."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRole(enum.StrEnum):
    """Which part of the system runs on an instance."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class Instance(msgspec.Struct, frozen=True):
    """An instance and where its daemon listens.

    An instance that replaces another has the same name, that of their slot. Its addresses and the
    incarnation that its daemon reports differ.
    """

    name: str
    role: InstanceRole
    region: str
    data_centre: str
    host: str
    http_port: int
    peer_port: int
    state: InstanceState = InstanceState.LIVE


class InstanceList(msgspec.Struct, frozen=True):
    """The platform's list; as_of is its time in seconds since the epoch."""

    as_of: float
    instances: tuple[Instance, ...]
