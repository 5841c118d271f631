"""Where one process runs on the platform, and the time bounds that it must keep."""

import msgspec


class Bounds(msgspec.Struct, frozen=True):
    """The bounds that the platform requires, in seconds.

    Attributes:
      configuration: From the acknowledgement of a change until it is in force.
      revocation: From the same moment until a revoked key is refused everywhere.
      drain: From an endpoint's notice that it leaves until it receives no new requests.
      grace: From SIGTERM until the process is killed.
      version: From the acknowledgement of a version until no request begins on an older one, while
        the store is available.
      settling: From the end of an outage of the store until it counts as available again.
      retry_fraction: The number of retries allowed per request of a service, a ratio.
      retry_extra: The number of additional retries in each window, for all entries together.
      retry_window: The length of that window in seconds.
      cold_factor: The factor by which a cold endpoint may get more requests than it tolerates.
      cold_extra: The number of requests that it may get in a second beyond that.
      evacuation: From the acknowledgement of an evacuation until nothing more is sent there.
    """

    configuration: float = 2.0
    revocation: float = 5.0
    drain: float = 2.0
    grace: float = 8.0
    version: float = 8.0
    settling: float = 3.0
    retry_fraction: float = 0.2
    retry_extra: float = 100.0
    retry_window: float = 10.0
    cold_factor: float = 1.0
    cold_extra: float = 0.0
    evacuation: float = 5.0


class Address(msgspec.Struct, frozen=True):
    """A host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Deployment(msgspec.Struct, frozen=True):
    """The settings that the platform provides to a process when it starts.

    Attributes:
      role: "entry" for a process that serves callers, "sidecar" for one beside an endpoint.
      region_of: The region of each data centre.
      callers: Where an entry listens for callers; entries only.
      readiness: Where the platform checks whether an entry is ready for callers; entries only.
      peers_listen: Where an entry listens for other entries; entries only.
      first_port: The first port for connections between daemons; the same on all instances.
      last_port: The last one.
      seeds: Addresses of some entries for initial contact; some may no longer exist.
      link_mbit: The rate of the instance's link in each direction.
      memory_mb: The memory of the instance that the process may use, in megabytes of 10^6 bytes.
      descriptors: The most file descriptors that it may have open.
      store: The address of the platform's store.
      endpoint: The address of the endpoint beside a sidecar.
      service: The service of that endpoint.
      first_start: Whether the whole system starts for the first time, so that no other process has
        served before this one and those that start with it.
      shares_room: Whether workspaces share what is too little for all of them.
    """

    name: str
    role: str
    host: str
    data_centre: str
    region: str
    region_of: dict[str, str]
    store: Address
    bounds: Bounds
    first_port: int
    last_port: int
    callers: Address | None = None
    readiness: Address | None = None
    peers_listen: Address | None = None
    seeds: tuple[Address, ...] = ()
    link_mbit: float = 1000.0
    memory_mb: int = 300
    descriptors: int = 1024
    endpoint: Address | None = None
    service: str = ""
    first_start: bool = False
    shares_room: bool = False
