"""Where one process runs on the platform, and the bounds that it must keep."""

import msgspec


class Bounds(msgspec.Struct, frozen=True):
    """What the users ask for, in seconds.

    Attributes:
      configuration: From a change's acknowledgement until it is in force.
      revocation: From then until a key that was taken away is refused everywhere.
      drain: From an endpoint's notice until it gets no new work.
      grace: From SIGTERM until the process is killed.
      version: From a version's acknowledgement until no request begins on an older one, while the
        store answers.
      settling: From the end of an outage of the store until it counts as answering again.
      retry_fraction: Retries for each request of a service.
      retry_extra: Retries more in each window, for all entries together.
      retry_window: The length of that window.
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


class Address(msgspec.Struct, frozen=True):
    """Where something listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Deployment(msgspec.Struct, frozen=True):
    """What the platform tells a process when it starts.

    Attributes:
      role: "entry" where callers are served, "sidecar" beside an endpoint.
      region_of: Regions by data centre.
      callers: Where callers connect; entries only.
      readiness: Where the platform asks whether callers may come; entries only.
      peers_listen: Where other entries find this one; entries only.
      first_port: The first port that daemons may use among themselves; the same everywhere.
      seeds: Where some entries listen for others; some may be gone.
      link_mbit: The instance's link, each way.
      store: The platform's store.
      endpoint: The endpoint beside a sidecar, and the service that it belongs to.
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
    endpoint: Address | None = None
    service: str = ""
