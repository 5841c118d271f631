"""What the handlers for callers need of the daemon that they answer for."""

import typing

from ..core.requests_in_progress import RequestsInProgress
from ..observe.event_log import EventLog
from ..peers.configuration_follower import ConfigurationFollower
from .model_call import ModelCaller
from .service_call import ServiceCaller


class CallerHandlerOwner(typing.Protocol):
    """Who takes requests from callers.

    Attributes:
      follower: Holds the configuration in force.
      leaving: Whether new requests are refused.
      log: Where handlers tell what became of a request.
      requests: Counts the requests in progress, which a stop waits for.
      models: Runs requests to models.
      services: Makes calls to plain services.
    """

    follower: ConfigurationFollower
    leaving: bool
    log: EventLog
    requests: RequestsInProgress
    models: ModelCaller
    services: ServiceCaller
