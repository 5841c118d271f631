"""An endpoint as it registers itself with the platform."""

import msgspec


class ListedEndpoint(msgspec.Struct, frozen=True):
    """One run of an endpoint, as listed by the platform.

    Attributes:
      id: Identifies the endpoint; it may stay the same across restarts.
      started_at: When this run started, in Unix milliseconds; zero where unknown.
      leaving: Whether it accepts no new requests.
      slots: The maximum number of requests that it runs at once.
      model: The model that it holds, or empty.
      weights: The version of the weights that it holds, or zero.
      whole: Whether it holds every layer of that version.
      cold_seconds: For how much longer it was cold when it registered; None if it does not say.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    leaving: bool = False
    slots: int = 1
    started_at: int = 0
    model: str = ""
    weights: int = 0
    whole: bool = False
    cold_seconds: float | None = None
