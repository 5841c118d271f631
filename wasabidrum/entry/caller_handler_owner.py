"""The interface of the entry daemon as the HTTP handlers for callers use it."""

import typing

from ..core.requests_in_progress import RequestsInProgress
from ..observe.event_log import EventLog
from ..peers.configuration_follower import ConfigurationFollower
from .model_call import ModelCaller
from .service_call import ServiceCaller


class CallerHandlerOwner(typing.Protocol):
    """The daemon that a caller's handler belongs to.

    Attributes:
      follower: Holds the configuration in force.
      leaving: Whether the daemon is shutting down and refuses new requests.
      log: Where handlers log the result of each request.
      requests: Counts the requests in progress, which a shutdown waits for.
      models: Runs requests to models.
      services: Makes calls to plain services.
    """

    follower: ConfigurationFollower
    leaving: bool
    log: EventLog
    requests: RequestsInProgress
    models: ModelCaller
    services: ServiceCaller
