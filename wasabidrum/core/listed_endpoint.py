"""An endpoint as it registers itself with the platform."""

import msgspec


class ListedEndpoint(msgspec.Struct, frozen=True):
    """One run of an endpoint.

    Attributes:
      id: Names the endpoint; one that restarts may keep it.
      started_at: Unix milliseconds of this run's start; zero where it was not told.
      leaving: It takes no new work.
      slots: Requests that it runs at once.
      model: The model that it holds, empty where it holds none.
      weights: The version of the weights that it answers with, zero for none.
      whole: Whether it holds every layer of that version.
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
