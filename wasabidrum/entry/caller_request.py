"""A caller's request after its head has been validated."""

import asyncio
import dataclasses

from ..core.boot_clock import boot_seconds
from ..core.fleet import FleetRevision


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """The sender of a request, the configuration revision under which it runs, and its deadline.

    Attributes:
      revision: The configuration revision that is used for the whole of this request.
      deadline: When the caller stops waiting, by the event loop's clock.
      awake_deadline: The same moment by the boot-time clock, which keeps counting while the
        instance is suspended.
    """

    request_id: str
    workspace: str
    revision: FleetRevision
    deadline: float
    awake_deadline: float


def make_caller_request(
    request_id: str, workspace: str, revision: FleetRevision, seconds: float
) -> CallerRequest:
    """Returns a request whose caller waits for the given number of seconds from now."""
    deadline = asyncio.get_running_loop().time() + seconds
    awake_deadline = boot_seconds() + seconds
    return CallerRequest(request_id, workspace, revision, deadline, awake_deadline)
