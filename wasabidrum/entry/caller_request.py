"""A caller's request after its head was checked."""

import asyncio
import dataclasses

from ..core.fleet import FleetRevision


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """Who asks, under which revision, and until when.

    Attributes:
      revision: The configuration that this request begins and ends under.
      deadline: When the caller stops waiting, by the event loop's clock.
    """

    request_id: str
    workspace: str
    revision: FleetRevision
    deadline: float


def make_caller_request(
    request_id: str, workspace: str, revision: FleetRevision, seconds: float
) -> CallerRequest:
    """Returns the request of a caller who waits for some seconds from now."""
    deadline = asyncio.get_running_loop().time() + seconds
    return CallerRequest(request_id, workspace, revision, deadline)
