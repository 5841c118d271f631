"""A caller's request after its head was checked."""

import asyncio
import dataclasses

from ..core.awake_clock import awake_seconds
from ..core.fleet import FleetRevision


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """Who asks, under which revision, and until when.

    Attributes:
      revision: The configuration that this request begins and ends under.
      deadline: When the caller stops waiting, by the event loop's clock.
      awake_deadline: The same, by the clock that counts while the instance is suspended.
    """

    request_id: str
    workspace: str
    revision: FleetRevision
    deadline: float
    awake_deadline: float


def make_caller_request(
    request_id: str, workspace: str, revision: FleetRevision, seconds: float
) -> CallerRequest:
    """Returns the request of a caller who waits for some seconds from now."""
    deadline = asyncio.get_running_loop().time() + seconds
    awake_deadline = awake_seconds() + seconds
    return CallerRequest(request_id, workspace, revision, deadline, awake_deadline)
