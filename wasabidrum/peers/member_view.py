"""A daemon's view of another member of the fleet."""

import dataclasses

from ..core.instance import Instance, InstanceState
from ..core.status import Status
from ..wire import tls


@dataclasses.dataclass(slots=True)
class MemberView:
    """The known state of a daemon: its entry in the platform's list, and its own status.

    Attributes:
      status: The latest status received from it, or None.
      seen_at: When its last message arrived, by the event loop's clock.
      suspected: Whether there is evidence that it is dead; cleared by a later sign of life.
    """

    instance: Instance
    status: Status | None = None
    seen_at: float = 0.0
    suspected: bool = False

    @property
    def name(self) -> str:
        """The daemon's name; a replacement of its instance has the same one."""
        return self.instance.name

    @property
    def url(self) -> str:
        """The base URL at which the daemon accepts HTTP requests of the fleet."""
        return tls.fleet_url(self.instance.host, self.instance.http_port)

    @property
    def leaving(self) -> bool:
        """Whether the list or the daemon's own status says that it accepts no new work."""
        says_so = self.status is not None and self.status.leaving
        return says_so or self.instance.state is InstanceState.LEAVING


class MemberViews:
    """Implements Membership for a set of views, with suspicion from this daemon's own calls."""

    __slots__ = ("_views",)

    def __init__(self) -> None:
        self._views: dict[str, MemberView] = {}

    @property
    def members(self) -> list[MemberView]:
        """See Membership."""
        return list(self._views.values())

    def report_failure(self, name: str) -> None:
        """See Membership."""
        if name in self._views:
            self._views[name].suspected = True

    def report_success(self, name: str) -> None:
        """See Membership."""
        if name in self._views:
            self._views[name].suspected = False
